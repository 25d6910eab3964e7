#pragma once

#include "test/fake-rank-fleet.h"

#include <fmt/format.h>

#include <array>
#include <map>
#include <string>
#include <vector>

/// Systematic exploration of one change of the map under faults, with the agents' own code and an engine that takes simple
/// commands. A run is determined by its faults, so all runs with up to a given number of faults can be played one after
/// the other.
namespace swiftloft::agent::rig {

struct Fault {
    enum class Kind {
        /// `count` sends of commands to the rank's engine, from number `at` on, get no response and are executed `delay`
        /// turns later, or never if `delay` is negative.
        Unanswered,
        /// Command number `at` to the rank's engine is executed again `delay` turns later.
        Repeated,
        /// The rank's agent stands still for `count` turns from turn `at` on.
        Frozen,
        /// The rank's agent is killed in turn `at` and replaced at once.
        Killed,
    };

    Kind kind { Kind::Unanswered };
    std::uint32_t rank { 0 };
    int at { 0 };
    int count { 1 };
    int delay { 0 };
};

inline std::string toString(const Fault& fault)
{
    switch (fault.kind) {
    case Fault::Kind::Unanswered:
        return fmt::format("rank {}: sends {} to {} get no response and are executed {}", fault.rank, fault.at, fault.at + fault.count - 1, fault.delay < 0 ? "never" : fmt::format("{} turns later", fault.delay));
    case Fault::Kind::Repeated:
        return fmt::format("rank {}: send {} is executed again {} turns later", fault.rank, fault.at, fault.delay);
    case Fault::Kind::Frozen:
        return fmt::format("rank {}: the agent stands still for {} turns from turn {}", fault.rank, fault.count, fault.at);
    case Fault::Kind::Killed:
        return fmt::format("rank {}: the agent is killed and replaced in turn {}", fault.rank, fault.at);
    }
    return "unknown";
}

inline std::string_view nameOf(EngineCommand::Kind kind)
{
    constexpr std::array names { "prepare", "arm", "disarm", "hold", "release" };
    return names.at(static_cast<std::size_t>(kind));
}

using Faults = std::vector<Fault>;

/// What one run showed.
struct ChangeRun {
    bool hasMixedStep { false };
    /// All faults were over, no rank was held, and the change was completed or given up.
    bool isSettled { false };
    int heldTurns { 0 };
    int turns { 0 };
    /// Each send of a command, in their order.
    struct Send {
        std::uint32_t rank { 0 };
        int number { 0 };
        int turn { 0 };
        EngineCommand::Kind kind { EngineCommand::Kind::Prepare };
    };
    std::vector<Send> sends;
    /// One line for each command.
    std::vector<std::string> trace;
};

/// Plays one change of the map.
class ChangePlayer {
public:
    struct Options {
        std::uint32_t ranks { 2 };
        bool checksFences { false };
        int pollPhase { 0 };
    };

    explicit ChangePlayer(const Options& options)
        : m_options(options)
    {
    }

    ChangeRun play(const Faults& faults, bool hasTrace = false)
    {
        RankFleet::Options options;
        options.ranks = m_options.ranks;
        options.checksFences = m_options.checksFences;
        options.maxDelayTurns = 0;
        options.pollPhase = m_options.pollPhase;
        RankFleet fleet(options);
        ChangeRun run;
        std::vector<int> sends(m_options.ranks, 0);
        fleet.group().setFateHook([&](std::uint32_t rank, const EngineCommand& command) {
            auto number = sends[rank]++;
            run.sends.push_back({ rank, number, run.turns, command.kind });
            auto fate = fateOf(faults, rank, number);
            if (hasTrace)
                run.trace.push_back(traceLine(run.turns, fleet.group().steps(), rank, number, command, fate));
            return fate;
        });
        fleet.run(startTurns);
        fleet.requestMap(target);
        for (; run.turns < maxTurns && !run.hasMixedStep && !isOver(fleet, faults, run.turns); ++run.turns) {
            apply(faults, run.turns, fleet);
            fleet.run(1);
            run.hasMixedStep = fleet.group().mixedSteps() > 0;
        }
        run.isSettled = run.hasMixedStep || settle(fleet, run);
        run.heldTurns = fleet.group().heldTurns();
        return run;
    }

private:
    static constexpr int startTurns = 20;
    static constexpr int maxTurns = 400;
    /// The last agent that stands still wakes after 300 turns, and the last command that it sends is executed 200 turns later.
    static constexpr int settleTurns = 1000;
    static constexpr MapVersion target { 4100 };

