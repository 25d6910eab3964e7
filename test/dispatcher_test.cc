#include "src/gateway/dispatcher.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace swiftloft;
using namespace swiftloft::gateway;
using namespace swiftloft::gateway::dispatch;

namespace {

const TimePoint start { seconds(100) };
const ServiceName model { "model" };

struct Rig {
    explicit Rig(std::vector<BackendServer> servers, unsigned maximumServers = 2, bool isIdempotent = true)
    {
        route.name = "r";
        route.isIdempotent = isIdempotent;
        route.timeout = seconds(8);
        route.objective = milliseconds(400);
        route.maximumServers = maximumServers;
        route.services = { { model, 1 } };
        setServers(std::move(servers));
    }

    static BackendServer server(const std::string& id, std::uint32_t slots = 8)
    {
        return { BackendServerId(id), model, { boost::asio::ip::address_v4(0x0a000001), 8000 }, DataCentreName("a"), slots, ServerState::Ready };
    }

    void setServers(std::vector<BackendServer> servers)
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->configuration = configuration;
        snapshot->servers = std::move(servers);
        snapshot->maxEntries = 1;
        apply(SnapshotChanged { snapshot });
    }

    Effects apply(const Event& event) { return last = dispatcher.apply(now, event); }

    Effects arrive(std::uint64_t id, unsigned priority = 1)
    {
        CallRequest request { nullptr, &route, priority, now, now + route.timeout, Tokens(100), Tokens(50) };
        return apply(RequestArrived { CallId(id), request });
    }

    Effects end(std::uint64_t id, AttemptOutcome end) { return apply(AttemptEnded { CallId(id), end }); }

    /// The server that the last event sent `id` to; empty if it was not sent.
    std::string sentTo(std::uint64_t id) const
    {
        for (auto& effect : last) {
            auto* it = std::get_if<StartAttempt>(&effect);
            if (it && it->call == CallId(id))
                return it->server.id.value();
        }
        return "";
    }

    /// The server that the last event offered the stream `id` to; empty if there is none.
    std::string offeredTo(std::uint64_t id) const
    {
        for (auto& effect : last) {
            auto* it = std::get_if<StartTakeover>(&effect);
            if (it && it->call == CallId(id))
                return it->server.id.value();
        }
        return "";
    }

    bool hasCancelled() const
    {
        return std::any_of(last.begin(), last.end(), [](auto& it) { return std::holds_alternative<CancelAttempt>(it); });
    }

    /// The first request arrives, for a stream.
    void startStream()
    {
        route.isStream = true;
        arrive(1);
    }

    const Refuse* refusal(std::uint64_t id) const
    {
        for (auto& effect : last) {
            auto* it = std::get_if<Refuse>(&effect);
            if (it && it->call == CallId(id))
                return it;
        }
        return nullptr;
    }

    static DispatcherOptions options()
    {
        DispatcherOptions out;
        // Retries are never denied, not even to a process that has just started.
        out.retries.ratio = 10;
        out.retries.startMargin = 1;
        return out;
    }

    /// Makes the servers ranks of a group, like engines with expert maps.
    void makeRanks()
    {
        ConfigurationParts parts;
        parts.services.push_back({ model, "/health", 0, EngineTraits { .layers = 1 } });
        configuration = Configuration::create(parts).value();
    }

    TimePoint now { start };
    std::shared_ptr<const Configuration> configuration;
    Route route;
    Dispatcher dispatcher { options(), policy::Generator(3) };
    Effects last;
};

} // namespace

TEST_CASE("Dispatcher: a request is sent to a server with capacity at once")
{
    Rig rig({ Rig::server("s1") });
    rig.arrive(1);
    CHECK(rig.sentTo(1) == "s1");
    CHECK(rig.end(1, AttemptOutcome::Answered).empty());
}

// Guards against this failure: a draft is sent to the ward twice, because the first server ran the request, its
// response was lost, and the entry sent the request to another server.
TEST_CASE("Dispatcher: a non-idempotent request is never sent again once it may have run")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") }, 5, false);
    rig.arrive(1);
    auto end = GENERATE(AttemptOutcome::Lost, AttemptOutcome::TimedOut);
    rig.end(1, end);
    CHECK(rig.sentTo(1).empty());
    REQUIRE(rig.refusal(1));
    CHECK(rig.refusal(1)->verdict == Verdict::MayHaveRun);
    CHECK_FALSE(rig.refusal(1)->retryAt.has_value());
}

TEST_CASE("Dispatcher: a request that a server did not run goes to another one, even if it is not idempotent")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") }, 1, false);
    rig.arrive(1);
    auto first = rig.sentTo(1);
    auto end = GENERATE(AttemptOutcome::NotSent, AttemptOutcome::NotRun, AttemptOutcome::Misdirected);
    rig.end(1, end);
    CHECK(rig.sentTo(1) != first);
    CHECK_FALSE(rig.sentTo(1).empty());
}

