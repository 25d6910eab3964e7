#include "src/burn/windows.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::burn;
using namespace std::chrono_literals;

namespace {

const ServiceName chat("chat");
const OrganisationName acme("acme");
const TimePoint start(1000h);

Report reportAt(const BurnWindows& windows, Clock::duration age)
{
    return windows.report(start + age, InstanceId("e1"), "2026-01-01T00:00:00Z");
}

} // namespace

TEST_CASE("BurnWindows: a request is counted in each window until the window has passed it")
{
    BurnWindows windows(start);
    windows.add(start + 1s, chat, acme, Outcome::Good);
    windows.add(start + 2s, chat, acme, Outcome::Bad, "slow");
    auto report = reportAt(windows, 3s);
    for (auto& window : report.windows)
        CHECK(window.rows == std::vector { Row { chat, acme, 1, 1, { { "slow", 1 } } } });
    CHECK(report.windows[0].coveredSeconds == 3);
    report = reportAt(windows, 301s);
    CHECK(report.windows[0].rows.empty());
    CHECK(report.windows[1].rows.size() == 1);
}

TEST_CASE("BurnWindows: old sums don't come back when nothing was counted for a whole turn of the ring")
{
    // A service fails for a minute at night and then nobody calls. An hour later the five-minute burn must be zero; it
    // showed the old failures again because the ring had come round to the bucket that no request had cleared.
    BurnWindows windows(start);
    windows.add(start + 1s, chat, acme, Outcome::Bad, "crashed");
    for (auto age = 300s; age <= 3600s; age += 25s)
        CHECK(reportAt(windows, age).windows[0].rows.empty());
}

TEST_CASE("BurnWindows: a window that is full covers no less than eleven twelfths of its length")
{
    BurnWindows windows(start);
    for (auto age = 300s; age < 700s; age += 7s) {
        auto covered = reportAt(windows, age).windows[0].coveredSeconds;
        CHECK(covered >= 275);
        CHECK(covered <= 300);
    }
}

TEST_CASE("BurnWindows: made-up organisations can't fill memory, and none is lost from the sums")
{
    BurnWindows windows(start, 2);
    for (int it = 0; it < 5; ++it)
        windows.add(start, chat, OrganisationName(std::to_string(it)), Outcome::Good);
    auto rows = reportAt(windows, 1s).windows[0].rows;
    REQUIRE(rows.size() == 3);
    CHECK(rows[2].organisation == OrganisationName("(other)"));
    CHECK(rows[2].good == 3);
}

TEST_CASE("BurnWindows: a report can be of one service, or without organisations")
{
    BurnWindows windows(start);
    windows.add(start, chat, acme, Outcome::Good);
    windows.add(start, chat, OrganisationName("b"), Outcome::Bad, "slow");
    windows.add(start, ServiceName("other"), acme, Outcome::Good);
    auto rowsFor = [&](const Scope& scope) { return windows.report(start, InstanceId("e1"), "", scope).windows[0].rows; };
    CHECK(rowsFor({}).size() == 3);
    CHECK(rowsFor({ chat, true }).size() == 2);
    CHECK(rowsFor({ chat, false }) == std::vector { Row { chat, OrganisationName(), 1, 1, { { "slow", 1 } } } });
}

TEST_CASE("BurnReport: the scope reads back from the request's target; anything else is refused")
{
    for (auto& scope : { Scope {}, Scope { chat, true }, Scope { std::nullopt, false }, Scope { chat, false } })
        CHECK((scopeFromTarget(targetOf(scope)).value() == scope));
    for (auto target : { "", "/swiftloft/v1/burn?organisations=maybe", "/swiftloft/v1/burn?sevice=a", "/swiftloft/v1/burn?service=%" })
        CHECK(scopeFromTarget(target).has_error());
}

TEST_CASE("BurnReport: JSON reads back as the same report; other text is refused")
{
    BurnWindows windows(start);
    windows.add(start, chat, acme, Outcome::Bad, "queue-full");
    windows.add(start, chat, acme, Outcome::Bad, "slow");
    windows.add(start, chat, acme, Outcome::Bad, "slow");
    auto report = reportAt(windows, 5s);
    CHECK((reportFromJson(toJson(report)).value() == report));
    for (auto text : { "", "[]", "{}", R"({"instance":1,"since":"","windows":[]})", R"({"instance":"a","since":"","windows":[{"seconds":-1}]})" })
        CHECK(reportFromJson(text).has_error());
}
