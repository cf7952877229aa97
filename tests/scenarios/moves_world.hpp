#ifndef FLAMINGOROUTE_TESTS_SCENARIOS_MOVES_WORLD_HPP
#define FLAMINGOROUTE_TESTS_SCENARIOS_MOVES_WORLD_HPP

#include "flamingoroute/moves/move_follower.hpp"
#include "flamingoroute/moves/move_leader.hpp"
#include "support/scenario/scenario_world.hpp"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// Simulates nine entries and two leaders with a fake store that has conditional writes. Commands:
///
///     move by TIME cap PERCENT          start a move that must finish by TIME
///     rate N                            requests per second over all entries
///     version fails | fails PERCENT     the new version fails (PERCENT of) its requests
///     version slow FACTOR               the new version is slower by FACTOR
///     version slow-above PERCENT        the new version is slow from this share of the move on
///     version cold TIME                 the new version is slow until TIME from now
///     version fine                      the new version has no fault
///     only-route NAME                   the fault affects one route only
///     cut NUMBER | join NUMBER          disconnect an entry from configuration and leaders, or reconnect it
///     pause LEADER | wake LEADER        "a" or "b"; a resumed leader first acts once on its stale state
///     store down | up
///     cap PERCENT                       an operator changes the cap
///     take-back                         an operator rolls the move back
///     expect done | undone | running
///     expect cap kept
///     expect bad share <= PERCENT       requests that a faulty version received, as a share of all requests
///     expect no requests to new version for TIME
class moves_world : public scenario_world {
public:
    explicit moves_world(std::uint64_t seed);

    void advanceTo(microseconds now) override;
    tl::expected<void, scenario_error> run(const scenario_command& command) override;

private:
    using result = tl::expected<void, scenario_error>;
    using words = std::vector<std::string>;

    struct entry {
        entry();
        instance_id name;
        move_follower follower;
        std::unique_ptr<share_cap> cap;
        configuration inForce;
        bool isDisconnected = false;
        std::map<std::string, std::pair<long, long>> counts; ///< by route: all attempts and those at the new version
    };

    struct leader {
        leader();
        move_leader decisions;
        configuration inForce;
        bool isPaused = false;
        bool isHolder = false;
    };

    struct delayed {
        microseconds at { 0 };
        std::function<void()> action;
    };

    struct window_sample {
        microseconds at { 0 };
        bool isNew = false;
    };

    void step();
    void sendRequest();
    void recordAttempt(entry& at, const route& matchedRoute, bool isNew);
    observed_attempt attemptOf(const route& matchedRoute, bool isNew);
    bool isFaulty(const route& matchedRoute) const;
    void tickEntries();
    void tickLeaders();
    void tickLeader(leader& each);
    void publish(const configuration& next, revision expected);
    void after(microseconds delay, std::function<void()> action);
    double chance();
    std::int64_t unixMs() const;
    monotonic_time clock() const { return monotonic_time { m_now + seconds { 1 } }; }
    version_move& move() { return m_head.moves.at(0); }

    result startMove(const words& given);
    result setVersion(const words& given);
    result control(const words& given);
    result expect(const words& given);
    result expectCap() const;

    std::mt19937_64 m_random;
    microseconds m_now { 0 };
    std::vector<entry> m_entries;
    std::map<std::string, leader> m_leaders;
    std::deque<delayed> m_delayed;
    configuration m_head;
    bool m_isStoreDown = false;
    double m_rate = 200;
    double m_dueRequests = 0;
    std::string m_fault = "fine";
    double m_faultArgument = 0;
    std::string m_onlyRoute;
    long m_requests = 0;
    long m_faultyRequests = 0;
    microseconds m_lastNewAt { -1 };
    bool m_isCapKept = true;
    std::string m_capBreach;
};

} // namespace flamingoroute::testing

#endif
