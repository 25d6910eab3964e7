#include <swiftloft/expertmap/coordinator.h>
#include <swiftloft/expertmap/rank-agent.h>

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::expertmap;

namespace {

constexpr MapVersion first { 100 };
constexpr MapVersion second { 200 };
constexpr MapVersion third { 300 };
constexpr std::uint32_t ranks = 3;

/// A coordinator whose ranks answer each order with the status that the test sets.
class Driver {
public:
    explicit Driver(milliseconds leadTime = milliseconds(0))
    {
        Coordinator::Options options { Incarnation(9), ranks, first, ranks };
        options.leadTime = leadTime;
        options.stagePollInterval = milliseconds(20);
        coordinator = Coordinator::create(options).value();
        for (std::uint32_t r = 0; r < ranks; ++r) {
            statuses[r].engine = Incarnation(50 + r);
            statuses[r].isAdmitted = true;
            statuses[r].current = first;
            statuses[r].entered = StepNumber(10);
            statuses[r].staged = { first };
        }
    }

    /// Advances the time in ticks and answers every order; returns the orders sent meanwhile, without reads.
    std::vector<RankOrder> tick(int times = 1)
    {
        std::vector<RankOrder> given;
        for (int n = 0; n < times; ++n) {
            m_now += milliseconds(20);
            execute(coordinator.apply(m_now, coordination::Ticked {}), given);
        }
        return given;
    }
    /// Advances the time without a tick.
    void advanceTime(milliseconds time) { m_now += time; }
    void requestMap(MapVersion version)
    {
        std::vector<RankOrder> given;
        execute(coordinator.apply(m_now, coordination::MapChangeRequested { version }), given);
    }

    void hello(std::uint32_t rank)
    {
        std::vector<RankOrder> given;
        execute(coordinator.apply(m_now, coordination::HelloReceived { { RankIndex(rank), Incarnation(70 + rank) } }), given);
    }

    Coordinator coordinator { Coordinator::create({ Incarnation(9), ranks, first, ranks }).value() };
    EngineStatus statuses[ranks];
    std::vector<RankOrder> reads;
    /// A rank that answers no order.
    std::optional<std::uint32_t> silentRank;

    TimePoint now() const { return m_now; }

private:
    void execute(const coordination::Effects& effects, std::vector<RankOrder>& given)
    {
        for (auto& effect : effects) {
            auto* sent = std::get_if<coordination::SendOrder>(&effect);
            if (!sent)
                continue;
            auto& order = sent->order;
            (std::holds_alternative<ReadStatus>(order.order) ? reads : given).push_back(order);
            auto r = order.rank.value();
            if (silentRank == r)
                continue;
            execute(coordinator.apply(m_now, coordination::ReportReceived { { order.rank, Incarnation(70 + r), order.fence, order.round, statuses[r] } }), given);
        }
    }

    TimePoint m_now;
};

std::vector<std::uint32_t> ranksOrdered(const char* what, const std::vector<RankOrder>& orders)
{
    std::vector<std::uint32_t> found;
    for (auto& it : orders) {
        bool isNew = std::find(found.begin(), found.end(), it.rank.value()) == found.end();
        if (std::string(nameOf(it.order)) == what && isNew)
            found.push_back(it.rank.value());
    }
    return found;
}

} // namespace

TEST_CASE("Coordinator arms rank 0 before any other rank")
{
    // Guards against ranks that run different maps after two agents were replaced and one engine restarted. An old
    // coordinator, which had the other rank's answer, armed its own engine last, after its successor had already read
    // that engine's status. If the engine of rank 0 is armed first, every successor finds the switch point there.
    Driver driver;
    driver.tick(2);
    for (auto& it : driver.statuses)
        it.staged.push_back(second);
    driver.requestMap(second);
    auto orders = driver.tick(60);
    CHECK(ranksOrdered("arm", orders) == std::vector<std::uint32_t> { 0 });
    auto* arm = std::get_if<Arm>(&orders.back().order);
    REQUIRE(arm);
    driver.statuses[0].armed = arm->point;
    orders = driver.tick(3);
    CHECK(ranksOrdered("arm", orders) == std::vector<std::uint32_t> { 0, 1, 2 });
}

