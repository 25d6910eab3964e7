#include "src/gateway/load-board.h"

#include "src/log/logger.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <limits>
#include <utility>

namespace swiftloft::gateway {

namespace {

/// A server that failed of late is taken only when all others have this much more to do.
constexpr double avoidedCost = 1e6;
/// A slow rank comes behind all others with room, and before those that failed. Each request there adds its slow share to
/// every step of the group: the streams of all ranks would pause for longer than their callers bear.
constexpr double slowCost = 5e5;
/// Servers of other data centres come behind all of the own one that have room, where it is not told what runs there: only at
/// the near ones is it known who has room, and full servers turn requests away.
constexpr double farCost = 1e5;
/// Where the average of another data centre is told, its servers count as having that, and half a request more: what is
/// known of single servers is worth that much. Without a word of each other's load, clients of the data centre that has the
/// most of them for each server are served late while other data centres have room.
constexpr double farMargin = 0.5;
/// Prompt tokens that weigh as much as one more request that writes, where the engine's traits say nothing.
constexpr double defaultTokensPerRequest = 100;
/// A running request adds to each step until it ends; a prompt is read once. So the step times of a request count for
/// about this many steps when both are weighed as time that later arrivals wait.
constexpr double stepsThatCount = 30;

/// What was said last of each closed or slow rank, by its agent or by another entry.
std::map<Endpoint, Snapshot::DegradedElsewhere> degradedOf(const Snapshot& snapshot)
{
    std::map<Endpoint, Snapshot::DegradedElsewhere> degraded;
    for (auto& rank : snapshot.ranks) {
        if (!rank.news.isOpen || rank.news.pace >= slowPace)
            degraded[rank.news.address] = { rank.news.address, rank.heardAt, rank.news.isOpen, rank.news.pace };
    }
    for (auto& rank : snapshot.degradedElsewhere) {
        auto it = degraded.try_emplace(rank.address, rank).first;
        if (it->second.heardAt < rank.heardAt)
            it->second = rank;
    }
    return degraded;
}

} // namespace

void LoadBoard::setServers(TimePoint now, const Snapshot& snapshot)
{
    m_limits.setFleet(now, snapshot);
    m_rests.forgetEnded(now);
    m_rests.setEntry(snapshot.self.control);
    std::map<ServerLife, Server> servers;
    auto degraded = degradedOf(snapshot);
    for (auto& listed : snapshot.servers) {
        auto it = m_servers.find(listed.life());
        Server server = it == m_servers.end() ? Server {} : it->second;
        server.server = listed;
        server.hash = hashOf(listed.life());
        auto isDegraded = degraded.find(listed.address);
        server.degraded = isDegraded == degraded.end() ? std::nullopt : std::optional(isDegraded->second);
        auto* service = snapshot.configuration ? snapshot.configuration->findService(listed.service) : nullptr;
        server.isFar = snapshot.sharesLoadNearby && listed.dataCentre != snapshot.dataCentre;
        auto told = std::find_if(snapshot.farLoads.begin(), snapshot.farLoads.end(), [&](auto& it) { return it.dataCentre == listed.dataCentre && it.load.service == listed.service; });
        server.told = server.isFar && told != snapshot.farLoads.end() ? std::optional(told->load) : std::nullopt;
        server.isEngine = service && service->engine;
        if (server.isEngine) {
            auto& traits = *service->engine;
            server.isRank = traits.layers > 0;
            double tokensPerMs = traits.promptTokensPerSecond / 1000;
            server.tokensPerRequest = tokensPerMs > 0 ? stepsThatCount * traits.stepMsPerRequest * tokensPerMs : defaultTokensPerRequest;
        }
        servers.emplace(listed.life(), std::move(server));
    }
    m_servers = std::move(servers);
}

void LoadBoard::onLoadNews(TimePoint now, const LoadUpdate& news)
{
    m_peerLoads.onNews(now, news);
    for (auto& word : news.limits) {
        if (m_limits.onTold(now, word))
            logLimit(word.server, "entry");
    }
    for (auto& silent : news.silent) {
        auto it = std::find_if(m_servers.begin(), m_servers.end(), [&](auto& known) { return known.second.hash == silent.server; });
        if (it != m_servers.end())
            it->second.avoidedUntil = std::max(it->second.avoidedUntil, now + std::min(silent.remaining, stalledFor));
    }
}

void LoadBoard::onStart(TimePoint now, const ServerLife& life, const WorkSize& work)
{
    auto it = m_servers.find(life);
    if (it == m_servers.end())
        return;
    m_limits.onSend(now, it->second.hash);
    ++it->second.own.running;
    it->second.own.promptTokens += work.promptTokens.value();
}

void LoadBoard::onAnswerBegan(const ServerLife& life, const WorkSize& work)
{
    auto it = m_servers.find(life);
    if (it != m_servers.end())
        it->second.own.promptTokens -= std::min(it->second.own.promptTokens, work.promptTokens.value());
}

void LoadBoard::onEnd(const ServerLife& life, const WorkSize& work, bool hasBegun)
{
    auto it = m_servers.find(life);
    if (it == m_servers.end())
        return;
    if (it->second.own.running > 0)
        --it->second.own.running;
    if (!hasBegun)
        onAnswerBegan(life, work);
}

void LoadBoard::onFailure(TimePoint now, const ServerLife& life)
{
    auto it = m_servers.find(life);
    if (it == m_servers.end())
        return;
    auto& server = it->second;
    auto avoided = std::min(avoidedFor * (1 << std::min(server.failures, 8U)), avoidedForAtMost);
    server.avoidedUntil = now + avoided;
    ++server.failures;
}

void LoadBoard::onSuccess(const ServerLife& life)
{
    auto it = m_servers.find(life);
    if (it != m_servers.end())
        it->second.failures = 0;
}

void LoadBoard::onHeard(TimePoint now, const ServerLife& life)
{
    auto it = m_servers.find(life);
    if (it != m_servers.end())
        it->second.heardAt = now;
}

void LoadBoard::onStalled(TimePoint now, const ServerLife& life)
{
    auto it = m_servers.find(life);
    if (it == m_servers.end())
        return;
    auto& server = it->second;
    if (server.stalledUntil <= now)
        log::write(log::Event::ServerStalled, "server={} silent-ms={}", life.id.value(), std::chrono::duration_cast<milliseconds>(now - server.heardAt).count());
    server.stalledUntil = now + stalledFor;
    server.avoidedUntil = std::max(server.avoidedUntil, server.stalledUntil);
}

TimePoint LoadBoard::heardAt(const ServerLife& life) const
{
    auto it = m_servers.find(life);
    return it == m_servers.end() ? TimePoint {} : it->second.heardAt;
}

bool LoadBoard::isSuspect(const ServerLife& life, TimePoint now) const
{
    auto it = m_servers.find(life);
    return it != m_servers.end() && it->second.avoidedUntil > now;
}

bool LoadBoard::doOthersGoOn(const ServiceName& service, const ServerLife& life, TimePoint now) const
{
    auto goesOn = [&](auto& it) {
        auto& server = it.second;
        bool isIdle = !server.isRank && server.own.running == 0 && mayGetWork(server, now) && !isResting(server, now) && server.avoidedUntil <= now;
        return it.first != life && server.server.service == service && (isIdle || server.heardAt + heardWithin > now);
    };
    return std::any_of(m_servers.begin(), m_servers.end(), goesOn);
}

bool LoadBoard::hasRoomBeside(const ServiceName& service, const ServerLife& life, TimePoint now) const
{
    auto mayTake = [&](auto& it) {
        auto& server = it.second;
        bool isCandidate = it.first != life && server.server.service == service && mayGetWork(server, now) && server.avoidedUntil <= now;
        return isCandidate && hasRoom(server, totalLoad(server, now), now);
    };
    return std::any_of(m_servers.begin(), m_servers.end(), mayTake);
}

std::vector<SilentServer> LoadBoard::silentServers(TimePoint now) const
{
    std::vector<SilentServer> silent;
    for (auto& [life, server] : m_servers) {
        if (server.stalledUntil > now)
            silent.push_back({ server.hash, std::chrono::duration_cast<milliseconds>(server.stalledUntil - now) });
    }
    return silent;
}

Load LoadBoard::totalLoad(const Server& server, TimePoint now) const
{
    auto load = m_peerLoads.at(now, server.hash);
    load.running += server.own.running;
    load.promptTokens += server.own.promptTokens;
    return load;
}

double LoadBoard::costOf(const Server& server, const Load& load, TimePoint now) const
{
    double running = load.running;
    auto promptTokens = static_cast<double>(load.promptTokens);
    if (server.told) {
        running += server.told->running + farMargin;
        promptTokens += server.told->promptTokens;
    }
    double cost = server.isEngine ? promptTokens + server.tokensPerRequest * running : running;
    if (server.isFar && !server.told)
        cost += farCost;
    if (isSlow(server, now))
        cost += slowCost;
    return server.avoidedUntil > now ? cost + avoidedCost : cost;
}

/// Failure: right after a loss of power the engines are listed before their groups have formed, and their agents have not
/// spoken yet. Each request was turned away by four engines within some milliseconds, and refused; clients return only
/// once. Left out, they count as forming, and requests wait for them.
bool LoadBoard::onTurnedAway(TimePoint now, const ServerLife& life)
{
    auto it = m_servers.find(life);
    if (it == m_servers.end() || !it->second.isRank || isResting(it->second, now))
        return false;
    it->second.turnedAwayUntil = now + turnedAwayFor;
    return true;
}

void LoadBoard::onLimitHeard(TimePoint now, const ServerLife& life, TimePoint sentAt, const std::optional<NamedLimit>& limit)
{
    auto it = m_servers.find(life);
    if (it != m_servers.end() && m_limits.onAnswer(now, it->second.hash, sentAt, limit))
        logLimit(it->second.hash, "answer");
}

void LoadBoard::onRestAsked(TimePoint now, const ServerLife& life, const NamedRest& rest)
{
    auto hash = hashOf(life);
    if (m_rests.onAsked(now, hash, rest))
        log::write(log::Event::ServerRestAsked, "server={} rest-ms={}", life.id.value(), std::chrono::duration_cast<milliseconds>(m_rests.endOf(hash, now).value_or(now) - now).count());
}

std::optional<TimePoint> LoadBoard::restOf(const ServerLife& life, TimePoint now) const
{
    return m_rests.isEmpty() ? std::nullopt : m_rests.endOf(hashOf(life), now);
}

bool LoadBoard::onLeavingSaid(const ServerLife& life)
{
    auto it = m_servers.find(life);
    if (it == m_servers.end() || std::exchange(it->second.isLeaving, true))
        return false;
    log::write(log::Event::ServerSaysLeaving, "server={} listed={}", life.id.value(), it->second.server.state == ServerState::Ready ? "ready" : "draining");
    return true;
}

void LoadBoard::logLimit(ServerHash server, std::string_view source) const
{
    auto it = std::find_if(m_servers.begin(), m_servers.end(), [&](auto& known) { return known.second.hash == server; });
    if (it == m_servers.end())
        return;
    auto rate = m_limits.limitOf(server);
    log::write(log::Event::ServerLimitChanged, "server={} limit={} source={}", it->first.id.value(), rate ? fmt::format("{}", rate->value()) : "none", source);
}

std::optional<LoadBoard::LimitedRoom> LoadBoard::limitedRoom(const Choice& choice, TimePoint now) const
{
    if (m_limits.isEmpty() && m_rests.isEmpty())
        return std::nullopt;
    LimitedRoom room { true, TimePoint::max(), 0, false };
    for (auto& [life, server] : m_servers) {
        if (!isCandidate(server, choice) || !mayGetWork(server, now))
            continue;
        auto at = maySendAt(server, now);
        if (at <= now) {
            room.isAll = false;
            continue;
        }
        room.nextAt = std::min(room.nextAt, at);
        room.rate += m_limits.evenShareOf(server.hash);
        room.isResting |= isResting(server, now);
    }
    return room.nextAt == TimePoint::max() ? std::nullopt : std::optional(room);
}

std::optional<RequestRate> LoadBoard::limitOf(const ServerLife& life) const
{
    return m_limits.isEmpty() ? std::nullopt : m_limits.limitOf(hashOf(life));
}

void LoadBoard::onReplaced(const ServerLife& life)
{
    auto it = m_servers.find(life);
    if (it != m_servers.end())
        it->second.isReplaced = true;
}

const Snapshot::DegradedElsewhere* LoadBoard::degradedWord(const Server& server, TimePoint now)
{
    bool counts = server.degraded && server.degraded->heardAt + degradedFor > now;
    return counts ? &*server.degraded : nullptr;
}

/// Failure: one engine slows to a third of its speed, and every step of its group takes as long as its own. What it is given
/// on top makes the steps longer still.
bool LoadBoard::isSlow(const Server& server, TimePoint now)
{
    auto* word = degradedWord(server, now);
    return word && word->pace >= slowPace;
}

bool LoadBoard::isUsable(const Server& server)
{
    return server.server.state == ServerState::Ready && !server.isReplaced && !server.isLeaving;
}

bool LoadBoard::mayGetWork(const Server& server, TimePoint now) const
{
    // Failure: a rank is lost, and its whole group turns requests away until it has formed again.
    auto* word = degradedWord(server, now);
    bool isClosed = word && !word->isOpen;
    bool isTurningAway = server.turnedAwayUntil > now;
    return isUsable(server) && !isClosed && !isTurningAway;
}

bool LoadBoard::isCandidate(const Server& server, const Choice& choice)
{
    auto isIn = [&](std::span<const ServerLife> lives) { return std::find(lives.begin(), lives.end(), server.server.life()) != lives.end(); };
    return server.server.service == choice.service && (!choice.only || isIn(*choice.only));
}

bool LoadBoard::isResting(const Server& server, TimePoint now) const
{
    return !m_rests.isEmpty() && m_rests.endOf(server.hash, now);
}

TimePoint LoadBoard::maySendAt(const Server& server, TimePoint now) const
{
    auto at = m_limits.isEmpty() ? now : m_limits.maySendAt(now, server.hash);
    return m_rests.isEmpty() ? at : std::max(at, m_rests.endOf(server.hash, now).value_or(now));
}

bool LoadBoard::hasRoom(const Server& server, const Load& load, TimePoint now) const
{
    return maySendAt(server, now) <= now && load.running + (server.told ? server.told->running : 0) < server.server.slots;
}

std::optional<BackendServer> LoadBoard::choose(const Choice& choice, TimePoint now, policy::Generator& generator) const
{
    const Server* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    auto isExcluded = [&](const ServerLife& life) { return std::find(choice.excluded.begin(), choice.excluded.end(), life) != choice.excluded.end(); };
    // Equal loads are told apart at random: all entries that saw the same idle server would otherwise meet there.
    boost::random::uniform_real_distribution<double> tieBreak(0, 1);
    for (auto& [life, server] : m_servers) {
        if (!isCandidate(server, choice) || !mayGetWork(server, now) || isExcluded(life))
            continue;
        auto load = totalLoad(server, now);
        if (!hasRoom(server, load, now))
            continue;
        double cost = costOf(server, load, now) + tieBreak(generator);
        if (cost < bestCost) {
            bestCost = cost;
            best = &server;
        }
    }
    return best ? std::optional(best->server) : std::nullopt;
}

bool LoadBoard::hasServer(const Choice& choice) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](auto& it) { return isCandidate(it.second, choice) && isUsable(it.second); });
}

