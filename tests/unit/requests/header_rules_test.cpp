#include "flamingoroute/requests/header_rules.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

TEST(header_rules, removes_hop_by_hop_headers_and_those_that_connection_lists)
{
    const std::vector<http_header> headers { { "Connection", "close, X-Once" }, { "x-once", "1" }, { "TE", "gzip" },
        { "Accept", "*/*" }, { "connection", "X-Twice" }, { "X-Twice", "2" }, { "Transfer-Encoding", "chunked" } };
    const std::vector<http_header> expected { { "Accept", "*/*" } };
    EXPECT_EQ(endToEndHeaders(headers), expected);
}

TEST(header_rules, removes_each_copy_of_a_credential)
{
    const std::vector<http_header> headers { { "authorization", "a" }, { "AUTHORIZATION", "b" }, { "X-API-Key", "c" },
        { "Proxy-Authorization", "d" }, { "Accept", "*/*" } };
    const std::vector<http_header> expected { { "Accept", "*/*" } };
    EXPECT_EQ(withoutCredentials(headers), expected);
}

TEST(header_rules, removes_the_key_from_the_query_however_it_is_written)
{
    EXPECT_EQ(withoutCredentialParameters("/t?a=1&api_key=s&b=2"), "/t?a=1&b=2");
    EXPECT_EQ(withoutCredentialParameters("/t?api_key=s"), "/t");
    EXPECT_EQ(withoutCredentialParameters("/t?API_KEY=s&api%5Fkey=s&api_key=s&x"), "/t?x");
    EXPECT_EQ(withoutCredentialParameters("/t?%61pi_key=s&api_key"), "/t");
    EXPECT_EQ(withoutCredentialParameters("/t"), "/t");
}

} // namespace flamingoroute::testing
