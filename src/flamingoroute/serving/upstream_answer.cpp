#include "flamingoroute/serving/upstream_answer.hpp"

#include "flamingoroute/requests/header_rules.hpp"
#include "flamingoroute/serving/local_answer.hpp"

#include <cstdio>

namespace flamingoroute {

namespace {

constexpr int firstFailureStatus = 500;
constexpr int misdirectedStatus = 421;

/// @return whether callers rely on @p status to mean that the request has not run
bool impliesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == misdirectedStatus;
}

} // namespace

upstream_answer interpret(const exchange_result& result, const header_names& names)
{
    upstream_answer meaning;
    meaning.outcome = result.outcome;
    if (result.outcome != attempt_outcome::answered) {
        meaning.verdict = result.isConnectFailure ? attempt_verdict::unreachable : attempt_verdict::broken;
        return meaning;
    }
    const auto& answer = result.answer;
    if (answer.status == misdirectedStatus) {
        meaning.outcome = attempt_outcome::refused;
        meaning.verdict = attempt_verdict::misdirected;
        return meaning;
    }
    if (!headerValue(answer.headers, names.notRun).empty()) {
        meaning.outcome = attempt_outcome::refused;
        meaning.verdict = attempt_verdict::shed;
        return meaning;
    }
    const bool isSigned = !headerValue(answer.headers, names.signature).empty();
    if (!isSigned || impliesNotRun(answer.status)) {
        // Either not from an upstream that ran the request, or a status that would state that no upstream ran it.
        meaning.outcome = attempt_outcome::unknown;
        meaning.verdict = attempt_verdict::failed;
        return meaning;
    }
    meaning.isDeliverable = true;
    meaning.isFailure = answer.status >= firstFailureStatus;
    meaning.verdict = meaning.isFailure ? attempt_verdict::failed : attempt_verdict::served;
    return meaning;
}

std::optional<reported_load> parseLoad(const caller_answer& answer, const header_names& names)
{
    const std::string text = headerValue(answer.headers, names.load);
    reported_load load;
    if (text.empty() || std::sscanf(text.c_str(), "%d,%d,%d", &load.running, &load.waiting, &load.slots) != 3)
        return std::nullopt;
    return load;
}

std::optional<milliseconds> parseColdTime(const caller_answer& answer, const header_names& names)
{
    const std::string text = headerValue(answer.headers, names.remainingColdTime);
    if (text.empty())
        return std::nullopt;
    return parseMilliseconds(text, milliseconds(0));
}

} // namespace flamingoroute
