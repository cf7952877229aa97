#include "flamingoroute/fleet/digest_cache.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

const region_id region("centro");

monotonic_time at(int ms) { return monotonic_time(milliseconds(100'000 + ms)); }

region_digest digestOf(const std::string& relay, const store_revision& revision)
{
    region_digest digest;
    digest.sender = relay;
    digest.hasSums = false;
    digest.sum.region = region.value();
    digest.isStoreConnected = true;
    digest.positions = { { "servers", { revision, 7 } } };
    digest.incarnation = 1;
    digest.number = 1;
    return digest;
}

} // namespace

// CONFIG: a relay that had not noticed the restoration hid the position of one that had.
TEST(digest_cache, returns_the_position_of_the_relay_in_the_later_era_though_its_number_is_lower)
{
    digest_cache digests(region);
    digests.record(digestOf("relay-1", { 40, 1 }), at(0));
    digests.record(digestOf("relay-2", { 12, 2 }), at(0));
    EXPECT_EQ(digests.positionOf("servers", at(100)), (store_position { { 12, 2 }, 7 }));
}

} // namespace flamingoroute