TEST_CASE("Coordinator admits rank 0 alone when no rank is admitted")
{
    // Guards against one rank that runs another map than the rest after a power cut: a late order admitted it with an
    // older map while the others were admitted with the one requested now. All ranks must follow the map of one engine,
    // so the engine of rank 0 is admitted first.
    Driver driver;
    for (auto& it : driver.statuses)
        it.isAdmitted = false;
    auto orders = driver.tick(5);
    CHECK(ranksOrdered("admit", orders) == std::vector<std::uint32_t> { 0 });
    driver.statuses[0].isAdmitted = true;
    driver.statuses[0].current = third;
    for (auto& it : driver.statuses)
        it.staged.push_back(third);
    orders = driver.tick(60);
    CHECK(ranksOrdered("admit", orders) == std::vector<std::uint32_t> { 0, 1, 2 });
    REQUIRE(std::holds_alternative<Admit>(orders.back().order));
    CHECK(std::get<Admit>(orders.back().order).version == third);
}

TEST_CASE("Coordinator reads all ranks again before it admits a restarted engine")
{
    // Guards against a restarted engine that is admitted with the map from before a switch. The others have switched
    // since they were last read, by orders of an earlier coordinator, and the hello of the restarted engine's agent
    // arrives first.
    Driver driver;
    driver.tick(2);
    driver.reads.clear();
    driver.statuses[1] = { Incarnation(99) };
    driver.statuses[1].staged = { first, second };
    driver.statuses[0].current = second;
    driver.statuses[2].current = second;
    driver.hello(1);
    auto orders = driver.tick(5);
    REQUIRE(ranksOrdered("admit", orders) == std::vector<std::uint32_t> { 1 });
    CHECK(std::get<Admit>(orders.back().order).version == second);
}

TEST_CASE("Coordinator completes a switch though another map is requested meanwhile")
{
    // An operator saves the settings twice. The order to arm for the first change may be in transit when the second is
    // requested. If the coordinator abandoned the first, rank 0 would hold for a map that the other ranks have dropped,
    // until they have loaded it again.
    Driver driver;
    driver.tick(2);
    for (auto& it : driver.statuses)
        it.staged.push_back(second);
    driver.requestMap(second);
    auto orders = driver.tick(60);
    REQUIRE(std::holds_alternative<Arm>(orders.back().order));
    driver.requestMap(third);
    orders = driver.tick(10);
    CHECK(ranksOrdered("stage", orders).empty());
    CHECK(ranksOrdered("drop", orders).empty());
    REQUIRE(ranksOrdered("arm", orders) == std::vector<std::uint32_t> { 0 });
    CHECK(std::get<Arm>(orders.back().order).point.version == second);
}

TEST_CASE("Coordinator lists the ranks that have stopped reporting")
{
    // When a group holds, an operator must be able to see which agent to restart.
    Driver driver;
    driver.tick(2);
    auto before = driver.now();
    CHECK(driver.coordinator.silentRanks(before).empty());
    driver.silentRank = 2;
    driver.tick(120);
    CHECK(driver.coordinator.silentRanks(before + milliseconds(1)) == std::vector<RankIndex> { RankIndex(2) });
    CHECK(driver.coordinator.ranksWithoutStatus().empty());
}

TEST_CASE("Coordinator reads all ranks while some load weights")
{
    // Two ranks load for minutes from a slow weight store. The third rank, which has its weights, must not be listed as
    // silent, or the operator would restart a healthy agent.
    Driver driver;
    driver.tick(2);
    driver.statuses[2].staged.push_back(second);
    driver.requestMap(second);
    driver.tick(250);
    CHECK(driver.coordinator.phase() == CoordinatorPhase::Staging);
    CHECK(driver.coordinator.silentRanks(driver.now() - seconds(3)).empty());
}

TEST_CASE("Rank agent refuses an order with an older fencing number and reports the newer one")
{
    // Guards against a rank that loads weights of a map that is no longer requested. The order to load them comes from
    // a superseded coordinator that was frozen and woke up. The engine ignores fencing numbers, but the agent in its
    // slot checks them.
    auto agent = RankAgent::create({ RankIndex(1), Incarnation(5) }).value();
    TimePoint now;
    agent.start(now);
    agent.apply(now, rank::EngineResponded { 1, { Incarnation(50), true, first }, {} });
    FencingNumber newer { 2, Incarnation(9) };
    FencingNumber older { 1, Incarnation(8) };
    agent.apply(now, rank::OrderReceived { { newer, 1, RankIndex(1), std::nullopt, ReadStatus {} } });
    agent.apply(now, rank::EngineResponded { 2, { Incarnation(50), true, first }, {} });
    auto effects = agent.apply(now, rank::OrderReceived { { older, 7, RankIndex(1), Incarnation(50), StageMap { second } } });
    REQUIRE(effects.size() == 2);
    CHECK(std::holds_alternative<rank::OrderRefused>(effects[0]));
    CHECK(std::get<rank::SendReport>(effects[1]).report.promised == newer);
    CHECK(std::get<rank::SendReport>(effects[1]).to == older.holder);
}

