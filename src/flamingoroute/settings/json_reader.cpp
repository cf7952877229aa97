#include "flamingoroute/settings/json_reader.hpp"

#include <Poco/JSON/Array.h>

#include <sstream>

namespace flamingoroute {

std::string describe(const problem_list& problems)
{
    std::string text;
    for (const auto& entry : problems)
        text += entry.path + ": " + entry.rule + "\n";
    return text;
}

json_reader::json_reader(Poco::JSON::Object::Ptr object, std::string path, problem_list& problems)
    : m_object(std::move(object))
    , m_path(std::move(path))
    , m_problems(problems)
{
}

std::string json_reader::pathOf(const std::string& field) const { return m_path + "." + field; }

void json_reader::report(const std::string& field, const std::string& rule)
{
    m_problems.push_back(problem { pathOf(field), rule });
}

bool json_reader::has(const std::string& field)
{
    m_readFields.insert(field);
    return m_object->has(field) && !m_object->isNull(field);
}

std::string json_reader::requiredString(const std::string& field)
{
    if (!has(field)) {
        report(field, "is missing");
        return {};
    }
    const auto value = m_object->get(field);
    if (!value.isString() || value.extract<std::string>().empty()) {
        report(field, "must be a non-empty string");
        return {};
    }
    return value.extract<std::string>();
}

std::string json_reader::optionalString(const std::string& field, const std::string& fallback)
{
    return has(field) ? requiredString(field) : fallback;
}

template <typename Number>
Number json_reader::readNumber(const std::string& field, Number fallback, Number low, Number high, bool isRequired)
{
    if (!has(field)) {
        if (isRequired)
            report(field, "is missing");
        return fallback;
    }
    const auto value = m_object->get(field);
    const bool isNumber = value.isNumeric() && !value.isBoolean() && !value.isString();
    const bool isFractionAllowed = std::is_floating_point_v<Number>;
    if (!isNumber || (!isFractionAllowed && !value.isInteger())) {
        report(field, isFractionAllowed ? "must be a number" : "must be an integer");
        return fallback;
    }
    const auto number = value.convert<Number>();
    if (number < low || number > high) {
        std::ostringstream rule;
        rule << "must be between " << low << " and " << high;
        report(field, rule.str());
        return fallback;
    }
    return number;
}

std::int64_t json_reader::requiredInt(const std::string& field, std::int64_t low, std::int64_t high)
{
    return readNumber<std::int64_t>(field, low, low, high, true);
}

std::int64_t json_reader::optionalInt(
    const std::string& field, std::int64_t fallback, std::int64_t low, std::int64_t high)
{
    return readNumber<std::int64_t>(field, fallback, low, high, false);
}

double json_reader::requiredNumber(const std::string& field, double low, double high)
{
    return readNumber<double>(field, low, low, high, true);
}

double json_reader::optionalNumber(const std::string& field, double fallback, double low, double high)
{
    return readNumber<double>(field, fallback, low, high, false);
}

bool json_reader::optionalBool(const std::string& field, bool fallback)
{
    if (!has(field))
        return fallback;
    const auto value = m_object->get(field);
    if (value.isBoolean())
        return value.extract<bool>();
    report(field, "must be true or false");
    return fallback;
}

endpoint json_reader::requiredEndpoint(const std::string& field)
{
    endpoint result;
    const auto before = m_problems.size();
    const std::string text = requiredString(field);
    if (m_problems.size() == before && !parseEndpoint(text, result))
        report(field, "must be an IP address and a port, as in 127.0.0.1:8080");
    return result;
}

std::vector<std::string> json_reader::optionalStrings(const std::string& field)
{
    std::vector<std::string> result;
    if (!has(field))
        return result;
    const auto array = m_object->getArray(field);
    if (array.isNull()) {
        report(field, "must be a list of strings");
        return result;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto value = array->get(static_cast<unsigned>(i));
        if (value.isString())
            result.push_back(value.extract<std::string>());
        else
            report(field + "[" + std::to_string(i) + "]", "must be a string");
    }
    return result;
}

void json_reader::optionalObjects(const std::string& field, const std::function<void(json_reader&)>& readItem)
{
    if (!has(field))
        return;
    const auto array = m_object->getArray(field);
    if (array.isNull()) {
        report(field, "must be a list of objects");
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const std::string itemField = field + "[" + std::to_string(i) + "]";
        const auto item = array->getObject(static_cast<unsigned>(i));
        if (item.isNull()) {
            report(itemField, "must be an object");
            continue;
        }
        json_reader reader(item, pathOf(itemField), m_problems);
        readItem(reader);
        reader.finish();
    }
}

void json_reader::requiredObject(const std::string& field, const std::function<void(json_reader&)>& readObject)
{
    if (!has(field)) {
        report(field, "is missing");
        return;
    }
    optionalObject(field, readObject);
}

void json_reader::optionalObject(const std::string& field, const std::function<void(json_reader&)>& readObject)
{
    if (!has(field))
        return;
    const auto item = m_object->getObject(field);
    if (item.isNull()) {
        report(field, "must be an object");
        return;
    }
    json_reader reader(item, pathOf(field), m_problems);
    readObject(reader);
    reader.finish();
}

std::size_t json_reader::choice(const std::string& field, const std::vector<std::string>& names, std::size_t fallback)
{
    if (!has(field))
        return fallback;
    const std::string text = requiredString(field);
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == text)
            return i;
    }
    std::string rule = "must be one of";
    for (const auto& name : names)
        rule += " " + name;
    report(field, rule);
    return fallback;
}

void json_reader::finish()
{
    for (const auto& name : m_object->getNames()) {
        if (m_readFields.count(name) == 0)
            report(name, "is not a known field");
    }
}

} // namespace flamingoroute
