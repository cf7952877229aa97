#include "flamingoroute/config/config_chunks.hpp"
#include "flamingoroute/config/config_publisher.hpp"

#include "support/store/fake_object_store.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

using testing::fake_object_store;

configuration customers(int count)
{
    configuration objects;
    for (int i = 0; i < count; ++i)
        objects.customers.push_back(customer { customer_id("c" + std::to_string(1000 + i)), 1 });
    return objects;
}

configuration_edit putCustomer(const std::string& name, int weight)
{
    return { "customer", name, "{\"weight\": " + std::to_string(weight) + "}" };
}

std::size_t headWrites(const fake_object_store& store)
{
    const auto head = store.objects.find({ configHeadKind, configHeadName });
    return head == store.objects.end() ? 0 : parseHead(head->second.value)->number;
}

} // namespace

TEST(config_publisher, reads_back_what_it_published)
{
    fake_object_store store;
    config_publisher publisher(store, "a");
    ASSERT_EQ(publisher.publish(customers(3), 0).value(), 1u);
    ASSERT_EQ(
        publisher.publishEdits({ putCustomer("c1001", 7), { "customer", "c1002", std::nullopt } }, 1).value(), 2u);
    const auto now = publisher.read();
    ASSERT_TRUE(now);
    ASSERT_EQ(now->objects.customers.size(), 2u);
    EXPECT_EQ(now->objects.customers[1].weight, 7);
    EXPECT_EQ(now->objects.number, 2u);
}

TEST(config_publisher, reports_the_winning_writer_after_a_conflict)
{
    fake_object_store store;
    config_publisher first(store, "first");
    config_publisher second(store, "second");
    ASSERT_TRUE(first.publish(customers(1), 0));
    store.beforeWrite = [&](const std::string&) { ASSERT_TRUE(second.publish(customers(2), 1)); };
    const auto lost = first.publish(customers(3), 1);
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().cause.code, error_code::conflict);
    EXPECT_EQ(lost.error().cause.peer, "second");
    EXPECT_EQ(headWrites(store), 2u);
}

TEST(config_publisher, recognizes_its_publication_after_a_lost_answer)
{
    for (const int lostAnswers : { 1, 2, 3 }) {
        fake_object_store store;
        config_publisher publisher(store, "a");
        store.lostAnswers = lostAnswers;
        EXPECT_EQ(publisher.publish(customers(1), 0).value(), 1u);
        EXPECT_EQ(headWrites(store), 1u);
    }
}

TEST(config_publisher, finds_its_publication_after_a_later_one)
{
    fake_object_store store;
    config_publisher publisher(store, "a");
    config_publisher other(store, "b");
    ASSERT_TRUE(publisher.publish(customers(1), 0));
    // The chunk is written first; the answer to the head update is lost, and another writer publishes before the
    // head is read back.
    store.beforeWrite = [&](const std::string&) {
        store.beforeWrite = [&](const std::string&) { store.lostAnswers = 1; };
        store.afterLostAnswer = [&] { ASSERT_TRUE(other.publish(customers(3), 2)); };
    };
    EXPECT_EQ(publisher.publish(customers(2), 1).value(), 2u);
    EXPECT_EQ(headWrites(store), 3u);
}

TEST(config_publisher, retries_the_commit_when_the_request_was_lost)
{
    fake_object_store store;
    config_publisher publisher(store, "a");
    store.lostRequests = 2;
    EXPECT_EQ(publisher.publish(customers(1), 0).value(), 1u);
    EXPECT_EQ(headWrites(store), 1u);
}

TEST(config_publisher, publishes_nothing_if_the_configuration_is_invalid)
{
    fake_object_store store;
    config_publisher publisher(store, "a");
    auto objects = customers(1);
    objects.rates.push_back(rate_limit { "r", customer_id("nobody"), 1, 1 });
    const auto refused = publisher.publish(objects, 0);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().problems.at(0).path, "rate/r.customer");
    EXPECT_TRUE(store.objects.empty());
}

TEST(config_publisher, assigns_a_higher_revision_than_instances_hold_after_a_restore)
{
    fake_object_store store;
    config_publisher publisher(store, "a");
    ASSERT_TRUE(publisher.publish(customers(1), 0));
    EXPECT_EQ(publisher.publish(customers(2), 1, 17).value(), 18u);
}

TEST(config_chunks, re_sends_one_chunk_for_one_change)
{
    const auto before = splitIntoChunks(customers(5000), {});
    auto objects = customers(5000);
    objects.customers[4321].weight = 3;
    const auto after = splitIntoChunks(objects, before.buckets);
    std::size_t changed = 0;
    for (const auto& [hash, content] : after.contents)
        changed += before.contents.count(hash) == 0 ? 1 : 0;
    EXPECT_EQ(changed, 1u);
    EXPECT_GT(after.contents.size(), 16u);
}

} // namespace flamingoroute
