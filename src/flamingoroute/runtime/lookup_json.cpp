#include "flamingoroute/runtime/lookup_json.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

namespace flamingoroute {

caller_answer lookupAnswerAsJson(const lookup_answer& answer)
{
    Poco::JSON::Array::Ptr instances(new Poco::JSON::Array);
    for (const auto* each : answer.instances) {
        Poco::JSON::Object::Ptr line(new Poco::JSON::Object);
        line->set("instance", each->instance.value());
        line->set("failure_domain", each->failureDomain.value());
        line->set("region", each->region.value());
        line->set("address", toString(each->callerAddress));
        instances->add(line);
    }
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("instances", instances);
    body->set("ttl_ms", answer.timeToLive.count());
    caller_answer result;
    result.headers.push_back({ "Content-Type", "application/json" });
    result.body = toJsonText(body) + "\n";
    return result;
}

} // namespace flamingoroute
