#include "src/gateway/dispatcher.h"

#include <algorithm>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <set>

namespace swiftloft::gateway {

using namespace dispatch;

namespace {

/// A client that was refused for want of room comes back after this long, spread so that not all come at once. Most
/// rushes of a second or two have room for it again by then, and it stays within the third of its time that clients
/// are ready to wait.
constexpr milliseconds comeBackAfter { 500 };
constexpr milliseconds comeBackSpread { 700 };
/// While a service has no server, or all are forming their groups, it takes about this long until it serves again. A
/// client that is told to come back sooner is turned away again, and most come back only once.
constexpr milliseconds backInServiceAfter { 1800 };
/// Clients wait for at most a third of the time they have left; a little less, so that their clock agrees.
constexpr double partOfTimeLeft { 0.3 };
/// No client waits for longer.
constexpr seconds longestPatience { 60 };
/// Between two looks for servers that have fallen silent.
constexpr milliseconds lookForStallsEvery { 200 };
/// A try that can't last this long is not begun: connecting alone takes a few milliseconds.
constexpr milliseconds leastTimeForTry { 15 };

bool isWithoutRun(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::NotRun || end == AttemptEnd::Misdirected;
}

bool isServerSuspect(AttemptEnd end)
{
    // One that stalled became suspect as the request was taken back.
    return end == AttemptEnd::NotSent || end == AttemptEnd::Lost || end == AttemptEnd::TimedOut || end == AttemptEnd::ServerError;
}

} // namespace

std::string_view toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::NotSent:
        return "not-sent";
    case AttemptEnd::NotRun:
        return "not-run";
    case AttemptEnd::Misdirected:
        return "misdirected";
    case AttemptEnd::Lost:
        return "lost";
    case AttemptEnd::ServerError:
        return "server-error";
    case AttemptEnd::TimedOut:
        return "timed-out";
    case AttemptEnd::Stalled:
        return "stalled";
    }
    return "unknown";
}

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Limited:
        return "limited";
    case RefusalReason::Resting:
        return "resting";
    case RefusalReason::NoServer:
        return "no-server";
    case RefusalReason::TriesSpent:
        return "tries-spent";
    case RefusalReason::Lost:
        return "lost";
    case RefusalReason::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

Dispatcher::Dispatcher(const DispatcherOptions& options, policy::Generator generator)
    : m_options(options)
    , m_generator(generator)
    , m_retries(options.retries)
{
}

Effects Dispatcher::apply(TimePoint now, const Event& event)
{
    // Comes with every event of every stream, and gives room to nobody.
    if (auto* progressed = std::get_if<Progressed>(&event)) {
        onProgressed(now, progressed->call);
        return {};
    }
    Effects effects;
    if (auto* arrived = std::get_if<Arrived>(&event))
        onArrived(now, *arrived, effects);
    else if (auto* ended = std::get_if<AttemptEnded>(&event))
        onAttemptEnded(now, *ended, effects);
    else if (auto* began = std::get_if<AnswerBegan>(&event))
        onAnswerBegan(now, began->call);
    else if (auto* closed = std::get_if<Closed>(&event))
        onClosed(closed->call);
    else if (auto* heard = std::get_if<LimitHeard>(&event))
        m_loads.onLimitHeard(now, heard->server, heard->sentAt, heard->limit);
    else if (auto* asked = std::get_if<RestAsked>(&event))
        m_loads.onRestAsked(now, asked->server, asked->rest);
    else if (auto* said = std::get_if<LeavingSaid>(&event)) {
        if (m_loads.onLeavingSaid(said->server))
            effects.push_back(TellLeaving { said->server });
    } else if (auto* changed = std::get_if<SnapshotChanged>(&event)) {
        m_loads.setServers(now, *changed->snapshot);
        m_retries.setEntries(changed->snapshot->entriesThatMayExist);
    } else if (auto* load = std::get_if<LoadArrived>(&event))
        m_loads.onLoadNews(now, load->news);
    takeBackStalled(now, effects);
    startWaiting(now, effects);
    m_appliedAt = now;
    return effects;
}

