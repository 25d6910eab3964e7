#include "src/gateway/stop-schedule.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };

} // namespace

// Guards against this failure: an entry that has little time to stop accepts requests almost until it cuts off what is in progress.
TEST_CASE("StopSchedule: a request that is accepted last has at least as long to end as the accept period lasts")
{
    auto stopTime = GENERATE(milliseconds(100), milliseconds(1000), milliseconds(4000), milliseconds(8000), milliseconds(60'000));
    auto schedule = StopSchedule::create(start, start + stopTime);
    CHECK(schedule.acceptsUntil > start);
    CHECK(schedule.deadline - schedule.acceptsUntil >= schedule.acceptsUntil - start);
    CHECK(schedule.acceptsUntil - start <= seconds(3));
}

// Guards against this failure: requests are ended although much of the time of the stop is left.
TEST_CASE("StopSchedule: requests go on into the last sixth of the time, and the process ends within it")
{
    auto stopTime = GENERATE(milliseconds(100), milliseconds(1000), milliseconds(4000), milliseconds(8000), milliseconds(60'000));
    auto schedule = StopSchedule::create(start, start + stopTime);
    CHECK(schedule.deadline > start + stopTime * 5 / 6);
    CHECK(schedule.deadline < schedule.cutOffAt);
    CHECK(schedule.cutOffAt < start + stopTime);
}
