#ifndef FLAMINGOROUTE_STORE_WATCHED_STORE_HPP
#define FLAMINGOROUTE_STORE_WATCHED_STORE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/fleet_object.hpp"
#include "flamingoroute/store/object_event.hpp"
#include "flamingoroute/store/object_page.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace flamingoroute {

/// The platform's object API for an event loop: each call returns immediately and invokes its callback exactly once.
///
/// Errors: `conflict` if a condition did not hold, `not_found`, `unavailable` if the call definitely had no
/// effect, `timeout` if a read got no answer in time, `outcome_unknown` if a write may take effect, `expired` if a
/// watch requested history that the store no longer has.
class watched_store {
public:
    using page_callback = std::function<void(tl::expected<object_page, error>)>;
    using events_callback = std::function<void(tl::expected<object_events, error>)>;
    using object_callback = std::function<void(tl::expected<fleet_object, error>)>;
    using write_callback = std::function<void(tl::expected<store_revision, error>)>;

    virtual ~watched_store() = default;

    /// Lists objects of @p kind, sorted by name, starting after the name @p after.
    virtual void list(const std::string& kind, const std::string& after, page_callback done) = 0;

    /// @return the latest era that any answer of the store has shown; it is part of the revisions in the answers
    virtual std::uint64_t era() const = 0;

    /// Waits for changes after revision @p after. The answer may be one of a later era, and then lacks changes.
    /// @param maxWait how long the store waits; the answer is empty if there was no change by then
    virtual void watch(const std::string& kind, const store_revision& after, milliseconds maxWait, events_callback done)
        = 0;

    /// Creates or replaces an object's specification unconditionally.
    /// @param specification JSON
    virtual void put(
        const std::string& kind, const std::string& name, const std::string& specification, write_callback done)
        = 0;

    /// Replaces an object's status if it still has @p revision; `conflict` if that belongs to an earlier era.
    /// @param status JSON
    virtual void putStatus(const std::string& kind, const std::string& name, const std::string& status,
        const store_revision& revision, write_callback done)
        = 0;

    /// Reads one object.
    /// @param mayBeStale whether an answer that is seconds old will do; it is cheaper
    virtual void read(const std::string& kind, const std::string& name, bool mayBeStale, object_callback done) = 0;

    /// Creates an object; `conflict` if it exists.
    /// @param specification JSON
    virtual void create(
        const std::string& kind, const std::string& name, const std::string& specification, write_callback done)
        = 0;

    /// Replaces an object's specification if it still has @p revision; `conflict` if that belongs to an earlier era.
    /// @param specification JSON
    virtual void replace(const std::string& kind, const std::string& name, const std::string& specification,
        const store_revision& revision, write_callback done)
        = 0;

    /// Deletes an object.
    virtual void remove(const std::string& kind, const std::string& name, write_callback done) = 0;
};

} // namespace flamingoroute

#endif
