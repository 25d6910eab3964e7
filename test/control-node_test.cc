#include "src/spread/control-node.h"
#include "src/spread/platform-client.h"
#include "standin/http-server.h"
#include "standin/platform.h"

#include <swiftloft/settings/digest.h>
#include <swiftloft/settings/manifest.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace swiftloft::spread {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

constexpr seconds longestWait { 30 };

const asio::ip::address loopback = asio::ip::make_address("127.0.0.1");

/// A port free for UDP and TCP now.
std::uint16_t freePort(asio::io_context& io)
{
    for (;;) {
        udp::socket probe(io, udp::endpoint(loopback, 0));
        auto port = probe.local_endpoint().port();
        tcp::acceptor acceptor(io);
        boost::system::error_code ec;
        acceptor.open(tcp::v4());
        acceptor.bind(tcp::endpoint(loopback, port), ec);
        if (!ec)
            return port;
    }
}

struct RunningNode {
    std::shared_ptr<ControlNode> node;
    std::vector<Revision> inForce;
    std::string body;
    bool hasLeft { false };
};

/// Nodes with real sockets on the loopback address and the stand-in for the platform, on one loop.
class LoopbackFleet {
public:
    explicit LoopbackFleet(std::size_t size)
        : m_platform(m_io, {})
    {
        auto handle = [this](standin::Exchange& exchange) { return m_platform.handle(exchange); };
        m_server = standin::HttpServer::create(m_io, "127.0.0.1:0", handle).value();
        for (std::size_t i = 0; i < size; ++i) {
            membership::ListedInstance row;
            row.id = membership::NodeId(fmt::format("node-{}", i));
            row.role = i % 2 ? membership::Role::Agent : membership::Role::Entry;
            row.peer = PeerAddress(fmt::format("127.0.0.1:{}", freePort(m_io)));
            row.address = membership::TrafficAddress(row.peer.value());
            row.dataCentre = DataCentreName(fmt::format("dc{}", i % 3));
            m_rows.push_back(row);
        }
        publishList();
        m_nodes.resize(size);
    }
    ~LoopbackFleet()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            stop(i);
        m_io.restart();
        m_io.run_for(milliseconds(20));
    }

    standin::Platform& platform() { return m_platform; }
    asio::io_context& io() { return m_io; }
    RunningNode& operator[](std::size_t i) { return *m_nodes[i]; }
    const std::vector<membership::ListedInstance>& rows() const { return m_rows; }

    void start(std::size_t i)
    {
        m_nodes[i] = std::make_unique<RunningNode>();
        auto* running = m_nodes[i].get();
        ControlNodeOptions options;
        options.self = m_rows[i];
        options.incarnation = Incarnation(++m_incarnations);
        options.platform = m_server->endpoint();
        ControlNodeHooks hooks;
        hooks.onSettings = [running](Revision revision, const std::shared_ptr<const std::string>& body) {
            running->inForce.push_back(revision);
            running->body = *body;
        };
        hooks.onLeaving = [running] { running->hasLeft = true; };
        hooks.checkSettings = [](std::string_view body) { return Validity { body != "broken", "broken" }; };
        running->node = ControlNode::create(options, hooks).value();
        REQUIRE(running->node->start(m_io).has_value());
    }
    void stop(std::size_t i)
    {
        if (m_nodes[i])
            m_nodes[i]->node->stop();
    }

    /// Sends a request to the stand-in. The loop takes it up when it runs next.
    void send(const std::string& method, const std::string& path, const std::string& body)
    {
        m_admin.emplace_back(m_io);
        m_admin.back().connect(m_server->endpoint());
        asio::write(m_admin.back(), asio::buffer(fmt::format("{} {} HTTP/1.1\r\nHost: platform\r\nContent-Length: {}\r\n\r\n{}", method, path, body.size(), body)));
    }

    bool runUntil(const std::function<bool()>& isDone)
    {
        auto end = Clock::now() + longestWait;
        while (!isDone() && Clock::now() < end) {
            m_io.restart();
            m_io.run_for(milliseconds(20));
        }
        return isDone();
    }
    bool all(const std::function<bool(RunningNode&)>& predicate)
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](auto& it) { return predicate(*it); });
    }