void Dispatcher::onArrived(TimePoint now, const Arrived& event, Effects& effects)
{
    auto& call = m_calls[event.call];
    call.request = event.request;
    auto objective = event.request.route->objective;
    auto wait = objective > milliseconds(0) ? std::chrono::duration_cast<Clock::duration>(m_options.waitShare * objective) : m_options.defaultWait;
    call.waitUntil = std::min(event.request.arrivedAt + wait, event.request.deadline);
    call.service = drawService(*event.request.route);
    m_retries.onRequest(call.service, now);
    if (!m_loads.hasServer(call.service)) {
        refuse(now, event.call, call, RefusalReason::NoServer, comeBackAt(call, now), effects);
        return;
    }
    // What waits already is older or more urgent, unless this one is more urgent than all of it.
    auto isMoreUrgent = [&](CallId id) { return m_calls[id].request.priority > event.request.priority; };
    m_waiting.insert(std::find_if(m_waiting.begin(), m_waiting.end(), isMoreUrgent), event.call);
}

ServiceName Dispatcher::drawService(const Route& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    std::vector<double> weights;
    weights.reserve(route.services.size());
    for (auto& it : route.services)
        weights.push_back(std::max(it.weight, 0.0));
    boost::random::discrete_distribution<std::size_t> draw(weights);
    return route.services[draw(m_generator)].service;
}

LoadBoard::Choice Dispatcher::choiceOf(const Call& call)
{
    // A request may run on so many servers and no more; those that it ran on may get it again.
    if (call.ranOn.size() >= std::max(call.request.route->maximumServers, 1U))
        return { call.service, {}, call.ranOn };
    return { call.service, call.tried, std::nullopt };
}

bool Dispatcher::tryStart(CallId id, Call& call, TimePoint now, Effects& effects)
{
    auto server = m_loads.choose(choiceOf(call), now, m_generator);
    if (!server)
        return false;
    bool isPaidFor = call.sends == 0 || call.isTakenBack;
    if (!isPaidFor && !m_retries.tryTake(call.service, now))
        return false;
    ++call.sends;
    call.runningOn = server->life();
    call.hasBegun = false;
    call.heardAt = now;
    call.isTakenBack = false;
    if (call.request.route->isStream && !m_lookForStallsAt)
        m_lookForStallsAt = now + lookForStallsEvery;
    effects.push_back(StartAttempt { id, *server, m_loads.running(server->life(), now), m_loads.limitOf(server->life()) });
    m_loads.onStart(now, server->life(), { call.request.promptTokens });
    return true;
}

void Dispatcher::startWaiting(TimePoint now, Effects& effects)
{
    keepForForming(now);
    std::vector<CallId> still;
    // Where one that may go anywhere finds no room, nobody does: with hundreds of servers each search is dear.
    std::set<ServiceName> full;
    for (auto id : m_waiting) {
        auto& call = m_calls[id];
        bool mayStart = now >= call.retryAt && !full.contains(call.service);
        if (mayStart && tryStart(id, call, now, effects))
            continue;
        if (mayStart && call.sends == 0)
            full.insert(call.service);
        if (now < call.waitUntil && m_loads.hasServer(choiceOf(call)) && !isBeyondLimits(call, now)) {
            still.push_back(id);
            continue;
        }
        if (call.lastEnd)
            giveUp(id, call, *call.lastEnd, now, effects);
        else
            refuse(now, id, call, reasonToRefuse(call, now), comeBackAt(call, now), effects);
    }
    m_waiting = std::move(still);
}

/// By the limits that they name and the rests that they ask for, no server may get the request while it waits: it is refused at
/// once.
bool Dispatcher::isBeyondLimits(const Call& call, TimePoint now) const
{
    auto room = m_loads.limitedRoom(choiceOf(call), now);
    return room && room->isAll && room->nextAt > call.waitUntil;
}

