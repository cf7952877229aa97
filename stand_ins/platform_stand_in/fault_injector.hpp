#ifndef FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_FAULT_SWITCH_HPP
#define FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_FAULT_SWITCH_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <Poco/JSON/Object.h>

#include <mutex>
#include <set>
#include <string>

namespace flamingoroute::stand_in {

/// The faults that a test has asked for.
class fault_switch {
public:
    /// Takes over the fields that are given: down, slow_ms, lose_answers, lose_answers_kind (of objects; empty: any),
    /// cut.
    void apply(const Poco::JSON::Object::Ptr& wish);

    /// @param client the value of the Platform-Client header: "instance/failure domain"
    /// @return whether the connection shall be closed without an effect
    bool isCutOff(const std::string& client) const;

    /// @return how long each call is held up
    milliseconds delay() const;

    /// @param kind of the object that was written
    /// @return whether the answer of this write shall be lost; counts down
    bool takeLostAnswer(const std::string& kind);

private:
    mutable std::mutex m_mutex;
    bool m_isDown = false;
    milliseconds m_delay { 0 };
    int m_lostAnswers = 0;
    std::string m_lostAnswersKind;
    std::set<std::string> m_cut;
};

} // namespace flamingoroute::stand_in

#endif
