#include "requests_fake_store.hpp"

#include "flamingoroute/requests/claim_attempt.hpp"
#include "flamingoroute/requests/claim_settlement.hpp"
#include "support/scenario/scenario.hpp"
#include "support/scenario/scenario_world.hpp"
#include "support/scenario/world_registry.hpp"

#include <algorithm>
#include <memory>
#include <vector>

namespace flamingoroute::testing {

namespace {

using run_result = tl::expected<void, scenario_error>;

constexpr microseconds submissionDeadline { 1'500'000 };
constexpr microseconds callerTimeout { 400'000 };
constexpr int maxSubmissions = 6;

run_result fail(const std::string& word, const std::string& detail)
{
    return tl::unexpected(scenario_error { 0, word, detail });
}

/// One order of a caller, submitted repeatedly with the same key until it is answered.
struct order {
    std::string key;
    int submissions = 0;
    int replies = 0;
    int notRunReplies = 0;
    int runs = 0;
    std::string answer; ///< answer of the latest run
    std::string received; ///< answer received by the caller
    bool isAnswered = false;
    bool isAnswerWrong = false;
};

/// An instance; a kill starts a new incarnation and drops all work in progress.
struct instance {
    int number = 0;
    int incarnation = 1;
    std::uint64_t sequence = 0;
    microseconds pausedUntil { 0 };
};

/// Orders with an Idempotency-Key, submitted through many instances that share only a faulty store. Commands:
///
///     instances COUNT
///     order                               a caller submits a new order
///     kill                                a random instance is killed and restarts
///     pause TIME                          a random instance is paused
///     store down | store up
///     store loses PERCENT late PERCENT    answers of writes are lost; some take effect late
///     expect runs for each key at most COUNT
///     expect not-run is true
///     expect one answer for each key
///     expect answered at least PERCENT
class requests_world : public scenario_world {
public:
    explicit requests_world(std::uint64_t seed)
        : m_random(seed)
        , m_store(m_queue, m_random)
    {
    }

    void advanceTo(microseconds now) override { m_queue.advanceTo(now); }

    run_result run(const scenario_command& command) override
    {
        const auto& words = command.words;
        if (words[0] == "instances" && words.size() == 2)
            return addInstances(std::stoi(words[1]));
        if (words[0] == "order")
            return startOrder();
        if (words[0] == "kill")
            return kill();
        if (words[0] == "pause" && words.size() == 2)
            return pause(words[1]);
        if (words[0] == "store")
            return setStore(words);
        if (words[0] == "expect")
            return expect(words);
        return fail(words[0], "is not a command of this world");
    }

private:
    run_result addInstances(int count)
    {
        for (int i = 0; i < count; ++i)
            m_instances.push_back(std::make_unique<instance>(instance { i, 1, 0, microseconds { 0 } }));
        return {};
    }

    instance& anyInstance() { return *m_instances[m_random() % m_instances.size()]; }

    run_result kill()
    {
        auto& chosen = anyInstance();
        ++chosen.incarnation;
        chosen.sequence = 0;
        return {};
    }

    run_result pause(const std::string& word)
    {
        microseconds time { 0 };
        if (!parseDuration(word, time))
            return fail(word, "is not a time");
        anyInstance().pausedUntil = m_queue.now() + time;
        return {};
    }

    run_result setStore(const std::vector<std::string>& words)
    {
        if (words.size() == 2 && (words[1] == "down" || words[1] == "up")) {
            m_store.faults.isDown = words[1] == "down";
            return {};
        }
        if (words.size() == 5 && words[1] == "loses" && words[3] == "late") {
            m_store.faults.lostAnswerPercent = std::stoi(words[2]);
            m_store.faults.latePercent = std::stoi(words[4]);
            return {};
        }
        return fail(words.back(), "must be: store down | up | loses PERCENT late PERCENT");
    }

    run_result startOrder()
    {
        auto added = std::make_shared<order>();
        added->key = "order-" + std::to_string(m_orders.size());
        m_orders.push_back(added);
        send(added);
        return {};
    }

    void send(const std::shared_ptr<order>& what)
    {
        if (what->isAnswered || what->submissions >= maxSubmissions)
            return;
        const int number = ++what->submissions;
        handle(anyInstance(), what);
        m_queue.after(callerTimeout, [this, what, number] {
            if (what->submissions == number)
                send(what);
        });
    }

    /// Wraps actions of the instance: each waits until a pause ends, and is dropped if the instance was killed.
    std::function<void(std::function<void()>)> guardOf(instance& on)
    {
        const int incarnation = on.incarnation;
        return [this, &on, incarnation](std::function<void()> action) {
            if (on.incarnation != incarnation)
                return;
            if (on.pausedUntil <= m_queue.now())
                return action();
            m_queue.after(on.pausedUntil - m_queue.now(), [&on, incarnation, action] {
                if (on.incarnation == incarnation)
                    action();
            });
        };
    }

    void handle(instance& on, const std::shared_ptr<order>& what)
    {
        claim_record mine;
        mine.writer = "i" + std::to_string(on.number) + "-" + std::to_string(on.incarnation);
        mine.sequence = ++on.sequence;
        mine.fingerprint = what->key;
        auto attempt = std::make_shared<claim_attempt>(mine, claim_limits {});
        step(on, what, attempt, m_queue.now() + submissionDeadline);
    }

    void step(instance& on, const std::shared_ptr<order>& what, const std::shared_ptr<claim_attempt>& attempt,
        microseconds deadline)
    {
        const auto guard = guardOf(on);
        const auto proceed = [=, this, &on] { step(on, what, attempt, deadline); };
        if (m_queue.now() >= deadline)
            attempt->onDeadline();
        switch (attempt->next()) {
        case claim_step::create:
            return m_store.create(what->key, encodeClaim(attempt->ownRecord()), [=](const auto& result) {
                guard([=] {
                    attempt->onCreated(result);
                    proceed();
                });
            });
        case claim_step::read:
            return m_store.read(what->key, [=](const auto& result) {
                guard([=] {
                    attempt->onRead(result);
                    proceed();
                });
            });
        case claim_step::wait:
            return m_queue.after(attempt->waitTime(), [=] {
                guard([=] {
                    attempt->onWaited();
                    proceed();
                });
            });
        case claim_step::done:
            return finishClaim(on, what, *attempt);
        }
    }

    void finishClaim(instance& on, const std::shared_ptr<order>& what, const claim_attempt& attempt)
    {
        const auto& decision = attempt.decision();
        if (attempt.mayHaveLeftClaim())
            settle(on, what, std::make_shared<claim_settlement>(attempt.ownRecord(), 0, std::nullopt, claim_limits {}));
        if (decision.mayRun)
            return attemptUpstream(on, what, attempt.ownRecord(), attempt.version());
        if (decision.earlierAnswer)
            return reply(what, execution_state::ran, decision.earlierAnswer->body);
        reply(what, decision.refused->execution, "");
    }

    void attemptUpstream(
        instance& on, const std::shared_ptr<order>& what, const claim_record& mine, object_version version)
    {
        const auto guard = guardOf(on);
        const int randomPercent = static_cast<int>(m_random() % 100);
        const bool isSent = randomPercent >= 10;
        const bool isRun = randomPercent >= 15;
        const bool isReplyReceived = randomPercent >= 22;
        m_queue.after(microseconds(m_random() % 30'000), [=, this, &on] {
            guard([=, this, &on] {
                if (isRun) {
                    ++what->runs;
                    what->answer = what->key + " run " + std::to_string(what->runs);
                }
                const auto answer = what->answer;
                m_queue.after(microseconds(m_random() % 20'000), [=, this, &on] {
                    guard([=, this, &on] {
                        const auto execution = !isSent ? execution_state::not_run
                            : isReplyReceived          ? execution_state::ran
                                                       : execution_state::unknown;
                        finishRun(on, what, mine, version, execution, answer);
                    });
                });
            });
        });
    }

    void finishRun(instance& on, const std::shared_ptr<order>& what, const claim_record& mine, object_version version,
        execution_state execution, const std::string& answer)
    {
        std::optional<claim_record> settled;
        if (execution != execution_state::not_run) {
            settled = mine;
            settled->sequence = ++on.sequence;
            settled->state = execution == execution_state::ran ? claim_state::answered : claim_state::unknown;
            if (execution == execution_state::ran)
                settled->answer = caller_answer { 200, {}, answer };
        }
        settle(on, what, std::make_shared<claim_settlement>(mine, version, settled, claim_limits {}));
        reply(what, execution, execution == execution_state::ran ? answer : "");
    }

    void settle(instance& on, const std::shared_ptr<order>& what, const std::shared_ptr<claim_settlement>& settlement)
    {
        const auto guard = guardOf(on);
        const auto proceed = [=, this, &on] { settle(on, what, settlement); };
        const auto onWritten = [=](const requests_fake_store::version_result& result) {
            guard([=] {
                tl::expected<void, error> written;
                if (!result)
                    written = tl::unexpected(result.error());
                settlement->onWritten(written);
                proceed();
            });
        };
        constexpr microseconds pauseBetweenTries { 200'000 };
        switch (settlement->next()) {
        case settlement_step::write:
            if (settlement->settled())
                return m_store.update(what->key, encodeClaim(*settlement->settled()), settlement->version(), onWritten);
            return m_store.remove(what->key, settlement->version(), onWritten);
        case settlement_step::read:
            return m_store.read(what->key, [=](const auto& result) {
                guard([=] {
                    settlement->onRead(result);
                    proceed();
                });
            });
        case settlement_step::later:
            return m_queue.after(pauseBetweenTries, [=] {
                guard([=] {
                    settlement->restart();
                    proceed();
                });
            });
        case settlement_step::done:
            return;
        }
    }

    void reply(const std::shared_ptr<order>& what, execution_state execution, const std::string& answer)
    {
        ++what->replies;
        if (execution == execution_state::not_run)
            ++what->notRunReplies;
        if (execution == execution_state::ran) {
            what->isAnswerWrong = what->isAnswerWrong || answer.empty() || answer != what->answer;
            what->isAnswered = true;
        }
        // A caller submits again soon after a refusal, and in half of the cases even after an answer.
        if (!what->isAnswered || m_random() % 2 == 0)
            m_queue.after(microseconds(m_random() % 100'000), [this, what] { sendAgain(what); });
    }

    void sendAgain(const std::shared_ptr<order>& what)
    {
        if (what->submissions >= maxSubmissions)
            return;
        ++what->submissions;
        handle(anyInstance(), what);
    }

    run_result expect(const std::vector<std::string>& words)
    {
        const auto text = join(words);
        if (words.size() == 8 && text.starts_with("expect runs for each key at most "))
            return expectRuns(std::stoi(words[7]));
        if (text == "expect not-run is true")
            return expectEach([](const order& one) { return one.notRunReplies < one.submissions || one.runs == 0; },
                "ran although every submission was reported as not run");
        if (text == "expect one answer for each key")
            return expectEach(
                [](const order& one) { return !one.isAnswerWrong; }, "received an answer that differs from its run's");
        if (words.size() == 5 && text.starts_with("expect answered at least "))
            return expectAnswered(std::stoi(words[4]));
        return fail(words.back(), "is not an expectation of this world");
    }

    static std::string join(const std::vector<std::string>& words)
    {
        std::string text;
        for (const auto& word : words)
            text += (text.empty() ? "" : " ") + word;
        return text;
    }

    run_result expectRuns(int maximum) const
    {
        return expectEach([&](const order& one) { return one.runs <= maximum; }, "ran more often than allowed");
    }

    run_result expectEach(const std::function<bool(const order&)>& predicate, const std::string& detail) const
    {
        for (const auto& one : m_orders) {
            if (!predicate(*one))
                return fail(one->key, detail + ": " + std::to_string(one->runs) + " runs");
        }
        return {};
    }

    run_result expectAnswered(int percent) const
    {
        const auto answered
            = std::count_if(m_orders.begin(), m_orders.end(), [](const auto& one) { return one->isAnswered; });
        if (answered * 100 >= percent * static_cast<std::int64_t>(m_orders.size()))
            return {};
        return fail(
            "answered", std::to_string(answered) + " of " + std::to_string(m_orders.size()) + " orders were answered");
    }

    std::mt19937_64 m_random;
    event_queue m_queue;
    requests_fake_store m_store;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<std::shared_ptr<order>> m_orders;
};

const world_registration registration(
    "requests", [](std::uint64_t seed) { return std::make_unique<requests_world>(seed); });

} // namespace

} // namespace flamingoroute::testing
