#include "src/agent/group-transport.h"
#include "src/expertmap/engine-json.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::agent;
using namespace swiftloft::expertmap;

namespace {

constexpr milliseconds deliveryTimeout { 2000 };
constexpr milliseconds quietPeriod { 100 };

const SwitchPoint point { MapVersion(0xfedcba9876543210), StepNumber(77) };

/// The transports of two agents on one event loop.
class TransportPair {
public:
    TransportPair(const std::string& firstGroup, const std::string& secondGroup)
        : m_first(make(firstGroup, m_atFirst))
        , m_second(make(secondGroup, m_atSecond))
    {
    }
    ~TransportPair()
    {
        m_first->stop();
        m_second->stop();
        m_context.run_for(quietPeriod);
    }

    void send(const GroupMessage& message) { m_first->send(m_second->localEndpoint(), message); }

    /// Returns the messages that the second transport has received, waiting up to `limit` for the first one.
    std::vector<GroupMessage> received(milliseconds limit)
    {
        auto deadline = Clock::now() + limit;
        while (m_atSecond.empty() && Clock::now() < deadline)
            m_context.run_one_until(deadline);
        return m_atSecond;
    }

private:
    std::shared_ptr<GroupTransport> make(const std::string& group, std::vector<GroupMessage>& inbox)
    {
        GroupTransport::Endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        return GroupTransport::create(m_context, any, group, [&inbox](const auto&, const GroupMessage& it) { inbox.push_back(it); }).value();
    }

    boost::asio::io_context m_context;
    std::vector<GroupMessage> m_atFirst;
    std::vector<GroupMessage> m_atSecond;
    std::shared_ptr<GroupTransport> m_first;
    std::shared_ptr<GroupTransport> m_second;
};

} // namespace

TEST_CASE("Engine orders: each order parses back from its JSON")
{
    auto order = GENERATE(Order(ReadStatus {}), Order(StageMap { point.version }), Order(DropMaps { point.version }), Order(Admit { MapVersion(5), std::nullopt }),
        Order(Admit { MapVersion(5), point }), Order(Arm { point }), Order(Go { point }), Order(Cancel { point }));
    EngineOrder sent { 9, { 4, Incarnation(0xffffffffffffffff) }, order };
    auto read = engine_json::parseOrder(engine_json::toJson(sent)).value();
    CHECK(read.id == sent.id);
    CHECK(read.fence == sent.fence);
    CHECK(read.order == sent.order);
}

TEST_CASE("Engine orders: a status parses back from its JSON")
{
    EngineStatus status { Incarnation(3), true, MapVersion(5), StepNumber(70), point, true, { MapVersion(5), point.version } };
    auto read = engine_json::parseResponse(engine_json::toJson(engine_json::EngineResponse { status, { 8, Incarnation(2) } })).value();
    CHECK(read.status == status);
    CHECK(read.fence == FencingNumber { 8, Incarnation(2) });
}

TEST_CASE("Engine orders: malformed orders and responses are rejected")
{
    auto text = GENERATE("", "not json", "[]", "{}", R"({"engine":"x"})");
    CHECK_FALSE(engine_json::parseResponse(text).has_value());
    CHECK_FALSE(engine_json::parseOrder(text).has_value());
}

TEST_CASE("Group transport: orders and maps arrive as they were sent")
{
    TransportPair pair("ranks", "ranks");
    SECTION("an order")
    {
        RankOrder order { { 2, Incarnation(11) }, 5, RankIndex(3), Incarnation(12), Arm { point } };
        pair.send(order);
        auto got = pair.received(deliveryTimeout);
        REQUIRE(got.size() == 1);
        CHECK(std::get<RankOrder>(got[0]).order == order.order);
    }
    SECTION("the largest map currently planned")
    {
        auto map = ExpertMap::contiguous({ 64, 60, 64, 2 }).value();
        VersionedMap named { MapVersion(41), map };
        pair.send(named);
        auto got = pair.received(deliveryTimeout);
        REQUIRE(got.size() == 1);
        CHECK(std::get<VersionedMap>(got[0]) == named);
    }
}

// An instance is moved to another group, and the coordinator of its old group does not know yet. That coordinator's
// orders arrive at the instance's address and name a rank that the new group has too. If accepted, they would arm an
// engine for a map that it doesn't run.
TEST_CASE("Group transport: a message of another group is dropped")
{
    TransportPair pair("old", "new");
    pair.send(RankOrder { { 2, Incarnation(11) }, 5, RankIndex(0), Incarnation(12), Arm { point } });
    CHECK(pair.received(quietPeriod).empty());
}
