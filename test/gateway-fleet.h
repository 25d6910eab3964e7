#pragma once

#include "src/gateway/dispatcher.h"
#include "test/limit-rule.h"
#include "test/rest-rule.h"

#include <functional>
#include <queue>
#include <random>
#include <set>

/// A fleet of entries with the decisions of the product before backend servers that name limits and stand still, in virtual
/// time. All requests are streams of an event every `eventEvery`; clients leave after `clientPatience` without one.
namespace swiftloft::test {

struct FleetOptions {
    int entries { 7 };
    int dataCentres { 3 };
    int servers { 12 };
    std::uint32_t slots { 12 };
    /// Requests a second, spread evenly over the entries.
    double demand { 56 };
    /// Entries that may exist, as in the settings.
    std::size_t entriesThatMayExist { 9 };
    /// Part of the datagrams that are lost.
    double loss { 0 };
    std::uint64_t seed { 1 };
};

class GatewayFleet {
public:
    using Action = std::function<void()>;

    explicit GatewayFleet(const FleetOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_servers(static_cast<std::size_t>(options.servers))
        , m_entries(static_cast<std::size_t>(options.entries))
    {
        m_route.name = "r";
        m_route.isIdempotent = true;
        m_route.isStream = true;
        m_route.timeout = seconds(8);
        m_route.objective = milliseconds(400);
        m_route.maximumServers = 2;
        m_route.services = { { model(), 1 } };
        for (int n = 0; n < options.servers; ++n)
            m_servers[static_cast<std::size_t>(n)].listed = { BackendServerId(fmt::format("s{}", n)), model(), endpoint(1000 + n), dataCentreOf(n), options.slots, ServerState::Ready };
        for (int n = 0; n < options.entries; ++n)
            start(n);
        showAll();
        scheduleArrival();
    }

    /// Runs until this long after the start.
    void runUntil(milliseconds time)
    {
        while (!m_queue.empty() && m_queue.top().at <= origin() + time) {
            auto next = m_queue.top();
            m_queue.pop();
            m_now = next.at;
            next.action();
        }
        m_now = origin() + time;
    }
    void at(milliseconds time, Action action) { schedule(origin() + time, std::move(action)); }

    /// The server names a limit from now on, or none any more.
    void limit(int server, std::optional<double> rate)
    {
        auto& it = m_servers[static_cast<std::size_t>(server)];
        it.limit = rate;
        it.rule.onLimit(m_now, rate);
    }
    /// From now on the server turns this part of what reaches it away and asks for so long a rest; unset: it turns nothing away.
    void shed(int server, std::optional<milliseconds> rest, double part = 1)
    {
        auto& it = m_servers[static_cast<std::size_t>(server)];
        it.rest = rest;
        it.partShed = part;
    }
    /// The server starts again at its address: it holds nothing and names nothing.
    void restartServer(int server)
    {
        auto& it = m_servers[static_cast<std::size_t>(server)];
        limit(server, std::nullopt);
        shed(server, std::nullopt);
        it.restRule.onReplaced();
        it.listed.id = BackendServerId(it.listed.id.value() + "'");
        it.running = 0;
        ++it.life;
        showAll();
    }
    /// The server reads, runs and says nothing for this long; then it goes on where it was.
    void freezeServer(int server, milliseconds time) { m_servers[static_cast<std::size_t>(server)].frozenUntil = m_now + time; }
    void restartEntry(int entry)
    {
        excuse(entry);
        start(entry);
        showAll();
    }
    void freezeEntry(int entry, milliseconds time)
    {
        excuse(entry);
        entryAt(entry).frozenUntil = m_now + time;
    }
    /// From here on the entry and the others hear nothing of each other.
    void cutEntry(int entry)
    {
        excuse(entry);
        entryAt(entry).isCut = true;
        showAll();
    }
    void healEntry(int entry)
    {
        excuse(entry);
        entryAt(entry).isCut = false;
        showAll();
    }
    /// Ends for good, without a word.
    void killEntry(int entry)
    {
        excuse(entry);
        entryAt(entry).isGone = true;
        showAll();
    }
    void setDemand(double demand) { m_options.demand = demand; }

    const LimitRule& ruleOf(int server) const { return m_servers[static_cast<std::size_t>(server)].rule; }
    /// Requests that the server ran.
    int ranAt(int server) const { return m_servers[static_cast<std::size_t>(server)].ran; }
    /// By the data centre of the entry that took them.
    int servedIn(int dataCentre) const { return m_servedIn.count(dataCentre) ? m_servedIn.at(dataCentre) : 0; }
    int askedIn(int dataCentre) const { return m_askedIn.count(dataCentre) ? m_askedIn.at(dataCentre) : 0; }
    int served() const { return m_served; }
    int asked() const { return m_asked; }
    /// Requests that reached the server, run or not.
    int arrivedAt(int server) const { return m_servers[static_cast<std::size_t>(server)].arrived; }
    /// Tries that the entries ended because their servers had fallen silent.
    int takenBack() const { return m_takenBack; }
    /// Clients that left without a whole answer.
    int left() const { return m_left; }
    /// Requests that a server began after their clients had left.
    int begunForNobody() const { return m_begunForNobody; }
    struct Refusal {
        /// From the arrival to the refusal.
        milliseconds heldFor { 0 };
        /// From the refusal to the time to return that it names; zero where it names none.
        milliseconds returnAfter { 0 };
    };
    const std::vector<Refusal>& refusals() const { return m_refusals; }

    /// Something broken at any server; empty when nothing was.
    std::string broken() const
    {
        for (auto& server : m_servers) {
            if (!server.rule.broken().empty())
                return server.rule.broken();
            if (!server.restRule.broken().empty())
                return server.restRule.broken();
        }
        return "";
    }

private:
    using BackendServer = gateway::BackendServer;
    using ServerState = gateway::ServerState;

    struct Server {
        BackendServer listed;
        std::optional<double> limit;
        LimitRule rule;
        std::optional<milliseconds> rest;
        double partShed { 0 };
        RestRule restRule;
        std::uint32_t running { 0 };
        int ran { 0 };
        int arrived { 0 };
        int life { 0 };
        TimePoint frozenUntil;
    };
    struct Entry {
        std::unique_ptr<gateway::Dispatcher> dispatcher;
        Incarnation incarnation;
        std::uint64_t sequence { 0 };
        TimePoint tellNotBefore;
        bool isTellDue { false };
        TimePoint frozenUntil;
        bool isCut { false };
        bool isGone { false };
        std::optional<TimePoint> tickAt;
    };
    struct Call {
        int entry { 0 };
        Incarnation incarnation;
        TimePoint arrivedAt;
        TimePoint deadline;
        bool isReturn { false };
        /// Try in progress; what earlier ones still bring is not read.
        int attempt { 0 };
        TimePoint heardAt;
        bool isOver { false };
        /// The client left without a whole answer.
        bool hasLeft { false };
    };
    struct Scheduled {
        TimePoint at;
        std::uint64_t order { 0 };
        Action action;
        bool operator<(const Scheduled& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    static constexpr milliseconds networkDelay { 2 };
    static constexpr milliseconds firstEventAfter { 150 };
    static constexpr milliseconds eventEvery { 60 };
    static constexpr milliseconds clientPatience { 2000 };
    static constexpr milliseconds tellAtMostEvery { 20 };
    static constexpr milliseconds snapshotEvery { 400 };

    static TimePoint origin() { return TimePoint { seconds(100) }; }
    static ServiceName model() { return ServiceName("model"); }
    static gateway::Endpoint endpoint(int n) { return { boost::asio::ip::address_v4(0x0a000000U + static_cast<unsigned>(n)), 7000 }; }
    DataCentreName dataCentreOf(int n) const { return DataCentreName(fmt::format("dc{}", n % m_options.dataCentres)); }
    Entry& entryAt(int n) { return m_entries[static_cast<std::size_t>(n)]; }
    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_random); }

    void schedule(TimePoint at, Action action) { m_queue.push({ at, ++m_order, std::move(action) }); }

    void excuse(int entry)
    {
        for (auto& server : m_servers) {
            server.rule.onExcused(m_now, entry);
            server.restRule.onExcused(entry);
        }
    }

    void start(int n)
    {
        auto& entry = entryAt(n);
        gateway::DispatcherOptions options;
        options.retries.slack = 90;
        entry = {};
        entry.incarnation = Incarnation(++m_lastIncarnation);
        entry.dispatcher = std::make_unique<gateway::Dispatcher>(options, policy::Generator(static_cast<unsigned>(m_options.seed * 1000 + m_lastIncarnation)));
    }

    gateway::EntryMember memberOf(int n)
    {
        return { endpoint(n), entryAt(n).incarnation, 1, endpoint(n), dataCentreOf(n), gateway::EntryState::Serving };
    }

    bool hear(int one, int other) { return !entryAt(one).isCut && !entryAt(other).isCut && !entryAt(one).isGone && !entryAt(other).isGone; }

    /// Shows each entry the servers and the other entries that it can hear.
    void showAll()
    {
        for (int n = 0; n < m_options.entries; ++n) {
            auto snapshot = std::make_shared<gateway::Snapshot>();
            for (auto& server : m_servers)
                snapshot->servers.push_back(server.listed);
            for (int other = 0; other < m_options.entries; ++other) {
                if (other != n && hear(n, other))
                    snapshot->entries.push_back(memberOf(other));
            }
            snapshot->self = memberOf(n);
            snapshot->entriesThatMayExist = std::max<std::size_t>(m_options.entriesThatMayExist, static_cast<std::size_t>(m_options.entries));
            snapshot->isReady = true;
            snapshot->dataCentre = dataCentreOf(n);
            apply(n, gateway::dispatch::SnapshotChanged { snapshot });
        }
    }

    void scheduleArrival()
    {
        std::exponential_distribution<double> gap(m_options.demand);
        schedule(m_now + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(m_random))), [this] {
            arrive(m_now + m_route.timeout, false);
            scheduleArrival();
        });
    }

