#include "scenario.hpp"

#include <algorithm>
#include <sstream>

namespace flamingoroute::testing {

namespace {

std::vector<std::string> wordsOf(const std::string& line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    std::string word;
    while (stream >> word)
        words.push_back(word);
    return words;
}

using words_result = tl::expected<void, scenario_error>;

words_result fail(int line, const std::string& word, const std::string& detail)
{
    return tl::unexpected(scenario_error { line, word, detail });
}

bool parseSeeds(const std::string& word, scenario& result)
{
    const auto dots = word.find("..");
    try {
        result.firstSeed = std::stoull(word.substr(0, dots));
        result.lastSeed = dots == std::string::npos ? result.firstSeed : std::stoull(word.substr(dots + 2));
    } catch (const std::exception&) {
        return false;
    }
    return result.firstSeed <= result.lastSeed;
}

words_result addAt(const std::vector<std::string>& words, int line, scenario& result)
{
    scenario_command command;
    command.line = line;
    if (words.size() < 3)
        return fail(line, words[0], "needs a time and a command");
    if (!parseDuration(words[1], command.at))
        return fail(line, words[1], "is not a time");
    command.words.assign(words.begin() + 2, words.end());
    result.commands.push_back(command);
    return {};
}

words_result addRepeated(const std::vector<std::string>& words, int line, scenario& result)
{
    if (words.size() < 7 || words[2] != "to" || words[4] != "each")
        return fail(line, words[0], "must be: from TIME to TIME each STEP COMMAND");
    microseconds first { 0 };
    microseconds last { 0 };
    microseconds step { 0 };
    if (!parseDuration(words[1], first))
        return fail(line, words[1], "is not a time");
    if (!parseDuration(words[3], last))
        return fail(line, words[3], "is not a time");
    if (!parseDuration(words[5], step) || step <= microseconds { 0 })
        return fail(line, words[5], "is not a step above zero");
    for (auto at = first; at <= last; at += step)
        result.commands.push_back(scenario_command { at, line, { words.begin() + 6, words.end() } });
    return {};
}

words_result addLine(const std::vector<std::string>& words, int line, scenario& result)
{
    if (words[0] == "at")
        return addAt(words, line, result);
    if (words[0] == "from")
        return addRepeated(words, line, result);
    if (words[0] == "world" && words.size() == 2) {
        result.world = words[1];
        return {};
    }
    if (words[0] == "seeds" && words.size() == 2) {
        if (!parseSeeds(words[1], result))
            return fail(line, words[1], "is not a range of seeds");
        return {};
    }
    return fail(line, words[0], "is not a statement: world, seeds, at or from");
}

} // namespace

std::string describe(const std::string& file, const scenario_error& problem)
{
    std::string text = file + ":" + std::to_string(problem.line) + ": ";
    if (!problem.word.empty())
        text += "word '" + problem.word + "': ";
    return text + problem.detail;
}

bool parseDuration(const std::string& word, microseconds& result)
{
    std::size_t used = 0;
    double number = 0;
    try {
        number = std::stod(word, &used);
    } catch (const std::exception&) {
        return false;
    }
    const std::string unit = word.substr(used);
    double unitMicroseconds = 0;
    if (unit == "ms")
        unitMicroseconds = 1e3;
    else if (unit == "s")
        unitMicroseconds = 1e6;
    else if (unit == "min")
        unitMicroseconds = 60e6;
    if (unitMicroseconds == 0 || number < 0)
        return false;
    result = microseconds(static_cast<std::int64_t>(number * unitMicroseconds + 0.5));
    return true;
}

tl::expected<scenario, scenario_error> parseScenario(const std::string& text)
{
    scenario result;
    std::istringstream stream(text);
    std::string line;
    int number = 0;
    while (std::getline(stream, line)) {
        ++number;
        const auto words = wordsOf(line);
        if (words.empty())
            continue;
        const auto added = addLine(words, number, result);
        if (!added)
            return tl::unexpected(added.error());
    }
    if (result.world.empty())
        return tl::unexpected(scenario_error { number, "", "missing 'world' statement" });
    std::stable_sort(result.commands.begin(), result.commands.end(),
        [](const scenario_command& left, const scenario_command& right) { return left.at < right.at; });
    return result;
}

} // namespace flamingoroute::testing
