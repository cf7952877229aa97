#ifndef FLAMINGOROUTE_MODEL_STRONG_ID_HPP
#define FLAMINGOROUTE_MODEL_STRONG_ID_HPP

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace flamingoroute {

/// A name that cannot be confused with a name of another kind, because the kinds are different types.
/// @tparam Tag a type that identifies the kind
template <typename Tag> class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const strong_id&) const = default;
    bool operator==(const strong_id&) const = default;

private:
    std::string m_value;
};

} // namespace flamingoroute

template <typename Tag> struct std::hash<flamingoroute::strong_id<Tag>> {
    std::size_t operator()(const flamingoroute::strong_id<Tag>& id) const
    {
        return std::hash<std::string> {}(id.value());
    }
};

#endif