    void arrive(TimePoint deadline, bool isReturn)
    {
        int n = std::uniform_int_distribution<int>(0, m_options.entries - 1)(m_random);
        while (entryAt(n).isGone)
            n = (n + 1) % m_options.entries;
        if (!isReturn) {
            ++m_asked;
            ++m_askedIn[n % m_options.dataCentres];
        }
        gateway::CallId id(++m_lastCall);
        m_calls[id] = { n, entryAt(n).incarnation, m_now, deadline, isReturn, 0, m_now, false, false };
        gateway::CallRequest request { nullptr, &m_route, 1, m_now, deadline, Tokens(800), Tokens(100) };
        apply(n, gateway::dispatch::Arrived { id, request });
    }

    /// Later, when the entry stands still; never, when the entry that it is meant for has ended.
    void apply(int n, const gateway::dispatch::Event& event, std::optional<Incarnation> only = std::nullopt)
    {
        auto& entry = entryAt(n);
        if (entry.isGone || (only && entry.incarnation != *only))
            return;
        if (entry.frozenUntil > m_now) {
            schedule(entry.frozenUntil, [this, n, event, incarnation = entry.incarnation] { apply(n, event, incarnation); });
            return;
        }
        auto effects = entry.dispatcher->apply(m_now, event);
        for (auto& effect : effects)
            std::visit([this](auto& it) { perform(it); }, effect);
        armTick(n);
        bool isNews = std::holds_alternative<gateway::dispatch::LoadArrived>(event) || std::holds_alternative<gateway::dispatch::SnapshotChanged>(event);
        if (!isNews)
            tellBy(n, std::max(m_now, entry.tellNotBefore));
    }

