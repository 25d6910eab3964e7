#include "test/process/client-crowd.h"
#include "test/process/entry-rig.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace swiftloft;
using namespace swiftloft::process_test;

namespace {

constexpr std::size_t kilobyte { 1024 };
constexpr std::size_t maxBodyBytes { 1024 * kilobyte };
/// Longer than a test, so that a crowd is not cut off for being idle.
constexpr milliseconds idleTimeout { 120'000 };

struct Crowd {
    std::string name;
    std::size_t clients;
    /// Fields of the requests' heads after those that all requests have.
    std::string fields;
    std::string rest;
};

const std::string chunked = "Transfer-Encoding: chunked\r\n";

std::string lengthField(std::size_t length)
{
    return fmt::format("Content-Length: {}\r\n", length);
}

std::string repeated(const std::string& text, std::size_t count)
{
    std::string out;
    for (std::size_t n = 0; n < count; ++n)
        out += text;
    return out;
}

std::string chunkOf(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

/// An entry that is ready. Its clients may send bodies of up to `maxBodyBytes`.
struct CrowdRig : EntryRig {
    explicit CrowdRig(int descriptors = 0)
        : EntryRig(2, { .limits = { maxBodyBytes, idleTimeout }, .descriptors = descriptors })
    {
        start();
        REQUIRE(isReady());
    }

    /// Request of the kind for an id of its own, without the empty line that ends its head.
    static std::string headOf(const std::string& kind, std::size_t client, const std::string& fields)
    {
        return fmt::format("POST /{}/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd{}\r\nX-Api-Key: k1\r\nX-Deadline-Ms: 4000\r\n{}", kind, client, fields);
    }

    std::unique_ptr<ClientCrowd> send(const std::string& address, const Crowd& crowd) const
    {
        auto head = [crowd](std::size_t n) { return headOf("once", n, crowd.fields) + "\r\n"; };
        auto sent = std::make_unique<ClientCrowd>(ClientCrowd::Options { address, crowd.clients, head, crowd.rest });
        sent->send();
        return sent;
    }

    bool servesOrdinaryRequest()
    {
        return waitUntil(Clock::now() + seconds(20), [this] {
            auto id = fmt::format("ordinary{}", ++lastId);
            auto result = call(request("safe", id));
            return result.head.result_int() == 200 && result.body == FakePlatform::plainBody(id);
        });
    }

    void checkBounds()
    {
        waitForStableMemory(process->pid());
        CHECK(servesOrdinaryRequest());
        CHECK(process->isRunning());
        CHECK(peakMemory(process->pid()) < maxMemoryBytes);
    }

    int lastId { 0 };
};

} // namespace

// Guards against this failure: each body stays within the limit, its client stops before the end, and many of them fill the memory.
TEST_CASE("Client crowds: unfinished bodies take bounded memory", "[crowd]")
{
    auto crowd = GENERATE(Crowd { "announced, the last byte missing", 256, lengthField(maxBodyBytes), std::string(maxBodyBytes - 1, 'x') },
        Crowd { "large chunks without an end", 256, chunked, repeated(chunkOf(64 * kilobyte), 15) },
        Crowd { "one chunk, the last bytes missing", 256, chunked, "fffff\r\n" + std::string(maxBodyBytes - 16, 'x') },
        Crowd { "small chunks without an end", 256, chunked, repeated(chunkOf(16), 60'000) });
    INFO(crowd.name);
    CrowdRig rig;
    auto sent = rig.send(rig.clients, crowd);
    rig.checkBounds();
}

// Guards against this failure: bodies far over the limit, announced or not, are kept until they are refused.
TEST_CASE("Client crowds: bodies over the limit take bounded memory", "[crowd]")
{
    auto crowd = GENERATE(Crowd { "announced", 256, lengthField(50 * maxBodyBytes), std::string(4 * maxBodyBytes, 'x') },
        Crowd { "in chunks", 256, chunked, repeated(chunkOf(64 * kilobyte), 128) });
    INFO(crowd.name);
    CrowdRig rig;
    auto sent = rig.send(rig.clients, crowd);
    rig.checkBounds();
}

// Guards against this failure: bytes that belong to no body are bounded for each connection and for all of them not.
TEST_CASE("Client crowds: unfinished chunk headers and trailers take bounded memory", "[crowd]")
{
    auto crowd = GENERATE(Crowd { "trailer", 1200, chunked, "0\r\nX-Trailer: " + std::string(120 * kilobyte, 'x') },
        Crowd { "chunk extension", 1200, chunked, "5;" + std::string(120 * kilobyte, 'x') });
    INFO(crowd.name);
    CrowdRig rig;
    auto sent = rig.send(rig.clients, crowd);
    rig.checkBounds();
}

// Guards against this failure: a parsed head takes many times its bytes if it has many small fields.
TEST_CASE("Client crowds: heads of many fields take bounded memory", "[crowd]")
{
    CrowdRig rig;
    auto sent = rig.send(rig.clients, { "", 900, repeated("a:\r\n", 3900) + lengthField(10), "x" });
    rig.checkBounds();
}

// Guards against this failure: complete requests wait for servers, and their bodies together fill the memory.
TEST_CASE("Client crowds: complete bodies of requests that wait take bounded memory", "[crowd]")
{
    CrowdRig rig;
    rig.setAllServers(ServerMode::Silent);
    auto sent = rig.send(rig.clients, { "", 256, lengthField(maxBodyBytes), std::string(maxBodyBytes, 'x') });
    rig.setAllServers(ServerMode::Normal);
    rig.checkBounds();
}

// Guards against this failure: responses that their clients do not read are bounded each and together not.
TEST_CASE("Client crowds: unread responses take bounded memory", "[crowd]")
{
    CrowdRig rig;
    auto head = [](std::size_t n) {
        return fmt::format("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}{}\r\nX-Api-Key: k1\r\n{}\r\n", FakePlatform::largeIdPrefix, n, lengthField(0));
    };
    // The servers take few requests at a time.
    std::vector<std::unique_ptr<ClientCrowd>> crowds;
    for (std::size_t n = 0; n < 100; ++n) {
        auto part = [head, n](std::size_t client) { return head(n * 8 + client); };
        crowds.push_back(std::make_unique<ClientCrowd>(ClientCrowd::Options { rig.clients, 8, part }));
        crowds.back()->send();
        std::this_thread::sleep_for(milliseconds(40));
    }
    rig.checkBounds();
}

// Guards against this failure: the pages for the platform and for clients that look for an entry read bodies that they do not need.
TEST_CASE("Client crowds: bodies to pages take bounded memory", "[crowd]")
{
    CrowdRig rig;
    auto address = std::array { rig.ready, rig.directory, rig.metrics }[GENERATE(0U, 1U, 2U)];
    auto sent = rig.send(address, { "", 256, chunked, repeated(chunkOf(64 * kilobyte), 15) });
    rig.checkBounds();
    CHECK(call({ .address = address, .target = "/" }).head.result_int() == 404);
    CHECK(rig.isReady());
}

// Guards against this failure: idle connections take all descriptors, and the entry reaches neither clients, servers nor the store.
TEST_CASE("Client crowds: idle connections leave descriptors to others", "[crowd]")
{
    constexpr int maxDescriptors = 256;
    /// What servers, the store, other entries and files need.
    constexpr int otherDescriptors = 40;
    CrowdRig rig(maxDescriptors);
    auto address = std::array { rig.clients, rig.ready, rig.directory, rig.metrics }[GENERATE(0U, 1U, 2U, 3U)];
    ClientCrowd crowd({ address, 400 });
    crowd.send();
    CHECK(rig.servesOrdinaryRequest());
    CHECK(rig.isReady());
    CHECK(rig.process->isRunning());
    CHECK(openDescriptors(rig.process->pid()) <= maxDescriptors - otherDescriptors);
}

// Guards against this failure: an entry does not end while clients keep their connections open.
TEST_CASE("Client crowds: a stopped entry ends although clients keep unfinished requests open", "[crowd]")
{
    CrowdRig rig;
    auto sent = rig.send(rig.clients, { "", 256, lengthField(maxBodyBytes), std::string(maxBodyBytes - 1, 'x') });
    rig.process->terminate();
    CHECK(rig.process->waitForExit(Clock::now() + seconds(30)) == 0);
}

// Guards against this failure: a client that sends one body of the largest size slowly is refused although nobody else needs the memory.
TEST_CASE("Client crowds: a slow body of the largest size is served in calm", "[crowd]")
{
    CrowdRig rig;
    auto isChunked = GENERATE(false, true);
    constexpr std::size_t parts = 16;
    auto id = isChunked ? "slow-chunks" : "slow-length";
    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::socket client(ioContext);
    client.connect(standin::parseEndpoint(rig.clients).value());
    auto send = [&](const std::string& text) { boost::asio::write(client, boost::asio::buffer(text)); };
    send(fmt::format("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}\r\nX-Api-Key: k1\r\n{}Connection: close\r\n\r\n", id, isChunked ? chunked : lengthField(maxBodyBytes)));
    for (std::size_t n = 0; n < parts; ++n) {
        std::this_thread::sleep_for(milliseconds(100));
        send(isChunked ? chunkOf(maxBodyBytes / parts) : std::string(maxBodyBytes / parts, 'x'));
    }
    if (isChunked)
        send("0\r\n\r\n");
    std::string response;
    boost::system::error_code ec;
    boost::asio::read(client, boost::asio::dynamic_buffer(response), ec);
    CHECK_THAT(response, Catch::Matchers::StartsWith("HTTP/1.1 200 "));
    CHECK_THAT(response, Catch::Matchers::EndsWith(FakePlatform::plainBody(id)));
}