RefusalReason Dispatcher::reasonToRefuse(const Call& call, TimePoint now) const
{
    if (!m_loads.hasServer(call.service))
        return RefusalReason::NoServer;
    auto room = m_loads.limitedRoom(choiceOf(call), now);
    if (!room || !room->isAll)
        return RefusalReason::Overloaded;
    return room->isResting ? RefusalReason::Resting : RefusalReason::Limited;
}

/// While a whole service forms anew, all its room is about to be free at once. Turned away, a client would come back when
/// the rush is on; kept for the moment that it takes, it is served first. It stays so long when the first group is back,
/// too: else whatever has waited longer than usual and finds the first server full is refused in the same moment, while
/// the other servers come free.
void Dispatcher::keepForForming(TimePoint now)
{
    std::map<ServiceName, bool> isForming;
    for (auto id : m_waiting) {
        auto& call = m_calls[id];
        auto [it, isNew] = isForming.try_emplace(call.service, false);
        if (isNew)
            it->second = m_loads.isForming(call.service, now);
        if (!it->second)
            continue;
        auto formed = std::min(call.request.arrivedAt + m_options.recoveryWait, call.request.deadline);
        call.waitUntil = std::max(call.waitUntil, formed);
    }
}

/// Failure: the machine beside one engine of many stands still. The streams there stand until their clients leave, new requests
/// are sent there as its places come free, and it works for nobody when it wakes. Taken back in time, streams go on
/// elsewhere, and their clients stay.
void Dispatcher::takeBackStalled(TimePoint now, Effects& effects)
{
    if (!m_lookForStallsAt || now < *m_lookForStallsAt)
        return;
    m_lookForStallsAt.reset();
    for (auto& [id, call] : m_calls) {
        if (!call.runningOn || !call.request.route->isStream)
            continue;
        m_lookForStallsAt = now + lookForStallsEvery;
        if (!isStalled(call, now) || !m_retries.tryTake(call.service, now))
            continue;
        call.isTakenBack = true;
        m_loads.onStalled(now, *call.runningOn);
        effects.push_back(TakeBack { id });
    }
}

/// True for a stream that another server can take, whose own says nothing while others go on. A request that has not begun may
/// wait its turn there; it counts once its server is suspect by another stream, here or at another entry.
bool Dispatcher::isStalled(const Call& call, TimePoint now) const
{
    auto silentSince = now - m_options.stallAfter;
    if (call.isTakenBack || call.heardAt > silentSince || !mayTryAgain(call, AttemptEnd::Stalled, now))
        return false;
    bool mayRunElsewhere = call.ranOn.size() + 1 < std::max(call.request.route->maximumServers, 1U);
    bool isServerSilent = m_loads.heardAt(*call.runningOn) <= silentSince && (call.hasBegun || m_loads.isSuspect(*call.runningOn, now));
    return mayRunElsewhere && isServerSilent && m_loads.doOthersGoOn(call.service, *call.runningOn, now) && m_loads.hasRoomBeside(call.service, *call.runningOn, now);
}

void Dispatcher::onProgressed(TimePoint now, CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !it->second.runningOn)
        return;
    it->second.heardAt = now;
    m_loads.onHeard(now, *it->second.runningOn);
}

void Dispatcher::endAttempt(Call& call)
{
    if (!call.runningOn)
        return;
    m_loads.onEnd(*call.runningOn, { call.request.promptTokens }, call.hasBegun);
    call.runningOn.reset();
}

void Dispatcher::onAnswerBegan(TimePoint now, CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !it->second.runningOn || it->second.hasBegun)
        return;
    it->second.hasBegun = true;
    onProgressed(now, id);
    m_loads.onAnswerBegan(*it->second.runningOn, { it->second.request.promptTokens });
}

