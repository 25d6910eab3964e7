#include "test/expertmap-fake-group.h"

#include <catch2/catch.hpp>

#include <random>

using namespace swiftloft;
using namespace swiftloft::expertmap;

/// Changes that are withdrawn for another one before they are complete.
namespace {

constexpr MapVersion second { 200 };
constexpr MapVersion third { 300 };

rig::FakeGroup makeSteppingGroup(const rig::Settings& settings = {})
{
    rig::FakeGroup group(settings);
    REQUIRE(group.runUntil([&] { return group.allRun(rig::FakeGroup::initial) && group.completedSteps() > 5; }, 400));
    return group;
}

void overtake(rig::FakeGroup& group, MapVersion version)
{
    group.withdrawRequest();
    group.requestMap(version);
}

} // namespace

// Guards against a group that waits for a change that is no longer wanted: demand shifts while ranks copy.
TEST_CASE("Change overtaken while ranks copy: the group takes the next map without a hold")
{
    auto group = makeSteppingGroup();
    group.requestMap(second);
    REQUIRE(group.runUntil([&] { return group.coordinator()->phase() == CoordinatorPhase::Staging; }, 400));
    auto held = group.heldTurns();
    overtake(group, third);
    CHECK(group.runUntil([&] { return group.allRun(third); }, 600));
    CHECK(group.heldTurns() == held);
    CHECK(group.mixedStep() == 0);
    group.run(20);
    REQUIRE(group.finished().size() == 1);
    CHECK(group.finished()[0].version == third);
}

// Guards against a rank that never completes its copies and blocks the changes after it: its weights do not arrive.
TEST_CASE("Change overtaken while a rank can't copy: the group steps on, and takes the next map later")
{
    auto group = makeSteppingGroup();
    group.setStoreUp(false);
    group.requestMap(second);
    group.run(100);
    auto steps = group.completedSteps();
    overtake(group, third);
    group.run(100);
    CHECK(group.completedSteps() >= steps + 95);
    group.setStoreUp(true);
    CHECK(group.runUntil([&] { return group.allRun(third); }, 600));
    CHECK(group.mixedStep() == 0);
}

// Guards against two maps in one step: a change is overtaken at any moment, also once ranks are armed for it, while
// messages are late, lost and repeated, and the agent of rank 0 or of another rank is killed meanwhile.
TEST_CASE("Changes overtaken at any moment, with late, lost and repeated orders and kills: no step mixes maps")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
        auto group = makeSteppingGroup({ 4, seed % 2 == 0, 5 + below(30), seed, { below(6), 0, 0.1 } });
        group.setFaults({ below(6), 0.01 * below(20), 0.1 });
        std::uint64_t version = second.value();
        for (int change = 0; change < 6; ++change) {
            overtake(group, MapVersion(++version));
            group.run(below(70));
            if (below(3) > 0)
                continue;
            auto slot = static_cast<std::uint32_t>(below(4));
            group.killAgent(slot);
            group.run(below(20));
            group.startAgent(slot);
        }
        group.setFaults({});
        CHECK(group.runUntil([&] { return group.allRun(MapVersion(version)); }, 3000));
        CHECK(group.mixedStep() == 0);
    }
}
