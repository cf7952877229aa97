#include "platform/object_decoder.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::platform {

namespace {

fleet_object objectWith(const std::string& specification, const std::string& status = "")
{
    fleet_object object;
    object.name = "thing";
    object.revision = 9;
    object.specification = parseJsonObject(specification, "test").value_or(nullptr);
    if (!status.empty())
        object.status = parseJsonObject(status, "test").value_or(nullptr);
    return object;
}

const std::string configurationText = R"({"version":"r7",
    "routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","traffic_split",
        "attempts","public","sticky_sessions","home_regions","service"],
      "rows":[["a","x.example","/a/","idempotent","2500ms","400ms",2,[{"service":"s","weight":90},
        {"service":"t","weight":10}],2,false,true,[],null],
        ["b","x.example","/b/","non_idempotent","3s","0.5s",1,null,2,true,false,["west"],"s"],
        ["c","x.example","/c/","idempotent","3s",null,null,null,null,null,null,null,"s"]]},
    "services":{"columns":["name","health_check_path","connection_limit","protocol","tls","cold_start","cold_per_s"],
      "rows":[["s","/health",330,"h1",false,"3s",5.9]]},
    "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
    "tenants":{"columns":["name","api_keys","priority","requests_per_s","burst","home_regions"],
      "rows":[["ronda",["k1","k2"],1,110,110,[]],["free",["k3"],null,null,null,null]]}})";

std::string upstreamText(const std::string& change = "")
{
    std::string text = R"({"service":"s","address":"10.0.0.9:8080","zone":"centro-a","version":"v1","slots":6,)"
                       R"("state":"ready","cold_remaining":"1500ms","sequence":4,"born":1700000000000)";
    return text + (change.empty() ? "" : "," + change) + "}";
}

} // namespace

TEST(object_decoder, reads_a_configuration_encoded_as_tables)
{
    const auto read = decodeConfiguration(objectWith(configurationText));
    ASSERT_TRUE(read) << describe(read.error());
    EXPECT_EQ(read->version, 7U);
    ASSERT_EQ(read->rules.size(), 3U);
    EXPECT_TRUE(read->rules[0].isIdempotent);
    EXPECT_EQ(read->rules[0].timeout, milliseconds(2500));
    EXPECT_EQ(read->rules[0].shares, (std::vector<service_share> { { service_id("s"), 90 }, { service_id("t"), 10 } }));
    EXPECT_FALSE(read->rules[1].isIdempotent);
    EXPECT_TRUE(read->rules[1].isPublic);
    EXPECT_EQ(read->rules[1].objective, milliseconds(500));
    EXPECT_EQ(read->rules[1].homeRegions, (std::vector<region_id> { region_id("west") }));
    EXPECT_EQ(read->rules[2].maxAttempts, 1);
    EXPECT_GT(read->rules[2].rank, read->rules[0].rank);
    EXPECT_DOUBLE_EQ(read->services[0].coldRate, 5.9);
    EXPECT_EQ(read->customers[0].keys, (std::vector<std::string> { "k1", "k2" }));
    EXPECT_DOUBLE_EQ(read->customers[1].ratePerSecond, 0);
    EXPECT_EQ(read->limits.idleTimeout, seconds(15));
}

// CONFIG: a configuration without the last customer's row opened all rules to every key.
TEST(object_decoder, requires_keys_if_the_configuration_holds_customers_even_without_rows)
{
    const auto withCustomers = [](const std::string& table) {
        auto text = configurationText;
        text.erase(text.find(",\n    \"tenants\""));
        return decodeConfiguration(objectWith(text + (table.empty() ? "" : ",\"tenants\":" + table) + "}"));
    };
    for (const std::string table : { R"({"columns":["name","api_keys"],"rows":[]})", R"({"columns":[],"rows":[]})",
             R"({"columns":["name"],"rows":null})", "{}" }) {
        const auto read = withCustomers(table);
        ASSERT_TRUE(read) << table;
        EXPECT_TRUE(read->requiresKeys) << table;
        EXPECT_TRUE(read->customers.empty()) << table;
    }
    const auto open = withCustomers("");
    ASSERT_TRUE(open);
    EXPECT_FALSE(open->requiresKeys);
    EXPECT_FALSE(withCustomers("[]"));
}

