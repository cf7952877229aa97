#include "platform_stand_in/fault_switch.hpp"

#include <Poco/JSON/Array.h>

namespace flamingoroute::stand_in {

void fault_switch::apply(const Poco::JSON::Object::Ptr& wish)
{
    const std::lock_guard lock(m_mutex);
    m_isDown = wish->optValue("down", m_isDown);
    m_delay = milliseconds(wish->optValue<std::int64_t>("slow_ms", m_delay.count()));
    m_lostAnswers = wish->optValue("lose_answers", m_lostAnswers);
    m_lostAnswersKind = wish->optValue<std::string>("lose_answers_kind", m_lostAnswersKind);
    if (!wish->has("cut"))
        return;
    m_cut.clear();
    const auto names = wish->getArray("cut");
    for (std::size_t i = 0; i < names->size(); ++i)
        m_cut.insert(names->getElement<std::string>(static_cast<unsigned>(i)));
}

bool fault_switch::isCutOff(const std::string& client) const
{
    const std::lock_guard lock(m_mutex);
    const auto slash = client.find('/');
    const std::string instance = client.substr(0, slash);
    const std::string domain = slash == std::string::npos ? "" : client.substr(slash + 1);
    return m_isDown || m_cut.count(instance) > 0 || m_cut.count(domain) > 0;
}

milliseconds fault_switch::delay() const
{
    const std::lock_guard lock(m_mutex);
    return m_delay;
}

bool fault_switch::takeLostAnswer(const std::string& kind)
{
    const std::lock_guard lock(m_mutex);
    if (m_lostAnswers <= 0 || (!m_lostAnswersKind.empty() && kind != m_lostAnswersKind))
        return false;
    --m_lostAnswers;
    return true;
}

} // namespace flamingoroute::stand_in
