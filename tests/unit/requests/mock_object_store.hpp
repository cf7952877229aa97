#ifndef FLAMINGOROUTE_TESTS_UNIT_REQUESTS_MOCK_OBJECT_STORE_HPP
#define FLAMINGOROUTE_TESTS_UNIT_REQUESTS_MOCK_OBJECT_STORE_HPP

#include "flamingoroute/store/object_store.hpp"

#include <gmock/gmock.h>

namespace flamingoroute::testing {

class mock_object_store : public object_store {
public:
    using object_result = tl::expected<stored_object, error>;
    using objects_result = tl::expected<std::vector<stored_object>, error>;
    using version_result = tl::expected<object_version, error>;
    using void_result = tl::expected<void, error>;
    using changes_result = tl::expected<std::vector<object_change>, error>;
    using instances_result = tl::expected<std::vector<platform_instance>, error>;
    using text = const std::string&;

    MOCK_METHOD(object_result, get, (text kind, text name), (override));
    MOCK_METHOD(objects_result, list, (text kind), (override));
    MOCK_METHOD(version_result, create, (text kind, text name, text value), (override));
    MOCK_METHOD(version_result, update, (text kind, text name, text value, object_version expected), (override));
    MOCK_METHOD(void_result, remove, (text kind, text name, object_version expected), (override));
    MOCK_METHOD(changes_result, watch, (text kind, std::uint64_t after, milliseconds maxWait), (override));
    MOCK_METHOD(instances_result, instances, (), (override));
};

} // namespace flamingoroute::testing

#endif
