#ifndef FLAMINGOROUTE_PROXY_INTERNAL_REQUEST_READER_HPP
#define FLAMINGOROUTE_PROXY_INTERNAL_REQUEST_READER_HPP

#include "flamingoroute/model/caller_limits.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/proxy/body_lease.hpp"
#include "flamingoroute/proxy/body_policy.hpp"
#include "flamingoroute/proxy/framing_meter.hpp"
#include "flamingoroute/proxy/http_request.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace flamingoroute {

/// Reads one request of a caller and counts its memory.
class request_reader {
public:
    explicit request_reader(const caller_limits& limits);

    /// Counts what has arrived, and checks the head once it is complete.
    /// @param unread bytes that the parser has left
    /// @param evict drops this reader
    /// @return the answer that refuses the request; empty if reading goes on
    std::optional<caller_answer> refusal(
        const body_policy& policy, std::size_t unread, const std::function<void()>& evict);

    /// @return the complete request
    http_request release();

    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    framing_meter framing;
    monotonic_time startedAt;
    bool hasSentContinue = false;

private:
    bool isHeadDue() const;
    std::size_t occupiedBytes(std::size_t unread);
    http_request head() const;

    std::size_t m_maxBodyBytes;
    std::unique_ptr<body_lease> m_lease;
    bool m_isHeadChecked = false;
};

} // namespace flamingoroute

#endif
