#ifndef FLAMINGOROUTE_SETTINGS_JSON_READER_HPP
#define FLAMINGOROUTE_SETTINGS_JSON_READER_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/settings/problem.hpp"

#include <Poco/JSON/Object.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace flamingoroute {

/// Reads one JSON object field by field and records every problem with its path, instead of stopping at the first.
/// Call finish() after the last field: it reports the fields that were not read.
class json_reader {
public:
    /// @param object the object to read
    /// @param path the object's path in problems
    /// @param problems receives the problems; must outlive the reader
    json_reader(Poco::JSON::Object::Ptr object, std::string path, problem_list& problems);

    /// @return whether the field is present and not null
    bool has(const std::string& field);

    /// @return the string; empty, with a problem recorded, if it is missing, empty or of another type
    std::string requiredString(const std::string& field);
    std::string optionalString(const std::string& field, const std::string& fallback);

    /// @return the number; @p low, with a problem recorded, if it is missing, of another type or out of range
    std::int64_t requiredInt(const std::string& field, std::int64_t low, std::int64_t high);
    std::int64_t optionalInt(const std::string& field, std::int64_t fallback, std::int64_t low, std::int64_t high);
    double requiredNumber(const std::string& field, double low, double high);
    double optionalNumber(const std::string& field, double fallback, double low, double high);
    bool optionalBool(const std::string& field, bool fallback);

    /// @return the endpoint; empty, with a problem recorded, if it is not "address:port"
    endpoint requiredEndpoint(const std::string& field);

    /// @return the strings; empty if the field is missing
    std::vector<std::string> optionalStrings(const std::string& field);

    /// Calls @p readItem with a separate reader for each object of a list; a missing field is an empty list.
    void optionalObjects(const std::string& field, const std::function<void(json_reader&)>& readItem);

    /// Reads an object; records a problem if it is missing.
    void requiredObject(const std::string& field, const std::function<void(json_reader&)>& readObject);

    /// Reads an object if it is present.
    void optionalObject(const std::string& field, const std::function<void(json_reader&)>& readObject);

    /// @return the index of the value in @p names; @p fallback if the field is missing, and also, with a problem
    /// recorded, if the value is not in @p names
    std::size_t choice(const std::string& field, const std::vector<std::string>& names, std::size_t fallback);

    /// Records a problem with a field.
    void report(const std::string& field, const std::string& rule);

    /// Records a problem for each field that was never read.
    void finish();

private:
    std::string pathOf(const std::string& field) const;
    template <typename Number>
    Number readNumber(const std::string& field, Number fallback, Number low, Number high, bool isRequired);

    Poco::JSON::Object::Ptr m_object;
    std::string m_path;
    problem_list& m_problems;
    std::set<std::string> m_readFields;
};

} // namespace flamingoroute

#endif
