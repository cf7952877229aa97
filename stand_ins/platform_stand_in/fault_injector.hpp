#ifndef FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_FAULT_INJECTOR_HPP
#define FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_FAULT_INJECTOR_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <Poco/JSON/Object.h>

#include <mutex>
#include <set>
#include <string>

namespace flamingoroute::stand_in {

/// The faults that a test has enabled.
class fault_injector {
public:
    /// Applies the fields that are present: down, slow_ms, lose_answers, lose_answers_kind (of objects; empty: any),
    /// cut (names of disconnected instances and failure domains). Other faults stay as they are.
    void apply(const Poco::JSON::Object::Ptr& changes);

    /// @param client the value of the Platform-Client header: "instance/failure domain"
    /// @return whether to close the connection without processing the call
    bool isDisconnected(const std::string& client) const;

    /// @return the delay of each call
    milliseconds delay() const;

    /// @param kind of the object that was written
    /// @return whether to drop the answer of this write; if so, decrements the remaining count
    bool consumeLostAnswer(const std::string& kind);

private:
    mutable std::mutex m_mutex;
    bool m_isDown = false;
    milliseconds m_delay { 0 };
    int m_lostAnswers = 0;
    std::string m_lostAnswersKind;
    std::set<std::string> m_disconnected;
};

} // namespace flamingoroute::stand_in

#endif
