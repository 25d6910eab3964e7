#include "src/agent/reducer.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::agent;

namespace {

const BackendServerId self("engine-1");
const Incarnation incarnation(7);
const Incarnation entryIncarnation(100);

/// An agent's reducer with a simulated clock.
class Agent {
public:
    Agent()
        : m_reducer(Reducer::create(options(), m_now).value())
    {
        apply(EngineUp { 0, m_now, m_now });
    }

    Effects apply(const Event& event)
    {
        Effects effects;
        m_reducer.apply(event, effects);
        return effects;
    }

    Effects run(std::uint64_t call, std::uint64_t serial, std::uint64_t fingerprint = 1, std::size_t bodyBytes = 0)
    {
        RunRequested event { CallId(call), ticket(serial), Fingerprint(fingerprint) };
        event.bodyBytes = bodyBytes;
        event.deadline = m_now + seconds(10);
        event.now = m_now;
        return apply(event);
    }

    Effects endRun(std::uint64_t serial, RunOutcome outcome, std::size_t responseBytes = 0) { return apply(RunEnded { runIdOf(ticket(serial)), outcome, m_now, responseBytes }); }

    static policy::Ticket ticket(std::uint64_t serial, Incarnation agent = incarnation) { return { self, agent, policy::MintEpoch(1), entryIncarnation, serial }; }

