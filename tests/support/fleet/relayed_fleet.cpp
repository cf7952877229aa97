#include "support/fleet/relayed_fleet.hpp"

#include "flamingoroute/fleet/forwarded_message.hpp"
#include "flamingoroute/peers/message_body.hpp"

#include <algorithm>

namespace flamingoroute::testing {

namespace {

member memberNumber(std::size_t number)
{
    member result;
    result.instance = instance_id("entry-" + std::to_string(100 + number));
    result.region = region_id("region-" + std::to_string(number % 3));
    result.failureDomain = failure_domain_id("domain-" + std::to_string(number % 6));
    constexpr std::size_t perNetwork = 250;
    const std::string address
        = "10.0." + std::to_string(number / perNetwork) + "." + std::to_string(number % perNetwork + 1);
    result.callerAddress = { address, 80 };
    result.linkMbps = 10;
    result.entryAddress = { address, 7560 };
    return result;
}

constexpr int reportMs = 500;
constexpr int digestMs = 1000;
constexpr milliseconds minDigestGap { 300 };
constexpr std::uint8_t digestKind = 0;
constexpr std::uint8_t batchKind = 1;

upstream_load loadNumber(std::uint32_t number)
{
    constexpr std::uint32_t spread = 2'654'435'761; // hashes use all 32 bits
    return { number * spread, static_cast<std::uint16_t>(number % 24), static_cast<std::uint16_t>(number % 1000) };
}

} // namespace

relayed_fleet::relayed_fleet(std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i)
        m_where.push_back(memberNumber(i));
    for (const auto& self : m_where) {
        m_nodes.push_back(std::make_unique<fleet_members>(self));
        m_nodes.back()->setSelfReady(true);
        for (const auto& other : m_where)
            m_nodes.back()->recordRegistered(other, m_now);
    }
    for (std::size_t i = 0; i < size; ++i) {
        m_forwarders.push_back(makeForwarder(i));
        m_numbers[m_where[i].entryAddress] = i;
    }
    m_isUp.assign(size, true);
    m_digestAt.assign(size, m_now);
    m_traffic.assign(size, {});
}

void relayed_fleet::widenLink(std::size_t which)
{
    m_where[which].linkMbps = 200;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (i == which) {
            m_nodes[i] = std::make_unique<fleet_members>(m_where[which]);
            m_forwarders[i] = makeForwarder(i);
        }
        m_nodes[i]->recordRegistered(m_where[which], m_now);
    }
    m_nodes[which]->setSelfReady(true);
    for (const auto& other : m_where)
        m_nodes[which]->recordRegistered(other, m_now);
}

void relayed_fleet::setDemand(std::size_t which, float perSecond, std::uint32_t admitted)
{
    m_demand.resize(m_nodes.size());
    m_demand[which] = { { "ronda", perSecond, admitted } };
}

void relayed_fleet::setCustomers(std::size_t count)
{
    std::vector<customer_demand> demand;
    for (std::size_t i = 0; i < count; ++i)
        demand.push_back({ "customer-" + std::to_string(i), 1.5, 7 });
    m_demand.assign(m_nodes.size(), demand);
}

void relayed_fleet::setLoads(std::size_t perReport, std::size_t perDigest)
{
    m_loadsPerReport = perReport;
    m_loadsPerDigest = perDigest;
}

void relayed_fleet::sendBatches(const std::string& body)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_isUp[i] && m_nodes[i]->isRelay(m_now) && m_nodes[i]->isFirstRelay(m_now))
            m_forwarders[i]->sendToRegion(batchKind, body, m_now);
    }
}

void relayed_fleet::simulate(int ms)
{
    for (int passed = 0; passed < ms; passed += stepMs) {
        m_now += milliseconds(stepMs);
        m_elapsedMs += stepMs;
        for (std::size_t i = 0; m_elapsedMs % reportMs == 0 && i < m_nodes.size(); ++i) {
            if (m_isUp[i])
                report(i);
        }
        for (std::size_t i = 0; m_elapsedMs % digestMs == 0 && i < m_nodes.size(); ++i) {
            if (m_isUp[i] && m_nodes[i]->isRelay(m_now))
                sendDigest(i);
        }
    }
}