// Guards against this failure: a request that crashes every server that runs it takes down a service, because it is
// tried on one after the other.
TEST_CASE("Dispatcher: a request runs on as many servers as its route allows and no more")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2"), Rig::server("s3"), Rig::server("s4") }, 2);
    rig.arrive(1);
    auto first = rig.sentTo(1);
    rig.end(1, AttemptOutcome::Lost);
    auto second = rig.sentTo(1);
    CHECK(second != first);
    rig.end(1, AttemptOutcome::Lost);
    auto third = rig.sentTo(1);
    CHECK((third.empty() || third == first || third == second));
}

// Guards against this failure: one request in seven fails on every server. Tried four times each, these requests use up
// the retry budget of all others.
TEST_CASE("Dispatcher: a request is not sent again to servers that responded with an error")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") }, 2);
    rig.arrive(1);
    rig.end(1, AttemptOutcome::ServerError);
    CHECK_FALSE(rig.sentTo(1).empty());
    rig.end(1, AttemptOutcome::ServerError);
    REQUIRE(rig.last.size() == 1);
    CHECK(std::holds_alternative<ForwardError>(rig.last[0]));
}

TEST_CASE("Dispatcher: a server error is forwarded when no other server can be tried")
{
    Rig rig({ Rig::server("s1") }, 2);
    rig.arrive(1);
    rig.end(1, AttemptOutcome::ServerError);
    REQUIRE(rig.last.size() == 1);
    CHECK(std::holds_alternative<ForwardError>(rig.last[0]));
}

// Guards against this failure: at peak load all slots are taken and a client is kept waiting until its deadline. A
// client that is refused early can return in time.
TEST_CASE("Dispatcher: without capacity a request waits for a share of its objective, then is refused with a retry time")
{
    Rig rig({ Rig::server("s1", 1) });
    rig.arrive(1);
    rig.arrive(2);
    CHECK(rig.sentTo(2).empty());
    REQUIRE(rig.dispatcher.nextTick().has_value());
    CHECK(*rig.dispatcher.nextTick() <= rig.now + milliseconds(200));
    rig.now = *rig.dispatcher.nextTick();
    rig.apply(Ticked {});
    REQUIRE(rig.refusal(2));
    CHECK(rig.refusal(2)->reason == RefusalReason::Overloaded);
    CHECK(rig.refusal(2)->verdict == Verdict::NotRun);
    REQUIRE(rig.refusal(2)->retryAt.has_value());
    CHECK(*rig.refusal(2)->retryAt > rig.now);
}

TEST_CASE("Dispatcher: free capacity goes to the most urgent request, then to the oldest")
{
    Rig rig({ Rig::server("s1", 1) });
    rig.arrive(1);
    rig.arrive(2, 2);
    rig.arrive(3, 2);
    rig.arrive(4, 1);
    rig.end(1, AttemptOutcome::Answered);
    CHECK(rig.sentTo(4) == "s1");
    rig.end(4, AttemptOutcome::Answered);
    CHECK(rig.sentTo(2) == "s1");
}

TEST_CASE("Dispatcher: a client that disconnects frees its slot, queued or running")
{
    Rig rig({ Rig::server("s1", 1) });
    rig.arrive(1);
    rig.arrive(2);
    rig.arrive(3);
    rig.apply(CallClosed { CallId(2) });
    rig.apply(CallClosed { CallId(1) });
    CHECK(rig.sentTo(3) == "s1");
}

TEST_CASE("Dispatcher: a request for a service without servers is refused at once")
{
    Rig rig({});
    rig.arrive(1);
    REQUIRE(rig.refusal(1));
    CHECK(rig.refusal(1)->reason == RefusalReason::NoServer);
    CHECK(rig.refusal(1)->retryAt.has_value());
}

// Guards against this failure: a rank dies and its group cuts all streams; the group has re-formed a second later. If
// the streams were given up immediately, all of them would be lost although there was time to resume them.
TEST_CASE("Dispatcher: a stream that lost its server waits for one that can resume it")
{
    Rig rig({ Rig::server("s1") }, 2);
    rig.arrive(1);
    rig.end(1, AttemptOutcome::Lost);
    CHECK(rig.last.empty());
    REQUIRE(rig.dispatcher.nextTick() == rig.now + DispatcherOptions().retryDelay);
    rig.now = *rig.dispatcher.nextTick();
    rig.apply(Ticked {});
    CHECK(rig.sentTo(1) == "s1");
}

TEST_CASE("Dispatcher: a stream that no server can resume is ended before its client gives up")
{
    Rig rig({ Rig::server("s1") }, 2);
    rig.arrive(1);
    rig.end(1, AttemptOutcome::Lost);
    auto gone = Rig::server("s1");
    gone.state = ServerState::Draining;
    rig.setServers({ gone, Rig::server("s2", 0) });
    CHECK_FALSE(rig.refusal(1));
    rig.now = start + DispatcherOptions().recoveryTimeout;
    rig.apply(Ticked {});
    REQUIRE(rig.refusal(1));
    CHECK(rig.refusal(1)->verdict == Verdict::MayHaveRun);
}

