#ifndef FLAMINGOROUTE_CONFIG_INTERNAL_OBJECT_READING_HPP
#define FLAMINGOROUTE_CONFIG_INTERNAL_OBJECT_READING_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/settings/json_reader.hpp"

namespace flamingoroute::internal {

/// Each reads the fields of one kind; name and kind are read by the caller.
void readFields(json_reader& reader, region& object);
void readFields(json_reader& reader, failure_domain& object);
void readFields(json_reader& reader, service& object);
void readFields(json_reader& reader, version& object);
void readFields(json_reader& reader, upstream& object);
void readFields(json_reader& reader, customer& object);
void readFields(json_reader& reader, access_key& object);
void readFields(json_reader& reader, rate_limit& object);
void readFields(json_reader& reader, version_move& object);
void readFields(json_reader& reader, client_block& object);
void readFields(json_reader& reader, service_objective& object);

} // namespace flamingoroute::internal

#endif
