#include "src/gateway/control-message.h"

#include <catch2/catch.hpp>

#include <random>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

Endpoint endpoint(unsigned n)
{
    return { boost::asio::ip::address_v4(0x0a000000 + n), 7000 };
}

ControlMessage throughWire(const ControlMessage& message)
{
    auto bytes = encode(message);
    return decodeMessage(bytes.data(), bytes.size()).value();
}

EntryMember member(unsigned n)
{
    return { endpoint(n), Incarnation(n), 40, endpoint(n + 100), DataCentreName("dc"), EntryState::Leaving, true, milliseconds(2500) };
}

std::vector<ControlMessage> samples()
{
    GroupBrief brief { EngineGroupName("g"), GroupEpoch(4), {}, { { RankIndex(0), endpoint(5) }, { RankIndex(1), endpoint(6) } } };
    brief.traits.layers = 3;
    brief.traits.spareSlots = 4;
    brief.traits.stepMs = 5.5;
    brief.traits.stepsPerPass = 6;
    return {
        Hello { member(1), 7, { StoreEra(2), 12 }, { member(2), member(3) }, { { ServerHash(5), milliseconds(900) }, { ServerHash(6), milliseconds(800), StorePosition { StoreEra(2), 11 } } }, 148, { { endpoint(8), milliseconds(70), true, 2.5 } }, { { ServiceName("model"), 2.5, 300 } },
            { { StoreEra(2), 30 }, { { DataCentreName("dc"), { StoreEra(1), 25 } } } } },
        LoadUpdate { Incarnation(9), 3, { { ServerHash(77), 4, Tokens(900) } }, { { ServerHash(78), RequestRate(0.5), milliseconds(40) }, { ServerHash(79), std::nullopt, milliseconds(50) } }, { { ServerHash(80), milliseconds(600) } } },
        RankStatus { endpoint(5), EngineGroupName("g"), GroupEpoch(4), RankIndex(3), 12, true, 1.5, ServerStartTime(1000), true },
        brief,
    };
}

} // namespace

TEST_CASE("ControlMessage: messages are decoded as they were encoded")
{
    auto all = samples();
    auto hello = std::get<Hello>(throughWire(all[0]));
    CHECK(hello.sender.clients == endpoint(101));
    CHECK(hello.sender.state == EntryState::Leaving);
    CHECK(hello.sender.isWatching);
    CHECK(hello.sender.acceptsFor == milliseconds(2500));
    CHECK(hello.configuration == 7);
    CHECK(hello.members.size() == 2);
    CHECK(hello.leaving.at(0).server == ServerHash(5));
    CHECK(hello.leaving.at(0).remaining == milliseconds(900));
    CHECK(hello.knownPeers == 148);
    CHECK(hello.degraded.at(0).address == endpoint(8));
    CHECK(hello.degraded.at(0).age == milliseconds(70));
    CHECK(hello.degraded.at(0).isOpen);
    CHECK(hello.degraded.at(0).pace == 2.5);
    CHECK(hello.loads.at(0).service == ServiceName("model"));
    CHECK(hello.loads.at(0).running == 2.5);
    CHECK(hello.evacuations.asOf == StorePosition { StoreEra(2), 30 });
    CHECK(hello.evacuations.evacuations == std::vector<Evacuation> { { DataCentreName("dc"), { StoreEra(1), 25 } } });
    auto load = std::get<LoadUpdate>(throughWire(all[1]));
    CHECK(load.servers.at(0).running == 4);
    CHECK(load.servers.at(0).promptTokens == Tokens(900));
    CHECK(load.limits.at(0).server == ServerHash(78));
    CHECK(load.limits.at(0).rate == RequestRate(0.5));
    CHECK(load.limits.at(0).age == milliseconds(40));
    CHECK_FALSE(load.limits.at(1).rate.has_value());
    CHECK(load.silent.at(0).server == ServerHash(80));
    CHECK(load.silent.at(0).remaining == milliseconds(600));
    auto rank = std::get<RankStatus>(throughWire(all[2]));
    CHECK(rank.isOpen);
    CHECK(rank.pace == 1.5);
    CHECK(rank.knowsGroup);
    auto brief = std::get<GroupBrief>(throughWire(all[3]));
    CHECK(brief.traits.spareSlots == 4);
    CHECK(brief.traits.stepMs == 5.5);
    CHECK(brief.traits.stepsPerPass == 6);
    CHECK(brief.ranks.at(1).address == endpoint(6));
}

