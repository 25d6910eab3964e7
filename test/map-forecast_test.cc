#include "src/agent/map-forecast.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::agent;
using namespace swiftloft::expertmap;

namespace {

const TimePoint start { seconds(100) };
constexpr milliseconds dearCopy { 76 };

/// Plans that copy one more expert per rank each, with these imbalances. The first value is the current one.
std::vector<Plan> plansWith(const std::vector<double>& imbalances)
{
    std::vector<Plan> plans;
    for (std::size_t n = 1; n < imbalances.size(); ++n) {
        Plan plan;
        plan.imbalance = imbalances[0];
        plan.plannedImbalance = imbalances[n];
        plan.copiesPerRank = static_cast<std::uint32_t>(n);
        plan.moves.resize(24 * plan.copiesPerRank);
        plans.push_back(plan);
    }
    return plans;
}

/// A forecast for demand that has shifted every `interval`, last at the returned time.
TimePoint shiftEvery(MapForecast& forecast, milliseconds interval)
{
    for (int n = 0; n < 8; ++n)
        forecast.onShift(start + n * interval);
    return start + 7 * interval;
}

std::size_t stageOf(const std::optional<CopyChoice>& choice)
{
    return choice ? choice->stage : 0;
}

const std::vector<double> falling { 2.5, 2.0, 1.75, 1.6, 1.5 };

} // namespace

TEST_CASE("MapForecast: dear copies right after a shift, fewer later, none just before the next shift")
{
    MapForecast forecast({ dearCopy });
    auto shiftedAt = shiftEvery(forecast, seconds(2));
    auto early = stageOf(forecast.choose(shiftedAt + milliseconds(300), plansWith(falling)));
    CHECK(early >= 1);
    CHECK(early < 4);
    auto late = plansWith({ 1.6, 1.55, 1.52 });
    CHECK(stageOf(forecast.choose(shiftedAt + milliseconds(1900), late)) == 0);
}

TEST_CASE("MapForecast: the cheaper copies are, the more are made at once")
{
    auto stageWith = [](milliseconds copyTime) {
        MapForecast forecast({ copyTime });
        auto shiftedAt = shiftEvery(forecast, seconds(2));
        return stageOf(forecast.choose(shiftedAt + milliseconds(300), plansWith(falling)));
    };
    CHECK(stageWith(milliseconds(1)) == 4);
    CHECK(stageWith(dearCopy) < 4);
    CHECK(stageWith(milliseconds(500)) < stageWith(dearCopy));
}

TEST_CASE("MapForecast: copies more for demand that lasts")
{
    MapForecast brief({ dearCopy });
    MapForecast lasting({ dearCopy });
    auto briefNow = shiftEvery(brief, milliseconds(700)) + milliseconds(100);
    auto lastingNow = shiftEvery(lasting, seconds(60)) + milliseconds(100);
    CHECK(stageOf(brief.choose(briefNow, plansWith(falling))) < stageOf(lasting.choose(lastingNow, plansWith(falling))));
}

TEST_CASE("MapForecast: nothing pays when ranks are nearly even, or when moved memory is dear")
{
    MapForecast forecast({ dearCopy, 0.42 });
    CHECK(stageOf(forecast.choose(start, plansWith({ 1.1, 1.098 }))) == 0);
    CHECK(stageOf(forecast.choose(start, plansWith(falling))) > 0);
    MapForecast dear({ dearCopy, 0.42, ForecastTime(1) });
    CHECK(stageOf(dear.choose(start, plansWith(falling))) == 0);
}

TEST_CASE("MapForecast: follows the load of a wave")
{
    MapForecast rising({ dearCopy });
    MapForecast falling({ dearCopy });
    TimePoint now = start;
    for (int n = 0; n < 10; ++n, now += milliseconds(300)) {
        rising.onPass(now, milliseconds(50 + 5 * n), milliseconds(30), 1.5);
        falling.onPass(now, milliseconds(95 - 5 * n), milliseconds(30), 1.5);
    }
    CHECK(rising.passTime(now, 1.5) > ForecastTime(milliseconds(95)));
    CHECK(falling.passTime(now, 1.5) < ForecastTime(milliseconds(50)));
    CHECK(rising.passTime(now, 1) < rising.passTime(now, 1.5));
}

TEST_CASE("MapForecast: a group with little work copies less than a busy one")
{
    MapForecast idle({ dearCopy });
    MapForecast busy({ dearCopy });
    auto now = shiftEvery(idle, milliseconds(1500)) + milliseconds(300);
    shiftEvery(busy, milliseconds(1500));
    idle.onPass(now, milliseconds(32), milliseconds(30), 2.5);
    busy.onPass(now, milliseconds(150), milliseconds(30), 2.5);
    CHECK(stageOf(idle.choose(now, plansWith(falling))) < stageOf(busy.choose(now, plansWith(falling))));
}

// Guards against one shift that is taken for several: the first report after it has tokens of both demands, and differs
// from the next one too. Demand would seem to last for a tenth of a second, and nothing would be copied.
TEST_CASE("DemandLifetime: reports of one shift count once")
{
    DemandLifetime lifetime;
    CHECK(lifetime.remaining(start) == ForecastTime(DemandLifetime::initialLife));
    for (int n = 0; n < 5; ++n) {
        lifetime.onShift(start + n * seconds(2));
        lifetime.onShift(start + n * seconds(2) + milliseconds(130));
    }
    CHECK(lifetime.remaining(start + seconds(8)).count() == Approx(2));
    CHECK(lifetime.remaining(start + seconds(9)).count() == Approx(1.2));
    CHECK(lifetime.remaining(start + seconds(11)).count() == Approx(2));
}
