#include "flamingoroute/limits/allocation_plan.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

/// Floors differing by less than this factor stay as they are, so that tables are rarely written.
constexpr double resplitThreshold = 1.3;
/// The rate of the pool alone is raised only by more than this factor.
constexpr double poolRaiseThreshold = 1.01;
/// Fraction of the floors that is split evenly; the rest follows demand.
constexpr double evenFraction = 0.5;
/// Absorbs the rounding of sums of rates; far less than a token a second.
constexpr double roundingSlack = 1e-9;

const holder_facts* factsOf(const allocation_input& input, const instance_id& instance)
{
    for (const auto& facts : input.holders) {
        if (facts.instance == instance)
            return &facts;
    }
    return nullptr;
}

share maximum(const share& left, const share& right)
{
    return { std::max(left.perSecond, right.perSecond), std::max(left.depth, right.depth) };
}

share minimum(const share& left, const share& right)
{
    return { std::min(left.perSecond, right.perSecond), std::min(left.depth, right.depth) };
}

bool isAtMost(const share& left, const share& right)
{
    return left.perSecond <= right.perSecond + roundingSlack && left.depth <= right.depth;
}

void setTarget(allocation_row& row, const share& target, std::uint64_t version)
{
    if (row.target == target)
        return;
    row.target = target;
    row.reserved = maximum(row.reserved, target);
    row.changedIn = version;
}

/// Releases reservations that holders have confirmed as lowered, or whose holders are replaced or expired.
void releaseConfirmed(allocation_table& table, const allocation_input& input)
{
    for (auto& row : table.floors) {
        const auto* facts = factsOf(input, row.instance);
        if (!facts)
            continue;
        const bool isReplaced = facts->lastIncarnation > row.holderIncarnation && !facts->mayHaveLent;
        const bool isGone = isReplaced || facts->isExpired;
        if (isGone)
            row.reserved = row.target = {};
        else if (facts->lastIncarnation == row.holderIncarnation && facts->confirmedVersion >= row.changedIn)
            row.reserved = row.target;
    }
    std::erase_if(table.floors, [](const allocation_row& row) { return row.reserved == share {}; });
    if (input.confirmedPoolVersion >= table.pool.changedIn)
        table.pool.reserved = maximum(table.pool.target, input.poolInUse);
}

bool isWithinThreshold(const share& current, const share& wanted)
{
    if (current.depth != wanted.depth || current == share {} || wanted == share {})
        return current == wanted;
    const double factor = wanted.perSecond / current.perSecond;
    return factor < resplitThreshold && factor > 1 / resplitThreshold;
}

allocation_row* findRow(std::vector<allocation_row>& rows, const instance_id& instance)
{
    const auto found = std::find_if(
        rows.begin(), rows.end(), [&instance](const allocation_row& row) { return row.instance == instance; });
    return found == rows.end() ? nullptr : &*found;
}

share unreservedShare(const allocation_table& table)
{
    const share used = reservedTotal(table);
    return { table.limit.perSecond - used.perSecond, table.limit.depth - used.depth };
}

void lowerFloors(allocation_table& table, std::vector<allocation_row>& wanted)
{
    for (auto& row : table.floors) {
        const auto* goal = findRow(wanted, row.instance);
        const share target = goal ? goal->target : share {};
        if (!isAtMost(row.target, target))
            setTarget(row, minimum(row.target, target), table.version);
    }
}

void raiseFloors(allocation_table& table, const std::vector<allocation_row>& wanted)
{
    for (const auto& goal : wanted) {
        auto* row = findRow(table.floors, goal.instance);
        const share before = row ? row->reserved : share {};
        if (row && (row->holderIncarnation != goal.holderIncarnation || isAtMost(goal.target, row->target)))
            continue;
        const share room = unreservedShare(table);
        const share grown = maximum(before, goal.target);
        if (!isAtMost({ grown.perSecond - before.perSecond, grown.depth - before.depth }, room))
            continue;
        if (!row) {
            table.floors.push_back({ goal.instance, goal.holderIncarnation, {}, {}, table.version });
            row = &table.floors.back();
        }
        setTarget(*row, goal.target, table.version);
    }
    std::sort(table.floors.begin(), table.floors.end(),
        [](const allocation_row& left, const allocation_row& right) { return left.instance < right.instance; });
}

share sumOfTargets(const std::vector<allocation_row>& rows)
{
    share sum;
    for (const auto& row : rows) {
        sum.perSecond += row.target.perSecond;
        sum.depth += row.target.depth;
    }
    return sum;
}

