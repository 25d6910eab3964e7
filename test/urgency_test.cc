#include "src/gateway/admission/admission-controller.h"
#include "test/gateway-fleet.h"

#include <catch2/catch.hpp>
#include <fmt/ranges.h>

using namespace swiftloft;
using namespace swiftloft::gateway;
using namespace swiftloft::gateway::admission;
using swiftloft::test::GatewayFleet;

namespace {

const TimePoint start { seconds(100) };
const ServiceName model { "model" };

Route route(const std::string& name, unsigned priority, milliseconds objective)
{
    Route route;
    route.name = name;
    route.host = name;
    route.prefix = fmt::format("/{}/", name);
    route.priority = priority;
    route.objective = objective;
    route.timeout = seconds(8);
    route.services = { { model, 1 } };
    return route;
}

std::shared_ptr<const Configuration> configuration(std::vector<OrganisationKeys> organisations = {})
{
    ConfigurationParts parts;
    parts.routes = { route("urgent", 0, milliseconds(500)), route("draft", 2, milliseconds(1000)) };
    parts.organisations = std::move(organisations);
    return Configuration::create(std::move(parts)).value();
}

struct Rig {
    explicit Rig(const AdmissionOptions& options = {})
        : controller(options)
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->configuration = configuration();
        controller.setFleet(now, *snapshot);
    }

    void report(std::uint32_t queued, double arrivalsPerSecond, unsigned priority = 0)
    {
        controller.onLoadUpdate(now, { Incarnation(7), ++sequence, {}, {}, {}, { { model, { { priority, queued, 0, arrivalsPerSecond } }, {} } } });
    }

    bool mayStart(unsigned priority, double freeSlots, bool hasOwnShare = false)
    {
        RequestQueue queue;
        queue.push({ CallId(1), priority, model });
        controller.beginRound(now, queue);
        return controller.mayStart(now, queue.requests().front(), [&] { return FreeSlots { freeSlots, hasOwnShare }; });
    }

    TimePoint now { start };
    std::uint64_t sequence { 0 };
    AdmissionController controller;
};

} // namespace

TEST_CASE("Urgency: a less urgent request leaves free slots to what is more urgent at other entries")
{
    Rig rig;
    CHECK(rig.mayStart(2, 1));
    rig.report(3, 20);
    // 3 wait, and 20 a second arrive during the interval between two reports.
    double kept = 3 + 20 * std::chrono::duration<double>(PeerDemand::reportInterval).count();
    CHECK_FALSE(rig.mayStart(2, kept));
    CHECK(rig.controller.nextCheck() == rig.now + AdmissionController::heldCheckInterval);
    CHECK(rig.mayStart(2, kept + 0.1));
    CHECK(rig.mayStart(0, 1));
    // A share of a server's limit can't be used by other entries.
    CHECK(rig.mayStart(2, 0, true));
    CHECK_FALSE(rig.mayStart(2, 1, true));
    rig.now += PeerDemand::reportLifetime;
    CHECK(rig.mayStart(2, 1));
}

TEST_CASE("Urgency: it has no effect while only less urgent requests wait, at the end of a shortage, or when switched off")
{
    Rig rig;
    rig.report(9, 50, 2);
    CHECK(rig.mayStart(2, 1));
    rig.report(9, 50, 0);
    CHECK_FALSE(rig.mayStart(2, 1));
    rig.controller.onLoadUpdate(rig.now, { Incarnation(7), ++rig.sequence, {}, {}, {}, { { model, {}, {} } } });
    CHECK(rig.mayStart(2, 1));
    Rig off({ false });
    off.report(9, 50, 0);
    CHECK(off.mayStart(2, 1));
    CHECK(off.controller.priorityForServer(model, 2) == std::nullopt);
    CHECK(rig.controller.priorityForServer(model, 2) == 2U);
}

