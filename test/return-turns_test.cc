#include "src/gateway/admission/retry-schedule.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway::admission;

namespace {

const TimePoint start { seconds(100) };
const ServiceName service { "model" };
const TimePoint latest { start + seconds(30) };

/// An entry that gets capacity for about `perSecond` requests a second.
ReturnTurns turnsAt(int perSecond)
{
    ReturnTurns turns;
    for (int n = 0; n < 5 * perSecond; ++n)
        turns.onAdmitted(start - seconds(5) + n * Clock::duration(seconds(1)) / perSecond, service);
    return turns;
}

} // namespace

TEST_CASE("ReturnTurns: refused clients return one after the other at the rate of admissions")
{
    auto turns = turnsAt(20);
    CHECK(turns.rate(start, service) == Approx(20).margin(2));
    TimePoint last;
    for (int n = 0; n < 40; ++n)
        last = turns.take(start, service, 1, latest).value();
    CHECK(std::chrono::duration<double>(last - start).count() == Approx(2).margin(0.2));
    CHECK(turns.returning(start, service, 1) == 40);
    // Half of the turns lie within a second.
    CHECK(turns.returning(start + seconds(1), service, 1) == Approx(20).margin(3));
}

TEST_CASE("ReturnTurns: a more urgent client returns before less urgent ones that were refused first")
{
    auto turns = turnsAt(10);
    for (int n = 0; n < 30; ++n)
        CHECK(turns.take(start, service, 2, latest).has_value());
    auto urgent = turns.take(start, service, 0, latest).value();
    auto next = turns.take(start, service, 2, latest).value();
    CHECK(urgent - start < milliseconds(300));
    CHECK(next - start > seconds(3));
}

TEST_CASE("ReturnTurns: no turn is given after the time that the client waits, or without a rate")
{
    auto turns = turnsAt(10);
    CHECK_FALSE(turns.take(start, service, 0, start + milliseconds(100)).has_value());
    CHECK_FALSE(turns.take(start, ServiceName("other"), 0, latest).has_value());
    // Nothing was admitted for twenty seconds.
    CHECK_FALSE(turns.take(start + seconds(20), service, 0, start + seconds(50)).has_value());
}

TEST_CASE("ReturnTurns: the turns of a service are bounded")
{
    // Guards against memory that grows with a crowd: many clients are refused while the service gets little capacity.
    auto turns = turnsAt(5000);
    std::size_t given = 0;
    for (std::size_t n = 0; n < 2 * ReturnTurns::maxTurns; ++n)
        given += turns.take(start, service, 0, latest) ? 1 : 0;
    CHECK(given == ReturnTurns::maxTurns);
}

// Guards against clients that are refused twice: a crowd of drafts is told to return at the same time as the urgent clients
// that are refused after it, and all of them find the service full again.
TEST_CASE("RetrySchedule: while a service is short, urgent clients return first, and each within the time that it waits")
{
    RetrySchedule schedule { policy::Generator(1) };
    for (int n = 0; n < 50; ++n)
        schedule.onAdmitted(start - seconds(5) + n * milliseconds(100), service);
    ServiceOutlook outlook;
    outlook.hasTurns = true;
    auto deadline = start + seconds(8);
    TimePoint lastDraft;
    for (int n = 0; n < 40; ++n) {
        lastDraft = schedule.retryTime(start, { service, deadline, 2 }, outlook);
        CHECK(lastDraft - start >= ReturnTurns::minDelay);
        CHECK(lastDraft - start <= milliseconds(8000) / 3);
    }
    auto urgent = schedule.retryTime(start, { service, deadline, 0 }, outlook);
    CHECK(urgent - start < milliseconds(500));
    CHECK(lastDraft - start > seconds(1));
}