    TimePoint now() const { return m_now; }
    void advanceClock(milliseconds time) { m_now += time; }
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

/// Returns the verdict of the only refusal among `effects`.
Verdict refusalVerdict(const Effects& effects)
{
    REQUIRE(all<RefuseCall>(effects).size() == 1);
    return all<RefuseCall>(effects)[0].verdict;
}

} // namespace

// Guards against running a request twice. An entry's connection breaks, and the entry sends the same request again on a new
// connection while the first copy is still in some buffer. The copy that arrives first starts the request; the other one is
// attached to its response.
TEST_CASE("Agent: a request that arrives twice starts once")
{
    Agent agent;
    CHECK(all<StartRun>(agent.run(1, 5)).size() == 1);
    auto second = agent.run(2, 5);
    CHECK(all<StartRun>(second).empty());
    CHECK(all<AttachCall>(second).size() == 1);
    agent.endRun(5, RunOutcome::Answered);
    auto third = agent.run(3, 5);
    CHECK(all<StartRun>(third).empty());
    CHECK(all<AttachCall>(third).size() == 1);
}

// Guards against running a request that was reported as "not run". An entry cancels a request before it has reached the
// agent and reports "not run" to its client. The late copy arrives after the cancel and must not run.
TEST_CASE("Agent: a late copy of a request that was cancelled as not run never starts")
{
    Agent agent;
    auto cancelled = agent.apply(CancelRequested { CallId(1), Agent::ticket(5), agent.now() });
    REQUIRE(all<AnswerCancel>(cancelled).size() == 1);
    CHECK(all<AnswerCancel>(cancelled)[0].verdict == Verdict::NotRun);
    auto late = agent.run(2, 5);
    CHECK(all<StartRun>(late).empty());
    CHECK(refusalVerdict(late) == Verdict::NotRun);
}

// Guards against running a request that was reported as "not run". The agent refuses a request while its engine is
// down, with the verdict "not run". The engine starts again, and then a second copy of that call arrives.
TEST_CASE("Agent: a request refused as not run never starts after the engine comes back")
{
    Agent agent;
    agent.apply(EngineDown { false, agent.now(), agent.now() });
    CHECK(refusalVerdict(agent.run(1, 5)) == Verdict::NotRun);
    agent.apply(EngineUp { 0, agent.now(), agent.now() });
    auto late = agent.run(2, 5);
    CHECK(all<StartRun>(late).empty());
    CHECK(refusalVerdict(late) == Verdict::NotRun);
    CHECK(all<StartRun>(agent.run(3, 6)).size() == 1);
}

// Guards against a false "not run". The agent was restarted, and a request for its previous incarnation arrives. The request
// may have run there.
TEST_CASE("Agent: a request for an earlier incarnation is refused as may-have-run")
{
    Agent agent;
    RunRequested event { CallId(1), Agent::ticket(5, Incarnation(6)), Fingerprint(1) };
    event.deadline = agent.now() + seconds(10);
    event.now = agent.now();
    auto effects = agent.apply(event);
    CHECK(all<StartRun>(effects).empty());
    CHECK(refusalVerdict(effects) == Verdict::MayHaveRun);
}

// Guards against losing requests at a graceful shutdown: requests in progress must complete before the agent finishes.
TEST_CASE("Agent: a leaving agent starts no requests, completes those in progress and then finishes")
{
    Agent agent;
    agent.run(1, 5);
    auto leaving = agent.apply(LeaveRequested { agent.now() });
    CHECK(all<Finish>(leaving).empty());
    CHECK(refusalVerdict(agent.run(2, 6)) == Verdict::NotRun);
    CHECK(all<AttachCall>(agent.run(3, 5)).size() == 1);
    CHECK(all<Finish>(agent.endRun(5, RunOutcome::Answered)).size() == 1);
}

// Guards against sending a request to another server before it is known as a crash suspect. Two requests are at the
// engine when it crashes. Their entries are informed only once the agent knows that it was a crash, so that no entry
// retries either request before then.
TEST_CASE("Agent: a broken request ends only when a later probe has found the cause")
{
    Agent agent;
    agent.run(1, 5, 11);
    agent.run(2, 6, 12);
    agent.advanceClock(milliseconds(10));
    auto stale = agent.now() - milliseconds(5);
    auto broken = agent.endRun(5, RunOutcome::Broken);
    CHECK(all<ProbeEngine>(broken).size() == 1);
    CHECK(all<ConcludeRun>(broken).empty());
    CHECK(all<ConcludeRun>(agent.apply(EngineUp { 0, stale, agent.now() })).empty());

    agent.advanceClock(milliseconds(10));
    auto crash = agent.apply(EngineDown { true, agent.now(), agent.now() });
    REQUIRE(all<ConcludeRun>(crash).size() == 1);
    CHECK(all<ConcludeRun>(crash)[0].crash != policy::CrashId());
    CHECK(all<PublishReport>(crash).back().suspicions.size() == 2);
}

// Guards against suspecting innocent requests. A crash suspect (a request that was on an engine when it crashed)
// arrives again. It must wait until no other request is at the engine, and no other request may start beside it. If the
// engine crashes again, no innocent request is then affected.
TEST_CASE("Agent: a suspect runs alone")
{
    Agent agent;
    agent.run(1, 5);
    RunRequested event { CallId(2), Agent::ticket(6), Fingerprint(13) };
    event.runsAlone = true;
    event.deadline = agent.now() + seconds(10);
    event.now = agent.now();
    auto suspect = agent.apply(event);
    REQUIRE(all<StartRun>(suspect).size() == 1);
    CHECK(all<StartRun>(suspect)[0].isHeld);
    CHECK(refusalVerdict(agent.run(3, 7)) == Verdict::NotRun);
    CHECK(all<ReleaseRun>(agent.endRun(5, RunOutcome::Answered)).size() == 1);
    CHECK(refusalVerdict(agent.run(4, 8)) == Verdict::NotRun);
    agent.endRun(6, RunOutcome::Answered);
    CHECK(all<StartRun>(agent.run(5, 9)).size() == 1);
}

// Guards against this failure: the entries' requests in progress at an engine fill the memory of its agent.
TEST_CASE("Agent: a request whose body has no room beside those in progress is refused as not run")
{
    Agent agent;
    const std::size_t half = ReducerOptions().maxBodyBytes / 2;
    agent.run(1, 1, 1, half);
    agent.run(2, 2, 2, half);
    CHECK(refusalVerdict(agent.run(3, 3, 3, 1)) == Verdict::NotRun);
    CHECK(all<AttachCall>(agent.run(4, 1, 1, half)).size() == 1);
    agent.endRun(1, RunOutcome::Answered);
    CHECK(refusalVerdict(agent.run(5, 3, 3, 1)) == Verdict::NotRun);
    CHECK(all<StartRun>(agent.run(6, 4, 4, half)).size() == 1);
}

// Guards against this failure: finished responses that are kept for resent requests fill the memory.
TEST_CASE("Agent: the oldest responses are dropped if all together are too large")
{
    Agent agent;
    const std::size_t half = ReducerOptions().maxRetainedBytes / 2;
    for (std::uint64_t n = 1; n <= 3; ++n) {
        agent.run(n, n, n);
        agent.endRun(n, RunOutcome::Answered, half);
    }
    auto dropped = all<DiscardRun>(agent.apply(Tick { agent.now() }));
    REQUIRE(dropped.size() == 1);
    CHECK(dropped[0].run == runIdOf(Agent::ticket(1)));
}
