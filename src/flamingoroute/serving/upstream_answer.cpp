#include "flamingoroute/serving/upstream_answer.hpp"

#include "flamingoroute/requests/header_rules.hpp"
#include "flamingoroute/serving/local_answer.hpp"

#include <Poco/String.h>

#include <charconv>
#include <cmath>
#include <sstream>
#include <string>
#include <vector>

namespace flamingoroute {

namespace {

constexpr int minServerErrorStatus = 500;
constexpr int misdirectedStatus = 421;
constexpr int unavailableStatus = 503;
/// An upstream that asks for a longer pause is tried again after this time.
constexpr double maxPauseSeconds = 3600;
constexpr std::size_t minLoadFigures = 3;
constexpr double maxReportedCount = 1'000'000;
constexpr const char* isLeavingValue = "1";

/// @return the decimal number in @p text; empty if it is none, negative or not finite
std::optional<double> parseNumber(const std::string& text)
{
    double number = 0;
    const char* last = text.data() + text.size();
    const auto [end, problem] = std::from_chars(text.data(), last, number);
    const bool isValid = problem == std::errc {} && end == last && std::isfinite(number) && number >= 0;
    return isValid ? std::optional(number) : std::nullopt;
}

/// @return the count in @p text; empty if it is none, negative or implausibly large
std::optional<int> parseCount(const std::string& text)
{
    const auto number = parseNumber(text);
    const bool isCount = number && *number <= maxReportedCount && *number == std::floor(*number);
    return isCount ? std::optional(static_cast<int>(*number)) : std::nullopt;
}

/// @return the parts of @p text between commas, without spaces around them
std::vector<std::string> splitFigures(const std::string& text)
{
    std::vector<std::string> figures;
    std::istringstream rest(text);
    for (std::string figure; std::getline(rest, figure, ',');)
        figures.push_back(Poco::trim(figure));
    return figures;
}

} // namespace

bool impliesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == misdirectedStatus;
}

upstream_answer interpretExchange(const exchange_result& result, const header_names& names)
{
    upstream_answer interpretation;
    interpretation.outcome = result.outcome;
    if (result.outcome != attempt_outcome::answered) {
        interpretation.verdict = result.isConnectFailure ? attempt_verdict::unreachable : attempt_verdict::broken;
        return interpretation;
    }
    const auto& answer = result.answer;
    if (answer.status == misdirectedStatus) {
        interpretation.outcome = attempt_outcome::refused;
        interpretation.verdict = attempt_verdict::misdirected;
        return interpretation;
    }
    interpretation.isUpstreamLeaving = headerValue(answer.headers, names.leaving) == isLeavingValue;
    if (!headerValue(answer.headers, names.notRun).empty()) {
        interpretation.outcome = attempt_outcome::refused;
        interpretation.verdict = attempt_verdict::shed;
        return interpretation;
    }
    const bool hasSignature = !headerValue(answer.headers, names.signature).empty();
    if (!hasSignature || impliesNotRun(answer.status)) {
        // Unsigned, or a status that callers take to mean 'not run' although the request may have run.
        interpretation.outcome = attempt_outcome::unknown;
        interpretation.verdict = attempt_verdict::failed;
        return interpretation;
    }
    interpretation.isDeliverable = true;
    interpretation.isServerError = answer.status >= minServerErrorStatus;
    interpretation.verdict = interpretation.isServerError ? attempt_verdict::failed : attempt_verdict::served;
    return interpretation;
}

std::optional<reported_load> parseLoad(const caller_answer& answer, const header_names& names)
{
    const auto figures = splitFigures(headerValue(answer.headers, names.load));
    if (figures.size() < minLoadFigures)
        return std::nullopt;
    const auto running = parseCount(figures[0]);
    const auto waiting = parseCount(figures[1]);
    const auto slots = parseCount(figures[2]);
    if (!running || !waiting || !slots)
        return std::nullopt;
    reported_load load { *running, *waiting, *slots, std::nullopt };
    if (figures.size() > minLoadFigures)
        load.workTimePercent = parseNumber(figures[minLoadFigures]);
    return load;
}

std::optional<double> parseRequestLimit(const caller_answer& answer, const header_names& names)
{
    return parseNumber(headerValue(answer.headers, names.requestLimit));
}

std::optional<milliseconds> parsePause(const caller_answer& answer)
{
    const auto number = parseNumber(headerValue(answer.headers, "Retry-After"));
    if (answer.status != unavailableStatus || !number)
        return std::nullopt;
    const std::chrono::duration<double> pause(std::min(*number, maxPauseSeconds));
    return std::chrono::ceil<milliseconds>(pause);
}

std::optional<milliseconds> parseColdTime(const caller_answer& answer, const header_names& names)
{
    const std::string text = headerValue(answer.headers, names.remainingColdTime);
    if (text.empty())
        return std::nullopt;
    return parseMilliseconds(text, milliseconds(0));
}

} // namespace flamingoroute
