#include "src/process/client-bounds.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace swiftloft;
using process::ClientBounds;

namespace {

constexpr std::size_t megabyte { std::size_t { 1 } << 20 };
constexpr std::size_t smallRequest { std::size_t { 16 } << 10 };

/// Connections of clients, opened one second after the other. Each reads a request.
class Clients {
public:
    explicit Clients(const ClientBounds::Options& options)
        : bounds(options)
    {
    }

    ClientBounds::Share& open()
    {
        auto n = m_shares.size();
        m_now += seconds(1);
        m_shares.push_back(std::make_unique<ClientBounds::Share>(bounds, [this, n](auto needed) {
            madeWay.push_back(n);
            this->needed = needed;
        }));
        m_shares.back()->startReading(m_now);
        return *m_shares.back();
    }
    ClientBounds::Share& open(std::size_t bytes)
    {
        auto& share = open();
        isRefused = !share.resize(m_now, bytes);
        return share;
    }
    ClientBounds::Share& at(std::size_t n) { return *m_shares[n]; }
    TimePoint now() const { return m_now; }

    ClientBounds bounds;
    std::vector<std::size_t> madeWay;
    ClientBounds::Needed needed {};
    bool isRefused { false };

private:
    TimePoint m_now {};
    std::vector<std::unique_ptr<ClientBounds::Share>> m_shares;
};

using Numbers = std::vector<std::size_t>;

} // namespace

// Guards against this failure: clients that stopped sending keep the memory, and those that send are refused.
TEST_CASE("ClientBounds: the request that has made no progress for longest makes way")
{
    Clients clients({ 100, 8 * megabyte });
    for (int n = 0; n < 5; ++n)
        clients.open(megabyte);
    // The first one sends again.
    CHECK(clients.at(0).resize(clients.now(), megabyte + ClientBounds::progressBytes));
    clients.open(megabyte);
    CHECK(clients.madeWay == Numbers { 1 });
    CHECK(clients.needed == ClientBounds::Needed::Bytes);
    CHECK_FALSE(clients.isRefused);
    CHECK(clients.bounds.bytes() <= 6 * megabyte);
}

// Guards against this failure: a client sends a byte now and then, and keeps its memory before those that send.
TEST_CASE("ClientBounds: a few bytes are no progress")
{
    Clients clients({ 100, 4 * megabyte });
    clients.open(megabyte);
    clients.open(megabyte);
    CHECK(clients.at(0).resize(clients.now(), megabyte + 1));
    clients.open(megabyte);
    CHECK(clients.madeWay == Numbers { 0 });
}

// Guards against this failure: large requests in progress take all memory, and small ones are refused.
TEST_CASE("ClientBounds: large requests leave memory for small ones")
{
    Clients clients({ 100, 4 * megabyte });
    for (int n = 0; n < 2; ++n)
        clients.open(megabyte).startProgress();
    clients.open(megabyte);
    CHECK(clients.isRefused);
    clients.at(2).resize(clients.now(), 0);
    for (int n = 0; n < 40; ++n) {
        clients.open(smallRequest).startProgress();
        CHECK_FALSE(clients.isRefused);
    }
    CHECK(clients.madeWay.empty());
}

// Guards against this failure: a large request takes the memory of small ones that are being read.
TEST_CASE("ClientBounds: small requests do not make way for large ones")
{
    Clients clients({ 1000, megabyte });
    for (int n = 0; n < 30; ++n)
        clients.open(smallRequest);
    clients.open(megabyte / 2);
    CHECK(clients.isRefused);
    CHECK(clients.madeWay.empty());
}

// Guards against this failure: idle connections keep others out, or a request in progress is ended for a new connection.
TEST_CASE("ClientBounds: an idle connection makes way for a new one, a request in progress does not")
{
    Clients clients({ 3, megabyte });
    clients.open().startProgress();
    clients.open();
    clients.open().startProgress();
    CHECK(clients.open().isAdmitted());
    CHECK(clients.madeWay == Numbers { 1 });
    CHECK(clients.needed == ClientBounds::Needed::Connection);
    clients.at(3).startProgress();
    CHECK_FALSE(clients.open().isAdmitted());
    CHECK(clients.bounds.connections() == 3);
}

// Guards against this failure: clients that do not read their responses keep all connections.
TEST_CASE("ClientBounds: a stalled response makes way if no idle connection does")
{
    Clients clients({ 2, megabyte });
    clients.open().onStalled(clients.now());
    clients.open();
    CHECK(clients.open().isAdmitted());
    CHECK(clients.madeWay == Numbers { 1 });
    clients.at(2).startProgress();
    CHECK(clients.open().isAdmitted());
    CHECK(clients.madeWay == Numbers { 1, 0 });
}
