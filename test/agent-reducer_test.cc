#include "src/agent/reducer.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::agent;

namespace {

const BackendServerId self("engine-1");
const Incarnation incarnation(7);
const Incarnation entry(100);

/// An agent's reducer with a clock of its own, and what it did last.
class Agent {
public:
    Agent()
        : m_reducer(Reducer::create(options(), m_now).value())
    {
        give(EngineUp { 0, m_now, m_now });
    }

    Effects give(const Event& event)
    {
        Effects effects;
        m_reducer.apply(event, effects);
        return effects;
    }

    Effects run(std::uint64_t call, std::uint64_t serial, std::uint64_t fingerprint = 1)
    {
        RunRequested event { CallId(call), ticket(serial), Fingerprint(fingerprint) };
        event.deadline = m_now + seconds(10);
        event.now = m_now;
        return give(event);
    }

    Effects end(std::uint64_t serial, RunEnd how) { return give(RunEnded { runIdOf(ticket(serial)), how, m_now }); }

    static policy::Ticket ticket(std::uint64_t serial, Incarnation agent = incarnation) { return { self, agent, policy::MintEpoch(1), entry, serial }; }

    TimePoint now() const { return m_now; }
    void pass(milliseconds time) { m_now += time; }
    const Reducer& reducer() const { return m_reducer; }

private:
    static ReducerOptions options()
    {
        ReducerOptions options;
        options.self = self;
        options.incarnation = incarnation;
        options.claims.hasStartupGracePeriod = false;
        return options;
    }

    TimePoint m_now { seconds(1000) };
    Reducer m_reducer;
};

template <typename T>
std::vector<T> all(const Effects& effects)
{
    std::vector<T> found;
    for (auto& effect : effects) {
        if (auto it = std::get_if<T>(&effect))
            found.push_back(*it);
    }
    return found;
}

/// The verdict of the only refusal among `effects`.
Verdict refusal(const Effects& effects)
{
    REQUIRE(all<RefuseCall>(effects).size() == 1);
    return all<RefuseCall>(effects)[0].verdict;
}

} // namespace

// An entry's connection breaks, and it hands the same request over again on a new one, while the first copy is still in
// some buffer. Whichever comes first starts the request; the other only gets its answer.
TEST_CASE("Agent: a request that comes twice starts once")
{
    Agent agent;
    CHECK(all<StartRun>(agent.run(1, 5)).size() == 1);
    auto second = agent.run(2, 5);
    CHECK(all<StartRun>(second).empty());
    CHECK(all<AttachCall>(second).size() == 1);
    agent.end(5, RunEnd::Answered);
    auto third = agent.run(3, 5);
    CHECK(all<StartRun>(third).empty());
    CHECK(all<AttachCall>(third).size() == 1);
}

// An entry gives a request up before it reached the agent and tells its caller "not run". The late copy arrives after
// the cancel, and must not run.
TEST_CASE("Agent: a late copy of a request that was cancelled as not run never starts")
{
    Agent agent;
    auto cancelled = agent.give(CancelRequested { CallId(1), Agent::ticket(5), agent.now() });
    REQUIRE(all<AnswerCancel>(cancelled).size() == 1);
    CHECK(all<AnswerCancel>(cancelled)[0].verdict == Verdict::NotRun);
    auto late = agent.run(2, 5);
    CHECK(all<StartRun>(late).empty());
    CHECK(refusal(late) == Verdict::NotRun);
}

// The agent refuses while its engine is down, and the caller is told "not run". The engine comes back, and then a second
// copy of that call arrives.
TEST_CASE("Agent: what was refused as not run stays not run when the engine is back")
{
    Agent agent;
    agent.give(EngineDown { false, agent.now(), agent.now() });
    CHECK(refusal(agent.run(1, 5)) == Verdict::NotRun);
    agent.give(EngineUp { 0, agent.now(), agent.now() });
    auto late = agent.run(2, 5);
    CHECK(all<StartRun>(late).empty());
    CHECK(refusal(late) == Verdict::NotRun);
    CHECK(all<StartRun>(agent.run(3, 6)).size() == 1);
}

// The agent was restarted. A request for its predecessor arrives: it may have run there.
TEST_CASE("Agent: a request for an earlier incarnation is refused as may-have-run")
{
    Agent agent;
    RunRequested event { CallId(1), Agent::ticket(5, Incarnation(6)), Fingerprint(1) };
    event.deadline = agent.now() + seconds(10);
    event.now = agent.now();
    auto effects = agent.give(event);
    CHECK(all<StartRun>(effects).empty());
    CHECK(refusal(effects) == Verdict::MayHaveRun);
}

TEST_CASE("Agent: one that leaves starts nothing, goes on with what runs, and then finishes")
{
    Agent agent;
    agent.run(1, 5);
    auto leaving = agent.give(LeaveRequested { agent.now() });
    CHECK(all<Finish>(leaving).empty());
    CHECK(refusal(agent.run(2, 6)) == Verdict::NotRun);
    CHECK(all<AttachCall>(agent.run(3, 5)).size() == 1);
    CHECK(all<Finish>(agent.end(5, RunEnd::Answered)).size() == 1);
}

// Two requests are at the engine when it crashes. Their entries hear of it only once the agent knows that it was a
// crash, so that no entry sends either elsewhere before it is suspected.
TEST_CASE("Agent: a broken request is answered only when a later probe has told why")
{
    Agent agent;
    agent.run(1, 5, 11);
    agent.run(2, 6, 12);
    agent.pass(milliseconds(10));
    auto stale = agent.now() - milliseconds(5);
    auto broken = agent.end(5, RunEnd::Broken);
    CHECK(all<ProbeEngine>(broken).size() == 1);
    CHECK(all<ConcludeRun>(broken).empty());
    CHECK(all<ConcludeRun>(agent.give(EngineUp { 0, stale, agent.now() })).empty());

    agent.pass(milliseconds(10));
    auto crash = agent.give(EngineDown { true, agent.now(), agent.now() });
    REQUIRE(all<ConcludeRun>(crash).size() == 1);
    CHECK(all<ConcludeRun>(crash)[0].crash != policy::CrashId());
    CHECK(all<PublishReport>(crash).back().suspicions.size() == 2);
}

// A suspect of a crash comes again. It waits until nothing else is at the engine, and nothing else starts beside it, so
// that no innocent request is at the engine if it crashes once more.
TEST_CASE("Agent: a suspect runs alone")
{
    Agent agent;
    agent.run(1, 5);
    RunRequested event { CallId(2), Agent::ticket(6), Fingerprint(13) };
    event.runsAlone = true;
    event.deadline = agent.now() + seconds(10);
    event.now = agent.now();
    auto suspect = agent.give(event);
    REQUIRE(all<StartRun>(suspect).size() == 1);
    CHECK(all<StartRun>(suspect)[0].isHeld);
    CHECK(refusal(agent.run(3, 7)) == Verdict::NotRun);
    CHECK(all<ReleaseRun>(agent.end(5, RunEnd::Answered)).size() == 1);
    CHECK(refusal(agent.run(4, 8)) == Verdict::NotRun);
    agent.end(6, RunEnd::Answered);
    CHECK(all<StartRun>(agent.run(5, 9)).size() == 1);
}
