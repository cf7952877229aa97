#include "platform_stand_in/fault_injector.hpp"

#include <Poco/JSON/Array.h>

namespace flamingoroute::stand_in {

void fault_injector::apply(const Poco::JSON::Object::Ptr& changes)
{
    const std::lock_guard lock(m_mutex);
    m_isDown = changes->optValue("down", m_isDown);
    m_delay = milliseconds(changes->optValue<std::int64_t>("slow_ms", m_delay.count()));
    m_lostAnswers = changes->optValue("lose_answers", m_lostAnswers);
    m_lostAnswersKind = changes->optValue<std::string>("lose_answers_kind", m_lostAnswersKind);
    if (!changes->has("cut"))
        return;
    m_disconnected.clear();
    const auto names = changes->getArray("cut");
    for (std::size_t i = 0; i < names->size(); ++i)
        m_disconnected.insert(names->getElement<std::string>(static_cast<unsigned>(i)));
}

bool fault_injector::isDisconnected(const std::string& client) const
{
    const std::lock_guard lock(m_mutex);
    const auto slash = client.find('/');
    const std::string instance = client.substr(0, slash);
    const std::string domain = slash == std::string::npos ? "" : client.substr(slash + 1);
    return m_isDown || m_disconnected.count(instance) > 0 || m_disconnected.count(domain) > 0;
}

milliseconds fault_injector::delay() const
{
    const std::lock_guard lock(m_mutex);
    return m_delay;
}

bool fault_injector::consumeLostAnswer(const std::string& kind)
{
    const std::lock_guard lock(m_mutex);
    if (m_lostAnswers <= 0 || (!m_lostAnswersKind.empty() && kind != m_lostAnswersKind))
        return false;
    --m_lostAnswers;
    return true;
}

} // namespace flamingoroute::stand_in
