#include "src/gateway/capacity/service-estimate.h"

#include "src/log/logger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace swiftloft::gateway::capacity {

namespace {

/// Clients leave a stream after a gap of four times the objective, eight times the allowed gap, or this, whichever is
/// longest.
constexpr milliseconds minClientPatience { 2000 };
constexpr int patienceObjectives = 4;
constexpr int patienceGaps = 8;
constexpr double timeGivenWeight = 0.02;
/// A wait that is expected to last this many times longer than the request may wait is not begun: slots become free at
/// random, and one in four of such waits would still be over in time.
constexpr int hopelessWaits = 3;

Clock::duration clientPatience(const Route& route)
{
    return std::max({ minClientPatience, patienceObjectives * route.objective, patienceGaps * route.gapObjective });
}

Clock::duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::int64_t toMs(Clock::duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace

void ServiceEstimate::setSnapshot(TimePoint now, const Snapshot& snapshot)
{
    if (!m_options.isEnabled)
        return;
    m_entries = snapshot.entries.size() + 1;
    setGroups(snapshot);
    setReports(snapshot);
    // Groups that get no more requests are released here.
    for (auto& [name, service] : m_services) {
        for (auto& [groupName, group] : service.groups) {
            if (group.isBinding)
                updateBinding(now, name, service, groupName, group, {});
        }
    }
}

/// Servers of a service belong to the group that names their address, or else all to one group without a name.
void ServiceEstimate::setGroups(const Snapshot& snapshot)
{
    std::map<Endpoint, EngineGroupName> groupAt;
    for (auto& group : snapshot.groups) {
        for (auto& rank : group.ranks)
            groupAt.emplace(rank.address, group.group);
    }
    std::map<ServiceName, std::map<EngineGroupName, std::vector<ServerIncarnation>>> members;
    std::map<ServiceName, std::map<ServerIncarnation, std::uint32_t>> slots;
    for (auto& server : snapshot.servers) {
        auto it = groupAt.find(server.address);
        members[server.service][it == groupAt.end() ? EngineGroupName() : it->second].push_back(server.incarnation());
        slots[server.service][server.incarnation()] = server.slots;
    }
    std::erase_if(m_services, [&](auto& it) { return !members.contains(it.first); });
    m_groupOf.clear();
    for (auto& [name, groups] : members) {
        auto& service = m_services[name];
        service.counts.service = name;
        service.slotTimes.setServers(slots[name]);
        std::erase_if(service.groups, [&groups = groups](auto& it) { return !groups.contains(it.first); });
        auto* configured = snapshot.configuration ? snapshot.configuration->findService(name) : nullptr;
        PassModel model;
        if (configured && configured->engine) {
            auto& traits = *configured->engine;
            model = { traits.stepMs, traits.stepMsPerRequest, static_cast<double>(std::max(traits.stepsPerPass, 1U)), 1 };
            service.tokensPerEvent = model.stepsPerPass;
        }
        for (auto& [groupName, servers] : groups) {
            auto& group = service.groups[groupName];
            if (!group.estimate)
                group.estimate = std::make_shared<GroupEstimate>();
            model.ranks = static_cast<double>(servers.size());
            group.estimate->setModel(model);
            for (auto& server : servers)
                m_groupOf[server] = group.estimate;
        }
    }
    if (!snapshot.configuration)
        return;
    std::set<ServiceName> seen;
    for (auto& route : snapshot.configuration->routes()) {
        for (auto& weighted : route.services) {
            auto it = m_services.find(weighted.service);
            if (it != m_services.end())
                it->second.mostUrgent = seen.insert(weighted.service).second ? route.priority : std::min(it->second.mostUrgent, route.priority);
        }
    }
}

void ServiceEstimate::setReports(const Snapshot& snapshot)
{
    auto degraded = latestDegradedReports(snapshot);
    std::map<GroupEstimate*, Snapshot::DegradedReport> slowest;
    for (auto& server : snapshot.servers) {
        auto it = degraded.find(server.address);
        auto group = m_groupOf.find(server.incarnation());
        if (it == degraded.end() || it->second.pace < slowPace || group == m_groupOf.end())
            continue;
        auto& report = slowest.try_emplace(group->second.get(), it->second).first->second;
        if (report.pace < it->second.pace)
            report = it->second;
    }
    for (auto& [name, service] : m_services) {
        for (auto& [groupName, group] : service.groups) {
            auto it = slowest.find(group.estimate.get());
            group.estimate->onReportedPace(it == slowest.end() ? TimePoint {} : it->second.reportedAt, it == slowest.end() ? 1 : it->second.pace);
            auto reported = std::find_if(snapshot.groups.begin(), snapshot.groups.end(), [&groupName = groupName](auto& report) { return report.group == groupName; });
            if (reported != snapshot.groups.end())
                group.estimate->onReportedPass(reported->reportedAt, reported->passMs);
        }
    }
}

void ServiceEstimate::onRequestArrived(const ServiceName& name, const RequestView& request)
{
    auto it = m_services.find(name);
    if (it == m_services.end())
        return;
    auto& service = it->second;
    ++service.counts.wanted;
    double given = toSeconds(request.deadline - request.arrivedAt);
    service.timeGiven += service.timeGiven > 0 ? timeGivenWeight * (given - service.timeGiven) : given;
}

void ServiceEstimate::onAttemptStarted(TimePoint now, StreamClock& clock, const ServerIncarnation& server) const
{
    auto it = m_groupOf.find(server);
    clock = { it == m_groupOf.end() ? nullptr : it->second, now, TimePoint {}, 0 };
    if (clock.group)
        clock.group->onAttemptStarted(now);
}

void ServiceEstimate::onEvent(TimePoint now, StreamClock& clock)
{
    if (!clock.group)
        return;
    if (clock.events > 0)
        clock.group->onInterval(now, now - clock.lastEventAt);
    else
        clock.group->onFirstEvent(now, now - clock.startedAt);
    clock.lastEventAt = now;
    ++clock.events;
}

void ServiceEstimate::onAttemptEnded(TimePoint now, StreamClock& clock, const ServiceName& name, const ServerIncarnation& server, const Route& route, bool isComplete)
{
    auto group = std::exchange(clock.group, nullptr);
    if (!group)
        return;
    group->onAttemptEnded();
    auto it = m_services.find(name);
    if (!isComplete || it == m_services.end())
        return;
    // While a group is short of time, mostly short streams end.
    if (route.isStream && !isBinding(it->second))
        it->second.sizes.onStreamEnded(route.name, clock.events);
    else if (!route.isStream)
        it->second.slotTimes.onResponse(now, server, now - clock.startedAt);
}

bool ServiceEstimate::isBinding(const Service& service)
{
    return std::any_of(service.groups.begin(), service.groups.end(), [](auto& it) { return it.second.isBinding; });
}

double ServiceEstimate::meanTimeShare(const Service& service, const GroupEstimate& group, Clock::duration pass)
{
    if (service.timeGiven <= 0)
        return 0;
    return toSeconds(pass) * (group.firstPasses() + service.sizes.meanEvents()) / service.timeGiven;
}

bool ServiceEstimate::isWatching(TimePoint now, const ServiceName& name) const
{
    auto it = m_services.find(name);
    if (it == m_services.end() || it->second.groups.empty())
        return false;
    auto& service = it->second;
    // One group that is not short of time is enough.
    return std::all_of(service.groups.begin(), service.groups.end(), [&](auto& entry) {
        auto& group = entry.second;
        auto seen = group.estimate->seenPass(now);
        if (!seen)
            return group.isBinding || group.estimate->isReportedSlow(now);
        return group.isBinding || meanTimeShare(service, *group.estimate, seen->length) > m_options.bindShare;
    });
}

void ServiceEstimate::updateBinding(TimePoint now, const ServiceName& name, Service& service, const EngineGroupName& groupName, Group& group, const ServiceUse& use) const
{
    auto pass = group.estimate->pass(now, use.running);
    double share = pass ? meanTimeShare(service, *group.estimate, pass->length) : 0;
    bool isBinding = share > (group.isBinding ? m_options.releaseShare : m_options.bindShare);
    group.runLimit = 0;
    if (pass && service.timeGiven > 0 && use.slots > 0) {
        auto length = fromSeconds(m_options.timeShare * service.timeGiven / (group.estimate->firstPasses() + std::max(service.sizes.meanEvents(), 1.0)));
        group.runLimit = std::min(group.estimate->runningAt(length, pass->length, use.running).value_or(0), use.slots);
    }
    if (isBinding == group.isBinding)
        return;
    group.isBinding = isBinding;
    log::write(isBinding ? log::Event::EstimateBinds : log::Event::EstimateReleased, "service={} group={} pass-ms={} age-ms={} events={:.1f} time-share={:.2f} running={:.0f} limit={:.0f}", name.value(), groupName.value().empty() ? "-" : groupName.value(), pass ? toMs(pass->length) : -1, pass ? toMs(pass->age) : -1, service.sizes.meanEvents(), share, use.running, group.runLimit);
}

Forecast ServiceEstimate::groupForecast(const Service& service, const EngineGroupName& name, const Group& group, const Pass& pass, const RequestView& request, const ServiceUse& use, TimePoint now) const
{
    double events = service.sizes.expectedEvents(request.route.name, request.size, service.tokensPerEvent);
    auto duration = fromSeconds(toSeconds(pass.length) * (group.estimate->firstPasses() + events - 1));
    return { name, pass, events, duration, request.deadline - now, use.running };
}

bool ServiceEstimate::canEnd(const Service& service, const Forecast& forecast, const RequestView& request) const
{
    unsigned steps = request.priority > service.mostUrgent ? request.priority - service.mostUrgent : 0;
    double share = std::max(m_options.timeShare - m_options.priorityStep * steps, m_options.minTimeShare);
    return forecast.pass.length < clientPatience(request.route) && toSeconds(forecast.duration) <= share * toSeconds(forecast.timeLeft);
}

/// Each entry probes at its part of the common rate, and only if nothing else that it sent to the group shows how long
/// passes are.
bool ServiceEstimate::takeProbe(TimePoint now, Service& service)
{
    auto interval = fromSeconds(static_cast<double>(m_entries) / m_options.probesPerSecond);
    for (auto& [name, group] : service.groups) {
        auto lastSentAt = std::max(group.probedAt, group.estimate->lastStartedAt());
        if (group.estimate->ownRunning() > 0 || (lastSentAt != TimePoint {} && now < lastSentAt + interval))
            continue;
        group.probedAt = now;
        ++service.counts.probes;
        return true;
    }
    return false;
}

std::optional<Forecast> ServiceEstimate::refusalOf(TimePoint now, const ServiceName& name, const RequestView& request, const ServiceUse& use)
{
    auto it = m_services.find(name);
    if (it == m_services.end() || !request.route.isStream)
        return std::nullopt;
    auto& service = it->second;
    std::optional<Forecast> best;
    for (auto& [groupName, group] : service.groups) {
        updateBinding(now, name, service, groupName, group, use);
        auto pass = group.estimate->pass(now, use.running);
        if (!pass || !group.isBinding)
            return std::nullopt;
        auto expected = groupForecast(service, groupName, group, *pass, request, use, now);
        if (canEnd(service, expected, request))
            return std::nullopt;
        if (!best || expected.duration < best->duration)
            best = expected;
    }
    if (!best || takeProbe(now, service))
        return std::nullopt;
    ++service.counts.refused;
    return best;
}

std::optional<Forecast> ServiceEstimate::queueRefusalOf(TimePoint now, const ServiceName& name, const RequestView& request)
{
    auto it = m_services.find(name);
    if (it == m_services.end() || request.route.isStream || now >= request.queueDeadline)
        return std::nullopt;
    auto& times = it->second.slotTimes;
    auto wait = times.timeUntilFree(now, request.queuedBefore + 1);
    auto service = times.serviceTime(now);
    if (!wait || !service)
        return std::nullopt;
    // Half of the requests are faster than the mean: only what is beyond the deviation is hopeless.
    auto shortest = std::max(service->mean - service->deviation, Clock::duration(0));
    bool isHopeless = *wait > hopelessWaits * (request.queueDeadline - now) || now + *wait + shortest > request.deadline;
    if (!isHopeless)
        return std::nullopt;
    ++it->second.counts.refused;
    return Forecast { {}, {}, 0, *wait + service->mean, request.deadline - now, 0 };
}

std::optional<Forecast> ServiceEstimate::streamForecast(const Service& service, const RequestView& request, const ServiceUse& use, TimePoint now)
{
    double events = service.sizes.expectedEvents(request.route.name, request.size, service.tokensPerEvent);
    Forecast longest { {}, {}, events, {}, request.deadline - now, use.running };
    for (auto& [groupName, group] : service.groups) {
        auto pass = group.estimate->pass(now, use.running);
        auto& model = group.estimate->model();
        if (!pass && !model.isKnown())
            return std::nullopt;
        auto length = pass ? pass->length : fromSeconds(model.passMs(use.slots) / 1000);
        length = std::max(length, group.estimate->meanSeenPass(now).value_or(length));
        auto duration = fromSeconds(toSeconds(length) * (group.estimate->firstPasses() + events));
        if (duration < longest.duration)
            continue;
        longest.group = groupName;
        longest.pass = { length, pass ? pass->age : Clock::duration(0) };
        longest.duration = duration;
    }
    return longest;
}

std::optional<Forecast> ServiceEstimate::plainForecast(const Service& service, const RequestView& request, TimePoint now)
{
    Forecast out { {}, {}, 0, {}, request.deadline - now, 0 };
    if (auto time = service.slotTimes.serviceTime(now))
        out.duration = time->mean;
    else if (request.route.objective > milliseconds(0))
        out.duration = request.route.objective;
    else
        return std::nullopt;
    return out;
}

std::optional<Forecast> ServiceEstimate::forecast(TimePoint now, const ServiceName& name, const RequestView& request, const ServiceUse& use) const
{
    auto it = m_services.find(name);
    if (it == m_services.end() || it->second.groups.empty())
        return std::nullopt;
    return request.route.isStream ? streamForecast(it->second, request, use, now) : plainForecast(it->second, request, now);
}

std::optional<double> ServiceEstimate::runLimit(TimePoint now, const ServiceName& name, const ServiceUse& use) const
{
    if (!isWatching(now, name) || use.slots <= 0)
        return std::nullopt;
    double sum = 0;
    for (auto& [groupName, group] : m_services.at(name).groups)
        sum += group.isBinding ? group.runLimit : use.slots;
    return std::min(sum, use.slots);
}

std::vector<GroupReport> ServiceEstimate::groupReports(TimePoint now) const
{
    std::vector<GroupReport> reports;
    for (auto& [name, service] : m_services) {
        for (auto& [groupName, group] : service.groups) {
            GroupReport report { name, groupName, group.estimate->seenPass(now), group.isBinding, group.runLimit, 0 };
            if (group.runLimit > 0 && service.timeGiven > 0)
                report.endsPerSecond = group.runLimit / (m_options.timeShare * service.timeGiven);
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

std::vector<ServiceReport> ServiceEstimate::serviceReports() const
{
    std::vector<ServiceReport> reports;
    reports.reserve(m_services.size());
    for (auto& [name, service] : m_services)
        reports.push_back(service.counts);
    return reports;
}

} // namespace swiftloft::gateway::capacity
