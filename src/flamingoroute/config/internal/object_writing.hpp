#ifndef FLAMINGOROUTE_CONFIG_INTERNAL_OBJECT_WRITING_HPP
#define FLAMINGOROUTE_CONFIG_INTERNAL_OBJECT_WRITING_HPP

#include "flamingoroute/model/configuration.hpp"

#include <Poco/JSON/Object.h>

namespace flamingoroute::internal {

/// Each writes the fields of one kind; name and kind are written by the caller.
void writeFields(Poco::JSON::Object& json, const region& object);
void writeFields(Poco::JSON::Object& json, const failure_domain& object);
void writeFields(Poco::JSON::Object& json, const service& object);
void writeFields(Poco::JSON::Object& json, const version& object);
void writeFields(Poco::JSON::Object& json, const upstream& object);
void writeFields(Poco::JSON::Object& json, const customer& object);
void writeFields(Poco::JSON::Object& json, const access_key& object);
void writeFields(Poco::JSON::Object& json, const rate_limit& object);
void writeFields(Poco::JSON::Object& json, const version_move& object);
void writeFields(Poco::JSON::Object& json, const client_block& object);
void writeFields(Poco::JSON::Object& json, const service_objective& object);

} // namespace flamingoroute::internal

#endif