// Anyone on the network can send to the port. A truncated or changed datagram must not stop an entry.
TEST_CASE("ControlMessage: demand, groups and held tokens are decoded as they were encoded")
{
    ServiceDemand demand { ServiceName("model"), { { 1, 40, 3, 12.5, milliseconds(20), milliseconds(70'000) } }, { { OrganisationName("large"), 900 } } };
    auto sent = demand;
    sent.priorities[0].sinceRefused = PriorityDemand::maxAge;
    Endpoint v6(boost::asio::ip::make_address("fd00::7"), 7001);
    GroupStatus group { EngineGroupName("g"), GroupEpoch(4), milliseconds(30), 88.5, 1.75, true, { { RankIndex(0), endpoint(5) }, { RankIndex(1), v6 } } };
    Hello hello { member(1) };
    hello.demands = { demand };
    hello.groups = { group };
    auto received = std::get<Hello>(throughWire(hello));
    CHECK(received.demands == std::vector { sent });
    CHECK(received.groups == std::vector { group });

    LoadUpdate load { Incarnation(9), 3, { { ServerHash(77), 4, Tokens(900), Tokens(5000) } }, {}, {}, { demand } };
    auto loadReceived = std::get<LoadUpdate>(throughWire(load));
    CHECK(loadReceived.demands == std::vector { sent });
    CHECK(loadReceived.servers.at(0).heldTokens == Tokens(5000));

    RankStatus rank { endpoint(5), EngineGroupName("g"), GroupEpoch(4), RankIndex(0), 12, true, 1.5, ServerStartTime(1000), true, 95.5, 1.5, true, Tokens(41'000), Tokens(90'000) };
    auto rankReceived = std::get<RankStatus>(throughWire(rank));
    CHECK(rankReceived.passMs == 95.5);
    CHECK(rankReceived.imbalance == 1.5);
    CHECK(rankReceived.isCopying);
    CHECK(rankReceived.heldTokens == Tokens(41'000));
    CHECK(rankReceived.tokenCapacity == Tokens(90'000));
}

TEST_CASE("ControlMessage: suspects and ended engines are decoded as they were encoded, in at most 26 bytes per suspect, 28 per part")
{
    std::vector<policy::SuspicionMessage> suspicions;
    for (std::uint64_t n = 1; n <= 32; ++n)
        suspicions.push_back({ Fingerprint(n * 0x9e3779b97f4a7c15), policy::CrashId(n * 0xc2b2ae3d27d4eb4f), n % 2 == 0, milliseconds(4'000'000 + n), 16, n % 3 == 0 });
    Hello hello { member(1), 7, {}, {}, {}, 1, { { endpoint(8), milliseconds(70), false, 1, true } } };
    auto bytesBefore = encode(ControlMessage(hello)).size();
    hello.suspicions = suspicions;
    CHECK(encode(ControlMessage(hello)).size() <= bytesBefore + 32 * 26 + 8);
    auto helloReceived = std::get<Hello>(throughWire(hello));
    CHECK(helloReceived.suspicions == suspicions);
    CHECK(helloReceived.degraded.at(0).hasEngineEnded);

    for (auto& it : suspicions) {
        it.specificity = policy::Specificity(2);
        it.round = policy::CrashRound(3);
    }
    hello.suspicions = suspicions;
    CHECK(encode(ControlMessage(hello)).size() <= bytesBefore + 32 * 28 + 8);
    CHECK(std::get<Hello>(throughWire(hello)).suspicions == suspicions);

    LoadUpdate load { Incarnation(9), 3, {}, {}, {}, {}, suspicions, { Fingerprint(5), Fingerprint(6) } };
    auto loadReceived = std::get<LoadUpdate>(throughWire(load));
    CHECK(loadReceived.suspicions == suspicions);
    CHECK(loadReceived.trials == load.trials);

    RankStatus rank { endpoint(5), EngineGroupName("g"), GroupEpoch(4), RankIndex(0), 12 };
    rank.hasEngineEnded = true;
    CHECK(std::get<RankStatus>(throughWire(rank)).hasEngineEnded);
}

TEST_CASE("ControlMessage: damaged datagrams are either rejected or decoded, without other effects")
{
    std::mt19937 random(11);
    for (auto& sample : samples()) {
        auto bytes = encode(sample);
        for (int n = 0; n < 2000; ++n) {
            auto damaged = bytes;
            damaged[random() % damaged.size()] = static_cast<char>(random());
            damaged.resize(random() % (damaged.size() + 1));
            auto parsed = decodeMessage(damaged.data(), damaged.size());
            if (!parsed)
                CHECK(parsed.error().code == ErrorCode::MalformedInput);
        }
    }
}

TEST_CASE("ControlMessage: published documents keep their bytes")
{
    PublishedItems items { { { "s1", std::string("a\0b", 3), 12, false, {}, StoreEra(2) } }, 40, StoreEra(3) };
    auto back = decodeItems(encode(items)).value();
    CHECK(back.position() == StorePosition { StoreEra(3), 40 });
    REQUIRE(back.items.size() == 1);
    CHECK(back.items[0].document == items.items[0].document);
    CHECK(back.items[0].position() == StorePosition { StoreEra(2), 12 });
    CHECK_FALSE(decodeItems("nonsense").has_value());
}
