#ifndef FLAMINGOROUTE_PROXY_SHARED_BODY_HPP
#define FLAMINGOROUTE_PROXY_SHARED_BODY_HPP

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>

namespace flamingoroute {

/// The body of a request. Copies share the bytes, so that a large body is in memory once for all of its attempts.
class shared_body {
public:
    shared_body() = default;

    // Implicit, so that a body can be written as text.
    shared_body(const char* text) // NOLINT(google-explicit-constructor)
        : shared_body(std::string(text))
    {
    }

    shared_body(std::string text) // NOLINT(google-explicit-constructor)
        : shared_body(std::move(text), nullptr)
    {
    }

    /// @param lease released with the last copy of the body
    shared_body(std::string text, std::shared_ptr<void> lease)
    {
        auto held = std::make_shared<holder>(holder { std::move(lease), std::move(text) });
        m_text = std::shared_ptr<const std::string>(held, &held->text);
    }

    const std::string& text() const
    {
        static const std::string none;
        return m_text ? *m_text : none;
    }

    std::size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }

    friend bool operator==(const shared_body& left, const shared_body& right) { return left.text() == right.text(); }
    friend std::ostream& operator<<(std::ostream& out, const shared_body& body) { return out << body.text(); }

private:
    struct holder {
        std::shared_ptr<void> lease;
        std::string text;
    };

    std::shared_ptr<const std::string> m_text;
};

} // namespace flamingoroute

#endif
