#include "load_result.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <sstream>

namespace flamingoroute::bench {

microseconds load_result::percentile(const std::vector<microseconds>& sorted, double share)
{
    if (sorted.empty())
        return microseconds { 0 };
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

std::string load_result::toJson() const
{
    Poco::JSON::Object::Ptr statuses(new Poco::JSON::Object);
    for (const auto& [status, count] : countByStatus)
        statuses->set(std::to_string(status), count);
    Poco::JSON::Object::Ptr json(new Poco::JSON::Object);
    json->set("status", statuses);
    json->set("seconds", elapsedSeconds);
    json->set("answers", latencies.size());
    json->set("good_per_second", static_cast<double>(goodLatencies.size()) / elapsedSeconds);
    json->set("p50_us", percentile(goodLatencies, 0.5).count());
    json->set("p99_us", percentile(goodLatencies, 0.99).count());
    json->set("max_us", percentile(goodLatencies, 1).count());
    return toJsonText(json) + "\n";
}

std::string load_result::toText() const
{
    std::ostringstream text;
    text << "seconds " << elapsedSeconds << ", good answers per second "
         << static_cast<double>(goodLatencies.size()) / elapsedSeconds << "\n";
    text << "good answers: p50 " << percentile(goodLatencies, 0.5).count() << " us, p99 "
         << percentile(goodLatencies, 0.99).count() << " us, max " << percentile(goodLatencies, 1).count() << " us\n";
    for (const auto& [status, count] : countByStatus)
        text << "status " << status << ": " << count << "\n";
    return text.str();
}

} // namespace flamingoroute::bench
