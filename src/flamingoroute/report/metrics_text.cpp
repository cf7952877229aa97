#include "flamingoroute/report/metrics_text.hpp"

#include "flamingoroute/report/latency_histogram.hpp"

#include <sstream>

namespace flamingoroute {

namespace {

constexpr double microsecondsPerSecond = 1e6;

std::string escapeLabelValue(const std::string& value)
{
    std::string result;
    for (const char each : value) {
        if (each == '\n') {
            result += "\\n";
            continue;
        }
        if (each == '"' || each == '\\')
            result += '\\';
        result += each;
    }
    return result;
}

std::string formatNumber(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

std::string formatSeconds(microseconds time)
{
    return formatNumber(static_cast<double>(time.count()) / microsecondsPerSecond);
}

} // namespace

void metrics_text::counter(const std::string& name, const std::string& help, const labels& with, std::uint64_t value)
{
    describe(name, help, "counter");
    sample(name, with, std::to_string(value));
}

void metrics_text::gauge(const std::string& name, const std::string& help, const labels& with, double value)
{
    describe(name, help, "gauge");
    sample(name, with, formatNumber(value));
}

void metrics_text::histogram(
    const std::string& name, const std::string& help, const labels& with, const latency_histogram& values)
{
    describe(name, help, "histogram");
    const auto bins = values.bins();
    std::uint64_t total = 0;
    for (std::size_t index = 0; index + 1 < bins.size(); ++index) {
        total += bins[index];
        if (bins[index] == 0)
            continue;
        auto bounded = with;
        bounded.emplace_back("le", formatSeconds(values.upperBound(index)));
        sample(name + "_bucket", bounded, std::to_string(total));
    }
    auto unbounded = with;
    unbounded.emplace_back("le", "+Inf");
    sample(name + "_bucket", unbounded, std::to_string(values.count()));
    sample(name + "_sum", with, formatSeconds(values.sum()));
    sample(name + "_count", with, std::to_string(values.count()));
}

void metrics_text::describe(const std::string& name, const std::string& help, const std::string& type)
{
    if (m_described.insert(name).second)
        m_text += "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

void metrics_text::sample(const std::string& name, const labels& with, const std::string& value)
{
    m_text += name;
    for (std::size_t index = 0; index < with.size(); ++index)
        m_text += (index == 0 ? "{" : ",") + with[index].first + "=\"" + escapeLabelValue(with[index].second) + "\"";
    m_text += (with.empty() ? " " : "} ") + value + "\n";
}

} // namespace flamingoroute
