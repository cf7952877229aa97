#ifndef FLAMINGOROUTE_LIMITS_TOKEN_BUCKET_HPP
#define FLAMINGOROUTE_LIMITS_TOKEN_BUCKET_HPP

#include "flamingoroute/limits/share.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// Gains tokens at a rate up to a depth and hands them out whole. Starts empty; added depth is empty too.
class token_bucket {
public:
    /// Adds the tokens due since the last call.
    /// @param now the time
    /// @param reserved tokens given out that still occupy depth
    void advance(monotonic_time now, double reserved = 0);

    /// Changes rate and depth. Tokens that no longer fit are lost.
    /// @param reserved tokens given out that still occupy depth
    void setShare(monotonic_time now, const share& target, double reserved = 0);

    /// Drops all tokens and refills from @p start on.
    void restart(monotonic_time start);

    /// Takes @p count whole tokens.
    /// @return false if there are fewer
    bool tryTake(int count);

    /// Puts back tokens that were taken and never spent.
    void putBack(int count);

    /// @return whole tokens that can be taken
    int available() const;

    /// @return tokens, fractions included
    double level() const { return m_level; }

    const share& currentShare() const { return m_share; }

    /// @return time until one whole token is available; a day if never, and at most
    milliseconds untilNextToken() const;

private:
    share m_share;
    double m_level = 0;
    monotonic_time m_refilledUntil;
};

} // namespace flamingoroute

#endif
