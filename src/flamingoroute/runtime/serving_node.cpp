#include "flamingoroute/runtime/serving_node.hpp"

#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/report/metrics_text.hpp"
#include "flamingoroute/serving/body_policies.hpp"
#include "flamingoroute/serving/local_answer.hpp"
#include "flamingoroute/serving/request_flow.hpp"
#include "flamingoroute/serving/serving_metrics.hpp"

#include <csignal>

namespace flamingoroute {

namespace {

constexpr milliseconds tickInterval { 100 };
/// An earlier process releases its addresses some time after it was told to stop.
constexpr milliseconds startRetryInterval { 50 };
constexpr milliseconds leaveInterval { 50 };
/// How long callers cache an answer; a leaving instance continues to serve for longer than that.
constexpr milliseconds lookupTtl { 1500 };
/// Fractions of the grace period: new connections are accepted until the first, requests may finish until the second.
constexpr double acceptFraction = 0.5;
constexpr double finishFraction = 0.87;
constexpr double endFraction = 0.92;
/// Several times the usual duration of a store call from the farthest region.
constexpr milliseconds unregisterTime { 250 };
/// Minimum time before a leaving instance ends, for callers that have just received its address.
constexpr milliseconds minLeaveTime { 2000 };
/// Divisor of the descriptors available to callers; the rest is kept for the store, peers, logs and upstreams.
constexpr std::size_t callerDescriptorDivisor = 2;
constexpr std::size_t sideConnections = 256;

/// Requests for look-ups, readiness and metrics have no body of any use.
caller_limits sideLimits()
{
    constexpr std::size_t maxSideBodyBytes = 4096;
    caller_limits limits;
    limits.bodyBytes = maxSideBodyBytes;
    return limits;
}

member selfOf(const node_settings& settings)
{
    member self;
    self.instance = settings.instance;
    self.failureDomain = settings.failureDomain;
    self.region = settings.region;
    self.callerAddress = settings.callerAddress;
    self.entryAddress = settings.peerAddress;
    self.forwardAddress = settings.forwardAddress;
    self.linkMbps = settings.linkMbps;
    return self;
}

microseconds fractionOf(milliseconds time, double fraction)
{
    return microseconds(static_cast<std::int64_t>(static_cast<double>(microseconds(time).count()) * fraction));
}

} // namespace

serving_node::serving_node(boost::asio::io_context& loop, const node_settings& settings, fleet_port port,
    watched_store& store, settings_reader readSettings)
    : m_loop(loop)
    , m_readSettings(std::move(readSettings))
    , m_port(std::move(port))
    , m_store(store)
    , m_state(loop, settings, m_port.headers, selfOf(settings))
    , m_watch(m_state, store, m_port,
          { [this] { registerSelf(); }, [this](const store_batch& batch) { m_gossip.relayBatch(batch); } })
    , m_gossip(m_state,
          { [this] { onPeerUpdate(); }, [this](region_digest& digest) { describeStore(digest); },
              [this](const store_batch& batch) { m_watch.applyBatch(batch); },
              [this](const envelope& message) { m_usage.receive(message); } })
    , m_orderWriter(m_state, store, m_port, [this](const service_id& service) { m_watch.refreshVersionOrder(service); })
    , m_usage(m_state, store, m_port,
          [this](const endpoint& to, message_kind kind, const std::string& body) { m_gossip.send(to, kind, body); })
    , m_linkCheck(m_state, [this] { onLinkChange(); })
    , m_callers(
          loop, [this](auto exchange) { serve(std::move(exchange), request_origin::caller); },
          [this] { return callerLimits(); }, makeBodyPolicy(m_state))
    , m_forwards(
          loop, [this](auto exchange) { serve(std::move(exchange), request_origin::instance); },
          [this] { return callerLimits(); }, makeBodyPolicy(m_state))
    , m_readiness(
          loop, [this](auto exchange) { answerReadiness(*exchange); }, sideLimits)
    , m_lookups(
          loop, [this](auto exchange) { answerLookup(*exchange); }, sideLimits)
    , m_metrics(
          loop, [this](auto exchange) { answerMetrics(*exchange); }, sideLimits)
    , m_signals(loop, SIGTERM, SIGINT, SIGHUP)
    , m_startTimer(loop)
    , m_timer(loop)
    , m_leaveTimer(loop)
{
}

tl::expected<void, error> serving_node::start()
{
    const auto& settings = m_state.settings;
    const std::size_t callerConnections = settings.fileDescriptorLimit / callerDescriptorDivisor;
    waitForSignal();
    m_startSteps = {
        [this, &settings] { return m_readiness.listen(settings.readinessAddress, sideConnections); },
        [this] { return m_gossip.start(); },
        [this, &settings, callerConnections] {
            return m_lookups.listen(settings.lookupAddress, callerConnections / 2);
        },
        [this, &settings, callerConnections] { return m_callers.listen(settings.callerAddress, callerConnections); },
        [this, &settings, callerConnections] {
            return settings.forwardAddress.port == 0
                ? tl::expected<void, error> {}
                : m_forwards.listen(settings.forwardAddress, callerConnections / 4);
        },
        [this] {
            startServing();
            return tl::expected<void, error> {};
        },
    };
    // Last, because a node serves without it, too.
    if (settings.metricsAddress.port != 0)
        m_startSteps.push_back(
            [this, &settings] { return m_metrics.listen(settings.metricsAddress, sideConnections); });
    return continueStart();
}

tl::expected<void, error> serving_node::continueStart()
{
    for (bool isFirstTry = true; !m_startSteps.empty(); isFirstTry = false) {
        const auto done = m_startSteps.front()();
        if (!done && done.error().code == error_code::conflict) {
            if (!isFirstTry || !m_isStartWaiting)
                event_line(log_level::warn, "node.address_in_use").with(done.error());
            m_isStartWaiting = true;
            retryStart();
            return {};
        }
        if (!done)
            return done;
        m_isStartWaiting = false;
        m_startSteps.pop_front();
    }
    return {};
}

void serving_node::retryStart()
{
    m_startTimer.expires_after(startRetryInterval);
    m_startTimer.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled || m_state.isLeaving)
            return;
        if (const auto continued = continueStart(); !continued) {
            event_line(log_level::error, "node.address_unusable").with(continued.error());
            retryStart();
        }
    });
}