/// Keeps targets that are close to the wanted ones, so that small changes are not written.
std::vector<allocation_row> withoutSmallChanges(const allocation_table& table, std::vector<allocation_row> wanted)
{
    const share budget = sumOfTargets(wanted);
    auto kept = wanted;
    for (auto& goal : kept) {
        for (const auto& row : table.floors) {
            if (row.instance == goal.instance && isWithinThreshold(row.target, goal.target))
                goal.target = row.target;
        }
    }
    return isAtMost(sumOfTargets(kept), budget) ? kept : wanted;
}

/// @return the part of the limit that remains for the pool after the reserved and the wanted floors
share poolGoalOf(const allocation_table& table, std::vector<allocation_row>& wanted)
{
    share goal = table.limit;
    const auto subtract = [&goal](const share& claim) {
        goal.perSecond -= claim.perSecond;
        goal.depth -= claim.depth;
    };
    for (const auto& row : table.floors) {
        const auto* wantedRow = findRow(wanted, row.instance);
        subtract(wantedRow ? maximum(row.reserved, wantedRow->target) : row.reserved);
    }
    for (const auto& wantedRow : wanted) {
        const auto isSame = [&wantedRow](const allocation_row& row) { return row.instance == wantedRow.instance; };
        if (std::none_of(table.floors.begin(), table.floors.end(), isSame))
            subtract(wantedRow.target);
    }
    return { std::max(0.0, goal.perSecond), std::max(0, goal.depth) };
}

void raisePool(allocation_table& table, const share& goal)
{
    auto& pool = table.pool;
    const share room = unreservedShare(table);
    const bool isLowering = !isAtMost(pool.reserved, pool.target);
    if (isLowering || !isAtMost(share {}, room))
        return;
    const share grown { std::min(goal.perSecond, pool.reserved.perSecond + std::max(0.0, room.perSecond)),
        std::min(goal.depth, pool.reserved.depth + room.depth) };
    const bool isWorthWriting
        = grown.depth > pool.target.depth || grown.perSecond > pool.target.perSecond * poolRaiseThreshold;
    if (isWorthWriting)
        setTarget(pool, maximum(grown, pool.target), table.version);
}

} // namespace

std::vector<allocation_row> wantedFloors(const allocation_input& input)
{
    const int depthBudget = std::min(input.limit.depth - 1, static_cast<int>(input.floorFraction * input.limit.depth));
    std::vector<holder_facts> active;
    double total = 0;
    for (const auto& facts : input.holders) {
        if ((facts.demandPerSecond > 0 || input.keepsFloorWithoutDemand) && !facts.isExpired)
            active.push_back(facts);
    }
    std::sort(active.begin(), active.end(), [](const holder_facts& left, const holder_facts& right) {
        return left.demandPerSecond != right.demandPerSecond ? left.demandPerSecond > right.demandPerSecond
                                                             : left.instance < right.instance;
    });
    if (depthBudget < static_cast<int>(active.size()))
        active.resize(static_cast<std::size_t>(std::max(0, depthBudget)));
    for (const auto& facts : active)
        total += facts.demandPerSecond;
    std::vector<allocation_row> rows;
    const auto count = static_cast<double>(active.size());
    for (const auto& facts : active) {
        const double part
            = total > 0 ? evenFraction / count + (1 - evenFraction) * facts.demandPerSecond / total : 1 / count;
        const int spareDepth = depthBudget - static_cast<int>(active.size());
        rows.push_back({ facts.instance, facts.lastIncarnation,
            { input.floorFraction * input.limit.perSecond * part, 1 + static_cast<int>(spareDepth * part) }, {}, 0 });
    }
    return rows;
}

allocation_table planNext(const allocation_table& current, const allocation_input& input)
{
    allocation_table next = current;
    next.version = current.version + 1;
    if (input.limitRevision > current.limitRevision) {
        next.limit = input.limit;
        next.limitRevision = input.limitRevision;
    }
    releaseConfirmed(next, input);
    allocation_input limited = input;
    limited.limit = next.limit;
    const bool isResplit = input.isResplitDue || next.limit != current.limit;
    auto wanted = isResplit ? withoutSmallChanges(next, wantedFloors(limited)) : next.floors;
    lowerFloors(next, wanted);
    const share poolGoal = poolGoalOf(next, wanted);
    setTarget(next.pool, minimum(next.pool.target, poolGoal), next.version);
    raiseFloors(next, wanted);
    raisePool(next, poolGoal);
    return next;
}

} // namespace flamingoroute
