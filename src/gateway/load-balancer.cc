#include "src/gateway/load-balancer.h"

#include "src/gateway/placement/server-cost.h"
#include "src/log/logger.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <limits>
#include <utility>

namespace swiftloft::gateway {

namespace {

/// Exceeds every other cost, for requests that prefer idle servers.
constexpr double costPerRunningRequest { 1e9 };

} // namespace

void LoadBalancer::setServers(TimePoint now, const Snapshot& snapshot)
{
    m_limits.setFleet(now, snapshot);
    m_coldLimits.setFleet(now, snapshot);
    m_backOffs.removeExpired(now);
    m_backOffs.setEntry(snapshot.self.control);
    std::map<ServerIncarnation, Server> servers;
    auto degraded = latestDegradedReports(snapshot);
    for (auto& listed : snapshot.servers) {
        auto it = m_servers.find(listed.incarnation());
        Server server = it == m_servers.end() ? Server { .listedAt = now } : it->second;
        if (it == m_servers.end() || server.server.dataCentre != listed.dataCentre)
            server.regionBit = m_regions.bitOf(listed.dataCentre);
        server.server = listed;
        server.hash = hashOf(listed.incarnation());
        auto report = degraded.find(listed.address);
        server.degradedReport = report == degraded.end() ? std::nullopt : std::optional(report->second);
        auto* service = snapshot.configuration ? snapshot.configuration->findService(listed.service) : nullptr;
        server.isRemote = snapshot.isLoadSharedLocally && listed.dataCentre != snapshot.dataCentre;
        auto remoteLoad = std::find_if(snapshot.remoteLoads.begin(), snapshot.remoteLoads.end(), [&](auto& it) { return it.dataCentre == listed.dataCentre && it.load.service == listed.service; });
        server.remoteLoad = server.isRemote && remoteLoad != snapshot.remoteLoads.end() ? std::optional(remoteLoad->load) : std::nullopt;
        server.isEngine = service && service->engine;
        if (server.isEngine) {
            auto& traits = *service->engine;
            server.isRank = traits.layers > 0;
            server.tokensPerRequest = placement::tokensPerRequest(traits);
        }
        servers.emplace(listed.incarnation(), std::move(server));
    }
    m_servers = std::move(servers);
}

void LoadBalancer::onLoadUpdate(TimePoint now, const LoadUpdate& update)
{
    m_peerLoads.onUpdate(now, update);
    for (auto& report : update.limits) {
        if (m_limits.onPeerReport(now, report))
            logLimit(report.server, "entry");
    }
    for (auto& silent : update.silent) {
        auto it = std::find_if(m_servers.begin(), m_servers.end(), [&](auto& known) { return known.second.hash == silent.server; });
        if (it != m_servers.end())
            it->second.suspectUntil = std::max(it->second.suspectUntil, now + std::min(silent.remaining, stallBackOff));
    }
}

void LoadBalancer::onAttemptStarted(TimePoint now, const ServerIncarnation& incarnation, const WorkSize& work)
{
    auto it = m_servers.find(incarnation);
    if (it == m_servers.end())
        return;
    m_limits.onSend(now, it->second.hash);
    m_coldLimits.onSend(now, it->second.hash);
    ++it->second.ownLoad.running;
    it->second.ownLoad.promptTokens += work.promptTokens.value();
}

void LoadBalancer::onResponseStarted(const ServerIncarnation& incarnation, const WorkSize& work)
{
    auto it = m_servers.find(incarnation);
    if (it != m_servers.end())
        it->second.ownLoad.promptTokens -= std::min(it->second.ownLoad.promptTokens, work.promptTokens.value());
}

void LoadBalancer::onAttemptEnded(const ServerIncarnation& incarnation, const WorkSize& work, bool hasResponseStarted)
{
    auto it = m_servers.find(incarnation);
    if (it == m_servers.end())
        return;
    if (it->second.ownLoad.running > 0)
        --it->second.ownLoad.running;
    if (!hasResponseStarted)
        onResponseStarted(incarnation, work);
}

void LoadBalancer::onFailure(TimePoint now, const ServerIncarnation& incarnation)
{
    auto it = m_servers.find(incarnation);
    if (it == m_servers.end())
        return;
    auto& server = it->second;
    auto backOff = std::min(failureBackOff * (1 << std::min(server.failures, 8U)), maxFailureBackOff);
    server.suspectUntil = now + backOff;
    ++server.failures;
}

void LoadBalancer::onSuccess(const ServerIncarnation& incarnation)
{
    auto it = m_servers.find(incarnation);
    if (it != m_servers.end())
        it->second.failures = 0;
}

void LoadBalancer::onActivity(TimePoint now, const ServerIncarnation& incarnation)
{
    auto it = m_servers.find(incarnation);
    if (it != m_servers.end())
        it->second.lastActivityAt = now;
}

void LoadBalancer::onStalled(TimePoint now, const ServerIncarnation& incarnation)
{
    auto it = m_servers.find(incarnation);
    if (it == m_servers.end())
        return;
    auto& server = it->second;
    if (server.stalledUntil <= now)
        log::write(log::Event::ServerStalled, "server={} silent-ms={}", incarnation.id.value(), std::chrono::duration_cast<milliseconds>(now - server.lastActivityAt).count());
    server.stalledUntil = now + stallBackOff;
    server.suspectUntil = std::max(server.suspectUntil, server.stalledUntil);
}

TimePoint LoadBalancer::lastActivityAt(const ServerIncarnation& incarnation) const
{
    auto it = m_servers.find(incarnation);
    return it == m_servers.end() ? TimePoint {} : it->second.lastActivityAt;
}

bool LoadBalancer::isSuspect(const ServerIncarnation& incarnation, TimePoint now) const
{
    auto it = m_servers.find(incarnation);
    return it != m_servers.end() && it->second.suspectUntil > now;
}

bool LoadBalancer::hasActivityElsewhere(const ServiceName& service, const ServerIncarnation& incarnation, TimePoint now, const HomeSet& homes) const
{
    auto isActive = [&](auto& it) {
        auto& server = it.second;
        bool isIdle = !server.isRank && server.ownLoad.running == 0 && mayReceiveRequests(server, now) && !isBackingOff(server, now) && server.suspectUntil <= now;
        return it.first != incarnation && server.server.service == service && homes.allows(server.regionBit) && (isIdle || server.lastActivityAt + activityWindow > now);
    };
    return std::any_of(m_servers.begin(), m_servers.end(), isActive);
}

bool LoadBalancer::hasCapacityElsewhere(const ServiceName& service, const ServerIncarnation& incarnation, TimePoint now, const HomeSet& homes) const
{
    auto canTake = [&](auto& it) {
        auto& server = it.second;
        bool isCandidate = it.first != incarnation && server.server.service == service && homes.allows(server.regionBit) && mayReceiveRequests(server, now) && server.suspectUntil <= now;
        return isCandidate && hasCapacity(server, totalLoad(server, now), now);
    };
    return std::any_of(m_servers.begin(), m_servers.end(), canTake);
}

std::vector<SilentServer> LoadBalancer::silentServers(TimePoint now) const
{
    std::vector<SilentServer> silent;
    for (auto& [incarnation, server] : m_servers) {
        if (server.stalledUntil > now)
            silent.push_back({ server.hash, std::chrono::duration_cast<milliseconds>(server.stalledUntil - now) });
    }
    return silent;
}

Load LoadBalancer::totalLoad(const Server& server, TimePoint now) const
{
    auto load = m_peerLoads.at(now, server.hash);
    load.running += server.ownLoad.running;
    load.promptTokens += server.ownLoad.promptTokens;
    return load;
}

double LoadBalancer::costOf(const Server& server, const Load& load, TimePoint now) const
{
    return placement::serverCost({ load, server.isEngine, server.tokensPerRequest, server.isRemote, server.remoteLoad, isSlow(server, now), m_coldLimits.isCold(now, server.hash), server.suspectUntil > now });
}

/// Right after a power loss, engines are listed before their groups have formed and before their agents have reported.
/// Each request was then rejected by four engines within some milliseconds and refused, and clients retry only once. A
/// rank that rejects a request is therefore skipped for a while: it counts as forming, and requests wait for it.
bool LoadBalancer::onRejected(TimePoint now, const ServerIncarnation& incarnation)
{
    auto it = m_servers.find(incarnation);
    if (it == m_servers.end() || !it->second.isRank || isBackingOff(it->second, now))
        return false;
    it->second.rejectingUntil = now + rejectionBackOff;
    return true;
}

void LoadBalancer::onLimitReceived(TimePoint now, const ServerIncarnation& incarnation, TimePoint sentAt, const std::optional<AdvertisedLimit>& limit)
{
    auto it = m_servers.find(incarnation);
    if (it != m_servers.end() && m_limits.onResponse(now, it->second.hash, sentAt, limit))
        logLimit(it->second.hash, "answer");
}

void LoadBalancer::onBackOffRequested(TimePoint now, const ServerIncarnation& incarnation, const RequestedBackOff& backOff)
{
    auto hash = hashOf(incarnation);
    if (m_backOffs.onRequested(now, hash, backOff))
        log::write(log::Event::ServerRestAsked, "server={} rest-ms={}", incarnation.id.value(), std::chrono::duration_cast<milliseconds>(m_backOffs.endOf(hash, now).value_or(now) - now).count());
}

std::optional<TimePoint> LoadBalancer::backOffEnd(const ServerIncarnation& incarnation, TimePoint now) const
{
    return m_backOffs.isEmpty() ? std::nullopt : m_backOffs.endOf(hashOf(incarnation), now);
}

bool LoadBalancer::onLeavingReported(const ServerIncarnation& incarnation)
{
    auto it = m_servers.find(incarnation);
    if (it == m_servers.end() || std::exchange(it->second.isLeaving, true))
        return false;
    log::write(log::Event::ServerSaysLeaving, "server={} listed={}", incarnation.id.value(), it->second.server.state == ServerState::Ready ? "ready" : "draining");
    return true;
}

void LoadBalancer::logLimit(ServerHash server, std::string_view source) const
{
    auto it = std::find_if(m_servers.begin(), m_servers.end(), [&](auto& known) { return known.second.hash == server; });
    if (it == m_servers.end())
        return;
    auto rate = m_limits.limitOf(server);
    log::write(log::Event::ServerLimitChanged, "server={} limit={} source={}", it->first.id.value(), rate ? fmt::format("{}", rate->value()) : "none", source);
}

std::optional<LoadBalancer::Throttling> LoadBalancer::throttling(const ServerFilter& filter, TimePoint now) const
{
    if (m_limits.isEmpty() && m_coldLimits.isEmpty() && m_backOffs.isEmpty())
        return std::nullopt;
    Throttling throttling { true, TimePoint::max(), 0, false };
    for (auto& [incarnation, server] : m_servers) {
        if (!isCandidate(server, filter) || !mayReceiveRequests(server, now))
            continue;
        auto at = nextSendTime(server, now);
        if (at <= now) {
            throttling.isEveryServer = false;
            continue;
        }
        throttling.nextSendAt = std::min(throttling.nextSendAt, at);
        throttling.rate += std::max(m_limits.evenShare(server.hash), m_coldLimits.evenShare(now, server.hash));
        throttling.isBackingOff |= isBackingOff(server, now);
    }
    return throttling.nextSendAt == TimePoint::max() ? std::nullopt : std::optional(throttling);
}

std::optional<RequestRate> LoadBalancer::limitOf(const ServerIncarnation& incarnation) const
{
    return m_limits.isEmpty() ? std::nullopt : m_limits.limitOf(hashOf(incarnation));
}

void LoadBalancer::onReplaced(const ServerIncarnation& incarnation)
{
    auto it = m_servers.find(incarnation);
    if (it != m_servers.end())
        it->second.isReplaced = true;
}

const Snapshot::DegradedReport* LoadBalancer::currentDegradedReport(const Server& server, TimePoint now)
{
    bool counts = server.degradedReport && server.degradedReport->reportedAt + degradedReportLifetime > now;
    return counts ? &*server.degradedReport : nullptr;
}

/// A slow rank must get less load. If one engine slows to a third of its speed, every step of its group takes as long
/// as the steps of that engine, and more load on the engine makes them longer still.
bool LoadBalancer::isSlow(const Server& server, TimePoint now)
{
    auto* report = currentDegradedReport(server, now);
    return report && report->pace >= slowPace;
}

bool LoadBalancer::isUsable(const Server& server)
{
    return server.server.state == ServerState::Ready && !server.isReplaced && !server.isLeaving;
}

bool LoadBalancer::mayReceiveRequests(const Server& server, TimePoint now) const
{
    // When a rank is lost, its whole group rejects requests until the group has re-formed.
    auto* report = currentDegradedReport(server, now);
    bool isClosed = report && !report->isOpen;
    bool isTurningAway = server.rejectingUntil > now;
    return isUsable(server) && !isClosed && !isTurningAway;
}

bool LoadBalancer::isCandidate(const Server& server, const ServerFilter& filter)
{
    auto isIn = [&](std::span<const ServerIncarnation> incarnations) { return std::find(incarnations.begin(), incarnations.end(), server.server.incarnation()) != incarnations.end(); };
    return server.server.service == filter.service && filter.homes.allows(server.regionBit) && (!filter.allowed || isIn(*filter.allowed));
}

bool LoadBalancer::isBackingOff(const Server& server, TimePoint now) const
{
    return !m_backOffs.isEmpty() && m_backOffs.endOf(server.hash, now);
}

TimePoint LoadBalancer::nextSendTime(const Server& server, TimePoint now) const
{
    auto at = m_limits.isEmpty() ? now : m_limits.nextSendTime(now, server.hash);
    at = std::max(at, m_coldLimits.nextSendTime(now, server.hash));
    return m_backOffs.isEmpty() ? at : std::max(at, m_backOffs.endOf(server.hash, now).value_or(now));
}

bool LoadBalancer::hasCapacity(const Server& server, const Load& load, TimePoint now) const
{
    return nextSendTime(server, now) <= now && load.running + (server.remoteLoad ? server.remoteLoad->running : 0) < server.server.slots;
}

std::optional<BackendServer> LoadBalancer::choose(const ServerFilter& filter, TimePoint now, policy::Generator& generator) const
{
    const Server* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    auto isExcluded = [&](const ServerIncarnation& incarnation) { return std::find(filter.excluded.begin(), filter.excluded.end(), incarnation) != filter.excluded.end(); };
    // Random tie-break between equal loads: otherwise all entries that see the same idle server would select it.
    boost::random::uniform_real_distribution<double> tieBreak(0, 1);
    for (auto& [incarnation, server] : m_servers) {
        if (!isCandidate(server, filter) || !mayReceiveRequests(server, now) || isExcluded(incarnation))
            continue;
        auto load = totalLoad(server, now);
        if (!hasCapacity(server, load, now))
            continue;
        double cost = costOf(server, load, now) + tieBreak(generator);
        if (filter.prefersIdle)
            cost += load.running * costPerRunningRequest;
        if (cost < bestCost) {
            bestCost = cost;
            best = &server;
        }
    }
    return best ? std::optional(best->server) : std::nullopt;
}

const BackendServer* LoadBalancer::find(const ServerIncarnation& incarnation) const
{
    auto it = m_servers.find(incarnation);
    return it == m_servers.end() ? nullptr : &it->second.server;
}

bool LoadBalancer::isReady(const ServerIncarnation& incarnation) const
{
    auto it = m_servers.find(incarnation);
    return it != m_servers.end() && it->second.server.state == ServerState::Ready && !it->second.isLeaving;
}

std::optional<TimePoint> LoadBalancer::listedAt(const ServerIncarnation& incarnation) const
{
    auto it = m_servers.find(incarnation);
    return it == m_servers.end() ? std::nullopt : std::optional(it->second.listedAt);
}

bool LoadBalancer::isPlainServer(const ServerIncarnation& incarnation) const
{
    auto it = m_servers.find(incarnation);
    return it != m_servers.end() && !it->second.isRank;
}

bool LoadBalancer::hasServer(const ServerFilter& filter) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](auto& it) { return isCandidate(it.second, filter) && isUsable(it.second); });
}

