#ifndef FLAMINGOROUTE_CONFIG_CONFIG_PUBLISHER_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_PUBLISHER_HPP

#include "flamingoroute/config/configuration_edit.hpp"
#include "flamingoroute/config/publish_failure.hpp"
#include "flamingoroute/config/published_config.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute {

struct config_chunks;

/// Checks and publishes configurations. Chunks are created first; the conditional update of the head is the only
/// commit point. Calls block on the platform; not thread-safe: one thread at a time.
class config_publisher {
public:
    /// @param store the platform
    /// @param writer name of this publisher, unique among all publishers
    config_publisher(object_store& store, std::string writer);

    using configuration_merger = std::function<configuration(configuration requested, const configuration& base)>;

    /// Sets a hook that is applied to each configuration before it is checked, for example to keep values that the
    /// system itself wrote.
    /// @param merge called with the requested configuration and the one that it replaces
    void setMerger(configuration_merger merge) { m_merge = std::move(merge); }

    /// @return the published configuration; empty with revision 0 if nothing was ever published
    tl::expected<published_config, error> read();

    /// Replaces the whole configuration.
    /// @param expected the revision that must be active; nullopt: any
    /// @param floor the new revision is also higher than this; pass the highest revision that any instance holds, so
    ///        that a platform restored from a backup does not assign a revision twice
    /// @return the new revision
    tl::expected<revision, publish_failure> publish(
        const configuration& objects, std::optional<revision> expected, revision floor = 0);

    /// Applies edits to the published configuration. On a conflict with another publisher, the edits are applied again
    /// to the new configuration, unless @p expected is given.
    tl::expected<revision, publish_failure> publishEdits(
        const std::vector<configuration_edit>& edits, std::optional<revision> expected, revision floor = 0);

private:
    using configuration_builder = std::function<tl::expected<configuration, problem_list>(const configuration& base)>;

    tl::expected<revision, publish_failure> publishWithRebase(
        const configuration_builder& build, std::optional<revision> expected, revision floor);
    tl::expected<revision, publish_failure> commit(
        const published_config& base, const configuration& objects, revision floor);
    tl::expected<void, error> writeChunks(const config_chunks& chunks, const config_head& base);
    config_head makeHead(const config_head& base, const config_chunks& chunks, revision number);
    tl::expected<revision, publish_failure> commitHead(const published_config& base, const config_head& head);
    tl::expected<std::optional<config_head>, error> readHead();

    object_store& m_store;
    std::string m_writer;
    std::uint64_t m_sequence = 0;
    configuration_merger m_merge;
};

} // namespace flamingoroute

#endif
