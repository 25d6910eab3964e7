#include "src/gateway/pull-schedule.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };

} // namespace

TEST_CASE("PullSchedule: one pull of a topic at a time, repeated when it is not answered")
{
    PullSchedule schedule;
    CHECK(schedule.tryBegin(start, Topic::Servers, false));
    CHECK_FALSE(schedule.tryBegin(start + milliseconds(1), Topic::Servers, false));
    CHECK(schedule.tryBegin(start + milliseconds(1), Topic::Configuration, false));
    CHECK(schedule.tryBegin(start + PullSchedule::pullTimeout, Topic::Servers, false));
    schedule.onFailed(Topic::Servers);
    CHECK(schedule.tryBegin(start + PullSchedule::pullTimeout, Topic::Servers, false));
}

// 120 entries of four data centres fetched each change of the list from the fifth, whose hello arrived first. Usually a
// local entry has the change a moment later. If none has, the remote entry is used after the delay.
TEST_CASE("PullSchedule: a pull from a remote data centre waits for a local entry, but not for good")
{
    PullSchedule schedule;
    CHECK_FALSE(schedule.tryBegin(start, Topic::Servers, true));
    CHECK(schedule.tryBegin(start + milliseconds(20), Topic::Servers, false));
    schedule.onAnswered(Topic::Servers);
    CHECK_FALSE(schedule.tryBegin(start + seconds(9), Topic::Servers, true));
    CHECK_FALSE(schedule.tryBegin(start + seconds(9) + PullSchedule::localFirstDelay - milliseconds(1), Topic::Servers, true));
    CHECK(schedule.tryBegin(start + seconds(9) + PullSchedule::localFirstDelay, Topic::Servers, true));
}
