#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PLATFORM_PLATFORM_NODE_FIXTURE_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PLATFORM_PLATFORM_NODE_FIXTURE_HPP

#include "support/platform/platform_node.hpp"
#include "support/platform/platform_store_stand_in.hpp"
#include "support/process/raw_upstream.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// One node, its store and one upstream, which answers after half a second if the request's path contains `/slow`, and
/// never if it contains `/silent`.
class platform_node_test : public ::testing::Test {
public:
    platform_node_test();

    void SetUp() override; // NOLINT(readability-identifier-naming)

    platform_store_stand_in store;
    raw_upstream upstream;
    std::unique_ptr<platform_node> node;
};

/// @return a configuration with an idempotent rule, one that is not, and one customer
/// @param key of the customer
std::string configurationText(int version, const std::string& key);

/// @return the entry of @p upstream in the store
std::string upstreamText(const raw_upstream& upstream);

/// @return the headers of a valid request
std::vector<http_header> requestHeaders(const std::string& id, const std::string& key);

/// @return whether @p condition became true within some seconds
bool waitFor(const std::function<bool()>& condition);

} // namespace flamingoroute::testing

#endif
