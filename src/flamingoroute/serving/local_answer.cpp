#include "flamingoroute/serving/local_answer.hpp"

#include <array>
#include <charconv>
#include <cstdio>

namespace flamingoroute {

caller_answer localAnswer(int status, const std::string& reason, milliseconds retryAfter)
{
    caller_answer answer { status, { { "Content-Type", "application/json" } }, R"({"error":")" + reason + "\"}\n" };
    if (retryAfter > milliseconds(0)) {
        constexpr double msPerSecond = 1000;
        std::array<char, 32> text {};
        const int size
            = std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(retryAfter.count()) / msPerSecond);
        answer.headers.push_back({ "Retry-After", std::string(text.data(), static_cast<std::size_t>(size)) });
    }
    return answer;
}

milliseconds parseMilliseconds(const std::string& text, milliseconds fallback)
{
    std::int64_t number = 0;
    const char* last = text.data() + text.size();
    const auto [end, problem] = std::from_chars(text.data(), last, number);
    return problem == std::errc {} && end == last ? milliseconds(number) : fallback;
}

} // namespace flamingoroute
