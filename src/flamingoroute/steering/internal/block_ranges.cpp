#include "flamingoroute/steering/internal/block_ranges.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Collects the starts of ranges; a later start at the same address replaces the earlier one.
class range_builder {
public:
    void startAt(const address_key& first, std::uint32_t value)
    {
        if (!m_starts.empty() && m_starts.back().first == first)
            m_starts.pop_back();
        if (m_starts.empty() || m_starts.back().value != value)
            m_starts.push_back({ first, value });
    }

    std::vector<range_start> take() { return std::move(m_starts); }

private:
    std::vector<range_start> m_starts;
};

} // namespace

std::vector<range_start> flattenBlocks(std::vector<address_block> blocks, std::uint32_t outside)
{
    std::stable_sort(blocks.begin(), blocks.end(), [](const address_block& left, const address_block& right) {
        if (left.range.first != right.range.first)
            return left.range.first < right.range.first;
        return left.range.last > right.range.last;
    });
    range_builder result;
    std::vector<address_block> open;
    const auto closeTop = [&] {
        const auto after = nextAddress(open.back().range.last);
        open.pop_back();
        if (after != address_key {})
            result.startAt(after, open.empty() ? outside : open.back().value);
    };
    result.startAt({}, outside);
    for (const auto& block : blocks) {
        while (!open.empty() && open.back().range.last < block.range.first)
            closeTop();
        result.startAt(block.range.first, block.value);
        open.push_back(block);
    }
    while (!open.empty())
        closeTop();
    return result.take();
}

} // namespace flamingoroute
