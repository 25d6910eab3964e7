#include "src/expertmap/wire.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <catch2/catch.hpp>

#include <cstring>
#include <random>

using namespace swiftloft;
using namespace swiftloft::expertmap;

namespace {

constexpr SwitchPoint point { MapVersion(7), StepNumber(40) };

/// A serialized message, in words of eight bytes.
using Words = std::vector<std::uint64_t>;

template <typename Schema, typename T>
Words serialize(const T& value)
{
    capnp::MallocMessageBuilder message;
    wire::build(message.initRoot<Schema>(), value);
    auto sent = capnp::messageToFlatArray(message);
    Words words(sent.size());
    std::memcpy(words.data(), sent.begin(), sent.size() * sizeof(capnp::word));
    return words;
}

template <typename Schema>
auto parseWords(const Words& words)
{
    using Parsed = decltype(wire::parse(std::declval<typename Schema::Reader>()));
    try {
        capnp::ReaderOptions options { 64 * 1024, 16 };
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(reinterpret_cast<const capnp::word*>(words.data()), words.size()), options);
        return wire::parse(reader.getRoot<Schema>());
    } catch (const kj::Exception&) {
        return Parsed(Error { ErrorCode::MalformedInput, "" });
    }
}

template <typename Schema, typename T>
void corruptAndParse(const T& value, std::mt19937_64& random)
{
    for (int n = 0; n < 3000; ++n) {
        auto words = serialize<Schema>(value);
        auto* bytes = reinterpret_cast<unsigned char*>(words.data());
        for (int k = 0; k < 3; ++k)
            bytes[random() % (words.size() * sizeof(words[0]))] = static_cast<unsigned char>(random());
        words.resize(words.size() - random() % 2);
        auto parsed = parseWords<Schema>(words);
        if (parsed)
            serialize<Schema>(*parsed);
        else
            CHECK(parsed.error().code == ErrorCode::MalformedInput);
    }
}

RankReport sampleReport()
{
    EngineStatus status { Incarnation(50), true, MapVersion(6), StepNumber(39), point, true, { MapVersion(6), MapVersion(7) } };
    return { RankIndex(3), Incarnation(9), { 4, Incarnation(8) }, 12, status };
}

} // namespace

TEST_CASE("Wire: each order and report parses back to what was sent")
{
    std::vector<Order> orders { ReadStatus {}, StageMap { MapVersion(7) }, DropMaps { MapVersion(6) }, Admit { MapVersion(6), std::nullopt },
        Admit { MapVersion(6), point }, Arm { point }, Go { point }, Cancel { point } };
    for (auto& order : orders) {
        RankOrder sent { { 4, Incarnation(8) }, 12, RankIndex(3), Incarnation(50), order };
        auto words = serialize<schema::RankOrder>(sent);
        auto got = parseWords<schema::RankOrder>(words);
        REQUIRE(got.has_value());
        CHECK(got->order == order);
        CHECK(got->fence == sent.fence);
        CHECK(got->round == 12);
        CHECK(got->rank == sent.rank);
        CHECK(got->engine == sent.engine);
    }
    auto words = serialize<schema::RankReport>(sampleReport());
    auto got = parseWords<schema::RankReport>(words);
    REQUIRE(got.has_value());
    CHECK(got->status == sampleReport().status);
    VersionedMap map { MapVersion(41), ExpertMap::contiguous({ 4, 3, 8, 3 }).value() };
    words = serialize<schema::ExpertMap>(map);
    CHECK(parseWords<schema::ExpertMap>(words).value() == map);
}

TEST_CASE("Wire: invalid messages are rejected")
{
    // A damaged or hostile message must not affect a rank. Without these checks each of the messages was accepted.
    auto isRejected = [](const RankReport& report) {
        auto words = serialize<schema::RankReport>(report);
        return !parseWords<schema::RankReport>(words).has_value();
    };
    auto report = sampleReport();
    report.rank = RankIndex(wire::maxRanks);
    CHECK(isRejected(report));
    report = sampleReport();
    report.status->armed.reset();
    CHECK(isRejected(report));
    report = sampleReport();
    report.status->staged.assign(wire::maxStagedMaps + 1, MapVersion(1));
    CHECK(isRejected(report));
    report = sampleReport();
    report.status->engine = Incarnation(0);
    CHECK(isRejected(report));
    report = sampleReport();
    report.promised.counter = wire::maxFenceCounter + 1;
    CHECK(isRejected(report));
    RankOrder order { { 4, Incarnation(8) }, 12, RankIndex(3), std::nullopt, Arm { point } };
    auto words = serialize<schema::RankOrder>(order);
    CHECK(parseWords<schema::RankOrder>(words).error().message == "order has no engine incarnation");
}

TEST_CASE("Wire: randomly damaged messages are rejected or parse as valid ones, and never crash")
{
    std::mt19937_64 random(7);
    corruptAndParse<schema::RankReport>(sampleReport(), random);
    corruptAndParse<schema::RankOrder>(RankOrder { { 4, Incarnation(8) }, 12, RankIndex(3), Incarnation(50), Admit { MapVersion(6), point } }, random);
    corruptAndParse<schema::RankHello>(RankHello { RankIndex(3), Incarnation(9) }, random);
    corruptAndParse<schema::ExpertMap>(VersionedMap { MapVersion(41), ExpertMap::contiguous({ 4, 3, 8, 3 }).value() }, random);
}
