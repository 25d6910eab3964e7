#pragma once

#include "src/agent/engine-port.h"

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

/// Fake rank group whose engines take simple commands and step together. A hold at one rank stops all ranks. A command
/// is checked only against the step and the epoch, and a command that gets no response is executed seconds later.
namespace swiftloft::agent::rig {

/// Simulated time advances in turns of this duration.
inline constexpr milliseconds turnDuration { 10 };
inline constexpr int turnsPerStep = 6;

struct CommandFaults {
    /// Share of the commands that get no response and are executed later.
    double delayedShare { 0 };
    int minDelayTurns { 200 };
    int maxDelayTurns { 1200 };
};

/// What happens to one command.
struct CommandFate {
    bool isAnswered { true };
    /// The command is executed after each of these numbers of turns; never if there are none.
    std::vector<int> executedAfter { 0 };
};

class FakeEngineGroup {
public:
    using FateHook = std::function<CommandFate(std::uint32_t rank, const EngineCommand& command)>;

    FakeEngineGroup(std::uint32_t ranks, bool checksFences, CommandFaults faults, std::uint64_t seed)
        : m_checksFences(checksFences)
        , m_faults(faults)
        , m_random(seed)
        , m_ranks(ranks)
    {
    }

    EnginePort portOf(std::uint32_t rank)
    {
        EnginePort port;
        port.read = [this, rank](TimePoint) { return read(rank); };
        port.command = [this, rank](EngineCommand command, TimePoint) { return onCommand(rank, command); };
        return port;
    }

    /// Lets `hook` decide what happens to each command, in place of the faults by chance.
    void setFateHook(FateHook hook) { m_fateHook = std::move(hook); }

    /// Advances by one turn: executes delayed commands, finishes copies, and begins a step if no rank holds it.
    void advance()
    {
        ++m_turn;
        for (auto it = m_delayedCommands.begin(); it != m_delayedCommands.end() && it->first <= m_turn; it = m_delayedCommands.erase(it))
            execute(it->second.rank, it->second.command);
        for (auto& rank : m_ranks) {
            if (rank.copying && m_turn >= rank.copiedAt) {
                rank.prepared = rank.copying;
                rank.copying.reset();
            }
        }
        if (m_turn % turnsPerStep == 0)
            advanceStep();
    }

    /// Simulates the restart of an engine: the group forms again with the first map, and nothing is armed or held.
    void restart()
    {
        ++m_epoch;
        m_step = 0;
        for (auto& rank : m_ranks)
            rank = {};
    }

    TimePoint now() const { return TimePoint(m_turn * turnDuration); }
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t steps() const { return m_step; }
    int mixedSteps() const { return m_mixedSteps; }
    /// Number of turns at which a step was due but held by a rank.
    int heldTurns() const { return m_heldTurns; }
    bool allRanksRun(MapVersion version) const
    {
        return std::all_of(m_ranks.begin(), m_ranks.end(), [&](auto& rank) { return rank.map == version; });
    }
    bool hasDelayedCommands() const { return !m_delayedCommands.empty(); }
    bool isHeld() const
    {
        return std::any_of(m_ranks.begin(), m_ranks.end(), [](auto& rank) { return rank.held.has_value(); });
    }

private:
    static constexpr int copyTurns = 30;

    struct Rank {
        MapVersion map;
        std::optional<MapVersion> prepared;
        std::optional<MapVersion> copying;
        int copiedAt { 0 };
        std::optional<expertmap::SwitchPoint> armed;
        std::optional<StepNumber> held;
        std::uint64_t fence { 0 };
        MapVersion highest;
    };
    struct DelayedCommand {
        std::uint32_t rank { 0 };
        EngineCommand command;
    };

