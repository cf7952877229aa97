#ifndef FLAMINGOROUTE_REPORT_METRICS_TEXT_HPP
#define FLAMINGOROUTE_REPORT_METRICS_TEXT_HPP

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingoroute {

class latency_histogram;

/// Writes metrics in the Prometheus text exposition format.
class metrics_text {
public:
    using labels = std::vector<std::pair<std::string, std::string>>;

    /// Adds a monotonically increasing count.
    void counter(const std::string& name, const std::string& help, const labels& with, std::uint64_t value);

    /// Adds a value that can increase and decrease.
    void gauge(const std::string& name, const std::string& help, const labels& with, double value);

    /// Adds a histogram in seconds; empty bins are omitted.
    void histogram(
        const std::string& name, const std::string& help, const labels& with, const latency_histogram& values);

    const std::string& text() const { return m_text; }

private:
    void describe(const std::string& name, const std::string& help, const std::string& type);
    void sample(const std::string& name, const labels& with, const std::string& value);

    std::set<std::string> m_described;
    std::string m_text;
};

} // namespace flamingoroute

#endif
