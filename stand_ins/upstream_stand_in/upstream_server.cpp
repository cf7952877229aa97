#include "upstream_server.hpp"

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/settings/json_reader.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <thread>
#include <unistd.h>

namespace flamingoroute::stand_ins {

namespace {

constexpr int crashExitCode = 70;
constexpr milliseconds workSlice { 5 };
constexpr milliseconds suppressedAnswerDelay { 20000 };

void answerJson(Poco::Net::HTTPServerResponse& response, const Poco::JSON::Object& body)
{
    std::ostringstream text;
    body.stringify(text);
    const std::string bytes = text.str();
    response.setContentType("application/json");
    response.sendBuffer(bytes.data(), bytes.size());
}

std::string requestIdOf(const Poco::Net::HTTPServerRequest& request)
{
    return request.get("Test-Request-Id", request.get("Idempotency-Key", ""));
}

Poco::Net::StreamSocket& socketOf(Poco::Net::HTTPServerRequest& request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

bool isCallerDisconnected(Poco::Net::HTTPServerRequest& request)
{
    auto& socket = socketOf(request);
    char byte = 0;
    try {
        if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return false;
        return socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

bool appliesTo(const upstream_faults& faults, const std::string& path)
{
    return path.compare(0, faults.onlyPathPrefix.size(), faults.onlyPathPrefix) == 0;
}

} // namespace

upstream_server::upstream_server(upstream_options options)
    : m_options(std::move(options))
{
}

void upstream_server::leave()
{
    const std::lock_guard lock(m_mutex);
    m_faults.isLeaving = true;
}

void upstream_server::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    delayNewConnection(request.clientAddress().toString());
    const std::string path = request.getURI().substr(0, request.getURI().find('?'));
    if (path == "/health")
        answerHealth(response);
    else if (path == "/stand-in/stats")
        answerStats(response);
    else if (path == "/stand-in/faults")
        setFaults(request, response);
    else
        runRequest(request, response);
}

void upstream_server::delayNewConnection(const std::string& client)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_knownClients.insert(client).second)
            return;
    }
    std::this_thread::sleep_for(milliseconds(m_options.connectMs));
}

double upstream_server::load() const
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.reportedLoad >= 0)
        return m_faults.reportedLoad;
    return static_cast<double>(m_running) / m_options.slots;
}

void upstream_server::addCommonHeaders(Poco::Net::HTTPServerResponse& response)
{
    response.set("Upstream-Load", std::to_string(load()));
    const std::lock_guard lock(m_mutex);
    if (m_faults.isLeaving)
        response.set("Upstream-Leaving", "true");
}

void upstream_server::answerHealth(Poco::Net::HTTPServerResponse& response)
{
    ++m_probes;
    std::this_thread::sleep_for(milliseconds(m_options.probeMs));
    Poco::JSON::Object body;
    body.set("load", load());
    const std::lock_guard lock(m_mutex);
    const std::string actualStatus = m_faults.isLeaving ? "leaving" : "ok";
    body.set("status", m_faults.reportedHealth.empty() ? actualStatus : m_faults.reportedHealth);
    answerJson(response, body);
}

void upstream_server::answerStats(Poco::Net::HTTPServerResponse& response)
{
    Poco::JSON::Object body;
    body.set("name", m_options.name);
    body.set("version", m_options.version);
    body.set("runs", m_runs.load());
    body.set("shed", m_shed.load());
    body.set("cancelled", m_cancelled.load());
    body.set("probes", m_probes.load());
    body.set("max_running", m_maxRunning.load());
    body.set("secrets_seen", m_secretsSeen.load());
    Poco::JSON::Object::Ptr byId(new Poco::JSON::Object);
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, count] : m_runsById)
        byId->set(id, count);
    body.set("runs_by_id", byId);
    answerJson(response, body);
}

