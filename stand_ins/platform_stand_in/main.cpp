#include "platform_stand_in/instance_list.hpp"
#include "platform_stand_in/platform.hpp"
#include "platform_stand_in/platform_handler.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "settings file: {\"listen\": \"127.0.0.1:PORT\", \"instances\": [...]}");

namespace flamingoroute::stand_in {

namespace {

constexpr int maxThreads = 400;

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(platform& shared)
        : m_platform(shared)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new platform_handler(m_platform);
    }

private:
    platform& m_platform;
};

void serve(platform& shared, const endpoint& listen)
{
    Poco::ThreadPool threads(2, maxThreads);
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(listen.address, listen.port));
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(maxThreads);
    parameters->setMaxQueued(maxThreads);
    parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
    Poco::Net::HTTPServer server(new handler_factory(shared), threads, socket, parameters);
    server.start();
    sigset_t terminationSignals;
    sigemptyset(&terminationSignals);
    sigaddset(&terminationSignals, SIGTERM);
    sigaddset(&terminationSignals, SIGINT);
    int received = 0;
    sigwait(&terminationSignals, &received);
    server.stopAll(true);
    shared.objects.wakeAll();
}

int run()
{
    sigset_t terminationSignals;
    sigemptyset(&terminationSignals);
    sigaddset(&terminationSignals, SIGTERM);
    sigaddset(&terminationSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &terminationSignals, nullptr);
    const auto text = readFile(FLAGS_settings);
    const auto document = text ? parseJsonObject(*text, FLAGS_settings) : tl::unexpected(text.error());
    if (!document) {
        std::cerr << describe(document.error()) << "\n";
        return 1;
    }
    problem_list problems;
    json_reader reader(*document, FLAGS_settings, problems);
    const endpoint listen = reader.requiredEndpoint("listen");
    platform shared;
    shared.instances = readInstances(reader);
    reader.finish();
    if (!problems.empty()) {
        std::cerr << describe(problems);
        return 1;
    }
    serve(shared, listen);
    return 0;
}

} // namespace

} // namespace flamingoroute::stand_in

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return flamingoroute::stand_in::run();
}