TEST(object_decoder, names_the_field_of_a_configuration_that_it_cannot_read)
{
    auto text = configurationText;
    text.replace(text.find("\"2500ms\""), 8, "2500");
    const auto read = decodeConfiguration(objectWith(text));
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().code, error_code::invalid_input);
    EXPECT_NE(read.error().detail.find("timeout"), std::string::npos);
    EXPECT_FALSE(decodeConfiguration(objectWith("{}")));
    EXPECT_FALSE(decodeConfiguration(objectWith("[]")));
}

TEST(object_decoder, reads_an_upstream)
{
    const auto read = decodeUpstream(objectWith(upstreamText()));
    ASSERT_TRUE(read) << describe(read.error());
    EXPECT_EQ(read->name, upstream_id("thing"));
    EXPECT_EQ(read->startedAtMs, 1700000000000U);
    EXPECT_EQ(read->remainingColdTime, milliseconds(1500));
    EXPECT_FALSE(read->isDraining);
}

TEST(object_decoder, rejects_an_upstream_with_a_field_missing_or_of_another_type)
{
    for (const std::string field : { "service", "address", "zone", "version", "slots", "state" }) {
        auto object = objectWith(upstreamText());
        object.specification->remove(field);
        EXPECT_FALSE(decodeUpstream(object)) << field;
        object.specification->set(field, true);
        EXPECT_FALSE(decodeUpstream(object)) << field;
    }
    EXPECT_FALSE(decodeUpstream(objectWith(upstreamText(R"("state":"sleeping")"))));
    EXPECT_FALSE(decodeUpstream(objectWith(upstreamText(R"("slots":0)"))));
    EXPECT_FALSE(decodeUpstream(objectWith(upstreamText(R"("address":"somewhere")"))));
    EXPECT_FALSE(decodeUpstream(fleet_object { "thing", 1, nullptr, nullptr }));
}

TEST(object_decoder, rejects_an_upstream_with_a_number_out_of_the_range_of_its_field)
{
    const auto withField = [](const std::string& from, const std::string& to) {
        auto text = upstreamText();
        text.replace(text.find(from), from.size(), to);
        return decodeUpstream(objectWith(text));
    };
    EXPECT_FALSE(withField("\"slots\":6", "\"slots\":4294967297"));
    EXPECT_FALSE(withField("\"born\":1700000000000", "\"born\":-7"));
    EXPECT_FALSE(withField("\"born\":1700000000000", "\"born\":9223372036854775807"));
    EXPECT_FALSE(withField("\"sequence\":4", "\"sequence\":-1"));
}

TEST(object_decoder, applies_the_state_of_a_version_order_only_for_the_same_target)
{
    const std::string order = R"({"service":"s","target_version":"v2","duration":"12s"})";
    const auto fresh = decodeVersionOrder(objectWith(order));
    ASSERT_TRUE(fresh);
    EXPECT_EQ(fresh->duration, seconds(12));
    EXPECT_FALSE(fresh->isStateWritten);
    const auto done = decodeVersionOrder(objectWith(order, R"({"state":"completed","target_version":"v2"})"));
    EXPECT_EQ(done->state, version_order_state::completed);
    const auto earlier = decodeVersionOrder(objectWith(order, R"({"state":"rolled_back","target_version":"v1"})"));
    EXPECT_EQ(earlier->state, version_order_state::running);
    EXPECT_FALSE(earlier->isStateWritten);
}

TEST(object_decoder, reads_the_member_that_it_wrote)
{
    member self;
    self.instance = instance_id("thing");
    self.failureDomain = failure_domain_id("centro-a");
    self.region = region_id("centro");
    self.callerAddress = { "10.0.0.1", 80 };
    self.entryAddress = { "10.0.0.1", 7560 };
    EXPECT_EQ(decodeMember(objectWith(encodeMember(self))), self);
}

} // namespace flamingoroute::platform
