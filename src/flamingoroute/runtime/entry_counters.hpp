#ifndef FLAMINGOROUTE_RUNTIME_ENTRY_COUNTERS_HPP
#define FLAMINGOROUTE_RUNTIME_ENTRY_COUNTERS_HPP

#include "flamingoroute/report/latency_histogram.hpp"
#include "flamingoroute/requests/request_record.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace flamingoroute {

class metrics_text;

/// Counters of an entry process since its start. Not thread-safe.
class entry_counters {
public:
    /// Counts a finished request.
    void countRequest(const request_record& record);

    /// Writes all counters to @p text.
    void addTo(metrics_text& text) const;

private:
    std::map<std::string, std::uint64_t> m_requestsByService;
    std::map<std::string, std::uint64_t> m_refusalsByReason;
    std::map<std::string, std::uint64_t> m_requestsByExecution;
    std::map<std::string, latency_histogram> m_latencyByService;
    std::uint64_t m_retries = 0;
};

} // namespace flamingoroute

#endif
