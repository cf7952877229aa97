#ifndef FLAMINGOROUTE_PROXY_FRAMING_METER_HPP
#define FLAMINGOROUTE_PROXY_FRAMING_METER_HPP

#include <cstddef>

namespace flamingoroute {

/// Bounds the bytes of one message that belong neither to its header nor to its body: sizes and extensions of chunks,
/// and trailers. The parser limits header and body itself, but waits for the end of each line of framing.
class framing_meter {
public:
    /// @param maxBytes framing that a message may have, besides a multiple of its body, and bytes that may wait for the
    ///        end of their line
    explicit framing_meter(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Counts what the parser did with the bytes received so far.
    /// @param used bytes that it has used since the last call
    /// @param unread bytes that it left for the next call
    /// @param bodySize bytes of the body read so far
    /// @return whether the framing is within its bounds
    bool isWithinBounds(std::size_t used, std::size_t unread, std::size_t bodySize)
    {
        // A chunk of one byte has at least five bytes of framing.
        constexpr std::size_t maxFramingPerBodyByte = 16;
        m_used += used;
        return unread <= m_maxBytes && m_used <= 2 * m_maxBytes + (1 + maxFramingPerBodyByte) * bodySize;
    }

private:
    std::size_t m_maxBytes;
    std::size_t m_used = 0; ///< of the whole message
};

} // namespace flamingoroute

#endif