bool LoadBalancer::isForming(const ServiceName& service, TimePoint now, const HomeSet& homes) const
{
    ServerFilter filter { service, {}, std::nullopt, homes };
    auto mayServe = [&](auto& it) { return isCandidate(it.second, filter) && mayReceiveRequests(it.second, now); };
    return hasServer(filter) && std::none_of(m_servers.begin(), m_servers.end(), mayServe);
}

double LoadBalancer::occupancy(const ServiceName& service, TimePoint now) const
{
    double running = 0;
    double slotCount = 0;
    for (auto& [incarnation, server] : m_servers) {
        if (server.server.service != service || !mayReceiveRequests(server, now))
            continue;
        running += totalLoad(server, now).running;
        slotCount += server.server.slots;
    }
    return slotCount > 0 ? running / slotCount : 1;
}

admission::FreeSlots LoadBalancer::freeSlots(const ServiceName& service, TimePoint now) const
{
    admission::FreeSlots free;
    for (auto& [incarnation, server] : m_servers) {
        if (server.server.service != service || !mayReceiveRequests(server, now))
            continue;
        auto load = totalLoad(server, now);
        if (!hasCapacity(server, load, now))
            continue;
        bool isLimited = (!m_limits.isEmpty() && m_limits.limitOf(server.hash)) || m_coldLimits.isCold(now, server.hash);
        free.hasOwnShare |= isLimited;
        if (!isLimited)
            free.shared += server.server.slots - load.running - (server.remoteLoad ? server.remoteLoad->running : 0);
    }
    return free;
}

