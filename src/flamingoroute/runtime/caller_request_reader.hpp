#ifndef FLAMINGOROUTE_RUNTIME_CALLER_REQUEST_READER_HPP
#define FLAMINGOROUTE_RUNTIME_CALLER_REQUEST_READER_HPP

#include "flamingoroute/requests/caller_request.hpp"
#include "flamingoroute/settings/entry_options.hpp"

#include <tl/expected.hpp>

#include <string>

namespace Poco::Net {
class HTTPServerRequest;
}

namespace flamingoroute {

/// Why a caller's request could not be read. Its connection is closed.
struct request_problem {
    int status = 400; ///< HTTP: 400, 408, 413, 414 or 431
    std::string detail;

    bool operator==(const request_problem&) const = default;
};

/// Reads a complete request and removes every copy of its credential.
///
/// Refuses a body that is truncated, of ambiguous length or framed in two ways, so that a partial request is never
/// treated as complete and two parsers never see different requests.
/// @return the request without an id
tl::expected<caller_request, request_problem> readCallerRequest(
    Poco::Net::HTTPServerRequest& request, const entry_options& options);

} // namespace flamingoroute

#endif