void Dispatcher::onAttemptEnded(TimePoint now, const AttemptEnded& event, Effects& effects)
{
    auto it = m_calls.find(event.call);
    if (it == m_calls.end() || !it->second.runningOn)
        return;
    auto& call = it->second;
    auto server = *call.runningOn;
    endAttempt(call);
    if (event.end == AttemptEnd::Answered) {
        m_loads.onSuccess(server);
        return;
    }
    noteServer(now, server, event.end, call);
    call.lastEnd = event.end;
    call.tried.push_back(server);
    if (!isWithoutRun(event.end)) {
        call.ranOn.push_back(server);
        call.verdict = combine(call.verdict, event.end == AttemptEnd::ServerError ? Verdict::Ran : Verdict::MayHaveRun);
    }
    if (mayWaitForGroups(call, event.end, now)) {
        waitToRetry(event.call, call, now, call.request.arrivedAt + m_options.recoveryWait);
        return;
    }
    if (!mayTryAgain(call, event.end, now)) {
        giveUp(event.call, call, event.end, now, effects);
        return;
    }
    if (tryStart(event.call, call, now, effects))
        return;
    if (event.end == AttemptEnd::ServerError) {
        giveUp(event.call, call, event.end, now, effects);
        return;
    }
    // Its servers may be back in a moment. It goes before what has not begun: somebody has waited for it already. What
    // has not run waits no longer than one that has just come.
    waitToRetry(event.call, call, now, call.verdict == Verdict::NotRun ? call.waitUntil : now + m_options.recoveryWait);
}

void Dispatcher::waitToRetry(CallId id, Call& call, TimePoint now, TimePoint until)
{
    call.waitUntil = std::min(until, call.request.deadline);
    call.tried.clear();
    call.retryAt = now + m_options.recoveryPause;
    m_waiting.insert(m_waiting.begin(), id);
}

/// Failure: groups form after a loss of power and nobody has said so yet. A request spends its tries at one rank after the
/// other within milliseconds and is refused; most clients return once only, and the service is back half a second later.
bool Dispatcher::mayWaitForGroups(const Call& call, AttemptEnd end, TimePoint now) const
{
    bool isTurnedAway = end == AttemptEnd::NotRun && call.verdict == Verdict::NotRun && call.ranksThatTurnedAway >= m_options.mostRanksAsked;
    return isTurnedAway && now + m_options.recoveryPause < call.request.arrivedAt + m_options.recoveryWait;
}

void Dispatcher::noteServer(TimePoint now, const ServerLife& server, AttemptEnd end, Call& call)
{
    if (end == AttemptEnd::Misdirected)
        m_loads.onReplaced(server);
    else if (end == AttemptEnd::NotRun)
        call.ranksThatTurnedAway += m_loads.onTurnedAway(now, server) ? 1 : 0;
    else if (isServerSuspect(end))
        m_loads.onFailure(now, server);
}

bool Dispatcher::mayTryAgain(const Call& call, AttemptEnd end, TimePoint now) const
{
    bool isSafe = call.request.route->isIdempotent || call.verdict == Verdict::NotRun;
    if (!isSafe || end == AttemptEnd::TimedOut || call.sends >= m_options.maximumSends)
        return false;
    // A failure of the server's own mostly comes of the request: another server is asked once, the same ones not again.
    if (end == AttemptEnd::ServerError && call.ranOn.size() >= call.request.route->maximumServers)
        return false;
    return now + leastTimeForTry < call.request.deadline;
}

void Dispatcher::giveUp(CallId id, Call& call, AttemptEnd end, TimePoint now, Effects& effects)
{
    if (end == AttemptEnd::ServerError) {
        effects.push_back(PassOn { id });
        return;
    }
    if (call.verdict == Verdict::NotRun) {
        auto reason = isBeyondLimits(call, now) ? reasonToRefuse(call, now) : RefusalReason::TriesSpent;
        refuse(now, id, call, reason, comeBackAt(call, now), effects);
        return;
    }
    refuse(now, id, call, end == AttemptEnd::TimedOut ? RefusalReason::TimedOut : RefusalReason::Lost, std::nullopt, effects);
}

void Dispatcher::refuse(TimePoint now, CallId id, const Call& call, RefusalReason reason, std::optional<TimePoint> retryAt, Effects& effects)
{
    effects.push_back(Refuse { id, reason, call.verdict, retryAt, call.service, m_loads.occupancy(call.service, now), m_waiting.size() });
}

