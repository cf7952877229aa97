#ifndef FLAMINGOROUTE_TESTS_SUPPORT_STORE_FAKE_OBJECT_STORE_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_STORE_FAKE_OBJECT_STORE_HPP

#include "flamingoroute/store/object_store.hpp"

#include <functional>
#include <map>
#include <utility>

namespace flamingoroute::testing {

/// In-memory implementation of the platform's object API. Nothing blocks: a watch returns the current changes at once.
class fake_object_store : public object_store {
public:
    using object_map = std::map<std::pair<std::string, std::string>, stored_object>;

    tl::expected<stored_object, error> get(const std::string& kind, const std::string& name) override
    {
        ++calls;
        const auto found = objects.find({ kind, name });
        if (isDown)
            return tl::unexpected(failure(error_code::unavailable));
        if (found == objects.end())
            return tl::unexpected(failure(error_code::not_found));
        return found->second;
    }

    tl::expected<std::vector<stored_object>, error> list(const std::string& kind) override
    {
        ++calls;
        if (isDown)
            return tl::unexpected(failure(error_code::unavailable));
        std::vector<stored_object> result;
        for (const auto& [key, object] : objects) {
            if (key.first == kind)
                result.push_back(object);
        }
        return result;
    }

    tl::expected<object_version, error> create(
        const std::string& kind, const std::string& name, const std::string& value) override
    {
        return write(kind, name, value, objects.count({ kind, name }) == 0);
    }

    tl::expected<object_version, error> update(
        const std::string& kind, const std::string& name, const std::string& value, object_version expected) override
    {
        const auto found = objects.find({ kind, name });
        return write(kind, name, value, found != objects.end() && found->second.version == expected);
    }

    tl::expected<void, error> remove(const std::string& kind, const std::string& name, object_version expected) override
    {
        ++calls;
        const auto found = objects.find({ kind, name });
        if (isDown)
            return tl::unexpected(failure(error_code::unavailable));
        if (found == objects.end())
            return tl::unexpected(failure(error_code::not_found));
        if (found->second.version != expected)
            return tl::unexpected(failure(error_code::conflict));
        objects.erase(found);
        return {};
    }

    tl::expected<std::vector<object_change>, error> watch(
        const std::string& kind, std::uint64_t after, milliseconds) override
    {
        ++calls;
        if (isDown)
            return tl::unexpected(failure(error_code::unavailable));
        std::vector<object_change> result;
        for (const auto& [key, object] : objects) {
            if (key.first == kind && object.version > after)
                result.push_back(object_change { object.version, false, object });
        }
        return result;
    }

    tl::expected<std::vector<platform_instance>, error> instances() override
    {
        ++calls;
        if (isDown)
            return tl::unexpected(failure(error_code::unavailable));
        return listed;
    }

    object_map objects;
    std::vector<platform_instance> listed;
    object_version counter = 0;
    bool isDown = false;
    int lostAnswers = 0; ///< number of next writes that take effect but return `outcome_unknown`
    int lostRequests = 0; ///< number of next writes that have no effect and return `outcome_unknown`
    std::uint64_t calls = 0;
    std::function<void(const std::string& kind)> beforeWrite; ///< called once, between a read and the next write
    std::function<void()> afterLostAnswer; ///< called once, after a lost answer and before the writer reads back

private:
    static error failure(error_code code) { return error { code, "store.fake", "fake", "fault injected by the test" }; }

    tl::expected<object_version, error> write(
        const std::string& kind, const std::string& name, const std::string& value, bool isAllowed)
    {
        ++calls;
        if (beforeWrite) {
            std::exchange(beforeWrite, nullptr)(kind);
        }
        if (isDown)
            return tl::unexpected(failure(error_code::unavailable));
        if (lostRequests > 0) {
            --lostRequests;
            return tl::unexpected(failure(error_code::outcome_unknown));
        }
        if (isAllowed)
            objects[{ kind, name }] = stored_object { kind, name, ++counter, value };
        if (lostAnswers > 0) {
            --lostAnswers;
            if (afterLostAnswer)
                std::exchange(afterLostAnswer, nullptr)();
            return tl::unexpected(failure(error_code::outcome_unknown));
        }
        if (!isAllowed)
            return tl::unexpected(failure(error_code::conflict));
        return counter;
    }
};

} // namespace flamingoroute::testing

#endif
