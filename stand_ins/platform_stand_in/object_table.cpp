#include "platform_stand_in/object_table.hpp"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace flamingoroute::stand_in {

namespace {

constexpr std::size_t maxRetainedChanges = 20'000;

error failure(error_code code, const std::string& step, const std::string& detail)
{
    return error { code, step, "", detail };
}

} // namespace

std::optional<stored_object> object_table::get(const std::string& kind, const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({ kind, name });
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

std::vector<stored_object> object_table::list(const std::string& kind) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<stored_object> result;
    for (auto at = m_objects.lower_bound({ kind, "" }); at != m_objects.end() && at->first.first == kind; ++at)
        result.push_back(at->second);
    return result;
}

tl::expected<object_version, error> object_table::put(
    const std::string& kind, const std::string& name, const std::string& value, std::optional<object_version> expected)
{
    if (value.size() > maxValueBytes)
        return tl::unexpected(failure(error_code::invalid_input, "put", "value is larger than 1 MB"));
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({ kind, name });
    const bool isPresent = found != m_objects.end();
    if (isPresent != expected.has_value() || (isPresent && found->second.version != *expected))
        return tl::unexpected(failure(error_code::conflict, "put", "version mismatch"));
    const stored_object written { kind, name, ++m_counter, value };
    m_objects[{ kind, name }] = written;
    recordChange(false, written);
    return written.version;
}

tl::expected<object_version, error> object_table::remove(
    const std::string& kind, const std::string& name, object_version expected)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({ kind, name });
    if (found == m_objects.end())
        return tl::unexpected(failure(error_code::not_found, "remove", "no such object"));
    if (found->second.version != expected)
        return tl::unexpected(failure(error_code::conflict, "remove", "version mismatch"));
    stored_object removed = found->second;
    removed.version = ++m_counter;
    m_objects.erase(found);
    recordChange(true, removed);
    return removed.version;
}

void object_table::recordChange(bool isDeleted, const stored_object& object)
{
    m_changes.push_back(object_change { object.version, isDeleted, object });
    if (m_changes.size() > maxRetainedChanges)
        m_changes.pop_front();
    m_changed.notify_all();
}

std::vector<object_change> object_table::changesAfter(const std::string& kind, std::uint64_t after) const
{
    std::vector<object_change> result;
    for (auto at = m_changes.rbegin(); at != m_changes.rend() && at->sequence > after; ++at) {
        if (at->object.kind == kind)
            result.insert(result.begin(), *at);
    }
    return result;
}

std::vector<object_change> object_table::watch(const std::string& kind, std::uint64_t after, milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    const auto wakes = m_wakes;
    std::vector<object_change> result;
    m_changed.wait_for(lock, timeout, [&] {
        result = changesAfter(kind, after);
        return !result.empty() || wakes != m_wakes;
    });
    return result;
}

Poco::JSON::Object::Ptr object_table::dump() const
{
    const std::lock_guard lock(m_mutex);
    Poco::JSON::Array::Ptr objects = new Poco::JSON::Array;
    for (const auto& [key, object] : m_objects) {
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("kind", object.kind);
        item->set("name", object.name);
        item->set("version", object.version);
        item->set("value", object.value);
        objects->add(item);
    }
    Poco::JSON::Object::Ptr result = new Poco::JSON::Object;
    result->set("counter", m_counter);
    result->set("objects", objects);
    return result;
}

void object_table::restore(const Poco::JSON::Object::Ptr& backup)
{
    const std::lock_guard lock(m_mutex);
    m_objects.clear();
    m_changes.clear();
    const auto counter = backup->getValue<std::uint64_t>("counter");
    m_counter = backup->optValue("reset_counter", false) ? counter : std::max(m_counter, counter);
    const auto objects = backup->getArray("objects");
    for (std::size_t i = 0; i < objects->size(); ++i) {
        const auto item = objects->getObject(static_cast<unsigned>(i));
        const stored_object object { item->getValue<std::string>("kind"), item->getValue<std::string>("name"),
            item->getValue<std::uint64_t>("version"), item->getValue<std::string>("value") };
        m_objects[{ object.kind, object.name }] = object;
    }
    ++m_wakes;
    m_changed.notify_all();
}

void object_table::wakeAll()
{
    const std::lock_guard lock(m_mutex);
    ++m_wakes;
    m_changed.notify_all();
}

} // namespace flamingoroute::stand_in
