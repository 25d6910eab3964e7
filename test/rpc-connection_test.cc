#include "src/rpc/agent.capnp.h"
#include "src/rpc/connection.h"
#include "src/rpc/event-loop.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace swiftloft;
using boost::asio::ip::tcp;

namespace {

class FakeAgent final : public rpc::schema::Agent::Server {
public:
    kj::Promise<void> report(ReportContext context) override
    {
        context.getResults().initReport().setIncarnation(context.getParams().getEntry().size());
        return kj::READY_NOW;
    }
};

tcp::endpoint anyLoopbackPort()
{
    return { boost::asio::ip::address_v4::loopback(), 0 };
}

} // namespace

TEST_CASE("RPC: a call and its answer cross one Asio loop")
{
    rpc::EventLoop loop;
    std::unique_ptr<rpc::Listener> listener;
    std::unique_ptr<rpc::ClientConnection> client;
    kj::Promise<void> call = nullptr;
    std::uint64_t got = 0;

    loop.run(
        [&] {
            listener = std::make_unique<rpc::Listener>(loop.ioContext(), anyLoopbackPort(), kj::heap<FakeAgent>());
            tcp::socket socket(loop.ioContext());
            socket.connect(listener->localEndpoint());
            client = std::make_unique<rpc::ClientConnection>(std::move(socket));
            auto request = client->bootstrap().castAs<rpc::schema::Agent>().reportRequest();
            request.setEntry("entry-1");
            call = request.send().then([&](auto&& answer) {
                                     got = answer.getReport().getIncarnation();
                                     loop.stop();
                                 })
                       .eagerlyEvaluate(nullptr);
        },
        [&] {
            call = nullptr;
            client.reset();
            listener.reset();
        });
    CHECK(got == 7);
}

// A caller sees its requests go on when some other peer sends garbage to the same agent: a peer with a broken build
// connects and writes bytes that are no RPC message; its connection is dropped, the listener and other connections stay.
TEST_CASE("RPC: bytes that are no message end only their own connection")
{
    rpc::EventLoop loop;
    std::unique_ptr<rpc::Listener> listener;
    std::unique_ptr<rpc::ClientConnection> client;
    std::unique_ptr<tcp::socket> broken;
    kj::Promise<void> call = nullptr;
    std::string garbage(512, '\xee');
    char sink[64];
    bool wasDropped = false;
    bool wasAnswered = false;

    loop.run(
        [&] {
            listener = std::make_unique<rpc::Listener>(loop.ioContext(), anyLoopbackPort(), kj::heap<FakeAgent>());
            broken = std::make_unique<tcp::socket>(loop.ioContext());
            broken->connect(listener->localEndpoint());
            boost::asio::write(*broken, boost::asio::buffer(garbage));
            broken->async_read_some(boost::asio::buffer(sink), [&](boost::system::error_code, std::size_t) {
                wasDropped = true;
                tcp::socket socket(loop.ioContext());
                socket.connect(listener->localEndpoint());
                client = std::make_unique<rpc::ClientConnection>(std::move(socket));
                call = client->bootstrap().castAs<rpc::schema::Agent>().reportRequest().send().then([&](auto&&) {
                                                                                                  wasAnswered = true;
                                                                                                  loop.stop();
                                                                                              })
                           .eagerlyEvaluate(nullptr);
            });
        },
        [&] {
            call = nullptr;
            client.reset();
            listener.reset();
        });
    CHECK(wasDropped);
    CHECK(wasAnswered);
}