    static CommandFate fateOf(const Faults& faults, std::uint32_t rank, int number)
    {
        CommandFate fate;
        for (auto& fault : faults) {
            if (fault.rank != rank)
                continue;
            bool isUnanswered = fault.kind == Fault::Kind::Unanswered && number >= fault.at && number < fault.at + fault.count;
            if (isUnanswered)
                fate = { false, fault.delay < 0 ? std::vector<int>() : std::vector<int> { fault.delay } };
            if (fault.kind == Fault::Kind::Repeated && number == fault.at)
                fate.executedAfter.push_back(fault.delay);
        }
        return fate;
    }

    static void apply(const Faults& faults, int turn, RankFleet& fleet)
    {
        for (auto& fault : faults) {
            if (fault.at != turn)
                continue;
            if (fault.kind == Fault::Kind::Frozen)
                fleet.freeze(fault.rank, fault.count);
            if (fault.kind == Fault::Kind::Killed) {
                fleet.killAgent(fault.rank);
                fleet.startAgent(fault.rank);
            }
        }
    }

    static bool isOver(RankFleet& fleet, const Faults& faults, int turn)
    {
        bool isFaultAhead = std::any_of(faults.begin(), faults.end(), [&](auto& fault) { return (fault.kind == Fault::Kind::Frozen || fault.kind == Fault::Kind::Killed) && fault.at >= turn; });
        auto& group = fleet.group();
        return group.allRanksRun(target) && !group.isHeld() && !group.hasDelayedCommands() && !isFaultAhead;
    }

    /// Plays on without new faults until the group goes on and the change has been completed or given up.
    static bool settle(RankFleet& fleet, ChangeRun& run)
    {
        auto& group = fleet.group();
        for (int n = 0; n < settleTurns && !run.hasMixedStep; ++n) {
            bool isPending = fleet.coordinator().pendingSwitch().has_value();
            if (!group.isHeld() && !isPending && !group.hasDelayedCommands())
                return true;
            fleet.run(1);
            ++run.turns;
            run.hasMixedStep = group.mixedSteps() > 0;
        }
        return run.hasMixedStep;
    }

    static std::string traceLine(int turn, std::uint64_t step, std::uint32_t rank, int number, const EngineCommand& command, const CommandFate& fate)
    {
        std::string executed = fate.executedAfter.empty() ? "never" : "";
        for (auto turns : fate.executedAfter)
            executed += fmt::format("{}+{}", executed.empty() ? "" : ", ", turns);
        return fmt::format("turn {:3} step {:3} rank {} send {:2} {:7} step={} {} executed: {}", turn, step, rank, number, nameOf(command.kind), command.step.value(), fate.isAnswered ? "answered" : "no response", executed);
    }

    Options m_options;
};

/// Plays all runs with up to a number of faults, those with fewer faults first, and none with more faults than the first
/// violation has.
class ChangeExplorer {
public:
    struct Options {
        ChangePlayer::Options group;
        int maxFaults { 2 };
        /// Runs with equally many faults are left out evenly if there would be more of them than this; 0: none are left out.
        std::size_t maxRuns { 0 };
    };

    /// Runs with a mixed step whose faults hit the same commands and agents.
    struct Violation {
        std::size_t runs { 0 };
        /// Faults and commands of the first of them.
        Faults faults;
        std::vector<std::string> trace;
    };

    struct Result {
        std::size_t runs { 0 };
        std::size_t unsettled { 0 };
        /// Of the first run that was not settled.
        Faults unsettledFaults;
        std::vector<std::string> unsettledTrace;
        int longestHold { 0 };
        std::map<std::string, Violation> violations;
    };

    explicit ChangeExplorer(const Options& options)
        : m_options(options)
        , m_player(options.group)
    {
    }

    Result explore()
    {
        std::vector<Faults> level { {} };
        for (int depth = 0; depth <= m_options.maxFaults && m_result.violations.empty(); ++depth) {
            std::vector<Faults> next;
            auto stride = m_options.maxRuns == 0 ? 1 : std::max<std::size_t>(1, level.size() / m_options.maxRuns);
            for (std::size_t n = 0; n < level.size(); n += stride) {
                auto run = play(level[n]);
                if (depth < m_options.maxFaults)
                    extend(level[n], run, next);
            }
            level = std::move(next);
        }
        return m_result;
    }