    void armTick(int n)
    {
        auto& entry = entryAt(n);
        auto next = entry.dispatcher->nextTick();
        if (!next || entry.tickAt == next)
            return;
        entry.tickAt = next;
        schedule(std::max(*next, m_now), [this, n, at = *next, incarnation = entry.incarnation] {
            if (entryAt(n).tickAt != at)
                return;
            entryAt(n).tickAt.reset();
            apply(n, gateway::dispatch::Ticked {}, incarnation);
        });
    }

    void tellBy(int n, TimePoint time)
    {
        auto& entry = entryAt(n);
        if (entry.isTellDue)
            return;
        entry.isTellDue = true;
        schedule(time, [this, n, incarnation = entry.incarnation] {
            if (entryAt(n).incarnation == incarnation)
                tell(n);
        });
    }

    void tell(int n)
    {
        auto& entry = entryAt(n);
        entry.isTellDue = false;
        if (entry.isGone)
            return;
        if (entry.frozenUntil > m_now)
            return tellBy(n, entry.frozenUntil);
        auto& loads = entry.dispatcher->loads();
        gateway::LoadUpdate news { entry.incarnation, ++entry.sequence, loads.ownLoads(), loads.limits().words(m_now), loads.silentServers(m_now) };
        for (int other = 0; other < m_options.entries; ++other) {
            bool isLost = uniform(0, 1) < m_options.loss;
            if (other == n || !hear(n, other) || isLost)
                continue;
            schedule(m_now + networkDelay, [this, other, news] { apply(other, gateway::dispatch::LoadArrived { news }); });
        }
        entry.tellNotBefore = m_now + tellAtMostEvery;
        if (!news.servers.empty())
            tellBy(n, m_now + gateway::PeerLoads::toldEvery);
    }