// Guards against this failure: all attempts fail, and retries of all requests double the load that caused the failures.
TEST_CASE("Dispatcher: retries end when the budget is spent")
{
    Rig rig({ Rig::server("s1", 100), Rig::server("s2", 100) });
    DispatcherOptions options;
    options.retries.ratio = 0.2;
    options.retries.slack = 0;
    options.retries.margin = 1;
    options.retries.startMargin = 1;
    rig.dispatcher = Dispatcher(options, policy::Generator(3));
    rig.setServers({ Rig::server("s1", 100), Rig::server("s2", 100) });
    for (std::uint64_t id = 1; id <= 50; ++id)
        rig.arrive(id);
    int repeats = 0;
    for (std::uint64_t id = 1; id <= 50; ++id) {
        rig.end(id, AttemptOutcome::NotRun);
        repeats += rig.sentTo(id).empty() ? 0 : 1;
    }
    CHECK(repeats == 10);
}

// Guards against this failure: requests are not sent again because the retry allowance is spent, and neither a log nor a
// metric says so.
TEST_CASE("Dispatcher: each request that is denied a retry is reported once, the first of a service as such")
{
    DispatcherOptions options;
    options.retries.ratio = 0.2;
    options.retries.startMargin = 1;
    Rig rig({});
    rig.dispatcher = Dispatcher(options, policy::Generator(3));
    rig.setServers({ Rig::server("s1", 100), Rig::server("s2", 100) });
    for (std::uint64_t id = 1; id <= 10; ++id)
        rig.arrive(id);
    int denied = 0;
    int first = 0;
    auto count = [&] {
        for (auto& effect : rig.last) {
            auto* denial = std::get_if<RetryDenied>(&effect);
            denied += denial ? 1 : 0;
            first += denial && denial->isFirst ? 1 : 0;
            if (denial)
                CHECK(denial->use.spent == 2);
        }
    };
    for (std::uint64_t id = 1; id <= 10; ++id) {
        rig.end(id, AttemptOutcome::NotRun);
        count();
        rig.apply(Ticked {});
        count();
    }
    CHECK(denied == 8);
    CHECK(first == 1);
    rig.now += DispatcherOptions().recoveryTimeout;
    rig.apply(Ticked {});
    REQUIRE(rig.refusal(10));
    CHECK(rig.refusal(10)->isRetryDenied);
}

TEST_CASE("Dispatcher: a route to two services distributes requests by weight")
{
    Rig rig({ Rig::server("s1", 1000) });
    rig.route.services = { { model, 90 }, { ServiceName("other"), 10 } };
    int sent = 0;
    for (std::uint64_t id = 1; id <= 500; ++id) {
        rig.arrive(id);
        sent += rig.sentTo(id).empty() ? 0 : 1;
    }
    CHECK(sent > 420);
    CHECK(sent < 480);
}

// Guards against this failure: all racks have lost power and the service has no server for two seconds. Clients told to
// retry after half a second are refused a second time, and that was their last attempt.
TEST_CASE("Dispatcher: during an outage clients get a retry time when the service may be back, within their maximum wait")
{
    Rig rig({});
    rig.route.timeout = seconds(8);
    rig.arrive(1);
    REQUIRE(rig.refusal(1));
    CHECK(rig.refusal(1)->reason == RefusalReason::NoServer);
    CHECK(rig.refusal(1)->verdict == Verdict::NotRun);
    CHECK(*rig.refusal(1)->retryAt - rig.now >= milliseconds(1440));
    CHECK(*rig.refusal(1)->retryAt - rig.now <= milliseconds(1800));
    rig.route.timeout = milliseconds(600);
    rig.arrive(2);
    CHECK(*rig.refusal(2)->retryAt - rig.now <= milliseconds(180));
}

// Guards against this failure: after a power loss in all racks the engines are listed and accept connections, but their
// groups take another half a second to form, and no agent has reported yet. Requests were rejected by four engines
// within some milliseconds and refused; their clients retried once, with the same result, and were lost.
TEST_CASE("Dispatcher: requests rejected by forming ranks wait for them, even without a report from an agent")
{
    Rig rig({});
    rig.makeRanks();
    std::vector<BackendServer> ranks;
    for (int n = 1; n <= 8; ++n)
        ranks.push_back(Rig::server("s" + std::to_string(n)));
    rig.setServers(ranks);
    constexpr std::uint64_t requests = 20;
    constexpr milliseconds formed { 700 };
    std::vector<std::uint64_t> running;
    unsigned refused = 0;
    unsigned served = 0;
    unsigned attempts = 0;
    auto countEffects = [&] {
        for (auto& effect : rig.last) {
            if (auto* sent = std::get_if<StartAttempt>(&effect)) {
                running.push_back(sent->call.value());
                ++attempts;
            }
            refused += std::holds_alternative<Refuse>(effect) ? 1 : 0;
        }
    };
    for (; rig.now < start + seconds(2); rig.now += milliseconds(10)) {
        auto at = static_cast<std::uint64_t>((rig.now - start) / milliseconds(10));
        if (at < requests) {
            rig.arrive(at + 1);
            countEffects();
        }
        rig.apply(Ticked {});
        countEffects();
        while (!running.empty()) {
            auto id = running.back();
            running.pop_back();
            bool isServed = rig.now >= start + formed;
            served += isServed ? 1 : 0;
            rig.end(id, isServed ? AttemptOutcome::Answered : AttemptOutcome::NotRun);
            countEffects();
            if (isServed)
                rig.apply(CallClosed { CallId(id) });
        }
    }
    CHECK(refused == 0);
    CHECK(served == requests);
    // Attempts in the meantime are charged to the retry budget: a few per request at most.
    CHECK(attempts <= 6 * requests);
}

