#ifndef FLAMINGOROUTE_ADMIN_ADMIN_ANSWER_HPP
#define FLAMINGOROUTE_ADMIN_ADMIN_ANSWER_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/settings/problem.hpp"

#include <Poco/JSON/Object.h>

#include <string>

namespace flamingoroute {

/// The answer to a call of the admin API.
struct admin_answer {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;

    bool operator==(const admin_answer&) const = default;
};

/// @return 200 with @p body
admin_answer answerWith(const Poco::JSON::Object::Ptr& body);

/// @return the HTTP status for the error's code, with the error as JSON
admin_answer answerWith(const error& failure);

/// @return 422 with every problem as JSON
admin_answer answerWith(const problem_list& problems);

} // namespace flamingoroute

#endif
