#include "flamingoroute/runtime/duty_caller.hpp"

#include "flamingoroute/proxy/client_connection.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr const char* step = "duty.call";
constexpr milliseconds connectTimeout { 1000 };
constexpr milliseconds callTimeout { 2000 };
/// Covers a lost packet between two regions, so that a request seldom has to be given up with its outcome unknown.
constexpr milliseconds minTimeLeft { 1000 };

tl::expected<void, error> resultOf(const exchange_result& result, const endpoint& peer)
{
    if (result.outcome != attempt_outcome::answered) {
        const bool mayHaveRun = result.outcome == attempt_outcome::unknown;
        const auto code = mayHaveRun ? error_code::outcome_unknown : error_code::unavailable;
        return tl::unexpected(error { code, step, toString(peer), result.failure.detail });
    }
    const int status = result.answer.status;
    if (status >= 200 && status < 300)
        return {};
    const bool isTemporary = status == 429 || status >= 500;
    const auto code = isTemporary ? error_code::unavailable : error_code::invalid_input;
    return tl::unexpected(error { code, step, toString(peer), "status " + std::to_string(status) });
}

} // namespace

struct duty_caller::open_call {
    std::shared_ptr<client_connection> connection;
    boost::asio::steady_timer timer;
    done_callback done;

    explicit open_call(boost::asio::io_context& loop)
        : timer(loop)
    {
    }

    void finish(const tl::expected<void, error>& result)
    {
        timer.cancel();
        connection->cancel();
        if (const auto callback = std::exchange(done, nullptr))
            callback(result);
    }
};

duty_caller::duty_caller(boost::asio::io_context& loop, const endpoint& peer)
    : m_loop(loop)
    , m_peer(peer)
{
}

void duty_caller::call(http_request request, time_left timeLeft, done_callback done)
{
    const auto left = timeLeft();
    if (left < minTimeLeft) {
        const error tooLate { error_code::unavailable, step, toString(m_peer), "the duty's term ends" };
        boost::asio::post(m_loop, [done = std::move(done), tooLate] { done(tl::unexpected(tooLate)); });
        return;
    }
    const auto open = std::make_shared<open_call>(m_loop);
    open->connection = std::make_shared<client_connection>(m_loop, m_peer, std::string());
    open->done = std::move(done);
    open->connection->limitSending([timeLeft = std::move(timeLeft)] {
        const auto now = timeLeft();
        return now < minTimeLeft ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(now);
    });
    open->timer.expires_after(std::min<microseconds>(callTimeout, left));
    open->timer.async_wait([open, peer = m_peer](const boost::system::error_code& cancelled) {
        if (cancelled || !open->done)
            return;
        const auto code = open->connection->hasSent() ? error_code::outcome_unknown : error_code::timeout;
        open->finish(tl::unexpected(error { code, step, toString(peer), "no answer within the timeout" }));
    });
    request.headers.push_back({ "Host", toString(m_peer) });
    request.headers.push_back({ "Connection", "close" });
    open->connection->exchange(request, connectTimeout,
        [open, peer = m_peer](const exchange_result& result) { open->finish(resultOf(result, peer)); });
}

} // namespace flamingoroute
