#ifndef FLAMINGOROUTE_STORE_OBJECT_STORE_HPP
#define FLAMINGOROUTE_STORE_OBJECT_STORE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/object_change.hpp"
#include "flamingoroute/store/platform_instance.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// The platform's object API: the only source of agreement and of durable state.
///
/// Errors: `conflict` if a condition did not hold, `not_found`, `unavailable` if the call definitely had no effect,
/// `outcome_unknown` if a write may or may not have taken effect.
class object_store {
public:
    virtual ~object_store() = default;

    /// @return the object, or `not_found`
    virtual tl::expected<stored_object, error> get(const std::string& kind, const std::string& name) = 0;

    /// @return all objects of @p kind, sorted by name
    virtual tl::expected<std::vector<stored_object>, error> list(const std::string& kind) = 0;

    /// Creates an object if none of that name exists.
    /// @return the version of the new object, or `conflict` if one exists
    virtual tl::expected<object_version, error> create(
        const std::string& kind, const std::string& name, const std::string& value)
        = 0;

    /// Replaces an object if it still has version @p expected.
    /// @return the new version, or `conflict`
    virtual tl::expected<object_version, error> update(
        const std::string& kind, const std::string& name, const std::string& value, object_version expected)
        = 0;

    /// Deletes an object if it still has version @p expected.
    virtual tl::expected<void, error> remove(const std::string& kind, const std::string& name, object_version expected)
        = 0;

    /// Waits for changes of objects of @p kind.
    /// @param after only changes with a higher sequence are returned
    /// @param maxWait how long to wait if there are no changes yet
    /// @return the changes in order; empty if there were none within @p maxWait
    virtual tl::expected<std::vector<object_change>, error> watch(
        const std::string& kind, std::uint64_t after, milliseconds maxWait)
        = 0;

    /// @return the platform's list of live and leaving instances, which lags behind
    virtual tl::expected<std::vector<platform_instance>, error> instances() = 0;
};

} // namespace flamingoroute

#endif
