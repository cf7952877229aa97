#ifndef FLAMINGOROUTE_DUTIES_USAGE_REPORTER_HPP
#define FLAMINGOROUTE_DUTIES_USAGE_REPORTER_HPP

#include "flamingoroute/duties/usage_counts.hpp"
#include "flamingoroute/duties/usage_ledger.hpp"
#include "flamingoroute/duties/usage_schedule.hpp"
#include "flamingoroute/duties/usage_tally.hpp"
#include "flamingoroute/duties/window_report.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/object_access.hpp"

#include <functional>
#include <optional>
#include <set>

namespace flamingoroute {

/// Reports the usage of closed windows while this instance holds the duty. Counts are fixed by a conditional write to
/// the ledger before they are first sent; from then on only what the ledger contains is sent, by any holder. So a
/// former holder whose write comes late either fixes the counts for all or fails.
class usage_reporter {
public:
    struct hooks {
        object_access ledger;
        /// @return the fencing token while this instance may act; else zero
        std::function<object_version()> token;
        /// Sends a report; invokes the callback exactly once.
        std::function<void(const window_report&, std::function<void(tl::expected<void, error>)>)> send;
        /// @return the counts of a window as known now
        std::function<usage_counts(window_index)> total;
        /// @return the number of instances in the fleet
        std::function<std::size_t()> fleetSize;
        /// @return the oldest window with counts
        std::function<std::optional<window_index>()> oldestWindow;
        /// @return the window that is open at a time
        std::function<window_index(monotonic_time)> windowAt;
        /// @return time since the end of a window
        std::function<microseconds(window_index, monotonic_time)> sinceEnd;
    };

    /// @param sendGap minimum time between two reports
    usage_reporter(const usage_schedule& schedule, microseconds sendGap, hooks callbacks);

    /// Takes the next step if one is due. To be called several times a second.
    void poll(monotonic_time now);

    /// @return the fencing token of this instance's last term; zero before the first
    object_version lastToken() const { return m_token; }

    const usage_tally& tally() const { return m_tally; }

private:
    void startTerm(object_version token);
    void readLedger(monotonic_time now);
    void onLedger(const tl::expected<stored_object, error>& answer, monotonic_time now);
    void adopt(const usage_ledger& ledger, object_version version);
    usage_ledger emptyLedger(monotonic_time now) const;
    usage_ledger ledgerAfterUnreadable(monotonic_time now) const;

    void recordNext(monotonic_time now);
    void skipLateWindows(monotonic_time now);
    void writeLedger(const usage_ledger& next);
    void onWritten(const usage_ledger& next, const tl::expected<object_version, error>& answer);

    void sendNext(monotonic_time now);
    void dropLateReports(monotonic_time now);
    void onSent(const window_report& report, const tl::expected<void, error>& answer);

    usage_schedule m_schedule;
    microseconds m_sendGap;
    hooks m_hooks;
    usage_tally m_tally;
    object_version m_token = 0; ///< of the term that the fields below belong to
    bool m_isRead = false; ///< the ledger is known
    bool m_isCalling = false; ///< a call to the store is open
    bool m_isSending = false;
    monotonic_time m_nextCall;
    monotonic_time m_nextSend;
    usage_ledger m_ledger; ///< as in the store
    object_version m_version = 0; ///< of the ledger; zero: there is no object
    std::set<window_index> m_settled; ///< open windows that were confirmed or missed since
};

} // namespace flamingoroute

#endif