    boost::asio::awaitable<EngineView> read(std::uint32_t index)
    {
        auto& rank = m_ranks[index];
        EngineView view;
        view.group = EngineGroupName("g");
        view.epoch = m_epoch;
        view.rank = RankIndex(index);
        view.ranks = static_cast<std::uint32_t>(m_ranks.size());
        view.isOpen = true;
        view.map = rank.map;
        view.step = StepNumber(m_step);
        view.prepared = rank.prepared;
        view.armed = rank.armed;
        view.heldStep = rank.held;
        co_return view;
    }

    boost::asio::awaitable<CommandOutcome> onCommand(std::uint32_t rank, EngineCommand command)
    {
        if (m_fateHook)
            co_return meetFate(rank, command, m_fateHook(rank, command));
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.delayedShare) {
            std::uniform_int_distribution<int> delay(m_faults.minDelayTurns, m_faults.maxDelayTurns);
            m_delayedCommands.emplace(m_turn + delay(m_random), DelayedCommand { rank, command });
            throw boost::system::system_error(boost::asio::error::timed_out);
        }
        co_return execute(rank, command);
    }

    CommandOutcome meetFate(std::uint32_t rank, const EngineCommand& command, const CommandFate& fate)
    {
        auto outcome = CommandOutcome::Done;
        for (auto turns : fate.executedAfter) {
            if (turns > 0)
                m_delayedCommands.emplace(m_turn + turns, DelayedCommand { rank, command });
            else
                outcome = execute(rank, command);
        }
        if (!fate.isAnswered)
            throw boost::system::system_error(boost::asio::error::timed_out);
        return outcome;
    }

    CommandOutcome execute(std::uint32_t index, const EngineCommand& command)
    {
        auto& rank = m_ranks[index];
        if (command.epoch != m_epoch)
            return CommandOutcome::Refused;
        if (m_checksFences && command.fence < rank.fence)
            return CommandOutcome::Fenced;
        rank.fence = std::max(rank.fence, command.fence);
        return apply(rank, command) ? CommandOutcome::Done : CommandOutcome::Refused;
    }

    bool apply(Rank& rank, const EngineCommand& command)
    {
        bool hasBegun = command.step.value() <= m_step;
        switch (command.kind) {
        case EngineCommand::Kind::Prepare:
            if (command.version <= rank.highest || rank.armed)
                return false;
            rank.highest = command.version;
            rank.copying = command.version;
            rank.copiedAt = m_turn + copyTurns;
            return true;
        case EngineCommand::Kind::Arm:
            if (hasBegun || rank.prepared != command.version)
                return false;
            rank.armed = expertmap::SwitchPoint { command.version, command.step };
            return true;
        case EngineCommand::Kind::Disarm:
            if (rank.map == command.version)
                return false;
            rank.armed.reset();
            return true;
        case EngineCommand::Kind::Hold:
            if (hasBegun || (rank.held && rank.held != command.step))
                return false;
            rank.held = command.step;
            return true;
        case EngineCommand::Kind::Release:
            if (rank.held == command.step)
                rank.held.reset();
            return true;
        }
        return false;
    }

    void advanceStep()
    {
        StepNumber next(m_step + 1);
        if (std::any_of(m_ranks.begin(), m_ranks.end(), [&](auto& rank) { return rank.held == next; })) {
            ++m_heldTurns;
            return;
        }
        m_step = next.value();
        for (auto& rank : m_ranks) {
            if (rank.armed && rank.armed->step == next) {
                rank.map = rank.armed->version;
                rank.armed.reset();
                rank.prepared.reset();
            }
        }
        if (!allRanksRun(m_ranks[0].map))
            ++m_mixedSteps;
    }

    bool m_checksFences;
    CommandFaults m_faults;
    FateHook m_fateHook;
    std::mt19937_64 m_random;
    std::vector<Rank> m_ranks;
    std::multimap<int, DelayedCommand> m_delayedCommands;
    int m_turn { 0 };
    std::uint64_t m_epoch { 1 };
    std::uint64_t m_step { 0 };
    int m_mixedSteps { 0 };
    int m_heldTurns { 0 };
};

} // namespace swiftloft::agent::rig
