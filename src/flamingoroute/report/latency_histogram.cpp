#include "flamingoroute/report/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

constexpr double minMicroseconds = 100;
constexpr double maxMicroseconds = 100e6;
constexpr unsigned binCount = 145; // neighbouring bounds differ by a tenth
constexpr std::size_t flatHeaderSize = 2; // count and sum

} // namespace

latency_histogram::latency_histogram()
    : m_counts(std::make_tuple(axis(binCount, minMicroseconds, maxMicroseconds)))
{
}

void latency_histogram::add(microseconds latency)
{
    const auto value = std::max<std::int64_t>(latency.count(), 0);
    m_counts(static_cast<double>(value));
    ++m_count;
    m_sumMicroseconds += value;
}

void latency_histogram::add(const latency_histogram& other)
{
    m_counts += other.m_counts;
    m_count += other.m_count;
    m_sumMicroseconds += other.m_sumMicroseconds;
}

void latency_histogram::clear()
{
    m_counts.reset();
    m_count = 0;
    m_sumMicroseconds = 0;
}

microseconds latency_histogram::quantile(double fraction) const
{
    if (m_count == 0)
        return microseconds { 0 };
    const auto targetCount = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_count)));
    std::uint64_t cumulativeCount = 0;
    const auto all = bins();
    for (std::size_t index = 0; index < all.size(); ++index) {
        cumulativeCount += all[index];
        if (cumulativeCount >= std::max<std::uint64_t>(targetCount, 1))
            return upperBound(index);
    }
    return upperBound(all.size() - 1);
}

std::uint64_t latency_histogram::countUpTo(microseconds bound) const
{
    std::uint64_t total = 0;
    const auto all = bins();
    for (std::size_t index = 0; index + 1 < all.size() && upperBound(index) <= bound; ++index)
        total += all[index];
    return total;
}

std::vector<std::uint64_t> latency_histogram::bins() const
{
    std::vector<std::uint64_t> result;
    result.reserve(binCount + 2);
    for (int index = -1; index <= static_cast<int>(binCount); ++index)
        result.push_back(m_counts.at(index));
    return result;
}

microseconds latency_histogram::upperBound(std::size_t index) const
{
    const auto bounded = std::min<std::size_t>(index, binCount);
    const double bound = m_counts.axis(0).value(static_cast<double>(bounded));
    return microseconds(static_cast<std::int64_t>(std::llround(bound)));
}

bool latency_histogram::operator==(const latency_histogram& other) const
{
    return m_counts == other.m_counts && m_sumMicroseconds == other.m_sumMicroseconds;
}

bool latency_histogram::assign(const std::vector<std::uint64_t>& flat)
{
    if (flat.size() < flatHeaderSize || flat.size() % 2 != 0)
        return false;
    clear();
    std::uint64_t total = 0;
    for (std::size_t position = flatHeaderSize; position < flat.size(); position += 2) {
        if (flat[position] >= binCount + 2)
            return false;
        m_counts.at(static_cast<int>(flat[position]) - 1) += flat[position + 1];
        total += flat[position + 1];
    }
    m_count = flat[0];
    m_sumMicroseconds = static_cast<std::int64_t>(flat[1]);
    return total == m_count;
}

} // namespace flamingoroute
