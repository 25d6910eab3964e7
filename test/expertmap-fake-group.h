#pragma once

#include "test/expertmap-fake-engine.h"

#include <swiftloft/expertmap/coordinator.h>
#include <swiftloft/expertmap/rank-agent.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A fake rank group for the protocol tests: engines in lock-step, the agents of their slots, and a message queue that
/// delays, duplicates, reorders and loses messages at random by a seed. One turn of the group takes the time of one
/// step.
namespace swiftloft::expertmap::rig {

enum class ProcessState {
    Running,
    Frozen,
    Dead,
};

/// One agent process. A frozen process keeps its inbox and its unsent engine orders, and continues when it wakes,
/// whether it has been replaced or not.
struct AgentProcess {
    Incarnation incarnation;
    std::uint32_t slot { 0 };
    RankAgent agent;
    std::optional<Coordinator> coordinator;
    ProcessState state { ProcessState::Running };
    /// The engine incarnation that the process is connected to. The connection breaks when that incarnation ends.
    Incarnation engine;
};

struct MessageFaults {
    int maxDelay { 0 };
    double loss { 0 };
    double duplicate { 0 };
};

struct Settings {
    std::uint32_t ranks { 4 };
    bool checksFences { false };
    int loadTurns { 20 };
    std::uint64_t seed { 1 };
    MessageFaults faults;
};

class FakeGroup {
public:
    explicit FakeGroup(const Settings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        m_engines.resize(settings.ranks);
        for (std::uint32_t r = 0; r < settings.ranks; ++r) {
            m_engines[r].status.engine = randomIncarnation();
            m_engines[r].checksFences = settings.checksFences;
        }
        m_slots.resize(settings.ranks);
        for (std::uint32_t r = 0; r < settings.ranks; ++r)
            startAgent(r);
    }

    static constexpr MapVersion initial { 100 };

    // Fault injection.
    void killAgent(std::uint32_t slot)
    {
        if (m_slots[slot])
            m_slots[slot]->state = ProcessState::Dead;
        m_slots[slot].reset();
    }
    void startAgent(std::uint32_t slot)
    {
        auto incarnation = randomIncarnation();
        auto agent = RankAgent::create({ RankIndex(slot), incarnation, m_settings.checksFences, milliseconds(50), milliseconds(25) }).value();
        auto process = std::make_shared<AgentProcess>(AgentProcess { incarnation, slot, agent, std::nullopt, ProcessState::Running, m_engines[slot].status.engine });
        if (slot == 0)
            process->coordinator = Coordinator::create({ incarnation, m_settings.ranks, initial, 2, 32, 1024, milliseconds(20), milliseconds(200), milliseconds(20) }).value();
        m_slots[slot] = process;
        m_processes.push_back(process);
        execute(process, process->agent.start(now()));
        if (m_requestedMap && slot == 0)
            requestMap(*m_requestedMap);
    }
    void freeze(std::uint32_t slot)
    {
        if (m_slots[slot])
            m_slots[slot]->state = ProcessState::Frozen;
    }
    /// Starts a successor beside the frozen process.
    void replace(std::uint32_t slot)
    {
        m_slots[slot].reset();
        startAgent(slot);
    }
    void wakeAll()
    {
        for (auto& process : m_processes) {
            if (process->state != ProcessState::Frozen)
                continue;
            process->state = ProcessState::Running;
            reconnect(process);
        }
    }
    void restartEngine(std::uint32_t r, std::optional<MapVersion> oldMap = std::nullopt)
    {
        auto& engine = m_engines[r];
        engine.status = {};
        engine.status.engine = randomIncarnation();
        engine.loading.clear();
        engine.isUp = true;
        if (oldMap) {
            engine.status.staged.push_back(*oldMap);
            engine.status.current = *oldMap;
        }
        m_enteredRanks.erase(r);
        // The work of an engine on an unfinished step is lost with its incarnation (see "What the platform must give"
        // in the design note); the new incarnation enters the step again.
        m_mapsByStep[m_completed + 1].erase(r);
        for (std::size_t n = 0; n < m_processes.size(); ++n) {
            auto process = m_processes[n];
            if (process->slot == r && process->state == ProcessState::Running)
                reconnect(process);
        }
    }
    void stopEngine(std::uint32_t r) { m_engines[r].isUp = false; }
    void setStoreUp(bool isUp) { m_isStoreUp = isUp; }
    void setFaults(const MessageFaults& faults) { m_settings.faults = faults; }

    void requestMap(MapVersion version)
    {
        m_requestedMap = version;
        applyToCoordinator(coordination::MapChangeRequested { version });
    }
    void withdrawRequest()
    {
        m_requestedMap.reset();
        applyToCoordinator(coordination::MapChangeWithdrawn {});
    }

