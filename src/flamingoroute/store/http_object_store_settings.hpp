#ifndef FLAMINGOROUTE_STORE_HTTP_OBJECT_STORE_SETTINGS_HPP
#define FLAMINGOROUTE_STORE_HTTP_OBJECT_STORE_SETTINGS_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

/// Address of the platform and timeouts of calls to it.
struct http_object_store_settings {
    endpoint platform;
    std::string client; ///< sent with each call: "instance/failure domain"
    milliseconds connectTimeout { 1000 };
    milliseconds callTimeout { 2000 }; ///< for an answer; a watch adds its maximum wait

    bool operator==(const http_object_store_settings&) const = default;
};

} // namespace flamingoroute

#endif
