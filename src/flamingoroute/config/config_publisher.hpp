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

/// Publishes checked sets. Chunks are created first; the conditional update of the head is the only commit point.
/// Calls block on the platform; one thread at a time.
class config_publisher {
public:
    /// @param store the platform
    /// @param writer names this publisher, unique among all that may publish
    config_publisher(object_store& store, std::string writer);

    using set_merger = std::function<configuration(configuration wanted, const configuration& base)>;

    /// Sets what is done to each set before it is checked, for example to keep what the system itself wrote.
    /// @param merge gets the wanted set and the one that it replaces
    void setMerger(set_merger merge) { m_merge = std::move(merge); }

    /// @return what is published now; an empty set with revision 0 if nothing was ever published
    tl::expected<published_config, error> read();

    /// Replaces the whole set.
    /// @param expected the revision that must be in force; nothing: whichever is
    /// @param floor the new revision is higher than this, too: the highest that any instance holds, so that a restored
    ///        platform does not give out a revision twice
    /// @return the new revision
    tl::expected<revision, publish_failure> publish(
        const configuration& objects, std::optional<revision> expected, revision floor = 0);

    /// Makes edits to the set in force; a racing publication by others is tried again on top of theirs, unless
    /// @p expected is given.
    tl::expected<revision, publish_failure> publishEdits(
        const std::vector<configuration_edit>& edits, std::optional<revision> expected, revision floor = 0);

private:
    using set_maker = std::function<tl::expected<configuration, problem_list>(const configuration& base)>;

    tl::expected<revision, publish_failure> publishMade(
        const set_maker& make, std::optional<revision> expected, revision floor);
    tl::expected<revision, publish_failure> commit(
        const published_config& base, const configuration& objects, revision floor);
    tl::expected<void, error> writeChunks(const config_chunks& cut, const config_head& base);
    config_head makeHead(const config_head& base, const config_chunks& cut, revision number);
    tl::expected<revision, publish_failure> commitHead(const published_config& base, const config_head& head);
    tl::expected<std::optional<config_head>, error> readHead();

    object_store& m_store;
    std::string m_writer;
    std::uint64_t m_sequence = 0;
    set_merger m_merge;
};

} // namespace flamingoroute

#endif
