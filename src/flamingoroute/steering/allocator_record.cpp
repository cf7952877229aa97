#include "flamingoroute/steering/allocator_record.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace flamingoroute {

namespace {

Poco::JSON::Object::Ptr runAsJson(const instance_run& run)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("instance", run.first.value());
    object->set("incarnation", run.second);
    return object;
}

instance_run runFromJson(const Poco::JSON::Object::Ptr& object)
{
    return { instance_id(object->getValue<std::string>("instance")), object->getValue<Poco::UInt64>("incarnation") };
}

} // namespace

std::string toJson(const allocator_record& record)
{
    Poco::JSON::Array predecessors;
    for (const auto& run : record.predecessors)
        predecessors.add(runAsJson(run));
    Poco::JSON::Object object;
    object.set("holder", runAsJson(record.holder));
    object.set("epoch", record.epoch);
    object.set("released", record.isReleased);
    object.set("predecessors", predecessors);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

tl::expected<allocator_record, error> allocatorRecordFromJson(const std::string& text)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        allocator_record record;
        record.holder = runFromJson(object->getObject("holder"));
        record.epoch = object->getValue<Poco::UInt64>("epoch");
        record.isReleased = object->getValue<bool>("released");
        const auto predecessors = object->getArray("predecessors");
        for (unsigned i = 0; i < predecessors->size(); ++i)
            record.predecessors.push_back(runFromJson(predecessors->getObject(i)));
        return record;
    } catch (const std::exception& problem) {
        return tl::unexpected(error { error_code::invalid_input, "steering.allocator-record", "", problem.what() });
    }
}

} // namespace flamingoroute
