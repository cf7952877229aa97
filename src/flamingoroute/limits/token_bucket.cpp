#include "flamingoroute/limits/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

/// Absorbs the rounding of sums of floating-point numbers; far less than a token.
constexpr double roundingSlack = 1e-9;
constexpr milliseconds oneDay { 86400000 };

} // namespace

void token_bucket::advance(monotonic_time now, double reserved)
{
    if (now > m_refilledUntil) {
        const std::chrono::duration<double> elapsed = now - m_refilledUntil;
        m_level += m_share.perSecond * elapsed.count();
        m_refilledUntil = now;
    }
    m_level = std::clamp(m_level, 0.0, std::max(0.0, m_share.depth - reserved));
}

void token_bucket::setShare(monotonic_time now, const share& target, double reserved)
{
    advance(now, reserved);
    m_share = target;
    advance(now, reserved);
}

void token_bucket::restart(monotonic_time start)
{
    m_level = 0;
    m_refilledUntil = start;
}

bool token_bucket::tryTake(int count)
{
    if (count > available())
        return false;
    m_level = std::max(0.0, m_level - count);
    return true;
}

void token_bucket::putBack(int count) { m_level += count; }

int token_bucket::available() const { return static_cast<int>(std::floor(m_level + roundingSlack)); }

milliseconds token_bucket::untilNextToken() const
{
    if (m_level >= 1)
        return milliseconds { 0 };
    if (m_share.perSecond <= 0 || m_share.depth < 1)
        return oneDay;
    const std::chrono::duration<double> wait((1 - m_level) / m_share.perSecond);
    return std::min(oneDay, std::chrono::ceil<milliseconds>(wait));
}

} // namespace flamingoroute
