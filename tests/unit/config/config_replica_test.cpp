#include "flamingoroute/config/config_chunks.hpp"
#include "flamingoroute/config/config_replica.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

using std::chrono::milliseconds;

const config_source peerA { instance_id("a"), process_role::control };
const config_source peerB { instance_id("b"), process_role::control };
const monotonic_time start { seconds { 100 } };

struct published {
    config_chunks chunks;
    std::string head;
    config_position position;
};

published publication(revision number, int weight)
{
    configuration objects;
    for (int i = 0; i < 1000; ++i)
        objects.customers.push_back(customer { customer_id("c" + std::to_string(10000 + i)), 1 });
    objects.customers[5].weight = weight;
    published result;
    result.chunks = splitIntoChunks(objects, {});
    config_head head;
    head.number = number;
    head.publication = publication_id { number, "test", number };
    head.buckets = result.chunks.buckets;
    result.head = encodeHead(head);
    result.position = positionOf(head, result.head);
    return result;
}

config_replica makeReplica()
{
    return config_replica({}, start, [](std::size_t) { return std::size_t { 0 }; });
}

template <typename Action> std::vector<Action> actionsOf(const replica_actions& actions)
{
    std::vector<Action> result;
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Action>(&action))
            result.push_back(*found);
    }
    return result;
}

/// Answers all fetches until there are none.
/// @return the number of chunks that were requested
int serve(config_replica& replica, const published& from, replica_actions actions)
{
    int chunks = 0;
    while (!actions.empty()) {
        replica_actions next;
        const auto add = [&next](const replica_actions& more) { next.insert(next.end(), more.begin(), more.end()); };
        for (const auto& request : actionsOf<fetch_head>(actions)) {
            if (request.hash == from.position.hash)
                add(replica.onContent(request.hash, from.head, start));
        }
        for (const auto& request : actionsOf<fetch_chunks>(actions)) {
            for (const auto& hash : request.hashes) {
                ++chunks;
                add(replica.onContent(hash, from.chunks.contents.at(hash), start));
            }
        }
        actions = next;
    }
    return chunks;
}

void adoptFrom(config_replica& replica, const published& from)
{
    serve(replica, from, replica.onOffer(peerA, config_offer { from.position, false }, start));
    ASSERT_EQ(replica.position(), from.position);
}

} // namespace

TEST(config_replica, adopts_a_revision_only_when_it_is_complete)
{
    auto replica = makeReplica();
    const auto first = publication(1, 1);
    auto actions = replica.onOffer(peerA, config_offer { first.position, false }, start);
    ASSERT_EQ(actionsOf<fetch_head>(actions).size(), 1u);
    actions = replica.onContent(first.position.hash, first.head, start);
    auto remaining = first.chunks.contents.size();
    for (const auto& [hash, content] : first.chunks.contents) {
        EXPECT_EQ(replica.current(), nullptr) << remaining << " chunks remaining";
        replica.onContent(hash, content, start);
        --remaining;
    }
    ASSERT_NE(replica.current(), nullptr);
    EXPECT_EQ(replica.current()->customers.size(), 1000u);
    EXPECT_EQ(replica.current()->number, 1u);
}

TEST(config_replica, fetches_only_chunks_that_changed)
{
    auto replica = makeReplica();
    adoptFrom(replica, publication(1, 1));
    const auto second = publication(2, 9);
    EXPECT_EQ(serve(replica, second, replica.onOffer(peerA, config_offer { second.position, false }, start)), 1);
    EXPECT_EQ(replica.current()->customers[5].weight, 9);
}

TEST(config_replica, rejects_a_lower_revision_from_any_source)
{
    auto replica = makeReplica();
    adoptFrom(replica, publication(7, 7));
    const auto old = publication(6, 6);
    serve(replica, old, replica.onOffer(peerB, config_offer { old.position, true }, start));
    const auto actions = replica.onStoreHead(old.head, start);
    serve(replica, old, actions);
    EXPECT_EQ(replica.position().number, 7u);
    ASSERT_EQ(actionsOf<report_fault>(actions).size(), 1u) << "a restored store is reported";
    EXPECT_TRUE(actionsOf<report_fault>(replica.onStoreHead(old.head, start)).empty()) << "and only once";
}

TEST(config_replica, rejects_and_reports_different_content_for_the_revision_in_force)
{
    auto replica = makeReplica();
    const auto first = publication(7, 1);
    adoptFrom(replica, first);
    const auto conflicting = publication(7, 2);
    const auto actions = replica.onOffer(peerB, config_offer { conflicting.position, false }, start);
    EXPECT_EQ(actionsOf<report_fault>(actions).size(), 1u);
    EXPECT_TRUE(actionsOf<fetch_head>(actions).empty());
    EXPECT_EQ(replica.position(), first.position);
}

TEST(config_replica, rejects_content_that_does_not_match_its_hash)
{
    auto replica = makeReplica();
    const auto first = publication(1, 1);
    replica.onOffer(peerA, config_offer { first.position, false }, start);
    const auto actions = replica.onContent(first.position.hash, first.head + " ", start);
    EXPECT_EQ(actionsOf<report_fault>(actions).size(), 1u);
    EXPECT_EQ(replica.current(), nullptr);
}

TEST(config_replica, fetches_from_another_source_after_a_timeout)
{
    auto replica = makeReplica();
    const auto first = publication(1, 1);
    EXPECT_EQ(
        actionsOf<fetch_head>(replica.onOffer(peerA, config_offer { first.position, false }, start)).at(0).from, peerA);
    replica.onOffer(peerB, config_offer { first.position, false }, start);
    const auto actions = replica.onTick(start + replica_settings {}.fetchTimeout);
    EXPECT_EQ(actionsOf<fetch_head>(actions).at(0).from, peerB);
}

TEST(config_replica, abandons_an_offer_that_cannot_be_fetched_and_becomes_ready)
{
    auto replica = makeReplica();
    adoptFrom(replica, publication(1, 1));
    replica.onOffer(peerB, config_offer { { 99, "no such head" }, false }, start);
    auto now = start;
    for (; now < start + seconds { 3 }; now += milliseconds { 100 })
        replica.onTick(now);
    EXPECT_FALSE(replica.isReady()) << "a higher revision may still arrive";
    for (; now < start + seconds { 6 }; now += milliseconds { 100 })
        replica.onTick(now);
    EXPECT_TRUE(replica.isReady());
    EXPECT_EQ(replica.position().number, 1u);
}

TEST(config_replica, offers_a_revision_from_outside_to_the_whole_failure_domain_and_some_others)
{
    auto replica = makeReplica();
    replica_peers peers;
    for (int i = 0; i < 5; ++i) {
        peers.local.push_back({ instance_id("l" + std::to_string(i)), process_role::entry });
        peers.remote.push_back({ instance_id("r" + std::to_string(i)), process_role::control });
    }
    replica.setPeers(peers);
    const auto first = publication(1, 1);
    replica.onStoreHead(first.head, start);
    replica_actions last;
    for (const auto& [hash, content] : first.chunks.contents)
        last = replica.onContent(hash, content, start);
    EXPECT_EQ(actionsOf<send_offer>(last).size(), peers.local.size() + replica_settings {}.remotePushes);
}

} // namespace flamingoroute
