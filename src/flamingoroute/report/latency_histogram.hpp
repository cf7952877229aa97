#ifndef FLAMINGOROUTE_REPORT_LATENCY_HISTOGRAM_HPP
#define FLAMINGOROUTE_REPORT_LATENCY_HISTOGRAM_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

#include <boost/histogram.hpp>
#include <msgpack.hpp>

namespace flamingoroute {

/// Counts of latencies on a logarithmic axis from 100 us to 100 s; neighbouring bounds differ by a tenth.
/// Histograms of one instance or of several can be added.
class latency_histogram {
public:
    latency_histogram();

    void add(microseconds latency);
    void add(const latency_histogram& other);
    void clear();

    /// @return the number of latencies
    std::uint64_t count() const { return m_count; }

    /// @return the sum of all latencies
    microseconds sum() const { return microseconds(m_sumMicroseconds); }

    /// @param fraction of the latencies, 0 to 1
    /// @return the upper bound of the first bin up to which at least that fraction was counted; zero if the histogram
    /// is empty
    microseconds quantile(double fraction) const;

    /// @return the number of latencies up to @p bound, to the precision of a bin
    std::uint64_t countUpTo(microseconds bound) const;

    /// @return the counts of all bins; the first is below the axis, the last above it
    std::vector<std::uint64_t> bins() const;

    /// @param index of a bin of bins()
    /// @return the upper bound of the bin; the last bin has none, so its lower bound is returned
    microseconds upperBound(std::size_t index) const;

    bool operator==(const latency_histogram& other) const;

    /// Packs the count, the sum, and the index and count of each bin that is not empty.
    template <typename Packer> void msgpack_pack(Packer& packer) const // NOLINT(readability-identifier-naming)
    {
        std::vector<std::uint64_t> flat { m_count, static_cast<std::uint64_t>(m_sumMicroseconds) };
        const auto all = bins();
        for (std::size_t index = 0; index < all.size(); ++index) {
            if (all[index] > 0) {
                flat.push_back(index);
                flat.push_back(all[index]);
            }
        }
        packer.pack(flat);
    }

    /// @throws msgpack::type_error if @p packed is not a histogram
    void msgpack_unpack(const msgpack::object& packed) // NOLINT(readability-identifier-naming)
    {
        std::vector<std::uint64_t> flat;
        packed.convert(flat);
        if (!assign(flat))
            throw msgpack::type_error();
    }

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using counts = boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<std::uint64_t>>;

    bool assign(const std::vector<std::uint64_t>& flat);

    counts m_counts;
    std::uint64_t m_count = 0;
    std::int64_t m_sumMicroseconds = 0;
};

} // namespace flamingoroute

#endif