void serving_node::startServing()
{
    event_line(log_level::info, "node.started")
        .with("failure_domain", m_state.settings.failureDomain.value())
        .with("callers", toString(m_state.settings.callerAddress));
    m_watch.start();
    tick();
}

void serving_node::registerSelf()
{
    if (m_isRegistering || m_state.isLeaving)
        return;
    m_isRegistering = true;
    m_store.put(m_port.memberKind, m_state.settings.instance.value(), m_port.encodeMember(m_state.members.self()),
        [this](const auto& written) {
            m_isRegistering = false;
            if (!written)
                event_line(log_level::warn, "member.not_registered").with(written.error());
        });
}

void serving_node::unregister(const instance_id& instance, std::function<void()> done)
{
    m_store.remove(
        m_port.memberKind, instance.value(), [name = instance.value(), done = std::move(done)](const auto& removed) {
            // Another instance may have deleted it first; a remaining entry is deleted after a long unreachable time.
            if (!removed)
                event_line(log_level::info, "member.not_unregistered").with("instance", name).with(removed.error());
            if (done)
                done();
        });
}

void serving_node::tick()
{
    // First, so that the ticks go on after one that throws.
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            tick();
    });
    m_watch.updateWatches();
    updateReadiness();
    m_orderWriter.writeDue(monotonicNow());
    removeLostMembers();
    m_linkCheck.tick(monotonicNow());
    m_usage.tick();
}

void serving_node::onLinkChange()
{
    const bool isPartitioned = m_state.link.isPartitioned();
    m_state.members.setSelfReachesUpstreams(!isPartitioned);
    m_gossip.report(true);
    if (isPartitioned)
        m_failingSince = m_state.link.lastConnectedAt();
    m_state.upstreams.forgetFailuresSince(m_failingSince);
    if (!isPartitioned)
        return;
    const auto flows = m_state.openRequests;
    for (const auto& weak : flows) {
        if (const auto flow = weak.second.lock())
            flow->onPartition();
    }
}

caller_limits serving_node::callerLimits() const
{
    return m_state.table ? m_state.table->configuration().limits : caller_limits {};
}

void serving_node::updateReadiness()
{
    const bool isReady = m_watch.isComplete() && !m_state.isLeaving;
    if (isReady == m_state.members.isSelfReady())
        return;
    m_state.members.setSelfReady(isReady);
    event_line(log_level::info, "node.readiness").with("ready", isReady ? 1 : 0);
    m_gossip.report(true);
}

void serving_node::describeStore(region_digest& digest) const
{
    digest.isStoreConnected = m_watch.isConnected(monotonicNow());
    digest.positions = m_watch.positions();
}

void serving_node::onPeerUpdate()
{
    const auto now = monotonicNow();
    m_state.versions.judge(m_state.members.talliesOfOthers(now), now);
}

