#include "src/agent/pass-time-estimator.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::agent;

namespace {

const TimePoint start { seconds(100) };

} // namespace

TEST_CASE("PassTimeEstimator: returns the shortest recent pass time, so that waiting for work does not count")
{
    PassTimeEstimator passes;
    CHECK_FALSE(passes.shortest().has_value());
    auto now = start;
    std::uint64_t step = 0;
    auto run = [&](milliseconds pass, int n) {
        for (int i = 0; i < n; ++i) {
            now += pass;
            passes.observe(now, StepNumber(++step));
        }
    };
    run(milliseconds(50), 10);
    CHECK(passes.shortest() == milliseconds(50));
    // The group has no work for a second, then runs passes as before.
    now += seconds(1);
    run(milliseconds(50), 10);
    CHECK(passes.shortest() == milliseconds(50));
    run(milliseconds(100), 30);
    CHECK(passes.shortest() == milliseconds(100));
    // The engine restarts and counts its steps from zero.
    step = 0;
    run(milliseconds(100), 3);
    CHECK(passes.shortest() == milliseconds(100));
}

TEST_CASE("PassTimeEstimator: share of a pass that depends on its load")
{
    CHECK(loadDependentShare(std::nullopt, milliseconds(35)) == 1);
    CHECK(loadDependentShare(milliseconds(70), milliseconds(35)) == Approx(0.5));
    CHECK(loadDependentShare(milliseconds(30), milliseconds(35)) == 0);
    CHECK(loadDependentShare(milliseconds(30), milliseconds(0)) == 1);
}
