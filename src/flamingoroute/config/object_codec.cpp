#include "flamingoroute/config/object_codec.hpp"

#include "flamingoroute/config/internal/object_reading.hpp"
#include "flamingoroute/config/internal/object_writing.hpp"
#include "flamingoroute/config/object_kinds.hpp"
#include "flamingoroute/settings/json_document.hpp"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/JSON/Array.h>
#include <Poco/Timestamp.h>

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::size_t maxNameBytes = 200;
constexpr std::int64_t microsecondsPerMs = 1000;

template <typename Object> void setName(Object& object, const std::string& name)
{
    object.name = decltype(object.name)(name);
}

template <typename Object> Poco::JSON::Object::Ptr writeObject(const char* kind, const Object& object)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    json->set("kind", std::string(kind));
    json->set("name", nameOf(object));
    internal::writeFields(*json, object);
    return json;
}

std::string pathOf(const Poco::JSON::Object::Ptr& object, const std::string& fallback)
{
    const auto kind = object->get("kind");
    const auto name = object->get("name");
    if (kind.isString() && name.isString())
        return kind.extract<std::string>() + "/" + name.extract<std::string>();
    return fallback;
}

bool readAs(configuration& objects, const std::string& kind, json_reader& reader)
{
    bool isKnown = false;
    const std::string name = reader.requiredString("name");
    if (name.size() > maxNameBytes)
        reader.report("name", "must not be longer than 200 bytes");
    visitKinds(objects, [&](const char* known, auto& list) {
        if (kind != known)
            return;
        isKnown = true;
        auto& object = list.emplace_back();
        setName(object, name);
        internal::readFields(reader, object);
    });
    return isKnown;
}

} // namespace

bool readObjectInto(
    configuration& objects, const Poco::JSON::Object::Ptr& object, const std::string& path, problem_list& problems)
{
    const auto before = problems.size();
    json_reader reader(object, pathOf(object, path), problems);
    const std::string kind = reader.requiredString("kind");
    if (kind.empty())
        return false;
    if (!readAs(objects, kind, reader)) {
        reader.report("kind", "is not a known kind");
        return false;
    }
    reader.finish();
    return problems.size() == before;
}

void sortObjects(configuration& objects)
{
    visitKinds(objects, [](const char*, auto& list) {
        std::stable_sort(
            list.begin(), list.end(), [](const auto& left, const auto& right) { return nameOf(left) < nameOf(right); });
    });
}

tl::expected<configuration, problem_list> parseConfiguration(const std::string& text, const std::string& origin)
{
    const auto document = parseJsonObject(text, origin);
    if (!document)
        return tl::unexpected(problem_list { { origin, document.error().detail } });
    problem_list problems;
    configuration objects;
    json_reader reader(*document, origin, problems);
    const auto array = reader.has("objects") ? (*document)->getArray("objects") : nullptr;
    if (array.isNull())
        reader.report("objects", "must be a list of objects");
    reader.finish();
    const std::size_t count = array.isNull() ? 0 : array->size();
    for (std::size_t i = 0; i < count; ++i) {
        const auto object = array->getObject(static_cast<unsigned>(i));
        const std::string path = origin + ".objects[" + std::to_string(i) + "]";
        if (object.isNull())
            problems.push_back(problem { path, "must be an object" });
        else
            readObjectInto(objects, object, path, problems);
    }
    if (!problems.empty())
        return tl::unexpected(problems);
    sortObjects(objects);
    return objects;
}

std::string serializeConfiguration(const configuration& objects)
{
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    forEachObject(objects, [&array](const std::string&, const std::string&, const Poco::JSON::Object::Ptr& object) {
        array->add(object);
    });
    Poco::JSON::Object::Ptr document = new Poco::JSON::Object;
    document->set("objects", array);
    return toJsonText(document);
}

void forEachObject(const configuration& objects, const object_visitor& visit)
{
    visitKinds(objects, [&visit](const char* kind, const auto& list) {
        for (const auto& object : list)
            visit(kind, nameOf(object), writeObject(kind, object));
    });
}

bool removeObject(configuration& objects, const std::string& kind, const std::string& name)
{
    bool isRemoved = false;
    visitKinds(objects, [&](const char* known, auto& list) {
        if (kind == known)
            isRemoved = std::erase_if(list, [&name](const auto& object) { return nameOf(object) == name; }) > 0;
    });
    return isRemoved;
}

std::string formatUtc(std::int64_t unixMs)
{
    const Poco::Timestamp time(unixMs * microsecondsPerMs);
    return Poco::DateTimeFormatter::format(time, "%Y-%m-%dT%H:%M:%S.%iZ");
}

bool parseUtc(const std::string& text, std::int64_t& unixMs)
{
    Poco::DateTime time;
    int offsetSeconds = 0;
    const bool isFractional = text.find('.') != std::string::npos;
    const auto& format
        = isFractional ? Poco::DateTimeFormat::ISO8601_FRAC_FORMAT : Poco::DateTimeFormat::ISO8601_FORMAT;
    if (text.size() < 20 || !Poco::DateTimeParser::tryParse(format, text, time, offsetSeconds))
        return false;
    time.makeUTC(offsetSeconds);
    unixMs = time.timestamp().epochMicroseconds() / microsecondsPerMs;
    return true;
}

} // namespace flamingoroute
