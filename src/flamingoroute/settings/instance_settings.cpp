#include "flamingoroute/settings/instance_settings.hpp"

#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/settings/json_reader.hpp"

#include <set>

namespace flamingoroute {

namespace {

constexpr std::int64_t maxMilliseconds = 3600 * 1000;
constexpr std::int64_t maxBytes = 1024LL * 1024 * 1024;

milliseconds readMilliseconds(json_reader& reader, const std::string& field, milliseconds fallback)
{
    return milliseconds(reader.optionalInt(field, fallback.count(), 1, maxMilliseconds));
}

member readMember(json_reader& reader)
{
    member result;
    result.instance = instance_id(reader.requiredString("instance"));
    result.failureDomain = failure_domain_id(reader.requiredString("failure_domain"));
    result.region = region_id(reader.requiredString("region"));
    result.callerAddress = reader.requiredEndpoint("caller_address");
    result.entryAddress = reader.requiredEndpoint("entry_address");
    result.controlAddress = reader.requiredEndpoint("control_address");
    return result;
}

entry_options readEntryOptions(json_reader& reader)
{
    entry_options result;
    result.callerThreads = static_cast<int>(reader.optionalInt("caller_threads", result.callerThreads, 1, 10000));
    result.maxBodyBytes = reader.optionalInt("max_body_bytes", result.maxBodyBytes, 0, maxBytes);
    result.maxAnswerBytes = reader.optionalInt("max_answer_bytes", result.maxAnswerBytes, 0, maxBytes);
    result.callerTimeout = readMilliseconds(reader, "caller_timeout_ms", result.callerTimeout);
    result.keepAliveTimeout = readMilliseconds(reader, "keep_alive_timeout_ms", result.keepAliveTimeout);
    result.lookupTtl = readMilliseconds(reader, "lookup_ttl_ms", result.lookupTtl);
    result.stopTimeout = readMilliseconds(reader, "stop_timeout_ms", result.stopTimeout);
    return result;
}

control_options readControlOptions(json_reader& reader)
{
    control_options result;
    result.adminAddress = reader.requiredEndpoint("admin_address");
    result.operatorTokenFile = reader.requiredString("operator_token_file");
    return result;
}

void checkPeers(const instance_settings& settings, const std::string& path, problem_list& problems)
{
    std::set<instance_id> seen { settings.self.instance };
    for (std::size_t i = 0; i < settings.peers.size(); ++i) {
        if (!seen.insert(settings.peers[i].instance).second) {
            const std::string field = path + ".peers[" + std::to_string(i) + "].instance";
            problems.push_back(problem { field, "is already used by another instance" });
        }
    }
}

} // namespace

tl::expected<instance_settings, problem_list> readInstanceSettings(const std::string& path)
{
    problem_list problems;
    const auto text = readFile(path);
    if (!text)
        return tl::unexpected(problem_list { { path, text.error().detail } });
    const auto object = parseJsonObject(*text, path);
    if (!object)
        return tl::unexpected(problem_list { { path, object.error().detail } });

    instance_settings result;
    json_reader reader(*object, path, problems);
    result.self = readMember(reader);
    result.metricsAddress = reader.requiredEndpoint("metrics_address");
    result.platformAddress = reader.requiredEndpoint("platform_address");
    result.keyPepperFile = reader.requiredString("key_pepper_file");
    const std::vector<std::string> levels { "debug", "info", "warn", "error" };
    result.logLevel = levels[reader.choice("log_level", levels, 1)];
    reader.optionalObjects("peers", [&](json_reader& item) { result.peers.push_back(readMember(item)); });
    reader.optionalObject("entry", [&](json_reader& item) { result.entry = readEntryOptions(item); });
    reader.requiredObject("control", [&](json_reader& item) { result.control = readControlOptions(item); });
    reader.finish();
    checkPeers(result, path, problems);
    if (!problems.empty())
        return tl::unexpected(problems);
    return result;
}

} // namespace flamingoroute
