#include "src/agent/map-distribution.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace swiftloft;
using namespace swiftloft::agent;

// Guards against an overloaded link of rank 0: in a group of 64, rank 0 sent a new map 63 times over its link of 6
// Mbit/s. Datagrams that exceeded the capacity of the link were lost, ranks requested whole maps, and the change timed
// out after four seconds in staging.
TEST_CASE("Map distribution: each rank receives a map from one other, and none sends many in a large group")
{
    for (std::uint32_t ranks : { 1U, 2U, 8U, 12U, 24U, 32U, 33U, 64U, 72U }) {
        std::vector<int> received(ranks);
        std::size_t most = 0;
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            auto receivers = mapReceivers(RankIndex(rank), ranks);
            most = std::max(most, receivers.size());
            for (auto it : receivers)
                ++received[it.value()];
        }
        INFO(ranks << " ranks, one sends " << most);
        CHECK(received[0] == 0);
        CHECK(std::all_of(received.begin() + 1, received.end(), [](int n) { return n == 1; }));
        CHECK(most <= maxDirectReceivers);
        if (ranks == 64)
            CHECK(most == relayRankCount);
    }
}
