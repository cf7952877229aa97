#include "flamingoroute/admin/admin_answer.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

namespace flamingoroute {

namespace {

int statusOf(error_code code)
{
    switch (code) {
    case error_code::invalid_input:
        return 400;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
    case error_code::expired:
        return 409;
    case error_code::unavailable:
        return 503;
    case error_code::timeout:
    case error_code::outcome_unknown:
        return 504;
    case error_code::unauthorized:
        return 401;
    case error_code::internal:
        return 500;
    }
    return 500;
}

} // namespace

admin_answer answerWith(const Poco::JSON::Object::Ptr& body)
{
    admin_answer answer;
    answer.body = toJsonText(body) + "\n";
    return answer;
}

admin_answer answerWith(const error& failure)
{
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("error", toString(failure.code));
    body->set("step", failure.step);
    body->set("peer", failure.peer);
    body->set("detail", failure.detail);
    admin_answer answer = answerWith(body);
    answer.status = statusOf(failure.code);
    return answer;
}

admin_answer answerWith(const problem_list& problems)
{
    const int unprocessable = 422;
    Poco::JSON::Array::Ptr list(new Poco::JSON::Array);
    for (const auto& each : problems) {
        Poco::JSON::Object::Ptr line(new Poco::JSON::Object);
        line->set("path", each.path);
        line->set("rule", each.rule);
        list->add(line);
    }
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("error", "invalid_objects");
    body->set("problems", list);
    admin_answer answer = answerWith(body);
    answer.status = unprocessable;
    return answer;
}

} // namespace flamingoroute