void relayed_fleet::reportUrgently(std::size_t which)
{
    report(which);
    for (const auto& relay : m_nodes[which]->relays(m_now)) {
        const auto number = m_numbers.at(relay.entryAddress);
        if (m_isUp[number] && m_now - m_digestAt[number] >= minDigestGap)
            sendDigest(number);
    }
}

std::vector<std::size_t> relayed_fleet::relaysIn(const std::string& region) const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_isUp[i] && m_where[i].region.value() == region && m_nodes[i]->isRelay(m_now))
            result.push_back(i);
    }
    return result;
}

void relayed_fleet::deliver(
    std::size_t from, const endpoint& to, std::size_t bytes, const std::function<void(fleet_members&)>& take)
{
    const auto which = m_numbers.at(to);
    ++m_messages;
    m_traffic[from].bytes += bytes;
    if (m_where[from].failureDomain != m_where[which].failureDomain)
        m_traffic[from].bytesToOtherDomains += bytes;
    if (m_isUp[which])
        take(*m_nodes[which]);
}

void relayed_fleet::report(std::size_t which)
{
    fleet_report own;
    own.instance = m_where[which].instance.value();
    own.failureDomain = m_where[which].failureDomain.value();
    own.region = m_where[which].region.value();
    own.callerAddress = toString(m_where[which].callerAddress);
    own.peerAddress = toString(m_where[which].entryAddress);
    own.isReady = true;
    own.hasFullWindow = true;
    if (which < m_demand.size())
        own.demand = m_demand[which];
    for (std::size_t i = 0; i < m_loadsPerReport; ++i)
        own.loads.push_back(loadNumber(++m_loadCount));
    m_nodes[which]->recordLocalReport(own, m_now);
    const auto relays = m_nodes[which]->relays(m_now);
    m_traffic[which].reportBytes += relays.size() * packMessage(own).size();
    for (const auto& relay : relays)
        deliver(which, relay.entryAddress, packMessage(own).size(),
            [&](fleet_members& node) { node.recordReport(own, m_now); });
}

void relayed_fleet::sendDigest(std::size_t which)
{
    auto& node = *m_nodes[which];
    m_digestAt[which] = m_now;
    region_digest digest;
    digest.sender = m_where[which].instance.value();
    digest.number = ++m_digestNumber;
    digest.senderAddress = toString(m_where[which].entryAddress);
    digest.hasSums = node.isFirstRelay(m_now);
    digest.sum.region = m_where[which].region.value();
    if (digest.hasSums) {
        digest.sum = node.sumOfRegion(m_now);
        for (const auto& relay : node.relaysOfOtherRegions(m_now))
            deliver(which, relay, packMessage(digest).size(),
                [&](fleet_members& other) { other.recordDigest(digest, m_now); });
    }
    digest.members = node.memberReadiness(m_now);
    digest.isStoreConnected = true;
    for (const auto& sum : node.digests().freshSums(m_now)) {
        if (digest.hasSums && sum.region != digest.sum.region)
            digest.others.push_back(sum);
    }
    node.recordDigest(digest, m_now);
    for (std::size_t i = 0; digest.hasSums && i < m_loadsPerDigest; ++i)
        digest.loads.push_back(loadNumber(++m_loadCount));
    m_forwarders[which]->sendToRegion(digestKind, packMessage(digest), m_now);
}

std::unique_ptr<message_forwarder> relayed_fleet::makeForwarder(std::size_t which)
{
    const auto deliverBody
        = [this, which](const endpoint& to, std::uint8_t kind, std::size_t bytes, const std::string& body) {
              m_traffic[which].batchBytes += kind == batchKind ? bytes : 0;
              deliver(which, to, bytes, [&](fleet_members& node) {
                  if (kind == digestKind)
                      node.recordDigest(*unpackMessage<region_digest>(body), m_now);
              });
          };
    return std::make_unique<message_forwarder>(
        *m_nodes[which],
        [deliverBody](const endpoint& to, std::uint8_t kind, const std::string& body) {
            deliverBody(to, kind, body.size(), body);
        },
        [this, which, deliverBody](const endpoint& to, const forwarded_message& message) {
            deliverBody(to, message.kind, packMessage(message).size(), message.body);
            const auto receiver = m_numbers.at(to);
            if (m_isUp[receiver])
                m_forwarders[receiver]->forward(message, m_where[which].instance, m_now);
        });
}

} // namespace flamingoroute::testing
