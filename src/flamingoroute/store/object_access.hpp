#ifndef FLAMINGOROUTE_STORE_OBJECT_ACCESS_HPP
#define FLAMINGOROUTE_STORE_OBJECT_ACCESS_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <string>

namespace flamingoroute {

/// Calls for one object of the platform's store on an event loop. Each call invokes its callback exactly once; errors
/// are those of watched_store.
struct object_access {
    using read_callback = std::function<void(tl::expected<stored_object, error>)>;
    using write_callback = std::function<void(tl::expected<object_version, error>)>;

    /// @param mayBeStale whether an answer that is seconds old will do
    std::function<void(bool mayBeStale, read_callback done)> read;
    std::function<void(const std::string& value, write_callback done)> create;
    /// Replaces the object if it still has the version @p expected.
    std::function<void(const std::string& value, object_version expected, write_callback done)> replace;
};

} // namespace flamingoroute

#endif