// As above, but the groups do not form: each request is refused after the wait, with a retry time.
TEST_CASE("Dispatcher: requests that ranks keep rejecting are refused after the wait")
{
    Rig rig({});
    rig.makeRanks();
    rig.setServers({ Rig::server("s1"), Rig::server("s2"), Rig::server("s3") });
    rig.arrive(1);
    bool isRefused = false;
    for (; !isRefused && rig.now < start + seconds(3); rig.apply(Ticked {})) {
        while (!rig.sentTo(1).empty())
            rig.end(1, AttemptOutcome::NotRun);
        if (auto* refusal = rig.refusal(1)) {
            isRefused = true;
            CHECK(refusal->verdict == Verdict::NotRun);
            CHECK(refusal->retryAt.has_value());
        }
        rig.now += milliseconds(10);
    }
    CHECK(isRefused);
    CHECK(rig.now <= start + DispatcherOptions().recoveryTimeout + milliseconds(200));
}

// Guards against this failure: all groups have re-formed after a power loss. The first rank reported to an entry has
// eight slots, and twenty requests have waited longer than the normal queue time. The other ranks open a tenth of a
// second later; requests that did not fit on the first were refused in between, and retried into the rush or not at
// all.
TEST_CASE("Dispatcher: requests that waited for forming groups stay queued when the first server is full")
{
    Rig rig({});
    rig.makeRanks();
    auto setServers = [&](bool isSecondOpen, bool isFirstOpen) {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->configuration = rig.configuration;
        snapshot->servers = { Rig::server("s1"), Rig::server("s2", 40) };
        snapshot->servers[1].address.port(8001);
        snapshot->maxEntries = 1;
        auto closed = [&](const BackendServer& server) { snapshot->ranks.push_back({ { server.address, EngineGroupName("g"), GroupEpoch(1), RankIndex(0), 2, false }, rig.now }); };
        if (!isFirstOpen)
            closed(snapshot->servers[0]);
        if (!isSecondOpen)
            closed(snapshot->servers[1]);
        rig.apply(SnapshotChanged { snapshot });
    };
    setServers(false, false);
    unsigned refused = 0;
    unsigned sent = 0;
    auto countEffects = [&] {
        for (auto& effect : rig.last) {
            refused += std::holds_alternative<Refuse>(effect) ? 1 : 0;
            sent += std::holds_alternative<StartAttempt>(effect) ? 1 : 0;
        }
    };
    constexpr std::uint64_t requests = 20;
    for (std::uint64_t id = 1; id <= requests; ++id) {
        rig.arrive(id);
        countEffects();
    }
    rig.now += milliseconds(900);
    setServers(false, true);
    countEffects();
    CHECK(sent == 8);
    rig.now += milliseconds(100);
    setServers(true, true);
    countEffects();
    CHECK(refused == 0);
    CHECK(sent == requests);
}

// Guards against this failure: ranks that request a back-off are mistaken for a group that is forming, and a request is
// retried there until its time is up.
TEST_CASE("Dispatcher: a request whose servers have all requested back-offs is refused at once")
{
    Rig rig({});
    rig.makeRanks();
    rig.setServers({ Rig::server("s1"), Rig::server("s2"), Rig::server("s3") });
    rig.arrive(1);
    for (int n = 0; n < 3; ++n) {
        auto at = rig.sentTo(1);
        REQUIRE(!at.empty());
        rig.apply(BackOffRequested { { BackendServerId(at), {} }, { rig.now + seconds(3) } });
        rig.end(1, AttemptOutcome::NotRun);
    }
    REQUIRE(rig.refusal(1));
    CHECK(rig.refusal(1)->reason == RefusalReason::BackingOff);
    CHECK(rig.refusal(1)->retryAt >= rig.now + seconds(3));
    rig.arrive(2);
    REQUIRE(rig.refusal(2));
    CHECK(rig.refusal(2)->verdict == Verdict::NotRun);
}

