#ifndef FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_CALL_COUNTERS_HPP
#define FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_CALL_COUNTERS_HPP

#include <Poco/JSON/Object.h>

#include <map>
#include <mutex>
#include <string>

namespace flamingoroute::stand_in {

/// Counts the calls since the start, by kind of call.
class call_counters {
public:
    void count(const std::string& call)
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts[call];
    }

    Poco::JSON::Object::Ptr toJson() const
    {
        const std::lock_guard lock(m_mutex);
        Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
        for (const auto& [call, number] : m_counts)
            json->set(call, number);
        return json;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace flamingoroute::stand_in

#endif
