#include "test/process/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace swiftloft;
using namespace swiftloft::process_test;

namespace json = boost::json;

namespace {

constexpr seconds spreadLimit { 4 };

json::object statusOf(const Fleet::Entry& entry)
{
    auto answer = call({ entry.address(), "GET", "/swiftloft/v1/status", "", {}, milliseconds(500) });
    return answer.end == replay::ExchangeEnd::Whole ? json::parse(answer.body).as_object() : json::object();
}

std::int64_t revisionOf(const Fleet::Entry& entry)
{
    auto status = statusOf(entry);
    auto revision = status.if_contains("settings_revision");
    return revision ? revision->to_number<std::int64_t>() : 0;
}

bool allReach(Fleet& fleet, std::int64_t revision, TimePoint deadline)
{
    return waitUntil(deadline, [&] {
        for (std::size_t n = 0; n < fleet.entryCount(); ++n) {
            if (revisionOf(fleet.entry(n)) != revision)
                return false;
        }
        return true;
    });
}

} // namespace

// Operators add a service. Four seconds later every entry takes requests for it. Then they publish a tree with a mistake:
// every entry says so and goes on with the good one.
TEST_CASE("Settings: a change is in force at every entry within four seconds, a faulty one at none")
{
    Fleet fleet({ .entries = 3, .engines = 1 });
    REQUIRE(fleet.waitUntilReady());
    fleet.publishSettings(fleet.settingsText() + "[service another]\nkind = plain\n");
    CHECK(allReach(fleet, 2, Clock::now() + spreadLimit));

    fleet.publishSettings(fleet.settingsText() + "[service another]\nkind = nonsense\n");
    auto isRefusedByAll = waitUntil(Clock::now() + spreadLimit, [&] {
        for (std::size_t n = 0; n < fleet.entryCount(); ++n) {
            if (!statusOf(fleet.entry(n)).contains("refused_revision"))
                return false;
        }
        return true;
    });
    CHECK(isRefusedByAll);
    for (std::size_t n = 0; n < fleet.entryCount(); ++n)
        CHECK(revisionOf(fleet.entry(n)) == 2);
}

// A change is in force. Then the platform answers from a replica that still holds the old tree, and one entry after the
// other is replaced, as in a rolling restart. No entry may serve under the old settings.
TEST_CASE("Settings: a stale platform takes no restarted entry back to an older revision")
{
    Fleet fleet({ .entries = 3, .engines = 1 });
    REQUIRE(fleet.waitUntilReady());
    fleet.publishSettings(fleet.settingsText() + "[service another]\nkind = plain\n");
    REQUIRE(allReach(fleet, 2, Clock::now() + spreadLimit));
    callJson({ fleet.platformAddress(), "POST", "/admin/fault", R"({"kind":"stale","revision":1})" });

    for (std::size_t n = 0; n < fleet.entryCount(); ++n) {
        fleet.entry(n).process->kill();
        fleet.startEntry(fleet.entry(n));
        std::int64_t lowest = 2;
        auto isReady = waitUntil(Clock::now() + seconds(15), [&] {
            auto ready = call({ fleet.entry(n).address(), "GET", "/readyz", "", {}, milliseconds(300) });
            if (ready.end != replay::ExchangeEnd::Whole || ready.head.result_int() != 200)
                return false;
            lowest = std::min(lowest, revisionOf(fleet.entry(n)));
            return true;
        });
        CHECK(isReady);
        CHECK(lowest == 2);
    }
}