// Guards against this failure: a more urgent request is refused after a shorter wait than a less urgent one, because its
// objective is shorter.
TEST_CASE("Urgency: while a service is short, a less urgent request waits no longer than a more urgent one")
{
    Rig rig;
    auto queueTime = [&](unsigned priority, milliseconds objective) {
        rig.mayStart(priority, 1);
        return rig.controller.queueDeadline(rig.now, { CallId(1), priority, model }, rig.now, objective) - rig.now;
    };
    CHECK(queueTime(0, milliseconds(500)) == milliseconds(200));
    CHECK(queueTime(2, milliseconds(1000)) == milliseconds(400));
    rig.report(1, 20, 0);
    CHECK(queueTime(0, milliseconds(500)) == milliseconds(350));
    CHECK(queueTime(2, milliseconds(1000)) == milliseconds(350));
}

// Guards against this failure: less urgent requests get nothing for as long as more urgent ones take all slots.
TEST_CASE("Urgency: what waits behind more urgent requests keeps its share of the starts")
{
    Rig rig;
    RequestQueue queue;
    queue.push({ CallId(1), 0, model });
    queue.push({ CallId(2), 2, model });
    int startedFirst = 0;
    for (int n = 0; n < 1000; ++n, rig.now += milliseconds(10)) {
        rig.controller.onArrived(rig.now, { CallId(1), 0, model });
        rig.controller.onAdmitted(rig.now, { CallId(1), 0, model });
        auto order = rig.controller.beginRound(rig.now, queue);
        if (order.front() == CallId(2)) {
            ++startedFirst;
            rig.controller.onAdmitted(rig.now, { CallId(2), 2, model });
        }
        rig.controller.endRound(rig.now, queue);
    }
    INFO("1,000 more urgent requests were started; expected are a tenth as many others, found " << startedFirst);
    CHECK(startedFirst > 80);
    CHECK(startedFirst <= 101);
}

TEST_CASE("Urgency: an organisation's priority goes before its route's")
{
    auto urgent = route("urgent", 1, milliseconds(500));
    OrganisationKeys plain { OrganisationName("a"), { "k" }, std::nullopt };
    OrganisationKeys raised { OrganisationName("b"), { "l" }, 0 };
    CHECK(priorityOf(urgent, nullptr) == 1);
    CHECK(priorityOf(urgent, &plain) == 1);
    CHECK(priorityOf(urgent, &raised) == 0);
}

TEST_CASE("RequestQueue: a request that lost its server stays before more urgent ones that arrive later")
{
    RequestQueue queue;
    queue.pushFirst({ CallId(1), 2, model });
    queue.push({ CallId(2), 0, model });
    CHECK(queue.order() == std::vector { CallId(1), CallId(2) });
}

