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

/// Reads one JSON object field by field and notes every problem with its path, instead of stopping at the first.
/// After the last field, finish() reports fields that nobody asked for.
class json_reader {
public:
    /// @param object what is read
    /// @param path names the object in problems
    /// @param problems where problems are added; must outlive the reader
    json_reader(Poco::JSON::Object::Ptr object, std::string path, problem_list& problems);

    /// @return whether the field is there
    bool has(const std::string& field);

    /// @return the text; empty, with a problem noted, if it is missing or empty
    std::string requiredString(const std::string& field);
    std::string optionalString(const std::string& field, const std::string& fallback);

    /// @return the number; @p low, with a problem noted, if it is missing or out of range
    std::int64_t requiredInt(const std::string& field, std::int64_t low, std::int64_t high);
    std::int64_t optionalInt(const std::string& field, std::int64_t fallback, std::int64_t low, std::int64_t high);
    double requiredNumber(const std::string& field, double low, double high);
    double optionalNumber(const std::string& field, double fallback, double low, double high);
    bool optionalBool(const std::string& field, bool fallback);

    /// @return the endpoint; empty, with a problem noted, if it is not "address:port"
    endpoint requiredEndpoint(const std::string& field);

    /// @return the texts; empty if the field is missing
    std::vector<std::string> optionalStrings(const std::string& field);

    /// Reads a list of objects, each with a reader of its own; a missing field is an empty list.
    void optionalObjects(const std::string& field, const std::function<void(json_reader&)>& readItem);

    /// Reads an object; a problem is noted if it is missing.
    void requiredObject(const std::string& field, const std::function<void(json_reader&)>& readIt);

    /// Reads an object if it is there.
    void optionalObject(const std::string& field, const std::function<void(json_reader&)>& readIt);

    /// @return the position in @p names; 0, with a problem noted, if the text is none of them
    std::size_t choice(const std::string& field, const std::vector<std::string>& names, std::size_t fallback);

    /// Notes a problem with a field.
    void report(const std::string& field, const std::string& rule);

    /// Notes each field that was never asked for.
    void finish();

private:
    std::string pathOf(const std::string& field) const;
    template <typename Number>
    Number numberOr(const std::string& field, Number fallback, Number low, Number high, bool isRequired);

    Poco::JSON::Object::Ptr m_object;
    std::string m_path;
    problem_list& m_problems;
    std::set<std::string> m_known;
};

} // namespace flamingoroute

#endif