    /// Runs one turn: delivers messages, sends ticks, and lets every engine that may do so enter the step.
    void turn()
    {
        ++m_turn;
        deliver();
        if (m_turn % 2 == 0)
            tick();
        for (auto& engine : m_engines)
            engine.load(m_isStoreUp);
        step();
    }
    void run(int turns)
    {
        for (int n = 0; n < turns; ++n)
            turn();
    }
    /// Runs until `done` returns true or for `bound` turns; returns whether `done` holds.
    template <typename Done>
    bool runUntil(Done&& done, int bound)
    {
        for (int n = 0; n < bound && !done(); ++n)
            turn();
        return done();
    }

    // State observed by the tests.
    std::uint64_t completedSteps() const { return m_completed; }
    std::uint64_t heldTurns() const { return m_heldTurns; }
    const FakeEngine& engine(std::uint32_t r) const { return m_engines[r]; }
    Coordinator* coordinator() { return m_slots[0] ? &*m_slots[0]->coordinator : nullptr; }
    RankAgent* agent(std::uint32_t slot) { return m_slots[slot] ? &m_slots[slot]->agent : nullptr; }
    std::uint32_t ranks() const { return m_settings.ranks; }
    std::uint64_t ordersSent() const { return m_ordersSent; }
    bool allRun(MapVersion version) const
    {
        return std::all_of(m_engines.begin(), m_engines.end(), [&](auto& it) { return it.status.isAdmitted && it.status.current == version && !it.status.armed; });
    }
    /// The first step that ranks entered with more than one map; 0 if there is none.
    std::uint64_t mixedStep() const
    {
        for (auto& step : m_mapsByStep) {
            auto isOther = [&](auto& it) { return it.second != step.second.begin()->second; };
            if (std::any_of(step.second.begin(), step.second.end(), isOther))
                return step.first;
        }
        return 0;
    }
    const std::vector<SwitchPoint>& finished() const { return m_finished; }
    /// Passes an order straight to an engine, as a process other than the group's agents could do.
    void writeToEngine(std::uint32_t r, const EngineOrder& order) { m_engines[r].apply(order, m_settings.loadTurns); }

private:
    struct Message {
        std::uint64_t at { 0 };
        /// Rank to whose slot the message goes, unless `process` is set.
        std::uint32_t slot { 0 };
        std::shared_ptr<AgentProcess> process;
        std::variant<RankOrder, RankReport, RankHello, EngineOrder, rank::EngineResponded> body;
        Incarnation engine;
    };

    Incarnation randomIncarnation() { return Incarnation((m_random() | 1) & 0xffffffff); }
    TimePoint now() const { return TimePoint(milliseconds(6 * m_turn)); }

    void sendMessage(const Message& message, bool isLocal)
    {
        auto& faults = m_settings.faults;
        std::uniform_real_distribution<double> chance(0, 1);
        if (!isLocal && chance(m_random) < faults.loss)
            return;
        int copies = !isLocal && chance(m_random) < faults.duplicate ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            auto copy = message;
            copy.at = m_turn + 1 + std::uniform_int_distribution<std::uint64_t>(0, isLocal ? 0 : faults.maxDelay)(m_random);
            m_messages.push_back(copy);
        }
    }

    void reconnect(const std::shared_ptr<AgentProcess>& process)
    {
        auto engine = m_engines[process->slot].status.engine;
        if (process->engine == engine)
            return;
        process->engine = engine;
        execute(process, process->agent.apply(now(), rank::EngineDisconnected {}));
    }

    void applyToCoordinator(const coordination::Event& event)
    {
        if (m_slots[0] && m_slots[0]->state == ProcessState::Running)
            execute(m_slots[0], m_slots[0]->coordinator->apply(now(), event));
    }

    void execute(const std::shared_ptr<AgentProcess>& process, const rank::Effects& effects)
    {
        for (auto& effect : effects) {
            if (auto* it = std::get_if<rank::SendToEngine>(&effect))
                sendMessage({ 0, process->slot, process, it->order, process->engine }, true);
            else if (auto* it = std::get_if<rank::SendReport>(&effect))
                sendMessage({ 0, 0, findProcess(it->to), it->report, {} }, process->slot == 0);
            else if (auto* it = std::get_if<rank::SendHello>(&effect))
                sendMessage({ 0, 0, nullptr, it->hello, {} }, process->slot == 0);
        }
    }