TEST_CASE("Rank agent whose engine holds sends a hello to rank 0")
{
    // Guards against a group that holds although its coordinator works: a late order of an earlier coordinator armed
    // one engine, and the coordinator reads idle ranks only at long intervals. The agent of the held rank sends a
    // hello.
    auto agent = RankAgent::create({ RankIndex(1), Incarnation(5) }).value();
    TimePoint now;
    agent.start(now);
    EngineStatus status { Incarnation(50), true, first, StepNumber(3), SwitchPoint { second, StepNumber(4) } };
    agent.apply(now, rank::EngineResponded { 1, status, {} });
    CHECK(agent.apply(now + milliseconds(10), rank::Ticked {}).empty());
    auto effects = agent.apply(now + milliseconds(30), rank::Ticked {});
    REQUIRE(effects.size() == 1);
    CHECK(std::holds_alternative<rank::SendHello>(effects[0]));
}

namespace {

/// Number of steps from the newest step to the armed switch step, in a group whose steps take `stepTime`.
std::uint64_t leadStepsFor(milliseconds stepTime)
{
    Driver driver(milliseconds(85));
    auto begin = driver.now();
    driver.requestMap(second);
    // The ranks load the map for a second and are read meanwhile.
    for (int n = 0; n < 100; ++n) {
        StepNumber newest(10 + static_cast<std::uint64_t>((driver.now() - begin) / stepTime));
        for (auto& status : driver.statuses) {
            status.entered = newest;
            if (n == 50)
                status.staged.push_back(second);
        }
        for (auto& order : driver.tick()) {
            if (auto* arm = std::get_if<Arm>(&order.order))
                return arm->point.step.value() - newest.value();
        }
    }
    return 0;
}

/// Switch step of the first order to arm.
StepNumber firstArmedStep(Driver& driver)
{
    for (int n = 0; n < 20; ++n) {
        for (auto& order : driver.tick()) {
            if (auto* arm = std::get_if<Arm>(&order.order))
                return arm->point.step;
        }
    }
    return StepNumber();
}

} // namespace

// After a shift in demand, steps take three times as long until the map has been changed. A lead counted in steps would
// then take three times as long as well, just when running with the old map costs most.
TEST_CASE("Coordinator: the lead is as many steps as arming all ranks takes")
{
    CHECK(leadStepsFor(milliseconds(20)) == 5);
    CHECK(leadStepsFor(milliseconds(40)) == 3);
    CHECK(leadStepsFor(milliseconds(200)) == 1);
}

// Guards against a step time that is measured too short: two ranks are read a millisecond apart, one before and one
// after the start of a step of 80 ms. The step would be taken to last a millisecond, the switch would be scheduled 64
// steps ahead, and the group would run with uneven load for seconds.
TEST_CASE("Coordinator: reads just before and after the start of a step don't shorten the measured step time")
{
    Driver driver(milliseconds(85));
    driver.tick(4);
    auto enter = [&](std::uint64_t step) {
        for (auto& status : driver.statuses)
            status.entered = StepNumber(step);
    };
    // Two ranks are read every other step, the second one just after the end of the step that the first one reported.
    for (std::uint64_t step = 100; step < 130; step += 2) {
        driver.advanceTime(milliseconds(159));
        enter(step);
        driver.hello(0);
        driver.advanceTime(milliseconds(1));
        enter(step + 1);
        driver.hello(1);
    }
    driver.requestMap(second);
    for (auto& status : driver.statuses)
        status.staged.push_back(second);
    auto newest = driver.statuses[0].entered;
    auto point = firstArmedStep(driver);
    INFO("switch at step " << point.value() << ", step " << newest.value() << " has begun");
    CHECK(point.value() > newest.value());
    CHECK(point.value() <= newest.value() + 3);
}
