#ifndef FLAMINGOROUTE_STEERING_LOOKUP_TABLE_HPP
#define FLAMINGOROUTE_STEERING_LOOKUP_TABLE_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/steering/lookup_answer.hpp"
#include "flamingoroute/steering/lookup_settings.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace flamingoroute {

struct address_key;

/// Selects the instances that a caller should use. Immutable: safe to read from many threads without a lock;
/// a change of the configuration or of the live instances creates a new table, which replaces this one by pointer.
///
/// Client blocks may be nested: the longest prefix that contains the caller's address applies. Instances of the
/// caller's region come first, the first ones in different failure domains, then those of the nearest regions.
/// Callers are spread by rendezvous hashing, so that a change of one instance moves few callers.
class lookup_table {
public:
    /// @param current the client blocks, regions and links
    /// @param live the instances to choose from, without those that are leaving or unreachable
    /// @param fallbackRegion the region of callers whose address is in no client block
    lookup_table(const configuration& current, std::vector<member> live, const region_id& fallbackRegion,
        lookup_settings settings = {});
    ~lookup_table();
    lookup_table(const lookup_table&) = delete;
    lookup_table& operator=(const lookup_table&) = delete;

    /// @param clientAddress a numeric address; any other text is treated as an address of the fallback region
    /// @return instances in order of preference; empty if none is live
    lookup_answer lookup(const std::string& clientAddress) const;

    /// @return the region whose client block contains the address, or the fallback region
    const region_id& regionOf(const std::string& clientAddress) const;

private:
    struct domain_group;
    struct region_group;

    void addRegions(const configuration& current, const region_id& fallbackRegion);
    void addMembers();
    void addBlocks(const configuration& current);
    std::uint32_t indexOf(const region_id& name) const;
    std::uint32_t regionIndexOf(const std::string& clientAddress) const;
    void addInstances(
        const region_group& group, std::uint64_t clientHash, std::size_t limit, lookup_answer& answer) const;

    lookup_settings m_settings;
    std::vector<member> m_members;
    std::vector<region_group> m_regions;
    std::uint32_t m_fallback = 0;
    std::vector<address_key> m_starts; ///< of disjoint ranges, sorted
    std::vector<std::uint32_t> m_regionOfRange;
};

using lookup_table_ptr = std::shared_ptr<const lookup_table>;

} // namespace flamingoroute

#endif