// Guards against this failure: a request may run again only on the server where it has run; that server has requested a
// back-off, and the request stays queued although it can't be served.
TEST_CASE("Dispatcher: a request bound to a server in back-off is refused at once")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") }, 1);
    rig.arrive(1);
    auto first = rig.sentTo(1);
    rig.apply(BackOffRequested { { BackendServerId(first), {} }, { rig.now + seconds(3) } });
    rig.end(1, AttemptOutcome::Lost);
    REQUIRE(rig.refusal(1));
    CHECK(rig.refusal(1)->verdict == Verdict::MayHaveRun);
}

// Guards against this failure: the list expires during a server's back-off, and the server's return to the list ends
// the back-off.
TEST_CASE("Dispatcher: a back-off outlasts the server's absence from the list, and ends with its incarnation")
{
    Rig rig({ Rig::server("s1") });
    rig.arrive(1);
    rig.apply(BackOffRequested { { BackendServerId("s1"), {} }, { rig.now + seconds(3) } });
    rig.end(1, AttemptOutcome::NotRun);
    rig.setServers({});
    rig.setServers({ Rig::server("s1") });
    rig.arrive(2);
    CHECK(rig.refusal(2));
    auto next = Rig::server("s1");
    next.startedAt = ServerStartTime(5);
    rig.setServers({ next });
    rig.arrive(3);
    CHECK(rig.sentTo(3) == "s1");
}

// Guards against this failure: a queued request is sent to the server before its back-off is over, or never.
TEST_CASE("Dispatcher: a request waits for a back-off that ends in time")
{
    Rig rig({ Rig::server("s1") });
    rig.arrive(1);
    auto restEndsAt = rig.now + milliseconds(100);
    rig.apply(BackOffRequested { { BackendServerId("s1"), {} }, { restEndsAt } });
    rig.end(1, AttemptOutcome::NotRun);
    rig.arrive(2);
    CHECK_FALSE(rig.refusal(2));
    REQUIRE(rig.dispatcher.nextTick());
    CHECK(*rig.dispatcher.nextTick() >= restEndsAt);
    rig.now = *rig.dispatcher.nextTick();
    rig.apply(Ticked {});
    CHECK(rig.sentTo(2) == "s1");
}

// Guards against this failure: a server reports in its responses that it is leaving, the list does not show it yet, and
// the server continues to get requests.
TEST_CASE("Dispatcher: a server that reports that it is leaving gets no new requests, and its running ones continue")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") });
    rig.arrive(1);
    auto leaving = rig.sentTo(1);
    auto other = leaving == "s1" ? "s2" : "s1";
    rig.apply(LeavingReported { { BackendServerId(leaving), {} } });
    CHECK(std::holds_alternative<PublishLeaving>(rig.last.at(0)));
    CHECK(rig.apply(LeavingReported { { BackendServerId(leaving), {} } }).empty());
    // The list still shows the server as ready.
    rig.setServers({ Rig::server("s1"), Rig::server("s2") });
    for (std::uint64_t n = 2; n < 8; ++n) {
        rig.arrive(n);
        CHECK(rig.sentTo(n) == other);
    }
    CHECK(rig.end(1, AttemptOutcome::Answered).empty());
    rig.apply(LeavingReported { { BackendServerId(other), {} } });
    rig.arrive(9);
    REQUIRE(rig.refusal(9));
    CHECK(rig.refusal(9)->reason == RefusalReason::NoServer);
}

// Guards against this failure: a request may run again only on the server where it has run; that server is leaving, and
// the request stays queued although it can't be served.
TEST_CASE("Dispatcher: a request bound to a leaving server is refused at once")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") }, 1);
    rig.arrive(1);
    auto leaving = rig.sentTo(1);
    rig.apply(LeavingReported { { BackendServerId(leaving), {} } });
    rig.end(1, AttemptOutcome::Lost);
    REQUIRE(rig.refusal(1));
    CHECK(rig.refusal(1)->reason == RefusalReason::Lost);
}

// Guards against this failure: a response from the new process of a server is taken for one that its ended process has torn, or
// that of a server that is leaving.
TEST_CASE("Dispatcher: the end of a server concerns only requests that were sent to it before, and not if it was leaving")
{
    bool isLeaving = GENERATE(false, true);
    auto server = Rig::server("s1");
    Rig rig({ server });
    rig.arrive(1);
    REQUIRE(rig.sentTo(1) == "s1");
    CHECK_FALSE(rig.dispatcher.hasServerEnded(CallId(1)));
    if (isLeaving)
        rig.apply(LeavingReported { server.incarnation() });
    rig.apply(ProbeRefused { server.incarnation() });
    CHECK(rig.dispatcher.hasServerEnded(CallId(1)) == !isLeaving);
    rig.arrive(2);
    CHECK_FALSE(rig.dispatcher.hasServerEnded(CallId(2)));
}