    /// Plays `walks` times a run with one more random fault after the other, up to `maxFaults`.
    Result walk(std::uint64_t seed, int walks)
    {
        std::mt19937_64 random(seed);
        for (int n = 0; n < walks; ++n) {
            Faults faults;
            for (int depth = 0; depth <= m_options.maxFaults; ++depth) {
                auto run = play(faults);
                std::vector<Faults> next;
                extend(faults, run, next);
                if (run.hasMixedStep || next.empty())
                    break;
                faults = next[random() % next.size()];
            }
        }
        return m_result;
    }

private:
    ChangeRun play(const Faults& faults)
    {
        auto run = m_player.play(faults);
        ++m_result.runs;
        if (!run.isSettled && ++m_result.unsettled == 1) {
            m_result.unsettledFaults = faults;
            m_result.unsettledTrace = m_player.play(faults, true).trace;
        }
        m_result.longestHold = std::max(m_result.longestHold, run.heldTurns);
        if (!run.hasMixedStep)
            return run;
        auto& violation = m_result.violations[patternOf(faults, run)];
        if (++violation.runs == 1) {
            violation.faults = faults;
            violation.trace = m_player.play(faults, true).trace;
        }
        return run;
    }

    static std::string patternOf(const Faults& faults, const ChangeRun& run)
    {
        std::string pattern;
        for (auto& fault : faults)
            pattern += fmt::format("{}rank {}{}", pattern.empty() ? "" : "; ", fault.rank, effectOf(fault, run));
        return pattern;
    }

    static std::string effectOf(const Fault& fault, const ChangeRun& run)
    {
        if (fault.kind == Fault::Kind::Frozen)
            return " frozen";
        if (fault.kind == Fault::Kind::Killed)
            return " killed";
        std::string text;
        std::string_view last;
        for (auto& send : run.sends) {
            bool isHit = send.rank == fault.rank && send.number >= fault.at && send.number < fault.at + fault.count;
            if (!isHit || nameOf(send.kind) == last)
                continue;
            last = nameOf(send.kind);
            text += fmt::format(" {}", last);
        }
        bool isRepeated = fault.kind == Fault::Kind::Repeated;
        return text + (isRepeated ? " repeated" : fault.delay < 0 ? " lost"
                       : fault.delay == 0                         ? " without response"
                                                                  : " late");
    }

    /// Adds the runs with one more fault, which is not earlier than the last one.
    void extend(const Faults& faults, const ChangeRun& run, std::vector<Faults>& next) const
    {
        auto earliest = faults.empty() ? 0 : turnOf(faults.back(), run);
        auto add = [&](const Fault& fault) {
            next.push_back(faults);
            next.back().push_back(fault);
        };
        for (auto& send : run.sends) {
            if (send.turn < earliest)
                continue;
            for (auto delay : { -1, 0, 5, 30, 200 }) {
                for (int count = 1; count <= maxUnanswered; ++count)
                    add({ Fault::Kind::Unanswered, send.rank, send.number, count, delay });
            }
            for (auto delay : { 5, 30, 200 })
                add({ Fault::Kind::Repeated, send.rank, send.number, 1, delay });
        }
        auto last = run.sends.empty() ? 0 : run.sends.back().turn;
        for (int turn = earliest; turn <= last; ++turn) {
            for (std::uint32_t rank = 0; rank < m_options.group.ranks; ++rank) {
                for (auto count : { 10, 300 })
                    add({ Fault::Kind::Frozen, rank, turn, count, 0 });
                add({ Fault::Kind::Killed, rank, turn, 1, 0 });
            }
        }
    }

    static int turnOf(const Fault& fault, const ChangeRun& run)
    {
        if (fault.kind == Fault::Kind::Frozen || fault.kind == Fault::Kind::Killed)
            return fault.at;
        auto it = std::find_if(run.sends.begin(), run.sends.end(), [&](auto& send) { return send.rank == fault.rank && send.number == fault.at; });
        return it == run.sends.end() ? 0 : it->turn;
    }

    /// One more than a command is sent, so that the command that follows gets no response either.
    static constexpr int maxUnanswered = 6;

    Options m_options;
    ChangePlayer m_player;
    Result m_result;
};

inline std::string toString(const Faults& faults, const std::vector<std::string>& trace)
{
    std::string text;
    for (auto& fault : faults)
        text += "  " + toString(fault) + "\n";
    for (auto& line : trace)
        text += "  " + line + "\n";
    return text;
}

inline std::string toString(const ChangeExplorer::Result& result)
{
    auto text = fmt::format("{} runs, {} not settled, longest hold {} turns\n", result.runs, result.unsettled, result.longestHold);
    if (result.unsettled > 0)
        text += "not settled:\n" + toString(result.unsettledFaults, result.unsettledTrace);
    for (auto& [pattern, violation] : result.violations)
        text += fmt::format("mixed step in {} runs: {}\n{}", violation.runs, pattern, toString(violation.faults, violation.trace));
    return text;
}

inline std::string toString(const ChangeExplorer::Options& options)
{
    auto& group = options.group;
    return fmt::format("{} ranks, fences {}, poll phase {}, up to {} faults", group.ranks, group.checksFences ? "checked" : "ignored", group.pollPhase, options.maxFaults);
}

} // namespace swiftloft::agent::rig
