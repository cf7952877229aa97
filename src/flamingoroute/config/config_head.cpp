#include "flamingoroute/config/config_head.hpp"

#include "flamingoroute/config/content_hash.hpp"
#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/settings/json_reader.hpp"

#include <Poco/JSON/Array.h>

#include <limits>

namespace flamingoroute {

namespace {

constexpr std::int64_t maxNumber = std::numeric_limits<std::int64_t>::max();

Poco::JSON::Object::Ptr encodePublication(const publication_id& publication)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    json->set("revision", publication.number);
    json->set("writer", publication.writer);
    json->set("sequence", publication.sequence);
    return json;
}

publication_id decodePublication(json_reader& reader)
{
    publication_id publication;
    publication.number = static_cast<revision>(reader.requiredInt("revision", 1, maxNumber));
    publication.writer = reader.requiredString("writer");
    publication.sequence = static_cast<std::uint64_t>(reader.requiredInt("sequence", 0, maxNumber));
    return publication;
}

} // namespace

std::string encodeHead(const config_head& head)
{
    Poco::JSON::Array::Ptr buckets = new Poco::JSON::Array;
    for (const auto& list : head.buckets) {
        Poco::JSON::Array::Ptr hashes = new Poco::JSON::Array;
        for (const auto& hash : list.hashes)
            hashes->add(hash);
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
        item->set("kind", list.kind);
        item->set("hashes", hashes);
        buckets->add(item);
    }
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    json->set("revision", head.number);
    json->set("author", encodePublication(head.publication));
    Poco::JSON::Array::Ptr earlier = new Poco::JSON::Array;
    for (const auto& publication : head.earlierPublications)
        earlier->add(encodePublication(publication));
    json->set("earlier_authors", earlier);
    json->set("buckets", buckets);
    return toJsonText(json);
}

tl::expected<config_head, error> parseHead(const std::string& value)
{
    const auto json = parseJsonObject(value, "config_head");
    if (!json)
        return tl::unexpected(json.error());
    problem_list problems;
    json_reader reader(*json, "config_head", problems);
    config_head head;
    head.number = static_cast<revision>(reader.requiredInt("revision", 1, maxNumber));
    reader.requiredObject("author", [&head](json_reader& item) { head.publication = decodePublication(item); });
    reader.optionalObjects(
        "earlier_authors", [&head](json_reader& item) { head.earlierPublications.push_back(decodePublication(item)); });
    reader.optionalObjects("buckets", [&head](json_reader& item) {
        auto& list = head.buckets.emplace_back();
        list.kind = item.requiredString("kind");
        list.hashes = item.optionalStrings("hashes");
        if ((list.hashes.size() & (list.hashes.size() - 1)) != 0)
            item.report("hashes", "count must be 0 or a power of two");
    });
    reader.finish();
    if (!problems.empty())
        return tl::unexpected(error { error_code::invalid_input, "config.head", "", describe(problems) });
    return head;
}

config_position positionOf(const config_head& head, const std::string& value)
{
    return config_position { head.number, contentHash(value) };
}

} // namespace flamingoroute