// Guards against this failure: a restored store lists a process again that ended before, and the live one at its address is taken for
// ended.
TEST_CASE("Dispatcher: a process that is listed at a server's address shows its end unless it started before")
{
    auto [startedAt, isEnd] = GENERATE(table<std::uint64_t, bool>({ { 4, false }, { 6, true }, { 0, true } }));
    auto server = Rig::server("s1");
    server.startedAt = ServerStartTime(5);
    Rig rig({ server });
    rig.arrive(1);
    REQUIRE(rig.sentTo(1) == "s1");
    auto other = Rig::server("s0");
    other.startedAt = ServerStartTime(startedAt);
    rig.setServers({ server, other });
    CHECK(rig.dispatcher.hasServerEnded(CallId(1)) == isEnd);
}

// Guards against this failure: an entry that is being stopped sends a request to a server although it can't end in time,
// and resets its client in the middle of the response.
TEST_CASE("Dispatcher: a stopping entry refuses as not run what can't end before it, and serves the rest")
{
    Rig rig({ Rig::server("s1") });
    rig.apply(StopScheduled { start + seconds(7), start + seconds(3) });
    rig.arrive(1);
    CHECK(rig.sentTo(1) == "s1");
    rig.now = start + seconds(5);
    rig.arrive(2);
    REQUIRE(rig.refusal(2));
    CHECK(rig.refusal(2)->reason == RefusalReason::Stopping);
    CHECK(rig.refusal(2)->verdict == Verdict::NotRun);
    rig.route.timeout = seconds(2);
    rig.arrive(3);
    CHECK(rig.sentTo(3) == "s1");
    rig.now += milliseconds(1);
    rig.arrive(4);
    CHECK(rig.refusal(4));
}

// Guards against this failure: servers become slow, and a stopping entry cuts requests that it has accepted late.
TEST_CASE("Dispatcher: at the deadline of a stop no request is in progress that was accepted after the accept period")
{
    auto seed = GENERATE(range(1U, 101U));
    policy::Generator generator(seed);
    auto draw = [&](int min, int max) { return min + static_cast<int>(generator() % static_cast<unsigned>(max - min + 1)); };
    Rig rig({ Rig::server("s1", 100), Rig::server("s2", 100) });
    rig.route.isStream = draw(0, 1) == 1;
    StopScheduled stop { start + seconds(draw(3, 8)), start + seconds(2) };
    rig.apply(stop);
    std::map<std::uint64_t, TimePoint> deadlines;
    bool isSlow = false;
    unsigned wronglyRefused = 0;
    for (std::uint64_t id = 1; rig.now < stop.deadline; ++id) {
        for (auto it = deadlines.begin(); it != deadlines.end();) {
            bool isOver = rig.now >= it->second;
            if (!isOver && (isSlow || draw(0, 3) > 0)) {
                ++it;
                continue;
            }
            rig.end(it->first, isOver ? AttemptOutcome::TimedOut : AttemptOutcome::Answered);
            rig.apply(CallClosed { CallId(it->first) });
            it = deadlines.erase(it);
        }
        isSlow = isSlow || draw(0, 20) == 0;
        rig.route.timeout = milliseconds(draw(300, 8000));
        rig.arrive(id);
        bool isAccepted = !rig.sentTo(id).empty();
        wronglyRefused += !isAccepted && rig.now + rig.route.timeout <= stop.deadline ? 1 : 0;
        if (isAccepted && rig.now >= stop.acceptsUntil)
            deadlines[id] = rig.now + rig.route.timeout;
        else
            rig.apply(CallClosed { CallId(id) });
        rig.now += milliseconds(50);
    }
    CAPTURE(seed);
    CHECK(wronglyRefused == 0);
    CHECK(std::all_of(deadlines.begin(), deadlines.end(), [&](auto& it) { return it.second <= stop.deadline; }));
}

TEST_CASE("Dispatcher: clients of a stopping entry return at once while another entry accepts requests, and otherwise as late as they wait")
{
    auto peer = GENERATE(EntryState::Serving, EntryState::Leaving, EntryState::Starting);
    Rig rig({ Rig::server("s1") });
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->servers = { Rig::server("s1") };
    snapshot->entries = { { {}, Incarnation(2), 1, {}, DataCentreName("a"), peer } };
    // The entry itself is no place to return to.
    snapshot->leavers = { { snapshot->self.clients, DataCentreName("a"), start + seconds(3) } };
    if (peer == EntryState::Leaving)
        snapshot->leavers.push_back({ { boost::asio::ip::address_v4(0x0a000002), 80 }, DataCentreName("a"), start + seconds(3) });
    rig.apply(SnapshotChanged { snapshot });
    rig.apply(StopScheduled { start, start });
    rig.arrive(1);
    REQUIRE(rig.refusal(1));
    auto wait = rig.refusal(1)->retryAt.value() - start;
    bool isElsewhere = peer != EntryState::Starting;
    // The deadline of the request is 8 s away, and clients wait for up to a third of that.
    CHECK(wait <= (isElsewhere ? milliseconds(100) : milliseconds(2667)));
    CHECK(wait >= (isElsewhere ? milliseconds(0) : milliseconds(1900)));
}

