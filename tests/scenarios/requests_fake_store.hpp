#ifndef FLAMINGOROUTE_TESTS_SCENARIOS_REQUESTS_FAKE_STORE_HPP
#define FLAMINGOROUTE_TESTS_SCENARIOS_REQUESTS_FAKE_STORE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace flamingoroute::testing {

/// Scheduled events on a virtual clock.
class event_queue {
public:
    using action = std::function<void()>;

    void after(microseconds delay, action run) { m_actions.emplace(m_now + delay, std::move(run)); }

    void advanceTo(microseconds now)
    {
        while (!m_actions.empty() && m_actions.begin()->first <= now) {
            auto first = m_actions.extract(m_actions.begin());
            m_now = first.key();
            first.mapped()();
        }
        m_now = now;
    }

    microseconds now() const { return m_now; }

private:
    microseconds m_now { 0 };
    std::multimap<microseconds, action> m_actions;
};

/// Faults of the fake store.
struct fake_store_faults {
    bool isDown = false; ///< calls fail, but writes selected by lostAnswerPercent still take effect
    int lostAnswerPercent = 0; ///< percentage of writes whose answer is lost
    int latePercent = 0; ///< percentage of these that take effect only after the call timed out
};

/// A fake platform store with delayed calls, lost answers and late writes. All objects share one namespace.
class requests_fake_store {
public:
    using version_result = tl::expected<object_version, error>;
    using read_result = tl::expected<stored_object, error>;

    requests_fake_store(event_queue& queue, std::mt19937_64& random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    fake_store_faults faults;

    void create(const std::string& name, const std::string& value, std::function<void(version_result)> reply)
    {
        write([=, this] { return doCreate(name, value); }, std::move(reply));
    }

    void update(const std::string& name, const std::string& value, object_version expected,
        std::function<void(version_result)> reply)
    {
        write([=, this] { return doUpdate(name, value, expected); }, std::move(reply));
    }

    void remove(const std::string& name, object_version expected, std::function<void(version_result)> reply)
    {
        write([=, this] { return doRemove(name, expected); }, std::move(reply));
    }

    void read(const std::string& name, std::function<void(read_result)> reply)
    {
        m_queue.after(oneWay(), [=, this] {
            const bool isDown = faults.isDown;
            const auto result = doRead(name);
            m_queue.after(oneWay(), [=] { reply(isDown ? read_result(fail(error_code::unavailable)) : result); });
        });
    }

private:
    static tl::unexpected<error> fail(error_code code) { return tl::unexpected(error { code, "store", "", "fake" }); }

    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    microseconds oneWay() { return microseconds(500 + m_random() % 15'000); }

    void write(std::function<version_result()> apply, std::function<void(version_result)> reply)
    {
        constexpr microseconds callTimeout { 80'000 };
        if (chance(faults.lostAnswerPercent)) {
            const bool isLate = chance(faults.latePercent);
            const auto effectAt = isLate ? callTimeout + microseconds(m_random() % 300'000) : oneWay();
            m_queue.after(effectAt, [apply] { apply(); });
            m_queue.after(callTimeout, [reply] { reply(fail(error_code::outcome_unknown)); });
            return;
        }
        m_queue.after(oneWay(), [=, this] {
            const auto result = faults.isDown ? version_result(fail(error_code::unavailable)) : apply();
            m_queue.after(oneWay(), [=] { reply(result); });
        });
    }

    version_result doCreate(const std::string& name, const std::string& value)
    {
        if (m_objects.contains(name))
            return fail(error_code::conflict);
        m_objects[name] = { "claim", name, ++m_version, value };
        return m_version;
    }

    version_result doUpdate(const std::string& name, const std::string& value, object_version expected)
    {
        const auto found = m_objects.find(name);
        if (found == m_objects.end())
            return fail(error_code::not_found);
        if (found->second.version != expected)
            return fail(error_code::conflict);
        found->second.value = value;
        return found->second.version = ++m_version;
    }

    version_result doRemove(const std::string& name, object_version expected)
    {
        const auto found = m_objects.find(name);
        if (found == m_objects.end())
            return fail(error_code::not_found);
        if (found->second.version != expected)
            return fail(error_code::conflict);
        m_objects.erase(found);
        return expected;
    }

    read_result doRead(const std::string& name) const
    {
        const auto found = m_objects.find(name);
        if (found == m_objects.end())
            return fail(error_code::not_found);
        return found->second;
    }

    event_queue& m_queue;
    std::mt19937_64& m_random;
    std::map<std::string, stored_object> m_objects;
    object_version m_version = 0;
};

} // namespace flamingoroute::testing

#endif