TimePoint comeBackWhenServing(TimePoint now, TimePoint deadline, policy::Generator& generator)
{
    auto left = std::max(deadline - now, Clock::duration(0));
    auto patience = std::chrono::duration_cast<Clock::duration>(partOfTimeLeft * left);
    // Spread, so that the clients of a whole outage don't return in one moment.
    boost::random::uniform_real_distribution<double> spread(0.8, 1.0);
    auto wait = std::min<Clock::duration>(backInServiceAfter, patience);
    return now + std::chrono::duration_cast<Clock::duration>(spread(generator) * wait);
}

/// Clients come back one after the other as the limits have room for them; one whose turn is later than it waits for
/// comes back towards the end of that time.
TimePoint Dispatcher::comeBackWithinLimits(const Call& call, double rate, TimePoint now)
{
    auto left = std::max(call.request.deadline - now, Clock::duration(0));
    auto patience = std::chrono::duration_cast<Clock::duration>(partOfTimeLeft * left);
    auto& next = m_nextReturn[call.service];
    auto at = std::max(next, now + std::min<Clock::duration>(comeBackAfter, patience));
    if (rate <= 0 || at > now + patience) {
        boost::random::uniform_real_distribution<double> spread(0.5, 1.0);
        return now + std::chrono::duration_cast<Clock::duration>(spread(m_generator) * patience);
    }
    next = at + std::chrono::duration_cast<Clock::duration>(std::min(std::chrono::duration<double>(1 / rate), std::chrono::duration<double>(longestPatience)));
    return at;
}

/// The true time, also where clients wait for less: until then they would be turned away again. Those that come during a long
/// rest return over as much longer a time, so that what has gathered does not arrive in one moment.
TimePoint Dispatcher::comeBackAfterRest(const Call& call, TimePoint restEndsAt, TimePoint now)
{
    auto patienceEndsAt = now + std::chrono::duration_cast<Clock::duration>(partOfTimeLeft * std::max(call.request.deadline - now, Clock::duration(0)));
    auto latest = restEndsAt + std::max<Clock::duration>(comeBackSpread, (restEndsAt - now) / 2);
    if (restEndsAt < patienceEndsAt)
        latest = std::min(latest, patienceEndsAt);
    boost::random::uniform_real_distribution<double> spread(0, 1);
    return restEndsAt + std::chrono::duration_cast<Clock::duration>(spread(m_generator) * (latest - restEndsAt));
}

TimePoint Dispatcher::comeBackAt(const Call& call, TimePoint now)
{
    if (!m_loads.hasServer(call.service) || m_loads.isForming(call.service, now))
        return comeBackWhenServing(now, call.request.deadline, m_generator);
    if (auto room = m_loads.limitedRoom(choiceOf(call), now); room && room->isAll)
        return room->isResting && room->rate <= 0 ? comeBackAfterRest(call, room->nextAt, now) : comeBackWithinLimits(call, room->rate, now);
    boost::random::uniform_int_distribution<int> spread(0, static_cast<int>(comeBackSpread.count()));
    return now + comeBackAfter + milliseconds(spread(m_generator));
}

void Dispatcher::onClosed(CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    endAttempt(it->second);
    std::erase(m_waiting, id);
    m_calls.erase(it);
}

std::optional<TimePoint> Dispatcher::nextTick() const
{
    auto next = m_lookForStallsAt;
    std::set<ServiceName> services;
    for (auto id : m_waiting) {
        auto it = m_calls.find(id);
        auto& call = it->second;
        auto choice = choiceOf(call);
        bool isNewChoice = choice.only || services.insert(call.service).second;
        if (auto room = isNewChoice ? m_loads.limitedRoom(choice, m_appliedAt) : std::nullopt)
            next = std::min(next.value_or(room->nextAt), room->nextAt);
        // One whose pause is over and that found no room waits for an event.
        auto due = call.retryAt > m_appliedAt ? std::min(call.retryAt, call.waitUntil) : call.waitUntil;
        if (!next || due < *next)
            next = due;
    }
    return next;
}

} // namespace swiftloft::gateway
