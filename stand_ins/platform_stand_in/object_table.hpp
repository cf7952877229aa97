#ifndef FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_OBJECT_TABLE_HPP
#define FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_OBJECT_TABLE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/object_change.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <Poco/JSON/Object.h>
#include <tl/expected.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute::stand_in {

/// The stand-in's objects. One counter over all writes provides both object versions and watch positions.
class object_table {
public:
    static constexpr std::size_t maxValueBytes = 1'000'000;

    std::optional<stored_object> get(const std::string& kind, const std::string& name) const;
    std::vector<stored_object> list(const std::string& kind) const;

    /// @param expected the version that the object must have; nullopt: the object must not exist
    /// @return the new version, `conflict`, or `invalid_input` if @p value exceeds maxValueBytes
    tl::expected<object_version, error> put(const std::string& kind, const std::string& name, const std::string& value,
        std::optional<object_version> expected);

    /// @return the watch position of the deletion, `not_found` or `conflict`
    tl::expected<object_version, error> remove(
        const std::string& kind, const std::string& name, object_version expected);

    /// @return changes of @p kind after position @p after; waits up to @p timeout for the first, and returns early
    /// without changes on restore() or wakeAll()
    std::vector<object_change> watch(const std::string& kind, std::uint64_t after, milliseconds timeout);

    /// @return all objects and the counter, for restore()
    Poco::JSON::Object::Ptr dump() const;

    /// Replaces all objects by those of an older dump, as when a platform is restored from a backup.
    /// The counter never decreases, unless the dump has "reset_counter": true, which sets it to the dump's counter.
    void restore(const Poco::JSON::Object::Ptr& backup);

    /// Wakes all waiting watches.
    void wakeAll();

private:
    using object_key = std::pair<std::string, std::string>;

    void recordChange(bool isDeleted, const stored_object& object);
    std::vector<object_change> changesAfter(const std::string& kind, std::uint64_t after) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_counter = 0;
    std::uint64_t m_wakes = 0;
    std::map<object_key, stored_object> m_objects;
    std::deque<object_change> m_changes;
};

} // namespace flamingoroute::stand_in

#endif
