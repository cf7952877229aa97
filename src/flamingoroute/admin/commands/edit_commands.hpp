#ifndef FLAMINGOROUTE_ADMIN_COMMANDS_EDIT_COMMANDS_HPP
#define FLAMINGOROUTE_ADMIN_COMMANDS_EDIT_COMMANDS_HPP

#include "flamingoroute/admin/admin_answer.hpp"
#include "flamingoroute/admin/admin_request.hpp"
#include "flamingoroute/admin/configuration_access.hpp"

#include <Poco/JSON/Object.h>

#include <functional>
#include <optional>
#include <string>

namespace flamingoroute {

/// @return the answer to a publication: the revision, the problems or the error
admin_answer answerWith(const tl::expected<revision, publish_failure>& published);

/// @return the answer as above; on success with the fields of @p extra
admin_answer answerWith(const tl::expected<revision, publish_failure>& published, const Poco::JSON::Object::Ptr& extra);

/// @return the request's "expected_revision", or nullopt
std::optional<revision> expectedRevisionOf(const admin_request& request);

/// @return an edit that creates or replaces @p object, which has "kind" and "name"
configuration_edit putEdit(const Poco::JSON::Object::Ptr& object);

/// Changes fields of an object of the active configuration and publishes the result.
/// @param modify changes the object as JSON
/// @return `not_found` if there is no such object
admin_answer modifyObject(const configuration_access& access, const std::string& kind, const std::string& name,
    const std::function<void(Poco::JSON::Object& object)>& modify);

} // namespace flamingoroute

#endif
