#ifndef FLAMINGOROUTE_MODEL_STORE_REVISION_HPP
#define FLAMINGOROUTE_MODEL_STORE_REVISION_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace flamingoroute {

/// A revision of the platform's store. A store that is restored from a copy begins a new era, in which it gives out
/// numbers again that it gave out before the restoration: two revisions are the same only in the same era. A revision
/// of a later era is the later one, whatever the numbers.
struct store_revision {
    std::uint64_t era = 0; ///< number of the store's restorations, as it counts them
    std::uint64_t number = 0; ///< increases with each change within an era; zero: none

    constexpr store_revision() = default;
    /// @param revisionNumber of a store that was never restored, unless @p revisionEra is given
    constexpr store_revision(std::uint64_t revisionNumber, std::uint64_t revisionEra = 0)
        : era(revisionEra)
        , number(revisionNumber)
    {
    }

    constexpr auto operator<=>(const store_revision&) const = default;
};

/// @return a number that orders revisions as they are ordered, for what stores a revision as one number. Exact in JSON
///         numbers for up to 8191 restorations
constexpr std::uint64_t packRevision(const store_revision& toPack)
{
    constexpr unsigned numberBits = 40;
    return (toPack.era << numberBits) | (toPack.number & ((1ULL << numberBits) - 1));
}

/// @return the revision that packRevision() returned @p packed for
constexpr store_revision unpackRevision(std::uint64_t packed)
{
    constexpr unsigned numberBits = 40;
    return { packed & ((1ULL << numberBits) - 1), packed >> numberBits };
}

/// @return the revision in logs, as "era.number"
inline std::string toString(const store_revision& shown)
{
    return std::to_string(shown.era) + "." + std::to_string(shown.number);
}

} // namespace flamingoroute

#endif