bool LoadBoard::isForming(const ServiceName& service, TimePoint now) const
{
    auto mayServe = [&](auto& it) { return it.second.server.service == service && mayGetWork(it.second, now); };
    return hasServer(service) && std::none_of(m_servers.begin(), m_servers.end(), mayServe);
}

double LoadBoard::occupancy(const ServiceName& service, TimePoint now) const
{
    double running = 0;
    double places = 0;
    for (auto& [life, server] : m_servers) {
        if (server.server.service != service || !mayGetWork(server, now))
            continue;
        running += totalLoad(server, now).running;
        places += server.server.slots;
    }
    return places > 0 ? running / places : 1;
}

std::uint32_t LoadBoard::running(const ServerLife& life, TimePoint now) const
{
    auto it = m_servers.find(life);
    return it == m_servers.end() ? 0 : totalLoad(it->second, now).running;
}

std::set<DataCentreName> LoadBoard::dataCentresUsed() const
{
    std::set<DataCentreName> used;
    for (auto& [life, server] : m_servers) {
        if (server.own.running > 0)
            used.insert(server.server.dataCentre);
    }
    return used;
}

std::vector<ServiceLoad> LoadBoard::loadsNearby(TimePoint now) const
{
    struct Sum {
        double servers { 0 };
        double running { 0 };
        double promptTokens { 0 };
    };
    std::map<ServiceName, Sum> sums;
    for (auto& [life, server] : m_servers) {
        // One that names a limit or asks for rest is idle for another reason than having room.
        bool hasRoomByLoad = mayGetWork(server, now) && !m_limits.limitOf(server.hash) && !isResting(server, now);
        if (server.isFar || !hasRoomByLoad)
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

std::vector<ServerLoad> LoadBoard::ownLoads() const
{
    std::vector<ServerLoad> loads;
    for (auto& [life, server] : m_servers) {
        if (server.own.running > 0)
            loads.push_back({ server.hash, static_cast<std::uint16_t>(server.own.running), Tokens(server.own.promptTokens) });
    }
    return loads;
}

} // namespace swiftloft::gateway
