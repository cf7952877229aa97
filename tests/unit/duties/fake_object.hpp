#ifndef FLAMINGOROUTE_TESTS_UNIT_DUTIES_FAKE_OBJECT_HPP
#define FLAMINGOROUTE_TESTS_UNIT_DUTIES_FAKE_OBJECT_HPP

#include "flamingoroute/store/object_access.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute {

/// One object of a store that answers at once, or fails as a test says.
class fake_object {
public:
    object_access access()
    {
        object_access result;
        result.read = [this](bool, auto done) {
            if (isDown)
                done(tl::unexpected(failure(error_code::unavailable)));
            else if (version == 0)
                done(tl::unexpected(failure(error_code::not_found)));
            else
                done(stored_object { "", "", version, value });
        };
        result.create = [this](const std::string& next, auto done) { write(next, 0, std::move(done)); };
        result.replace = [this](const std::string& next, object_version expected, auto done) {
            write(next, expected, std::move(done));
        };
        return result;
    }

    /// Executes the writes that were held back, if their condition still holds.
    void releaseHeldWrites()
    {
        isHoldingWrites = false;
        for (const auto& held : std::exchange(m_heldWrites, {}))
            held();
    }

    std::string value;
    object_version version = 0;
    bool isDown = false;
    bool isLosingAnswers = false; ///< writes take effect, but their outcome is unknown
    bool isHoldingWrites = false; ///< writes take effect later, and their outcome is unknown

private:
    static error failure(error_code code) { return { code, "fake", "", "" }; }

    void write(const std::string& next, object_version expected, object_access::write_callback done)
    {
        const auto apply = [this, next, expected] {
            if (version != expected)
                return false;
            // As on the platform, a write that changes nothing makes no new version.
            if (version != 0 && value == next)
                return true;
            value = next;
            version = ++m_revision;
            return true;
        };
        if (isDown) {
            done(tl::unexpected(failure(error_code::unavailable)));
        } else if (isHoldingWrites) {
            m_heldWrites.emplace_back(apply);
            done(tl::unexpected(failure(error_code::outcome_unknown)));
        } else if (!apply()) {
            done(tl::unexpected(failure(error_code::conflict)));
        } else if (isLosingAnswers) {
            done(tl::unexpected(failure(error_code::outcome_unknown)));
        } else {
            done(version);
        }
    }

    object_version m_revision = 100;
    std::vector<std::function<void()>> m_heldWrites;
};

} // namespace flamingoroute

#endif
