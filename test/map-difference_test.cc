#include "src/agent/map-difference.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::agent;
using namespace swiftloft::expertmap;

namespace {

const MapShape shape { 2, 1, 4, 3 };

VersionedMap mapOf(std::uint64_t version, ExpertIndex last)
{
    std::vector slots { ExpertIndex(0), ExpertIndex(2), noExpert, ExpertIndex(1), ExpertIndex(3), last };
    return { MapVersion(version), ExpertMap::create(shape, slots).value() };
}

} // namespace

TEST_CASE("MapDifference: applying a difference reproduces the map")
{
    auto base = mapOf(4, noExpert);
    auto next = mapOf(5, ExpertIndex(0));
    auto difference = differenceBetween(base, next);
    REQUIRE(difference.slots == std::vector<MapDifference::Slot> { { 5, ExpertIndex(0) } });
    auto map = applyDifference(base.map, difference);
    REQUIRE(map.has_value());
    CHECK(map->version == next.version);
    CHECK(std::equal(map->map.slots().begin(), map->map.slots().end(), next.map.slots().begin(), next.map.slots().end()));
}

// Guards against damaged datagrams that name a slot outside the map or remove the last copy of an expert. With such a
// map, tokens of that expert would have no destination.
TEST_CASE("MapDifference: a difference that does not fit its base map is rejected")
{
    auto base = mapOf(4, noExpert);
    CHECK_FALSE(applyDifference(base.map, { base.version, MapVersion(5), { { 6, ExpertIndex(0) } } }).has_value());
    CHECK_FALSE(applyDifference(base.map, { base.version, MapVersion(5), { { 0, ExpertIndex(1) } } }).has_value());
    CHECK_FALSE(applyDifference(base.map, { base.version, MapVersion(5), { { 0, ExpertIndex(4) } } }).has_value());
}