    Server* serverOf(const gateway::ServerLife& life)
    {
        auto it = std::find_if(m_servers.begin(), m_servers.end(), [&](auto& server) { return server.listed.life() == life; });
        return it == m_servers.end() ? nullptr : &*it;
    }

    void perform(const gateway::dispatch::StartAttempt& effect)
    {
        auto& call = m_calls[effect.call];
        call.heardAt = m_now;
        Try started { effect.call, effect.server.life(), ++call.attempt, m_now };
        schedule(m_now + networkDelay, [this, started] { reach(started); });
        schedule(m_now + clientPatience, [this, id = effect.call] { loseClient(id); });
    }

    void perform(const gateway::dispatch::TakeBack& effect)
    {
        ++m_takenBack;
        auto attempt = m_calls[effect.call].attempt++;
        schedule(m_now, [this, id = effect.call, attempt] { finish({ id, {}, attempt + 1, m_now }, gateway::AttemptEnd::Stalled); });
    }

    /// One try of a request at a server.
    struct Try {
        gateway::CallId id;
        gateway::ServerLife life;
        int attempt { 0 };
        TimePoint sentAt;
    };

    bool isCurrent(const Try& it) { return !m_calls[it.id].isOver && m_calls[it.id].attempt == it.attempt; }

    /// Does it now, or when the server goes on.
    void atServer(const gateway::ServerLife& life, Action action)
    {
        auto* server = serverOf(life);
        if (server && server->frozenUntil > m_now)
            schedule(server->frozenUntil, std::move(action));
        else
            action();
    }

    void reach(const Try& it)
    {
        auto* server = serverOf(it.life);
        if (!server)
            return finishAfter(networkDelay, it, gateway::AttemptEnd::Misdirected);
        ++server->arrived;
        server->rule.onArrival(m_now, m_calls[it.id].entry);
        server->restRule.onArrival(m_now, m_calls[it.id].entry);
        atServer(it.life, [this, it] { begin(it); });
    }

    void begin(const Try& it)
    {
        auto* server = serverOf(it.life);
        if (!server)
            return;
        if (server->rest && uniform(0, 1) < server->partShed)
            return turnAway(it, *server);
        if (server->running >= m_options.slots) {
            hearLimit(it, networkDelay);
            return finishAfter(networkDelay + milliseconds(1), it, gateway::AttemptEnd::NotRun);
        }
        m_begunForNobody += m_calls[it.id].hasLeft ? 1 : 0;
        ++server->running;
        ++server->ran;
        auto work = milliseconds(static_cast<int>(uniform(400, 3000)));
        hearLimit(it, firstEventAfter);
        schedule(m_now + firstEventAfter + eventEvery, [this, it, until = m_now + work] { sendEvent(it, until); });
        schedule(m_now + work, [this, it, life = server->life] { complete(it, life); });
    }

    void turnAway(const Try& it, Server& server)
    {
        auto& call = m_calls[it.id];
        gateway::NamedRest rest { m_now + *server.rest };
        server.restRule.onAsked(m_now, call.entry, *rest.until);
        schedule(m_now + networkDelay, [this, it, rest] {
            auto& asked = m_calls[it.id];
            apply(asked.entry, gateway::dispatch::RestAsked { it.life, rest }, asked.incarnation);
            finish(it, gateway::AttemptEnd::NotRun);
        });
    }

    void sendEvent(const Try& it, TimePoint until)
    {
        if (!isCurrent(it) || m_now >= until)
            return;
        atServer(it.life, [this, it] {
            if (!isCurrent(it))
                return;
            m_calls[it.id].heardAt = m_now;
            apply(m_calls[it.id].entry, gateway::dispatch::Progressed { it.id }, m_calls[it.id].incarnation);
        });
        schedule(m_now + eventEvery, [this, it, until] { sendEvent(it, until); });
    }

