#ifndef FLAMINGOROUTE_STEERING_INTERNAL_BYTE_BUCKET_HPP
#define FLAMINGOROUTE_STEERING_INTERNAL_BYTE_BUCKET_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <algorithm>
#include <cstdint>

namespace flamingoroute {

/// A token bucket of bytes that starts empty.
class byte_bucket {
public:
    byte_bucket() = default;

    /// @param bytesPerSecond the rate at which it fills
    /// @param depth the capacity, as the time that it takes to fill
    byte_bucket(double bytesPerSecond, milliseconds depth)
        : m_perSecond(bytesPerSecond)
        , m_depth(bytesPerSecond * static_cast<double>(depth.count()) / 1000)
    {
    }

    /// @return the bytes taken, at most @p byteCount
    std::uint64_t take(std::uint64_t byteCount, monotonic_time now)
    {
        if (m_filledAt != monotonic_time {}) {
            const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
            m_level = std::min(m_depth, m_level + elapsed * m_perSecond);
        }
        m_filledAt = now;
        const auto taken = std::min(byteCount, static_cast<std::uint64_t>(m_level));
        m_level -= static_cast<double>(taken);
        return taken;
    }

    double perSecond() const { return m_perSecond; }

private:
    double m_perSecond = 0;
    double m_depth = 0;
    double m_level = 0;
    monotonic_time m_filledAt;
};

} // namespace flamingoroute

#endif