// Guards against this failure: requests that still run or wait at the end of a stop are cut off without a response, or are
// sent to one more server first.
TEST_CASE("Dispatcher: at the deadline of a stop every request ends, and none is sent again")
{
    Rig rig({ Rig::server("s1", 1), Rig::server("s2", 1) });
    rig.arrive(1);
    rig.arrive(2);
    rig.arrive(3);
    rig.apply(StopScheduled { start + milliseconds(50), start + milliseconds(50) });
    REQUIRE(rig.refusal(3));
    CHECK(rig.refusal(3)->verdict == Verdict::NotRun);
    CHECK(rig.dispatcher.nextTick() == start + milliseconds(50));
    rig.now = start + milliseconds(50);
    CHECK(rig.apply(Ticked {}).size() == 2);
    REQUIRE(std::holds_alternative<CancelAttempt>(rig.last.front()));
    CHECK(rig.apply(Ticked {}).empty());
    auto outcome = GENERATE(AttemptOutcome::Stopped, AttemptOutcome::Stalled);
    rig.end(1, outcome);
    CHECK(rig.sentTo(1).empty());
    REQUIRE(rig.refusal(1));
    CHECK(rig.refusal(1)->verdict == Verdict::MayHaveRun);
    REQUIRE(rig.refusal(1)->stopReport);
    CHECK(rig.refusal(1)->stopReport->timeLeft == milliseconds(50));
    // The attempt ended before the request was written.
    rig.end(2, AttemptOutcome::NotSent);
    REQUIRE(rig.refusal(2));
    CHECK(rig.refusal(2)->reason == RefusalReason::Stopping);
}

// Guards against this failure: a server rejects a request of a stopping entry, and the entry sends it to the next one,
// although little time is left.
TEST_CASE("Dispatcher: a stopping entry does not repeat a request that no longer ends before it")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") });
    rig.apply(StopScheduled { start + seconds(2), start + seconds(1) });
    rig.arrive(1);
    rig.now = start + seconds(1);
    rig.end(1, AttemptOutcome::NotRun);
    CHECK(rig.sentTo(1).empty());
    REQUIRE(rig.refusal(1));
    CHECK(rig.refusal(1)->verdict == Verdict::NotRun);
}

// Guards against this failure: a stream of a stopping entry stays at a server that has fallen silent until its client leaves.
TEST_CASE("Dispatcher: a stopping entry still moves a stream away from a silent server")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") });
    rig.route.isStream = true;
    rig.arrive(1);
    auto silentServer = rig.sentTo(1);
    rig.arrive(2);
    REQUIRE(rig.sentTo(2) != silentServer);
    rig.apply(ResponseStarted { CallId(1) });
    rig.apply(ResponseStarted { CallId(2) });
    rig.apply(StopScheduled { start + seconds(4), start });
    rig.now += milliseconds(1100);
    rig.apply(StreamProgressed { CallId(2) });
    rig.now += milliseconds(100);
    rig.apply(Ticked {});
    REQUIRE(rig.last.size() == 1);
    CHECK_FALSE(rig.offeredTo(1).empty());
    CHECK(rig.offeredTo(1) != silentServer);
    CHECK(rig.apply(TakeoverAccepted { CallId(1) }).empty());
    CHECK(rig.end(1, AttemptOutcome::Answered).empty());
}

// Guards against this failure: a server pauses a stream, no other server takes it, and the stream has been taken from its server in
// the meantime.
TEST_CASE("Dispatcher: a silent server keeps its stream until another server has taken it")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2"), Rig::server("s3") });
    rig.startStream();
    auto silentServer = rig.sentTo(1);
    rig.apply(ResponseStarted { CallId(1) });
    std::set<std::string> offeredTo;
    for (rig.now += milliseconds(1100); rig.now < start + milliseconds(1700); rig.now += milliseconds(200)) {
        rig.apply(Ticked {});
        CHECK_FALSE(rig.hasCancelled());
        if (rig.offeredTo(1).empty())
            continue;
        offeredTo.insert(rig.offeredTo(1));
        // Nothing follows while the other server has not answered.
        CHECK(rig.apply(Ticked {}).empty());
        CHECK(rig.apply(TakeoverFailed { CallId(1), AttemptOutcome::NotRun }).empty());
    }
    CHECK(offeredTo.size() == 2);
    CHECK_FALSE(offeredTo.contains(silentServer));
    rig.apply(StreamProgressed { CallId(1) });
    CHECK(rig.end(1, AttemptOutcome::Answered).empty());
}

