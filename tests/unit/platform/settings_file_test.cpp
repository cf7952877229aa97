#include "platform/settings_file.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace flamingoroute::platform {

namespace {

const std::string settingsText = R"(
[self]
node_name = "frontend-1"
ip = "10.1.0.37"
zone = "centro-a"
region = "guate-centro"
first_start = true
some_new_field = 3
[self.limits]
file_descriptors = 4100
[network]
internal_port_range = [7560,7575]
[network.listen_addresses]
frontend = "10.1.0.37:8388"
ready = "10.1.0.37:8384"
directory = "10.1.0.37:8383"
[network.zones]
centro-a = "guate-centro"
oriente-a = "oriente"
[platform.platform]
address = "10.200.1.7:8382"
[terms.bounds]
grace_period = "6s"
quota_slack = 20
cold_overshoot = 1.5
)";

/// A file that the destructor removes.
class temporary_file {
public:
    explicit temporary_file(const std::string& content)
        : m_path(::testing::TempDir() + "settings_" + std::to_string(reinterpret_cast<std::uintptr_t>(this)) + ".toml")
    {
        std::ofstream(m_path) << content;
    }
    ~temporary_file() { std::remove(m_path.c_str()); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace

TEST(settings_file, is_read_into_the_nodes_settings)
{
    const temporary_file file(settingsText);
    const auto settings = readSettingsFile(file.path());
    ASSERT_TRUE(settings) << describe(settings.error());
    EXPECT_EQ(settings->instance, instance_id("frontend-1"));
    EXPECT_EQ(settings->peerAddress, (endpoint { "10.1.0.37", 7560 }));
    EXPECT_EQ(settings->regions.at(failure_domain_id("oriente-a")), region_id("oriente"));
    EXPECT_EQ(settings->bounds.gracePeriod, seconds(6));
    EXPECT_DOUBLE_EQ(settings->bounds.rateSlack, 20);
    EXPECT_DOUBLE_EQ(settings->bounds.coldRateFactor, 1.5);
}

TEST(settings_file, asks_for_usage_reports_only_with_window_duty_and_address)
{
    const auto addressIn = [](const std::string& text) {
        const temporary_file file(text);
        const auto settings = readSettingsFile(file.path());
        return settings ? toString(settings->usageAddress) : "rejected";
    };
    const std::string window = "report_window = \"5s\"\n";
    const std::string duty = "[platform.cloud]\nduties = [\"usage_reporting\"]\n";
    const std::string address = "address = \"10.200.0.62:8064\"\n";
    EXPECT_EQ(addressIn(settingsText + window + duty + address), "10.200.0.62:8064");
    EXPECT_EQ(addressIn(settingsText + window + duty), "rejected");
    EXPECT_EQ(addressIn(settingsText + window + "[platform.cloud]\n" + address), toString(endpoint {}));
    EXPECT_EQ(addressIn(settingsText + duty + address), toString(endpoint {}));
}

TEST(settings_file, names_the_field_that_is_missing_or_of_another_type)
{
    for (const std::string field : { "node_name", "zone", "first_start", "file_descriptors", "frontend", "address" }) {
        auto text = settingsText;
        text.replace(text.find("\n" + field + " ="), 1, "\nnot_");
        const temporary_file file(text);
        const auto settings = readSettingsFile(file.path());
        ASSERT_FALSE(settings) << field;
        EXPECT_NE(settings.error().detail.find(field), std::string::npos) << settings.error().detail;
    }
    EXPECT_FALSE(readSettingsFile("/nowhere/at/all"));
    EXPECT_FALSE(readSettingsFile(""));
}

} // namespace flamingoroute::platform
