#ifndef FLAMINGOROUTE_STORE_LEASE_RECORD_HPP
#define FLAMINGOROUTE_STORE_LEASE_RECORD_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <tl/expected.hpp>

#include <string>

namespace flamingoroute {

/// The kind of the platform's lease objects.
inline constexpr const char* leaseKind = "lease";

/// The value of a lease object.
struct lease_record {
    std::string holder;
    incarnation holderIncarnation = 0;
    std::uint64_t sequence = 0; ///< identifies the holder's write when its response was lost
    milliseconds duration { 0 };
    object_version epoch = 0; ///< of the holder's term; zero in the first write of a term: then the object version of
                              ///< that write is the epoch
    bool isReleased = false;

    bool operator==(const lease_record&) const = default;
};

/// @return @p record as JSON
std::string encodeLease(const lease_record& record);

/// @return the record, or `invalid_input`
tl::expected<lease_record, error> parseLease(const std::string& value);

/// @param version object version of the write of @p record
/// @return the epoch of the holder's term
inline object_version epochOf(const lease_record& record, object_version version)
{
    return record.epoch == 0 ? version : record.epoch;
}

} // namespace flamingoroute

#endif
