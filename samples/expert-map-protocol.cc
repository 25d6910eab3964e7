#include <swiftloft/expertmap/coordinator.h>
#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/expertmap/planner.h>
#include <swiftloft/expertmap/rank-agent.h>

#include <fmt/format.h>

#include <algorithm>
#include <vector>

/// Plans a better expert map for a small group and changes the group to it, without any daemon: the coordinator, the
/// rank agents and the engines are objects in this process, and messages are function calls.

using namespace swiftloft;
using namespace swiftloft::expertmap;

namespace {

constexpr MapShape shape { 4, 1, 8, 3 };

/// An engine that carries out each order at once and steps together with the others.
struct Engine {
    EngineStatus status;

    void apply(const Order& order)
    {
        if (auto* stage = std::get_if<StageMap>(&order)) {
            if (!status.hasStaged(stage->version))
                status.staged.push_back(stage->version);
        } else if (auto* admit = std::get_if<Admit>(&order)) {
            status.current = status.isAdmitted ? status.current : admit->version;
            status.isAdmitted = true;
        } else if (auto* arm = std::get_if<Arm>(&order)) {
            if (!status.armed && status.entered < arm->point.step)
                status.armed = arm->point;
        } else if (auto* go = std::get_if<Go>(&order))
            status.isReleased = status.isReleased || status.armed == go->point;
        else if (auto* cancel = std::get_if<Cancel>(&order)) {
            if (status.armed == cancel->point && !status.isReleased)
                status.armed.reset();
        }
    }

    bool mayEnter(StepNumber step) const
    {
        bool isHeld = status.armed && step >= status.armed->step && !status.isReleased;
        return status.isAdmitted && !isHeld;
    }

    void enter(StepNumber step)
    {
        if (status.armed && step >= status.armed->step) {
            status.current = status.armed->version;
            status.armed.reset();
            status.isReleased = false;
        }
        status.entered = step;
    }
};

class Group {
public:
    Group()
    {
        for (std::uint32_t r = 0; r < shape.ranks; ++r) {
            m_engines[r].status.engine = Incarnation(100 + r);
            m_agents.push_back(RankAgent::create({ RankIndex(r), Incarnation(10 + r) }).value());
        }
        for (std::uint32_t r = 0; r < shape.ranks; ++r)
            execute(r, m_agents[r].start(m_now));
    }

    void requestMap(MapVersion version) { execute(m_coordinator.apply(m_now, coordination::MapChangeRequested { version })); }

    /// Sends a tick to every agent and the coordinator, then runs one step of the group if every engine may enter
    /// it.
    void step()
    {
        m_now += milliseconds(6);
        for (std::uint32_t r = 0; r < shape.ranks; ++r)
            execute(r, m_agents[r].apply(m_now, rank::Ticked {}));
        execute(m_coordinator.apply(m_now, coordination::Ticked {}));
        StepNumber next(m_steps + 1);
        bool mayAllEnter = std::all_of(std::begin(m_engines), std::end(m_engines), [&](auto& it) { return it.mayEnter(next); });
        if (!mayAllEnter)
            return;
        for (auto& engine : m_engines)
            engine.enter(next);
        m_steps = next.value();
    }

    bool allRun(MapVersion version) const
    {
        return std::all_of(std::begin(m_engines), std::end(m_engines), [&](auto& it) { return it.status.current == version; });
    }
    std::uint64_t steps() const { return m_steps; }
    bool isFinished() const { return m_isFinished; }

private:
    void execute(std::uint32_t r, const rank::Effects& effects)
    {
        for (auto& effect : effects) {
            if (auto* write = std::get_if<rank::SendToEngine>(&effect)) {
                m_engines[r].apply(write->order.order);
                execute(r, m_agents[r].apply(m_now, rank::EngineResponded { write->order.id, m_engines[r].status, {} }));
            } else if (auto* report = std::get_if<rank::SendReport>(&effect))
                execute(m_coordinator.apply(m_now, coordination::ReportReceived { report->report }));
            else if (auto* hello = std::get_if<rank::SendHello>(&effect))
                execute(m_coordinator.apply(m_now, coordination::HelloReceived { hello->hello }));
        }
    }

    void execute(const coordination::Effects& effects)
    {
        for (auto& effect : effects) {
            if (auto* send = std::get_if<coordination::SendOrder>(&effect)) {
                auto r = send->order.rank.value();
                execute(r, m_agents[r].apply(m_now, rank::OrderReceived { send->order }));
            } else if (auto* finished = std::get_if<coordination::ChangeFinished>(&effect)) {
                fmt::print("all ranks run map {:016x} from step {}\n", finished->point.version.value(), finished->point.step.value());
                m_isFinished = true;
            }
        }
    }

    TimePoint m_now;
    Engine m_engines[shape.ranks];
    std::vector<RankAgent> m_agents;
    Coordinator m_coordinator { Coordinator::create({ Incarnation(10), shape.ranks, ExpertMap::contiguous(shape).value().version() }).value() };
    std::uint64_t m_steps { 0 };
    bool m_isFinished { false };
};

Plan planForHotExpert()
{
    Planner::Options options;
    options.skewWeight = 4;
    auto planner = Planner::create(options, ExpertMap::contiguous(shape).value()).value();
    std::vector<double> tokens { 9000, 1000, 1000, 1000, 1000, 1000, 1000, 1000 };
    TimePoint now;
    for (int n = 0; n < 6; ++n) {
        now += std::chrono::minutes(5);
        planner.observe(now, tokens);
    }
    return planner.plan(now, 600);
}

} // namespace

int main()
{
    auto plan = planForHotExpert();
    if (!plan.map) {
        fmt::print("no move is worth its cost: {}\n", toString(plan.reason));
        return 1;
    }
    fmt::print("{} experts to move, {} bytes, {:.0f}% of the step time saved\n", plan.moves.size(), plan.bytes.value(), 100 * plan.gain);
    Group group;
    for (int n = 0; n < 100 && group.steps() < 10; ++n)
        group.step();
    group.requestMap(plan.map->version());
    for (int n = 0; n < 1000 && !group.isFinished(); ++n)
        group.step();
    return group.allRun(plan.map->version()) ? 0 : 1;
}