void serving_node::removeLostMembers()
{
    const auto now = monotonicNow();
    if (!m_state.members.isRelay(now))
        return;
    for (const auto& lost : m_state.members.lostMembers(now)) {
        if (m_state.members.reachableCount(now) <= 1)
            return;
        event_line(log_level::info, "member.lost").with("instance", lost.value());
        m_state.members.removeRegistered(lost);
        unregister(lost, nullptr);
    }
}

void serving_node::serve(std::shared_ptr<caller_exchange> exchange, request_origin origin)
{
    std::make_shared<request_flow>(m_state, std::move(exchange), origin)->start();
}

void serving_node::answerLookup(const caller_exchange& exchange) const
{
    const auto lookup = m_port.readLookup(exchange.request);
    if (!lookup) {
        const bool isUnknownPath = lookup.error().code == error_code::not_found;
        exchange.answer(localAnswer(isUnknownPath ? 404 : 400, lookup.error().detail), false);
        return;
    }
    const auto near = m_state.members.nearestReady(lookup->failureDomain, lookup->region, monotonicNow());
    if (near.empty()) {
        exchange.answer(localAnswer(503, "no_ready_instance"), false);
        return;
    }
    exchange.answer(m_port.encodeLookup(near, std::min(lookupTtl, m_state.settings.bounds.maxLookupTtl)), false);
}

void serving_node::answerReadiness(const caller_exchange& exchange) const
{
    if (!m_port.isReadinessCheck(exchange.request)) {
        exchange.answer(localAnswer(404, "unknown_path"), false);
        return;
    }
    const bool isReady = m_state.members.isSelfReady();
    exchange.answer(localAnswer(isReady ? 200 : 503, isReady ? "none" : "not_ready"), false);
}

void serving_node::answerMetrics(const caller_exchange& exchange) const
{
    metrics_text text;
    addMetrics(text, m_state, m_callers.refusedCount());
    m_usage.addMetrics(text);
    exchange.answer(caller_answer { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, text.text() }, false);
}

void serving_node::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code& cancelled, int signal) {
        if (cancelled)
            return;
        if (signal == SIGHUP) {
            waitForSignal();
            checkSettings();
            return;
        }
        leave();
    });
}

void serving_node::checkSettings() const
{
    const auto read = m_readSettings();
    if (!read) {
        event_line(log_level::warn, "node.settings_rejected").with(read.error());
        return;
    }
    auto current = m_state.settings;
    current.metricsAddress = read->metricsAddress;
    event_line(log_level::info, "node.reload")
        .with("changed", *read == current ? 0 : 1)
        .with("detail", "settings hold for the life of a process");
}

void serving_node::leave()
{
    if (m_state.isLeaving)
        return;
    event_line(log_level::info, "node.leaving").with("connections", m_callers.connectionCount());
    m_state.isLeaving = true;
    m_leavingSince = monotonicNow();
    m_startTimer.cancel();
    updateReadiness();
    leaveStep();
}

void serving_node::leaveStep()
{
    const auto passed = monotonicNow() - m_leavingSince;
    const auto grace = m_state.settings.bounds.gracePeriod;
    if (passed >= std::min<microseconds>(minLeaveTime, fractionOf(grace, acceptFraction))) {
        m_callers.stopAccepting();
        m_callers.drainConnections();
        m_forwards.stopAccepting();
        m_forwards.drainConnections();
    }
    if (passed >= fractionOf(grace, finishFraction))
        endRequests();
    const bool isDone = passed >= minLeaveTime && !isBusy();
    if (isDone || passed >= fractionOf(grace, endFraction)) {
        unregisterAndEnd();
        return;
    }
    m_leaveTimer.expires_after(leaveInterval);
    m_leaveTimer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            leaveStep();
    });
}

void serving_node::endRequests()
{
    // A request that its upstream does not finish in time must not delay the answers queued behind it.
    const auto flows = m_state.openRequests;
    for (const auto& weak : flows) {
        if (const auto flow = weak.second.lock())
            flow->endEarly();
    }
}

void serving_node::unregisterAndEnd()
{
    m_usage.sendLastCounts();
    // Not earlier: the other instances share rates and retries with this one while it serves.
    unregister(m_state.settings.instance, [this] { end(); });
    m_leaveTimer.expires_after(unregisterTime);
    m_leaveTimer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            end();
    });
}

void serving_node::end()
{
    event_line(log_level::info, "node.ended").with("busy", isBusy() ? 1 : 0);
    m_watch.stop();
    m_loop.stop();
}

} // namespace flamingoroute
