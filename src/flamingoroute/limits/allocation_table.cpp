#include "flamingoroute/limits/allocation_table.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace flamingoroute {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr toJson(const share& part)
{
    Object::Ptr json = new Object;
    json->set("perSecond", part.perSecond);
    json->set("depth", part.depth);
    return json;
}

share shareFrom(const Object::Ptr& json)
{
    return { json->getValue<double>("perSecond"), json->getValue<int>("depth") };
}

Object::Ptr toJson(const allocation_row& row)
{
    Object::Ptr json = new Object;
    json->set("instance", row.instance.value());
    json->set("incarnation", row.holderIncarnation);
    json->set("target", toJson(row.target));
    json->set("reserved", toJson(row.reserved));
    json->set("changedIn", row.changedIn);
    return json;
}

allocation_row rowFrom(const Object::Ptr& json)
{
    return { instance_id(json->getValue<std::string>("instance")), json->getValue<std::uint64_t>("incarnation"),
        shareFrom(json->getObject("target")), shareFrom(json->getObject("reserved")),
        json->getValue<std::uint64_t>("changedIn") };
}

allocation_table tableFrom(const Object::Ptr& json)
{
    allocation_table table;
    table.customer = customer_id(json->getValue<std::string>("customer"));
    table.version = json->getValue<std::uint64_t>("version");
    table.epoch = json->getValue<std::uint64_t>("epoch");
    table.limit = shareFrom(json->getObject("limit"));
    table.limitRevision = json->getValue<std::uint64_t>("limitRevision");
    table.pool = rowFrom(json->getObject("pool"));
    table.successor = instance_id(json->getValue<std::string>("successor"));
    table.writer = json->getValue<std::string>("writer");
    table.writeNumber = json->getValue<std::uint64_t>("writeNumber");
    const auto floors = json->getArray("floors");
    for (std::size_t i = 0; i < floors->size(); ++i)
        table.floors.push_back(rowFrom(floors->getObject(static_cast<unsigned>(i))));
    return table;
}

} // namespace

std::string formatTable(const allocation_table& table)
{
    Object json;
    json.set("customer", table.customer.value());
    json.set("version", table.version);
    json.set("epoch", table.epoch);
    json.set("limit", toJson(table.limit));
    json.set("limitRevision", table.limitRevision);
    json.set("pool", toJson(table.pool));
    json.set("successor", table.successor.value());
    json.set("writer", table.writer);
    json.set("writeNumber", table.writeNumber);
    Array::Ptr floors = new Array;
    for (const auto& row : table.floors)
        floors->add(toJson(row));
    json.set("floors", floors);
    std::ostringstream text;
    json.stringify(text);
    return text.str();
}

tl::expected<allocation_table, error> parseTable(const std::string& text)
{
    try {
        Poco::JSON::Parser parser;
        const auto json = parser.parse(text).extract<Object::Ptr>();
        if (json->getObject("limit") && json->getObject("pool") && json->getArray("floors"))
            return tableFrom(json);
        return tl::unexpected(
            error { error_code::invalid_input, "limits.parseTable", "", "limit, pool or floors is missing" });
    } catch (const std::exception& problem) {
        return tl::unexpected(error { error_code::invalid_input, "limits.parseTable", "", problem.what() });
    }
}

share reservedTotal(const allocation_table& table)
{
    share sum = table.pool.reserved;
    for (const auto& row : table.floors) {
        sum.perSecond += row.reserved.perSecond;
        sum.depth += row.reserved.depth;
    }
    return sum;
}

} // namespace flamingoroute
