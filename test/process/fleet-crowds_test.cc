#include "test/process/client-crowd.h"
#include "test/process/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace swiftloft;
using namespace swiftloft::process_test;

namespace {

constexpr std::size_t megabyte { std::size_t { 1024 } * 1024 };
/// Largest body that an entry accepts.
constexpr std::size_t maxBodyBytes { 8 * megabyte };

std::string headOf(const std::string& target, const std::string& service, const std::string& fields)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: entry\r\nSwiftloft-Service: {}\r\nSwiftloft-Organisation: caller\r\n{}\r\n", target, service, fields);
}

std::string lengthField(std::size_t length)
{
    return fmt::format("Content-Length: {}\r\n", length);
}

/// One model engine and one plain server, each with an agent, and one entry.
struct CrowdFleet : Fleet {
    explicit CrowdFleet(int entryDescriptors = 0)
        : Fleet({ .engines = 1, .plainServers = 1, .entryDescriptors = entryDescriptors })
    {
        REQUIRE(waitUntilReady());
    }

    std::unique_ptr<ClientCrowd> send(std::size_t clients, const std::string& head, const std::string& rest)
    {
        auto crowd = std::make_unique<ClientCrowd>(ClientCrowd::Options { entry().address(), clients, [head](std::size_t) { return head; }, rest });
        crowd->send();
        return crowd;
    }

    bool servesOrdinaryRequest()
    {
        return waitUntil(Clock::now() + seconds(20), [this] { return call(order(entry(), "an ordinary order")).head.result_int() == 200; });
    }

    void checkBounds()
    {
        waitForStableMemory(entry().process->pid());
        for (auto& server : servers())
            waitForStableMemory(server.agent->pid());
        CHECK(servesOrdinaryRequest());
        CHECK(entry().process->isRunning());
        CHECK(peakMemory(entry().process->pid()) < maxMemoryBytes);
        for (auto& server : servers()) {
            CHECK(server.agent->isRunning());
            CHECK(peakMemory(server.agent->pid()) < maxMemoryBytes);
        }
    }
};

} // namespace

// Guards against this failure: each body stays within the limit, its client stops before the end, and many of them fill the memory.
TEST_CASE("Fleet crowds: unfinished bodies take bounded memory", "[crowd]")
{
    CrowdFleet fleet;
    auto isChunked = GENERATE(false, true);
    constexpr std::size_t chunkBytes = 64 * 1024;
    std::string body(maxBodyBytes - 1, 'x');
    if (isChunked) {
        body.clear();
        for (std::size_t n = 1; n < maxBodyBytes / chunkBytes; ++n)
            body += fmt::format("{:x}\r\n{}\r\n", chunkBytes, std::string(chunkBytes, 'x'));
    }
    auto crowd = fleet.send(40, headOf("/orders", "plain", isChunked ? "Transfer-Encoding: chunked\r\n" : lengthField(maxBodyBytes)), body);
    fleet.checkBounds();
}

// Guards against this failure: complete requests wait for their server, and their bodies together fill the memory of the entry or
// of the agent.
TEST_CASE("Fleet crowds: complete bodies of requests in progress take bounded memory", "[crowd]")
{
    CrowdFleet fleet;
    auto crowd = fleet.send(40, headOf("/orders?delay_ms=3000", "plain", lengthField(maxBodyBytes)), std::string(maxBodyBytes, 'x'));
    fleet.checkBounds();
}

// Guards against this failure: an agent keeps finished responses for resent requests, and with each the body of its request.
TEST_CASE("Fleet crowds: bodies of finished requests take no memory of an agent", "[crowd]")
{
    CrowdFleet fleet;
    constexpr std::size_t requests = 30;
    for (std::size_t n = 0; n < requests; ++n)
        REQUIRE(call(order(fleet.entry(), std::string(maxBodyBytes, 'x'))).head.result_int() == 200);
    fleet.checkBounds();
}

// Guards against this failure: a parsed body takes many times its bytes if it has many small values.
TEST_CASE("Fleet crowds: model requests of many small values take bounded memory", "[crowd]")
{
    CrowdFleet fleet;
    std::string body = "{\"prompt\":\"x\",\"max_tokens\":1,\"more\":[0";
    while (body.size() < maxBodyBytes - 4)
        body += ",0";
    body += "]}";
    auto crowd = fleet.send(1, headOf("/v1/completions", "model", lengthField(body.size())), body);
    fleet.checkBounds();
}

// Guards against this failure: the status pages of an entry or an agent read bodies that they do not need.
TEST_CASE("Fleet crowds: bodies to status pages take bounded memory", "[crowd]")
{
    CrowdFleet fleet;
    auto isAgent = GENERATE(false, true);
    auto address = isAgent ? fleet.plain(0).statusAddress() : fleet.entry().address();
    std::string body(megabyte - 1, 'x');
    ClientCrowd crowd({ address, 256, [](std::size_t) { return fmt::format("GET /healthz HTTP/1.1\r\nHost: page\r\n{}\r\n", lengthField(megabyte)); }, body });
    crowd.send();
    fleet.checkBounds();
    CHECK(waitUntil(Clock::now() + seconds(20), [&] { return call({ .address = address, .target = "/healthz" }).head.result_int() == 200; }));
}

// Guards against this failure: idle connections take all descriptors, and the entry accepts nobody and reaches no agent.
TEST_CASE("Fleet crowds: idle connections leave descriptors to others", "[crowd]")
{
    constexpr int maxDescriptors = 256;
    /// What agents, the platform, other entries and files need.
    constexpr int otherDescriptors = 40;
    CrowdFleet fleet(maxDescriptors);
    ClientCrowd crowd({ fleet.entry().address(), 400 });
    crowd.send();
    CHECK(fleet.servesOrdinaryRequest());
    CHECK(fleet.entry().process->isRunning());
    CHECK(openDescriptors(fleet.entry().process->pid()) <= maxDescriptors - otherDescriptors);
}

// Guards against this failure: one body of the largest size is refused although nobody else needs the memory.
TEST_CASE("Fleet crowds: a body of the largest size is served in calm", "[crowd]")
{
    CrowdFleet fleet;
    auto result = call(order(fleet.entry(), std::string(maxBodyBytes, 'x')));
    CHECK(result.head.result_int() == 200);
    CHECK(result.end == replay::ExchangeEnd::Whole);
    CHECK(verdictOf(result) == "ran");
}