    void complete(const Try& it, int life)
    {
        atServer(it.life, [this, it, life] {
            auto* server = serverOf(it.life);
            if (server && server->life == life)
                --server->running;
            finishAfter(networkDelay, it, gateway::AttemptEnd::Answered);
        });
    }

    /// The head of the answer goes out after `delay` and says what the server says then.
    void hearLimit(const Try& it, milliseconds delay)
    {
        schedule(m_now + delay, [this, it] { atServer(it.life, [this, it] { sendHead(it); }); });
    }

    void sendHead(const Try& it)
    {
        auto* server = serverOf(it.life);
        if (!server || !isCurrent(it))
            return;
        std::optional<gateway::NamedLimit> limit;
        if (server->limit)
            limit = gateway::NamedLimit { gateway::RequestRate(*server->limit) };
        auto passedOn = std::max(m_now + networkDelay, entryAt(m_calls[it.id].entry).frozenUntil);
        schedule(passedOn, [this, it, limit] {
            auto& call = m_calls[it.id];
            auto* named = serverOf(it.life);
            if (named && limit && entryAt(call.entry).incarnation == call.incarnation)
                named->rule.onPassedOn(m_now, call.entry);
            call.heardAt = m_now;
            apply(call.entry, gateway::dispatch::LimitHeard { it.life, it.sentAt, limit }, call.incarnation);
            apply(call.entry, gateway::dispatch::AnswerBegan { it.id }, call.incarnation);
        });
    }

    void finishAfter(milliseconds delay, const Try& it, gateway::AttemptEnd how)
    {
        schedule(m_now + delay, [this, it, how] { finish(it, how); });
    }

    void finish(const Try& it, gateway::AttemptEnd how)
    {
        if (!isCurrent(it))
            return;
        auto& call = m_calls[it.id];
        apply(call.entry, gateway::dispatch::AttemptEnded { it.id, how }, call.incarnation);
        if (how != gateway::AttemptEnd::Answered)
            return;
        call.isOver = true;
        ++m_served;
        ++m_servedIn[call.entry % m_options.dataCentres];
        apply(call.entry, gateway::dispatch::Closed { it.id }, call.incarnation);
    }

    void loseClient(gateway::CallId id)
    {
        auto& call = m_calls[id];
        if (call.isOver)
            return;
        if (call.heardAt + clientPatience > m_now)
            return schedule(call.heardAt + clientPatience, [this, id] { loseClient(id); });
        call.isOver = true;
        call.hasLeft = true;
        ++m_left;
        apply(call.entry, gateway::dispatch::Closed { id }, call.incarnation);
    }

    void perform(const gateway::dispatch::Refuse& effect)
    {
        auto& ended = m_calls[effect.call];
        ended.isOver = true;
        auto call = ended;
        auto returnAfter = effect.retryAt ? std::chrono::duration_cast<milliseconds>(*effect.retryAt - m_now) : milliseconds(0);
        m_refusals.push_back({ std::chrono::duration_cast<milliseconds>(m_now - call.arrivedAt), returnAfter });
        schedule(m_now, [this, call, id = effect.call] { apply(call.entry, gateway::dispatch::Closed { id }, call.incarnation); });
        if (!effect.retryAt)
            return;
        if (!call.isReturn)
            schedule(*effect.retryAt, [this, deadline = call.deadline] { arrive(deadline, true); });
    }

    void perform(const gateway::dispatch::PassOn&) { }
    void perform(const gateway::dispatch::TellLeaving&) { }

    FleetOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
    gateway::Route m_route;
    TimePoint m_now { origin() };
    std::priority_queue<Scheduled> m_queue;
    std::uint64_t m_order { 0 };
    std::map<gateway::CallId, Call> m_calls;
    std::uint64_t m_lastCall { 0 };
    std::uint64_t m_lastIncarnation { 0 };
    int m_asked { 0 };
    int m_served { 0 };
    int m_left { 0 };
    int m_takenBack { 0 };
    int m_begunForNobody { 0 };
    std::map<int, int> m_askedIn;
    std::map<int, int> m_servedIn;
    std::vector<Refusal> m_refusals;
};

} // namespace swiftloft::test