// Answers this load: every entry is short of capacity for a service with three priorities.
TEST_CASE("PeerDemand: reports take less than a node's budget of 25 KB/s for control")
{
    struct Fleet {
        int entries { 0 };
        int dataCentres { 1 };
    };
    auto fleet = GENERATE(Fleet { 33, 3 }, Fleet { 255, 9 }, Fleet { 670, 9 });
    LoadUpdate update;
    auto withoutDemands = encode(ControlMessage(update)).size();
    update.demands = { { ServiceName("assistant"), { { 0, 3, 1, 80 }, { 1, 4, 0, 100 }, { 2, 9, 2, 40 } }, {} } };
    auto bytes = encode(ControlMessage(update)).size() - withoutDemands;
    int recipients = fleet.entries / fleet.dataCentres - 1;
    double perSecond = static_cast<double>(bytes) * recipients / std::chrono::duration<double>(PeerDemand::intervalFor(recipients)).count();
    CAPTURE(fleet.entries, recipients, bytes);
    CHECK(perSecond < 25'000);
}

TEST_CASE("PeerDemand: a data centre's sum replaces the reports of its entries")
{
    PeerDemand demand;
    Snapshot snapshot;
    snapshot.dataCentre = DataCentreName("a");
    snapshot.isLoadSharedLocally = true;
    snapshot.entries = { { {}, Incarnation(7), 1, {}, DataCentreName("b") } };
    snapshot.remoteDemands = { { DataCentreName("b"), { model, { { 0, 5 } }, {} }, start } };
    demand.setFleet(start, snapshot);
    demand.onUpdate(start, { Incarnation(7), 1, {}, {}, {}, { { model, { { 0, 3 } }, {} } } });
    demand.onUpdate(start, { Incarnation(8), 1, {}, {}, {}, { { model, { { 0, 2 }, { 1, 4 } }, {} } } });
    // A report that was overtaken by a newer one.
    demand.onUpdate(start, { Incarnation(8), 1, {}, {}, {}, { { model, { { 0, 50 } }, {} } } });
    std::uint32_t queued = 0;
    demand.forEach(model, start, [&](auto& it, auto) { queued += it.priorities.front().queued; });
    CHECK(queued == 7);
    auto sums = demand.localSums(start, { { model, { { 1, 1 } }, {} } });
    REQUIRE(sums.size() == 1);
    CHECK(sums[0].priorities == std::vector<PriorityDemand> { { 1, 5 }, { 0, 2 } });
}

namespace {

/// Bound on the news of a shortage: within this time every entry has a report, or the reports are lost.
constexpr milliseconds newsBound = PeerDemand::reportInterval + PeerDemand::reportLifetime;

/// The entry that is cut off: nothing tells it what waits elsewhere.
constexpr int cutOffEntry = 3;

struct Starts {
    int urgent { 0 };
    int draft { 0 };
};

Starts startsWithin(const GatewayFleet& fleet, TimePoint from, TimePoint to)
{
    Starts starts;
    for (auto& it : fleet.starts()) {
        if (it.at >= from && it.at < to && it.entry != cutOffEntry)
            ++(it.priority == 0 ? starts.urgent : starts.draft);
    }
    return starts;
}

struct Overload {
    std::uint64_t seed { 1 };
    bool isEntryCutOff { false };
    bool isUrgencyOn { true };
};

struct Findings {
    int urgentRefusals { 0 };
    /// Urgent requests that were refused after more drafts had been started than their share.
    std::vector<std::string> violations;
};

/// The service can finish 28 requests a second; 36 urgent ones and 24 drafts arrive, and one in twenty datagrams is lost.
Findings play(const Overload& overload)
{
    test::FleetOptions options { .entries = 8, .servers = 6, .slots = 8, .demand = 60, .maxEntries = 8, .loss = 0.05, .seed = overload.seed };
    options.kinds = { { 0, 36, milliseconds(500) }, { 2, 24, milliseconds(1000) } };
    options.isUrgencyOn = overload.isUrgencyOn;
    GatewayFleet fleet(options);
    if (overload.isEntryCutOff)
        fleet.at(milliseconds(2000), [&] { fleet.disconnectEntry(cutOffEntry); });
    fleet.runUntil(milliseconds(4500));
    Findings findings;
    for (auto& refusal : fleet.refusals()) {
        auto pressedSince = refusal.at - newsBound;
        bool isCounted = refusal.priority == 0 && pressedSince >= fleet.startTime() + 2 * newsBound;
        if (!isCounted || (overload.isEntryCutOff && refusal.entry == cutOffEntry))
            continue;
        ++findings.urgentRefusals;
        auto starts = startsWithin(fleet, pressedSince, refusal.at);
        // Each entry may have one start in store.
        double allowed = 0.1 * starts.urgent + options.entries;
        if (starts.draft > allowed)
            findings.violations.push_back(fmt::format("seed {}: {} drafts were started in the time before an urgent request was refused, expected at most {}", overload.seed, starts.draft, allowed));
    }
    return findings;
}

} // namespace

// Guards against this failure: drafts take the slots that become free, while urgent requests wait at other entries and
// are refused there.
TEST_CASE("Urgency: nothing urgent is refused while drafts are admitted beyond their share, over all entries")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        auto findings = play({ seed });
        CHECK(findings.urgentRefusals > 0);
        INFO(fmt::format("{}", fmt::join(findings.violations, "; ")));
        CHECK(findings.violations.empty());
    }
}

TEST_CASE("Urgency: the bound holds for the other entries while one of them is cut off")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        auto findings = play({ seed, true });
        INFO(fmt::format("{}", fmt::join(findings.violations, "; ")));
        CHECK(findings.violations.empty());
    }
}

TEST_CASE("Urgency: without it, drafts are admitted while urgent requests are refused")
{
    int seedsWithViolations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        seedsWithViolations += play({ seed, false, false }).violations.empty() ? 0 : 1;
    CHECK(seedsWithViolations > 0);
}
