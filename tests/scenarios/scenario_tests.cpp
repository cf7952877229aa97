#include "support/scenario/run_scenario.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace flamingoroute::testing {

namespace {

std::string readAll(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

/// Runs one scenario file once for each of its seeds.
class scenario_file_test : public ::testing::Test {
public:
    explicit scenario_file_test(std::filesystem::path path)
        : m_path(std::move(path))
    {
    }

    void TestBody() override // NOLINT(readability-identifier-naming)
    {
        const auto script = parseScenario(readAll(m_path));
        ASSERT_TRUE(script) << describe(m_path.filename(), script.error());
        for (auto seed = script->firstSeed; seed <= script->lastSeed; ++seed) {
            const auto done = runScenario(*script, seed);
            EXPECT_TRUE(done) << describe(m_path.filename(), done.error()) << " (seed " << seed << ")";
        }
    }

private:
    std::filesystem::path m_path;
};

void registerFile(const std::filesystem::path& path)
{
    ::testing::RegisterTest("scenario", path.stem().c_str(), nullptr, nullptr, __FILE__, __LINE__,
        [path]() -> ::testing::Test* { return new scenario_file_test(path); });
}

} // namespace

} // namespace flamingoroute::testing

int main(int argc, char** argv)
{
    ::testing::InitGoogleTest(&argc, argv);
    const std::filesystem::path folder = std::filesystem::path(FLAMINGOROUTE_SOURCE_DIR) / "tests" / "scenarios";
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".scenario")
            files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    for (const auto& file : files)
        flamingoroute::testing::registerFile(file);
    return RUN_ALL_TESTS();
}
