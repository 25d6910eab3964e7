#include "src/burn/summary.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::burn;

namespace {

const ServiceName chat("chat");
const OrganisationName acme("acme");

/// A report whose windows all hold the same row, covered as far as the instance is old.
Report reportOf(std::string instance, double age, std::uint64_t good, std::uint64_t bad)
{
    Report report { InstanceId(std::move(instance)), "2026-01-01T00:00:00Z", {} };
    for (auto length : windowLengths)
        report.windows.push_back({ length, std::min(age, static_cast<double>(length.count())), { { chat, acme, good, bad, { { "slow", bad } } } } });
    return report;
}

Summary summaryOf(const std::vector<Answer>& answers, std::optional<settings::Ratio> objective = settings::Ratio(0.999))
{
    Summariser summariser;
    for (auto& answer : answers)
        summariser.add(answer);
    return summariser.finish([&](const ServiceName&) { return objective; });
}

constexpr double old = 1e9;

} // namespace

TEST_CASE("BurnSummary: burn is the bad share over what the objective allows, for each row and for the service")
{
    auto summary = summaryOf({ { "a:1", reportOf("e1", old, 999, 1) }, { "b:1", reportOf("e2", old, 1997, 3) } });
    REQUIRE(summary.rows.size() == 2);
    CHECK_FALSE(summary.rows[0].organisation);
    CHECK(summary.rows[1].organisation == acme);
    CHECK(summary.rows[1].burns[0].rate == Approx(4.0 / 3000 / 0.001));
    CHECK(summary.rows[1].budgetLeft == Approx(1 - 4.0 / 3));
    CHECK(summary.rows[1].reasons == std::vector { ReasonCount { "slow", 4 } });
    CHECK(summary.coverage[3] == 1);
}

TEST_CASE("BurnSummary: an entry that was replaced lowers the coverage of the windows it hasn't lived through")
{
    // An entry fails for hours and is replaced; its counts die with it. The report then shows a low burn over three
    // days. It must say that it covers part of them, or an operator takes the budget for whole.
    auto summary = summaryOf({ { "a:1", reportOf("e1", old, 10, 0) }, { "b:1", reportOf("e2", 1800, 10, 0) } });
    CHECK(summary.coverage[0] == 1);
    CHECK(summary.coverage[1] == Approx(0.75));
    CHECK(summary.coverage[3] == Approx(0.5 + 0.5 * 1800 / 259200));
    CHECK(summary.missing.empty());
}

TEST_CASE("BurnSummary: an entry that can't be reached is named and lowers the coverage")
{
    auto summary = summaryOf({ { "a:1", reportOf("e1", old, 10, 0) }, { "b:1", Error { ErrorCode::TimedOut, "no answer in time" } } });
    CHECK(summary.asked == 2);
    CHECK(summary.instances.size() == 1);
    REQUIRE(summary.missing.size() == 1);
    CHECK(summary.missing[0].address == "b:1");
    CHECK(summary.coverage[0] == Approx(0.5));
}

TEST_CASE("BurnSummary: one entry asked under two addresses counts once")
{
    // The list of addresses names an entry by two of its addresses. Its requests were added twice, and with them its
    // share of the burn.
    auto summary = summaryOf({ { "a:1", reportOf("e1", old, 10, 2) }, { "a:2", reportOf("e1", old, 10, 2) } });
    CHECK(summary.asked == 1);
    CHECK(summary.rows[1].burns[0].bad == 2);
    CHECK(summary.coverage[0] == 1);
}

TEST_CASE("BurnSummary: alarms need both windows of a pair and more than a few bad requests")
{
    CHECK(summaryOf({ { "a:1", reportOf("e1", old, 980, 20) } }).rows[0].alarm == Alarm::Fast);
    CHECK(summaryOf({ { "a:1", reportOf("e1", old, 9980, 20) } }).rows[0].alarm == Alarm::Slow);
    CHECK(summaryOf({ { "a:1", reportOf("e1", old, 1, 4) } }).rows[0].alarm == Alarm::None);
    auto over = reportOf("e1", old, 980, 20);
    over.windows[0].rows.clear();
    over.windows[2].rows.clear();
    CHECK(summaryOf({ { "a:1", over } }).rows[0].alarm == Alarm::None);
}

TEST_CASE("BurnSummary: a service that the settings don't name has sums and no burn")
{
    auto summary = summaryOf({ { "a:1", reportOf("e1", old, 0, 9) } }, std::nullopt);
    CHECK(summary.rows[0].burns[0].bad == 9);
    CHECK(summary.rows[0].burns[0].rate == 0);
    CHECK(summary.rows[0].alarm == Alarm::None);
}

TEST_CASE("BurnSummary: readers get the worst organisations and every one with an alarm")
{
    auto report = reportOf("e1", old, 1000, 0);
    for (auto& window : report.windows) {
        window.rows.push_back({ chat, OrganisationName("b"), 10, 4, { { "slow", 4 } } });
        window.rows.push_back({ chat, OrganisationName("c"), 10, 9, { { "slow", 9 } } });
        window.rows.push_back({ chat, OrganisationName("d"), 10, 8, { { "slow", 8 } } });
    }
    auto summary = summaryOf({ { "a:1", report } });
    summary.keepWorst(1);
    REQUIRE(summary.rows.size() == 3);
    CHECK_FALSE(summary.rows[0].organisation);
    CHECK(summary.rows[1].organisation == OrganisationName("c"));
    CHECK(summary.rows[2].organisation == OrganisationName("d"));
    CHECK(summary.leftOut == 2);
}