// Guards against this failure: a request is taken from a slow server before another one has taken it, and fails if none does.
TEST_CASE("Dispatcher: a slow server keeps a request until another server has taken it")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") });
    rig.arrive(1);
    auto slowServer = rig.sentTo(1);
    REQUIRE(rig.dispatcher.nextTick() == start + 3 * rig.route.objective);
    rig.now = start + 3 * rig.route.objective;
    rig.apply(Ticked {});
    CHECK_FALSE(rig.hasCancelled());
    REQUIRE_FALSE(rig.offeredTo(1).empty());
    CHECK(rig.offeredTo(1) != slowServer);
    auto outcome = GENERATE(AttemptOutcome::NotRun, AttemptOutcome::Lost, AttemptOutcome::ServerError, AttemptOutcome::Answered);
    if (outcome == AttemptOutcome::Answered)
        rig.apply(TakeoverAccepted { CallId(1) });
    else
        CHECK(rig.apply(TakeoverFailed { CallId(1), outcome }).empty());
    CHECK_FALSE(rig.refusal(1));
    rig.now += milliseconds(200);
    CHECK(rig.apply(Ticked {}).empty());
    CHECK(rig.end(1, AttemptOutcome::Answered).empty());
}

// Guards against this failure: a stream that may run only once is ended because its server is silent, although it can't be sent to
// another one.
TEST_CASE("Dispatcher: a stream that may not run again stays at its silent server")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") }, 2, false);
    rig.startStream();
    rig.apply(ResponseStarted { CallId(1) });
    rig.apply(StopScheduled { start + seconds(8), start });
    for (rig.now += milliseconds(1100); rig.now < start + seconds(4); rig.now += milliseconds(200))
        CHECK(rig.apply(Ticked {}).empty());
}

// Guards against this failure: a stream is offered to other servers because its client accepts no data.
TEST_CASE("Dispatcher: a server is not silent while its client accepts no data")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") });
    rig.startStream();
    rig.apply(ResponseStarted { CallId(1) });
    rig.apply(StreamProgressed { CallId(1), true });
    rig.now += seconds(3);
    CHECK(rig.apply(Ticked {}).empty());
    rig.apply(StreamDelivered { CallId(1) });
    rig.now += milliseconds(900);
    CHECK(rig.apply(Ticked {}).empty());
    rig.now += milliseconds(300);
    rig.apply(Ticked {});
    CHECK_FALSE(rig.offeredTo(1).empty());
}

// Guards against this failure: a client accepts a large response slowly, and its server counts as slow.
TEST_CASE("Dispatcher: a request is not offered to another server while its response is sent to the client")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2") });
    rig.arrive(1);
    rig.now += rig.route.objective;
    rig.apply(ResponseReceived { CallId(1) });
    for (; rig.now < start + seconds(5); rig.now += milliseconds(200))
        CHECK(rig.apply(Ticked {}).empty());
    CHECK(rig.end(1, AttemptOutcome::Answered).empty());
}

// Guards against this failure: a request runs on more servers than its route allows, because one that was to take it over is not
// counted.
TEST_CASE("Dispatcher: a server that was to take a stream over counts as one that has run it")
{
    Rig rig({ Rig::server("s1"), Rig::server("s2"), Rig::server("s3") });
    rig.startStream();
    auto first = rig.sentTo(1);
    rig.apply(ResponseStarted { CallId(1) });
    rig.now += milliseconds(1100);
    rig.apply(Ticked {});
    auto second = rig.offeredTo(1);
    REQUIRE_FALSE(second.empty());
    SECTION("and lost its run")
    {
        rig.apply(TakeoverFailed { CallId(1), AttemptOutcome::Lost });
    }
    SECTION("and was left because the current server went on")
    {
        rig.apply(TakeoverFailed { CallId(1), AttemptOutcome::Superseded });
        rig.apply(StreamProgressed { CallId(1) });
    }
    SECTION("and took it")
    {
        rig.apply(TakeoverAccepted { CallId(1) });
    }
    rig.now += seconds(2);
    rig.apply(Ticked {});
    CHECK(rig.offeredTo(1).empty());
    rig.end(1, AttemptOutcome::Lost);
    bool isThird = !rig.sentTo(1).empty() && rig.sentTo(1) != first && rig.sentTo(1) != second;
    CHECK_FALSE(isThird);
    CHECK_FALSE(rig.sentTo(1).empty());
}

// Guards against this failure: the slot of a server that was to take a stream over stays taken for good.
TEST_CASE("Dispatcher: a take-over releases its slot however the call ends")
{
    Rig rig({ Rig::server("s1", 1), Rig::server("s2", 1) });
    rig.startStream();
    rig.apply(ResponseStarted { CallId(1) });
    rig.now += milliseconds(1100);
    rig.apply(Ticked {});
    REQUIRE_FALSE(rig.offeredTo(1).empty());
    bool isAccepted = GENERATE(false, true);
    if (isAccepted)
        rig.apply(TakeoverAccepted { CallId(1) });
    rig.apply(CallClosed { CallId(1) });
    rig.now += seconds(3);
    rig.arrive(2);
    rig.arrive(3);
    CHECK_FALSE(rig.sentTo(3).empty());
}
