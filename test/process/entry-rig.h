#pragma once

#include "test/ctl-runner.h"
#include "test/process/http-call.h"
#include "test/process/process-harness.h"
#include "test/process/relay.h"
#include "test/process/scripted-server.h"
#include "test/soak/fake-platform.h"

#include <fmt/format.h>

#include <fstream>
#include <future>
#include <sstream>

namespace swiftloft::process_test {

using soak::FakePlatform;
using soak::ServerMode;

/// A real entry process connected to the fake platform, with its log in a file.
class EntryRig {
public:
    struct Options {
        /// With relays, servers can crash.
        bool hasRelays { false };
        /// Time in which the entry ends after SIGTERM.
        seconds stopTimeout { 4 };
        FakePlatform::ClientLimits limits {};
        /// Descriptors that the entry may open; 0 for as many as this process.
        int descriptors { 0 };
    };

    explicit EntryRig(int servers = 2)
        : EntryRig(servers, Options {})
    {
    }
    EntryRig(int servers, const Options& options)
        : platform(servers, 8)
        , descriptors(options.descriptors)
    {
        for (std::size_t n = 0; options.hasRelays && n < platform.servers(); ++n) {
            relays.push_back(std::make_unique<Relay>(platform.addressOf(n)));
            platform.setListedAddress(n, relays.back()->address());
        }
        if (options.hasRelays)
            platform.setOnCrash([this](std::size_t server, bool isDown) { relays[server]->setDown(isDown); });
        platform.setClientLimits(options.limits);
        platform.publish("k1", "org-k1");
        directory = fmt::format("127.0.0.1:{}", freePort());
        auto at = [] { return fmt::format("127.0.0.1:{}", freePort()); };
        clients = at();
        ready = at();
        std::ofstream(settings()) << fmt::format("[entry]\nid = e1\ndata-centre = dc\nclients = {}\nready = {}\ndirectory = {}\npeers = {}\nload = {}\nagent-port = 9\nmetrics = {}\nstore = {}\n"
                                                 "retry-ratio = 0.2\nretry-slack = 100\nretry-window-seconds = 10\nstop-within-seconds = {}\ndirectory-kept-seconds = 1\n",
            clients, ready, directory, at(), at(), metrics = at(), platform.storeAddress(), options.stopTimeout.count());
    }

    void start()
    {
        auto command = fmt::format("{}exec {} --config {} > {} 2>&1", limitDescriptors(descriptors), builtProgram("platform/swiftloft-platform-entry"), settings(), logFile());
        process = ChildProcess::start({ "/bin/sh", "-c", command }, { .waitsForListening = false }).value();
    }

    bool isReady()
    {
        return waitUntil(Clock::now() + seconds(10), [&] { return call({ .address = ready, .target = "/v1/ready" }).head.result_int() == 200; });
    }

    HttpCall request(const std::string& kind, const std::string& id, const std::string& key = "k1")
    {
        HttpCall out { .address = clients, .method = "POST", .target = "/" + kind + "/x", .body = "work" };
        out.headers = { { "Host", "h.example" }, { "X-Request-Id", id }, { "X-Api-Key", key }, { "X-Deadline-Ms", "4000" } };
        return out;
    }

    void setAllServers(ServerMode mode)
    {
        for (std::size_t n = 0; n < platform.servers(); ++n)
            platform.setServerMode(n, mode);
    }

    /// Every server is cut off, its process ends behind the cut, and it is started again under the same id.
    void restartBehindCut()
    {
        for (std::size_t n = 0; n < relays.size(); ++n) {
            relays[n]->silenceConnections();
            platform.restart(n);
        }
    }

    struct Response {
        std::string id;
        std::string body;
    };
    /// Sends requests one after the other until `server` has got one, and returns the response to that one.
    Response responseFrom(ScriptedServer& server, const std::string& kind)
    {
        Response response;
        constexpr int maxRequests = 40;
        for (int n = 0; n < maxRequests && !server.hasRequest(); ++n) {
            response.id = fmt::format("{}-z{}", kind, n);
            response.body = call(request(kind, response.id)).body;
        }
        return response;
    }
    Response streamAt(ScriptedServer& server) { return responseFrom(server, "stream"); }

    /// Sends requests, some at a time so that every server gets one, until the log contains `text`; false if it does not
    /// within `time`.
    bool sendUntilLogged(const std::string& text, milliseconds time)
    {
        int n = 0;
        return waitUntil(Clock::now() + time, [&] {
            constexpr int callsAtATime = 8;
            std::vector<std::future<replay::ExchangeResult>> calls;
            calls.reserve(callsAtATime);
            for (int k = 0; k < callsAtATime; ++k)
                calls.push_back(std::async(std::launch::async, [this, id = fmt::format("q{}", ++n)] { return call(request("safe", id)); }));
            calls.clear();
            return log().find(text) != std::string::npos;
        });
    }

    std::string settings() const { return folder.path() + "/entry.ini"; }
    std::string logFile() const { return folder.path() + "/entry.log"; }
    std::string log() const
    {
        std::ifstream in(logFile());
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

    TemporaryFolder folder;
    std::vector<std::unique_ptr<Relay>> relays;
    FakePlatform platform;
    int descriptors;
    std::string clients;
    std::string ready;
    std::string directory;
    std::string metrics;
    std::unique_ptr<ChildProcess> process;
};

} // namespace swiftloft::process_test
