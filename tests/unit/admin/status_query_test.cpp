#include "flamingoroute/admin/queries/status_query.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

member_status memberAt(
    const std::string& instance, const std::string& domain, revision entryRevision, member_state state)
{
    member_status status;
    status.memberInfo.instance = instance_id(instance);
    status.memberInfo.failureDomain = failure_domain_id(domain);
    status.state = state;
    status.entryRevision = entryRevision;
    return status;
}

} // namespace

TEST(status_query, names_the_instances_of_a_partitioned_failure_domain_as_not_confirmed)
{
    status_access access;
    access.activeRevision = [] { return revision { 7 }; };
    access.members = [] {
        return std::vector<member_status> {
            memberAt("a", "d1", 7, member_state::live),
            memberAt("b", "d2", 5, member_state::suspect),
        };
    };
    access.leases = [] {
        return tl::unexpected(error { error_code::unavailable, "store.list", "127.0.0.1:1", "refused" });
    };
    admin_registry registry;
    addStatusQuery(registry, access);

    admin_request request;
    request.name = "status";
    const auto answer = registry.runQuery(request);

    EXPECT_EQ(answer.status, 200);
    EXPECT_NE(answer.body.find(R"("missing":["b"],"name":"d2","revision":5)"), std::string::npos) << answer.body;
    EXPECT_NE(answer.body.find("leases_missing"), std::string::npos);
}

} // namespace flamingoroute