    void execute(const std::shared_ptr<AgentProcess>& process, const coordination::Effects& effects)
    {
        for (auto& effect : effects) {
            if (auto* it = std::get_if<coordination::SendOrder>(&effect)) {
                ++m_ordersSent;
                sendMessage({ 0, it->order.rank.value(), nullptr, it->order, {} }, it->order.rank.value() == 0);
            } else if (auto* it = std::get_if<coordination::ChangeFinished>(&effect))
                m_finished.push_back(it->point);
            else if (std::holds_alternative<coordination::SteppedDown>(effect) && process == m_slots[0])
                m_isRestartDue = true;
        }
    }

    std::shared_ptr<AgentProcess> findProcess(Incarnation incarnation)
    {
        for (auto& process : m_processes) {
            if (process->incarnation == incarnation)
                return process;
        }
        return nullptr;
    }

    void deliver()
    {
        auto due = std::stable_partition(m_messages.begin(), m_messages.end(), [this](auto& it) { return it.at > m_turn; });
        std::vector<Message> batch(due, m_messages.end());
        m_messages.erase(due, m_messages.end());
        std::shuffle(batch.begin(), batch.end(), m_random);
        for (auto& message : batch)
            deliver(message);
        // The platform restarts an agent whose coordinator stepped down while the agent still runs rank 0.
        if (std::exchange(m_isRestartDue, false)) {
            killAgent(0);
            startAgent(0);
        }
    }

    void redeliverNextTurn(Message& message)
    {
        message.at = m_turn + 1;
        m_messages.push_back(message);
    }

    void deliver(Message& message)
    {
        if (auto* it = std::get_if<EngineOrder>(&message.body)) {
            if (message.process->state == ProcessState::Frozen) {
                redeliverNextTurn(message);
                return;
            }
            auto& engine = m_engines[message.slot];
            // A connection to an earlier incarnation of the engine is broken.
            if (!engine.isUp || engine.status.engine != message.engine)
                return;
            engine.apply(*it, m_settings.loadTurns);
            sendMessage({ 0, message.slot, message.process, rank::EngineResponded { it->id, engine.status, engine.highest }, {} }, true);
            return;
        }
        auto process = message.process ? message.process : m_slots[message.slot];
        if (!process || process->state == ProcessState::Dead)
            return;
        if (process->state == ProcessState::Frozen) {
            message.process = process;
            redeliverNextTurn(message);
            return;
        }
        if (auto* it = std::get_if<RankOrder>(&message.body))
            execute(process, process->agent.apply(now(), rank::OrderReceived { *it }));
        else if (auto* it = std::get_if<rank::EngineResponded>(&message.body))
            execute(process, process->agent.apply(now(), *it));
        else if (!process->coordinator)
            return;
        else if (auto* it = std::get_if<RankReport>(&message.body))
            execute(process, process->coordinator->apply(now(), coordination::ReportReceived { *it }));
        else if (auto* it = std::get_if<RankHello>(&message.body))
            execute(process, process->coordinator->apply(now(), coordination::HelloReceived { *it }));
    }

    void tick()
    {
        for (std::size_t n = 0; n < m_processes.size(); ++n) {
            auto process = m_processes[n];
            if (process->state != ProcessState::Running)
                continue;
            execute(process, process->agent.apply(now(), rank::Ticked {}));
            if (process->coordinator)
                execute(process, process->coordinator->apply(now(), coordination::Ticked {}));
        }
    }

    void step()
    {
        StepNumber next(m_completed + 1);
        for (std::uint32_t r = 0; r < m_engines.size(); ++r) {
            if (m_enteredRanks.contains(r) || !m_engines[r].enter(next))
                continue;
            m_enteredRanks.insert(r);
            m_mapsByStep[next.value()][r] = m_engines[r].status.current;
        }
        if (m_enteredRanks.size() < m_engines.size()) {
            ++m_heldTurns;
            return;
        }
        m_enteredRanks.clear();
        ++m_completed;
    }

    Settings m_settings;
    std::mt19937_64 m_random;
    std::vector<FakeEngine> m_engines;
    std::vector<std::shared_ptr<AgentProcess>> m_slots;
    /// All processes ever started, including killed, frozen and replaced ones.
    std::vector<std::shared_ptr<AgentProcess>> m_processes;
    std::vector<Message> m_messages;
    /// For each step, the map with which each rank entered it.
    std::map<std::uint64_t, std::map<std::uint32_t, MapVersion>> m_mapsByStep;
    std::set<std::uint32_t> m_enteredRanks;
    std::vector<SwitchPoint> m_finished;
    std::optional<MapVersion> m_requestedMap;
    std::uint64_t m_turn { 0 };
    std::uint64_t m_completed { 0 };
    std::uint64_t m_heldTurns { 0 };
    std::uint64_t m_ordersSent { 0 };
    bool m_isStoreUp { true };
    bool m_isRestartDue { false };
};

} // namespace swiftloft::expertmap::rig
