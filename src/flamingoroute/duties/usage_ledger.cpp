#include "flamingoroute/duties/usage_ledger.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

#include <stdexcept>

namespace flamingoroute {

namespace {

constexpr const char* lastWindowField = "last_window";
constexpr const char* openField = "open";
constexpr const char* windowField = "window";
constexpr const char* countsField = "counts";

template <typename Number> Number numberIn(const Poco::Dynamic::Var& value)
{
    if (!value.isInteger())
        throw std::invalid_argument("not a whole number");
    return value.convert<Number>();
}

customer_counts readCounts(const Poco::JSON::Object::Ptr& json)
{
    if (json.isNull())
        throw std::invalid_argument("a window without counts");
    customer_counts counts;
    for (const auto& [customer, requests] : *json)
        counts[customer] = numberIn<std::uint64_t>(requests);
    return counts;
}

} // namespace

std::string encodeLedger(const usage_ledger& ledger)
{
    Poco::JSON::Array::Ptr open = new Poco::JSON::Array;
    for (const auto& [window, requests] : ledger.open) {
        Poco::JSON::Object::Ptr counts = new Poco::JSON::Object;
        for (const auto& [customer, count] : requests)
            counts->set(customer, count);
        Poco::JSON::Object::Ptr entry = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
        entry->set(windowField, window);
        entry->set(countsField, counts);
        open->add(entry);
    }
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    json->set(lastWindowField, ledger.lastWindow);
    json->set(openField, open);
    return toJsonText(json);
}

tl::expected<usage_ledger, error> parseLedger(const std::string& value)
{
    const auto json = parseJsonObject(value, "ledger");
    if (!json)
        return tl::unexpected(json.error());
    try {
        usage_ledger ledger;
        ledger.lastWindow = numberIn<window_index>((*json)->get(lastWindowField));
        const auto open = (*json)->getArray(openField);
        if (open.isNull())
            throw std::invalid_argument("no list of open windows");
        for (unsigned i = 0; i < open->size(); ++i) {
            const auto entry = open->getObject(i);
            if (entry.isNull())
                throw std::invalid_argument("an open window is not an object");
            const auto window = numberIn<window_index>(entry->get(windowField));
            ledger.open[window] = readCounts(entry->getObject(countsField));
        }
        return ledger;
    } catch (const std::exception& problem) {
        return tl::unexpected(error { error_code::invalid_input, "ledger.parse", "", problem.what() });
    }
}

} // namespace flamingoroute