capacity::ServiceUse LoadBalancer::useOf(const ServiceName& service, TimePoint now) const
{
    capacity::ServiceUse use;
    for (auto& [incarnation, server] : m_servers) {
        if (server.server.service != service || !mayReceiveRequests(server, now))
            continue;
        use.running += totalLoad(server, now).running + (server.remoteLoad ? server.remoteLoad->running : 0);
        use.slots += server.server.slots;
    }
    return use;
}

std::uint32_t LoadBalancer::runningRequests(const ServerIncarnation& incarnation, TimePoint now) const
{
    auto it = m_servers.find(incarnation);
    return it == m_servers.end() ? 0 : totalLoad(it->second, now).running;
}

std::set<DataCentreName> LoadBalancer::dataCentresUsed() const
{
    std::set<DataCentreName> used;
    for (auto& [incarnation, server] : m_servers) {
        if (server.ownLoad.running > 0)
            used.insert(server.server.dataCentre);
    }
    return used;
}

std::vector<ServiceLoad> LoadBalancer::localLoads(TimePoint now) const
{
    struct Sum {
        double servers { 0 };
        double running { 0 };
        double promptTokens { 0 };
    };
    std::map<ServiceName, Sum> sums;
    for (auto& [incarnation, server] : m_servers) {
        // Servers that advertise a limit or request a back-off are left out: they have little load because they accept
        // few requests, not because they have free capacity.
        bool isAvailable = mayReceiveRequests(server, now) && !m_limits.limitOf(server.hash) && !isBackingOff(server, now);
        if (server.isRemote || !isAvailable)
            continue;
        auto load = totalLoad(server, now);
        auto& sum = sums[server.server.service];
        sum.servers += 1;
        sum.running += load.running;
        sum.promptTokens += static_cast<double>(load.promptTokens);
    }
    std::vector<ServiceLoad> loads;
    loads.reserve(sums.size());
    for (auto& [service, sum] : sums)
        loads.push_back({ service, sum.running / sum.servers, sum.promptTokens / sum.servers });
    return loads;
}

std::vector<ServerLoad> LoadBalancer::ownLoads() const
{
    std::vector<ServerLoad> loads;
    for (auto& [incarnation, server] : m_servers) {
        if (server.ownLoad.running > 0)
            loads.push_back({ server.hash, static_cast<std::uint16_t>(server.ownLoad.running), Tokens(server.ownLoad.promptTokens) });
    }
    return loads;
}

} // namespace swiftloft::gateway