void upstream_server::setFaults(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    std::string text;
    Poco::StreamCopier::copyToString(request.stream(), text);
    const auto object = parseJsonObject(text, "/stand-in/faults");
    problem_list problems;
    if (!object) {
        problems.push_back({ "faults", describe(object.error()) });
    } else {
        json_reader reader(*object, "faults", problems);
        upstream_faults faults;
        const int maxMs = 600000;
        const int maxCount = 1000000;
        faults.failPercent = static_cast<int>(reader.optionalInt("fail_percent", 0, 0, 100));
        faults.slowMs = static_cast<int>(reader.optionalInt("slow_ms", 0, 0, maxMs));
        faults.slowAboveConcurrency = static_cast<int>(reader.optionalInt("slow_above_concurrency", 0, 0, maxCount));
        faults.onlyPathPrefix = reader.optionalString("only_path_prefix", "");
        faults.isLeaving = reader.optionalBool("leaving", false);
        faults.reportedHealth = reader.optionalString("health_says", "");
        faults.reportedLoad = reader.optionalNumber("load_says", -1, -1, 1);
        faults.answersToTruncate = static_cast<int>(reader.optionalInt("cut_answers", 0, 0, maxCount));
        faults.answersToSuppress = static_cast<int>(reader.optionalInt("swallow_answers", 0, 0, maxCount));
        faults.secrets = reader.optionalStrings("secrets");
        reader.finish();
        const std::lock_guard lock(m_mutex);
        m_faults = faults;
    }
    if (!problems.empty())
        response.setStatus(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
    const std::string answer = describe(problems);
    response.sendBuffer(answer.data(), answer.size());
}

upstream_faults upstream_server::consumeFaults()
{
    const std::lock_guard lock(m_mutex);
    const upstream_faults faults = m_faults;
    if (m_faults.answersToTruncate > 0)
        --m_faults.answersToTruncate;
    if (m_faults.answersToSuppress > 0)
        --m_faults.answersToSuppress;
    return faults;
}

void upstream_server::shed(Poco::Net::HTTPServerResponse& response, bool isLeaving)
{
    ++m_shed;
    response.setStatus(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    response.set("Upstream-Execution", "not-run");
    addCommonHeaders(response);
    const std::string body = isLeaving ? "leaving\n" : "no free slot\n";
    response.sendBuffer(body.data(), body.size());
}

bool upstream_server::tryAcquireSlot()
{
    int running = m_running;
    while (running < m_options.slots) {
        if (m_running.compare_exchange_weak(running, running + 1))
            return true;
    }
    return false;
}

bool upstream_server::simulateWork(Poco::Net::HTTPServerRequest& request, const upstream_faults& faults, int running)
{
    auto left = milliseconds(m_options.serviceMs);
    if (m_requests < static_cast<std::uint64_t>(m_options.warmUpRequests))
        left += milliseconds(m_options.warmUpMs);
    const bool isSlow = appliesTo(faults, request.getURI()) && running > faults.slowAboveConcurrency;
    if (isSlow)
        left += milliseconds(faults.slowMs);
    while (left > milliseconds { 0 }) {
        const auto slice = std::min(left, workSlice);
        std::this_thread::sleep_for(slice);
        left -= slice;
        if (isCallerDisconnected(request)) {
            ++m_cancelled;
            return false;
        }
    }
    return true;
}

void upstream_server::countSecrets(const Poco::Net::HTTPServerRequest& request, const std::string& body)
{
    std::ostringstream all;
    request.write(all);
    const std::string text = all.str() + body;
    const std::lock_guard lock(m_mutex);
    for (const auto& secret : m_faults.secrets) {
        if (text.find(secret) != std::string::npos)
            ++m_secretsSeen;
    }
}

void upstream_server::runRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    countSecrets(request, body);
    const upstream_faults faults = consumeFaults();
    if (faults.isLeaving || !tryAcquireSlot())
        return shed(response, faults.isLeaving);
    const int running = m_running;
    m_maxRunning = std::max<int>(m_maxRunning, running);
    ++m_runs;
    const std::uint64_t number = ++m_requests;
    const std::string id = requestIdOf(request);
    {
        const std::lock_guard lock(m_mutex);
        if (!id.empty())
            ++m_runsById[id];
    }
    const std::string crash = request.get("Test-Crash", "");
    if (crash == "any" || (!crash.empty() && crash == m_options.version))
        _exit(crashExitCode);
    const bool isFinished = simulateWork(request, faults, running);
    --m_running;
    if (!isFinished)
        return;
    if (faults.answersToSuppress > 0) {
        std::this_thread::sleep_for(suppressedAnswerDelay);
        return;
    }
    const bool isFailing = appliesTo(faults, request.getURI()) && static_cast<int>(number % 100) < faults.failPercent;
    if (isFailing)
        response.setStatus(Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
    addCommonHeaders(response);
    Poco::JSON::Object answer;
    answer.set("upstream", m_options.name);
    answer.set("version", m_options.version);
    answer.set("request_id", id);
    answer.set("echo", body);
    std::ostringstream text;
    answer.stringify(text);
    const std::string bytes = text.str();
    response.setContentType("application/json");
    response.setContentLength(static_cast<std::streamsize>(bytes.size()));
    auto& stream = response.send();
    if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD)
        return;
    if (faults.answersToTruncate > 0) {
        stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size() / 2));
        stream.flush();
        socketOf(request).shutdown();
        return;
    }
    stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    stream.flush();
}

} // namespace flamingoroute::stand_ins