private:
    void publishList()
    {
        std::string rows;
        for (auto& row : m_rows) {
            rows += fmt::format(R"({}{{"id":"{}","role":"{}","address":"{}","peer":"{}","data_centre":"{}","service":"","group":"","state":"live"}})", rows.empty() ? "" : ",",
                row.id.value(), toString(row.role), row.address.value(), row.peer.value(), row.dataCentre.value());
        }
        m_platform.publishInstances(fmt::format("[{}]", rows));
    }

    asio::io_context m_io;
    standin::Platform m_platform;
    std::unique_ptr<standin::HttpServer> m_server;
    std::vector<membership::ListedInstance> m_rows;
    std::vector<std::unique_ptr<RunningNode>> m_nodes;
    std::list<tcp::socket> m_admin;
    std::uint64_t m_incarnations { 0 };
};

} // namespace

TEST_CASE("ControlNode: nodes on real sockets become ready, follow changes and hear who leaves", "[spread]")
{
    constexpr std::size_t size = 6;
    LoopbackFleet fleet(size);
    fleet.platform().publishSettings("one");
    for (std::size_t i = 0; i < size; ++i)
        fleet.start(i);
    REQUIRE(fleet.runUntil([&] { return fleet.all([](auto& it) { return it.node->isReady(); }); }));

    std::string large(700'000, 'x');
    for (std::size_t i = 0; i < large.size(); ++i)
        large[i] = static_cast<char>('a' + (i * i / 97) % 26);
    fleet.platform().publishSettings(large);
    REQUIRE(fleet.runUntil([&] { return fleet.all([&](auto& it) { return it.body == large; }); }));

    fleet.platform().publishSettings("broken");
    fleet.platform().publishSettings("three");
    REQUIRE(fleet.runUntil([&] { return fleet.all([](auto& it) { return it.body == "three"; }); }));
    for (std::size_t i = 0; i < size; ++i)
        CHECK(std::is_sorted(fleet[i].inForce.begin(), fleet[i].inForce.end()));

    fleet[2].node->leave();
    auto id = fleet.rows()[2].id;
    CHECK(fleet.runUntil([&] { return fleet.all([&](auto& it) { return it.node->view()->find(id)->isLeaving; }); }));
    CHECK(fleet[2].hasLeft);
    CHECK_FALSE(fleet[1].hasLeft);
}

TEST_CASE("ControlNode: a tree published as a manifest is in force as one text", "[spread]")
{
    constexpr std::size_t size = 3;
    LoopbackFleet fleet(size);
    const std::string first = "[service a]\nparent = default\n";
    const std::string second = "[service b]\nparent = default";
    auto partOf = [](const char* name, const std::string& text) { return settings::Part { name, settings::digestOf(text), Bytes(text.size()) }; };
    auto manifest = settings::Manifest::format({ partOf("a", first), partOf("b", second) });
    for (auto& text : { first, second })
        fleet.send("PUT", "/admin/parts/" + settings::digestOf(text).value(), text);
    fleet.platform().publishSettings(manifest);
    for (std::size_t i = 0; i < size; ++i)
        fleet.start(i);
    CHECK(fleet.runUntil([&] { return fleet.all([&](auto& it) { return it.body == first + second + "\n"; }); }));
}

TEST_CASE("ControlNode: a part that is not what its manifest says is never in force", "[spread]")
{
    // The platform serves a part from a copy that is behind. Joined with the others it makes a tree that nobody wrote.
    constexpr std::size_t size = 2;
    LoopbackFleet fleet(size);
    fleet.platform().publishSettings("one");
    for (std::size_t i = 0; i < size; ++i)
        fleet.start(i);
    REQUIRE(fleet.runUntil([&] { return fleet.all([](auto& it) { return it.body == "one"; }); }));
    const std::string right = "right\n";
    auto digest = settings::digestOf(right);
    fleet.send("PUT", "/admin/parts/" + digest.value(), "wrong\n");
    fleet.platform().publishSettings(settings::Manifest::format({ settings::Part { "a", digest, Bytes(right.size()) } }));
    auto hasTried = [&] { return fleet.all([](auto& it) { return it.node->status().spread[0].platformCalls >= 4; }); };
    CHECK(fleet.runUntil(hasTried));
    CHECK(fleet.all([](auto& it) { return it.body == "one"; }));
    fleet.send("PUT", "/admin/parts/" + digest.value(), right);
    CHECK(fleet.runUntil([&] { return fleet.all([&](auto& it) { return it.body == right; }); }));
}

TEST_CASE("ControlNode: a process that restarts over a stale platform takes its peers' settings", "[spread]")
{
    // The platform serves an old copy while a process restarts. It must not bring the old tree back into force, and must
    // not take traffic by it.
    constexpr std::size_t size = 4;
    LoopbackFleet fleet(size);
    fleet.platform().publishSettings("one");
    for (std::size_t i = 0; i < size; ++i)
        fleet.start(i);
    REQUIRE(fleet.runUntil([&] { return fleet.all([](auto& it) { return it.node->isReady(); }); }));
    fleet.platform().publishSettings("two");
    REQUIRE(fleet.runUntil([&] { return fleet.all([](auto& it) { return it.body == "two"; }); }));
    fleet.send("POST", "/admin/fault", R"({"kind":"stale","revision":1})");
    fleet.stop(0);
    fleet.runUntil([] { return true; });
    fleet.start(0);
    REQUIRE(fleet.runUntil([&] { return fleet[0].node->isReady(); }));
    CHECK(fleet[0].body == "two");
}

TEST_CASE("PlatformClient: a service that accepts and says nothing ends at the deadline", "[spread]")
{
    // The platform's host hangs: connections open, nothing is ever answered. Without a deadline the watch waits for good
    // and no error shows that settings have stopped.
    asio::io_context io;
    tcp::acceptor silent(io, tcp::endpoint(loopback, 0));
    auto client = PlatformClient::create(io, silent.local_endpoint());
    std::optional<PlatformAnswer> answer;
    client->watch(Topic::Settings, Revision(1), Clock::now() + milliseconds(100), [&](PlatformAnswer it) { answer = std::move(it); });
    io.run_for(longestWait);
    REQUIRE(answer);
    CHECK(answer->outcome == PlatformOutcome::Failed);
}

TEST_CASE("PlatformClient: stop ends calls without calling back", "[spread]")
{
    asio::io_context io;
    tcp::acceptor silent(io, tcp::endpoint(loopback, 0));
    auto client = PlatformClient::create(io, silent.local_endpoint());
    bool isCalled = false;
    client->watch(Topic::Settings, Revision(1), Clock::now() + longestWait, [&](const PlatformAnswer&) { isCalled = true; });
    io.run_for(milliseconds(20));
    client->stop();
    auto begin = Clock::now();
    io.restart();
    io.run_for(longestWait);
    CHECK(Clock::now() - begin < longestWait);
    CHECK_FALSE(isCalled);
}

TEST_CASE("ControlNode: refuses a peer address that is none, and one that is taken", "[spread]")
{
    ControlNodeOptions options;
    options.self.id = membership::NodeId("a");
    options.self.peer = PeerAddress("nowhere");
    CHECK(ControlNode::create(options, {}).error().code == ErrorCode::InvalidArgument);
    asio::io_context io;
    udp::socket taken(io, udp::endpoint(loopback, 0));
    options.self.peer = PeerAddress(fmt::format("127.0.0.1:{}", taken.local_endpoint().port()));
    CHECK(ControlNode::create(options, {}).value()->start(io).error().code == ErrorCode::Unavailable);
}

} // namespace swiftloft::spread
