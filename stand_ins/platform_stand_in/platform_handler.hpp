#ifndef FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_PLATFORM_HANDLER_HPP
#define FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_PLATFORM_HANDLER_HPP

#include <Poco/Net/HTTPRequestHandler.h>

#include <string>
#include <vector>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace flamingoroute::stand_in {

struct platform;

/// Handles one call of the stand-in's HTTP API:
///
///     GET    /v1/objects/KIND/NAME       the value; its version in ETag
///     GET    /v1/objects/KIND            {"objects": [...]}
///     PUT    /v1/objects/KIND/NAME       with If-None-Match: * or If-Match: VERSION; 412 on conflict, 413 above 1 MB
///     DELETE /v1/objects/KIND/NAME       with If-Match: VERSION
///     GET    /v1/watch/KIND?after=N&patience_ms=M
///     GET    /v1/instances
///     POST   /faults, GET /stats, GET /dump, POST /restore, POST /instances     for tests only
class platform_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit platform_handler(platform& shared);

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    using path_segments = std::vector<std::string>;

    void handleTestCall(
        const path_segments& path, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void handleObjects(
        const path_segments& path, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void handleWrite(
        const path_segments& path, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void handleWatch(
        const std::string& kind, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void sendInstances(Poco::Net::HTTPServerResponse& response);

    platform& m_platform;
};

} // namespace flamingoroute::stand_in

#endif
