#include <swiftloft/policy/router.h>

#include "src/policy/server-table.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <utility>

namespace swiftloft::policy {

using internal::Server;
using internal::ServerTable;
using internal::Tier;
using internal::tierCount;

namespace {

constexpr double microsecondsPerSecond = 1e6;

struct Candidate {
    std::uint32_t slot { 0 };
    /// Expected times in microseconds.
    double wait { 0 };
    double firstByte { 0 };
    std::size_t cachedBlocks { 0 };
};

Tokens uncachedPrompt(const RouteRequest& request, std::size_t cachedBlocks)
{
    if (!cachedBlocks)
        return request.promptTokens;
    // The last, partial block of the prompt has no hash of its own; its tokens are spread over the whole blocks. The
    // error is at most one block.
    auto blocks = static_cast<std::int64_t>(request.prefix.size());
    auto missing = blocks - std::min<std::int64_t>(blocks, static_cast<std::int64_t>(cachedBlocks));
    return Tokens(request.promptTokens.value() * missing / blocks);
}

Tokens chargedBy(const RouteChoice& choice)
{
    return choice.chargedPrompt + choice.chargedOutput;
}

void adjustOwnInFlight(Server& server, Tokens change, TimePoint now)
{
    server.ownInFlight += change;
    server.recentChanges.add(now, change);
}

bool wasTried(const RouteRequest& request, ServerHandle server)
{
    return std::find(request.triedServers.begin(), request.triedServers.end(), server) != request.triedServers.end();
}

} // namespace

std::string_view toString(RouteReason reason)
{
    switch (reason) {
    case RouteReason::LeastWait:
        return "least-wait";
    case RouteReason::PrefixCached:
        return "prefix-cached";
    case RouteReason::Spilled:
        return "spilled";
    case RouteReason::Probe:
        return "probe";
    }
    return "unknown";
}

std::string_view toString(ServerState state)
{
    switch (state) {
    case ServerState::Active:
        return "active";
    case ServerState::Ejected:
        return "ejected";
    case ServerState::Leaving:
        return "leaving";
    }
    return "unknown";
}

class Router::State {
public:
    State(RouterOptions settings, PrefixIndex index)
        : options(std::move(settings))
        , prefixes(std::move(index))
    {
    }

    Tier tierOf(const ServerDescription& description) const
    {
        if (description.dataCentre == options.dataCentre)
            return Tier::DataCentre;
        return description.region == options.region ? Tier::Region : Tier::Far;
    }

    Candidate estimate(std::uint32_t slot, std::size_t cachedBlocks, const RouteRequest& request, TimePoint now) const
    {
        auto& server = servers.slot(slot);
        auto pending = static_cast<double>(server.ownInFlight.value()) + std::max(0.0, server.othersInFlight);
        auto speed = server.tokensPerSecond > 0 ? server.tokensPerSecond : options.defaultTokensPerSecond;
        auto perToken = server.health.slowFactor(options.health, now) * microsecondsPerSecond / speed;
        auto wait = penalty(server.tier) + pending * perToken;
        auto prefill = static_cast<double>(uncachedPrompt(request, cachedBlocks).value()) * perToken;
        return { slot, wait, wait + prefill, cachedBlocks };
    }

    double penalty(Tier tier) const
    {
        switch (tier) {
        case Tier::DataCentre:
            return 0;
        case Tier::Region:
            return static_cast<double>(microseconds(options.regionPenalty).count());
        case Tier::Far:
            break;
        }
        return static_cast<double>(microseconds(options.farPenalty).count());
    }

    std::optional<Candidate> bestOf(Tier tier, const RouteRequest& request, TimePoint now, Generator& generator) const
    {
        auto& active = servers.active(tier);
        if (active.empty())
            return std::nullopt;
        boost::random::uniform_int_distribution<std::size_t> draw(0, active.size() - 1);
        bool comparesAll = active.size() <= options.fullScanLimit;
        auto n = comparesAll ? active.size() : options.sampleCount;
        // A random start spreads requests over equal servers.
        auto start = draw(generator);
        std::optional<Candidate> best;
        for (std::size_t i = 0; i < n; ++i) {
            auto slot = comparesAll ? active[(start + i) % active.size()] : active[draw(generator)];
            if (wasTried(request, servers.handleOf(slot)))
                continue;
            auto candidate = estimate(slot, 0, request, now);
            // Compared by first byte rather than by wait: an idle slow server has no wait but a long prefill.
            if (!best || candidate.firstByte < best->firstByte)
                best = candidate;
        }
        return best;
    }

    std::optional<Candidate> bestOfAllTiers(const RouteRequest& request, TimePoint now, Generator& generator) const
    {
        auto spillThreshold = static_cast<double>(microseconds(options.spillThreshold).count());
        std::optional<Candidate> best;
        for (std::size_t i = 0; i < tierCount; ++i) {
            auto candidate = bestOf(static_cast<Tier>(i), request, now, generator);
            if (candidate && (!best || candidate->firstByte < best->firstByte))
                best = candidate;
            if (best && best->wait <= spillThreshold)
                break;
        }
        return best;
    }

    std::optional<Candidate> bestHolder(const RouteRequest& request, TimePoint now) const
    {
        PrefixIndex::Holders holders;
        auto n = prefixes.find(request.prefix, now, holders);
        std::optional<Candidate> best;
        for (std::size_t i = 0; i < n; ++i) {
            auto* server = servers.at(holders[i].server);
            if (!server || server->state != ServerState::Active || wasTried(request, holders[i].server))
                continue;
            auto candidate = estimate(holders[i].server.slot, holders[i].blocks, request, now);
            if (!best || candidate.firstByte < best->firstByte)
                best = candidate;
        }
        return best;
    }

    RouteChoice choiceOf(const Candidate& candidate, RouteReason reason, const RouteRequest& request) const
    {
        RouteChoice choice;
        choice.server = servers.handleOf(candidate.slot);
        choice.reason = reason;
        choice.chargedPrompt = uncachedPrompt(request, candidate.cachedBlocks);
        choice.chargedOutput = request.expectedOutput;
        choice.expectedFirstByte = microseconds(static_cast<std::int64_t>(candidate.firstByte));
        choice.cachedBlocks = candidate.cachedBlocks;
        return choice;
    }

    /// Guards against a hot spot: a prefix shared by most requests would send all of them to its first holder, whose
    /// queue would grow while other servers are idle. The holder is selected only while its first-byte time is close to
    /// that of the best server. The server selected instead becomes a holder too, so the prefix spreads over as many
    /// servers as its traffic needs.
    bool isAffinityWorthwhile(const Candidate& holder, const Candidate& best) const
    {
        auto saved = best.firstByte - best.wait - (holder.firstByte - holder.wait);
        return holder.firstByte <= options.affinityFactor * best.firstByte + options.savingsWeight * std::max(0.0, saved);
    }

    RouterOptions options;
    ServerTable servers;
    PrefixIndex prefixes;
    ServiceBaseline baseline;
};

Router::Router(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
Router::~Router() = default;

Result<Router> Router::create(RouterOptions options)
{
    if (!options.sampleCount || !(options.defaultTokensPerSecond > 0))
        return Error { ErrorCode::InvalidArgument, "router: sample count and default throughput must be positive" };
    if (!(options.affinityFactor >= 0) || !(options.savingsWeight >= 0) || !(options.reportWeight > 0 && options.reportWeight <= 1) || !(options.minActiveShare >= 0 && options.minActiveShare <= 1))
        return Error { ErrorCode::InvalidArgument, "router: affinity factor and savings weight must not be negative, report weight must be in (0, 1], minimum active share must be 0 to 1" };
    auto prefixes = PrefixIndex::create(options.prefixes);
    if (!prefixes)
        return prefixes.error();
    return Router(std::make_unique<State>(std::move(options), std::move(*prefixes)));
}

ServerHandle Router::add(const ServerDescription& description)
{
    return m_state->servers.add(description, m_state->tierOf(description));
}

void Router::remove(ServerHandle server)
{
    m_state->prefixes.invalidate(server);
    m_state->servers.remove(server);
}

void Router::markLeaving(ServerHandle server)
{
    m_state->servers.markLeaving(server);
}

std::optional<ServerHandle> Router::find(const BackendServerId& id) const
{
    return m_state->servers.find(id);
}

const BackendServerId* Router::idOf(ServerHandle server) const
{
    auto* found = m_state->servers.at(server);
    return found ? &found->id : nullptr;
}

std::size_t Router::size() const
{
    return m_state->servers.size();
}

std::optional<RouteChoice> Router::choose(const RouteRequest& request, TimePoint now, Generator& generator) const
{
    auto due = m_state->servers.dueForProbe(now);
    // Only a repeatable request may be sent to a server that failed before.
    if (due && request.isRepeatable && !wasTried(request, m_state->servers.handleOf(*due)))
        return m_state->choiceOf(m_state->estimate(*due, 0, request, now), RouteReason::Probe, request);
    auto best = m_state->bestOfAllTiers(request, now, generator);
    auto holder = m_state->bestHolder(request, now);
    if (holder && (!best || m_state->isAffinityWorthwhile(*holder, *best)))
        return m_state->choiceOf(*holder, RouteReason::PrefixCached, request);
    if (!best)
        return std::nullopt;
    bool isLocal = m_state->servers.slot(best->slot).tier == Tier::DataCentre;
    return m_state->choiceOf(*best, isLocal ? RouteReason::LeastWait : RouteReason::Spilled, request);
}

void Router::onStart(const RouteChoice& choice, const RouteRequest& request, TimePoint now)
{
    auto* server = m_state->servers.at(choice.server);
    if (!server)
        return;
    adjustOwnInFlight(*server, chargedBy(choice), now);
    if (choice.reason == RouteReason::Probe)
        m_state->servers.suspendProbe(choice.server.slot);
    m_state->prefixes.insert(request.prefix, choice.server, now);
}

void Router::onFirstByte(RouteChoice& choice, microseconds observed, TimePoint now)
{
    auto prompt = std::exchange(choice.chargedPrompt, Tokens(0));
    auto* server = m_state->servers.at(choice.server);
    if (!server)
        return;
    adjustOwnInFlight(*server, Tokens(0) - prompt, now);
    server->health.onFirstByte(choice.expectedFirstByte, observed, m_state->baseline, m_state->options.health, now);
}

void Router::onTokenGap(ServerHandle server, microseconds gap, TimePoint now)
{
    if (auto* found = m_state->servers.at(server))
        found->health.onTokenGap(gap, m_state->baseline, m_state->options.health, now);
}

void Router::onFinish(const RouteChoice& choice, TimePoint now)
{
    auto* server = m_state->servers.at(choice.server);
    if (!server)
        return;
    adjustOwnInFlight(*server, Tokens(0) - chargedBy(choice), now);
    server->health.onSuccess(m_state->options.health, now);
    m_state->servers.activate(choice.server);
}

void Router::onFailure(const RouteChoice& choice, FailureKind kind, TimePoint now)
{
    auto* server = m_state->servers.at(choice.server);
    if (!server)
        return;
    adjustOwnInFlight(*server, Tokens(0) - chargedBy(choice), now);
    if (kind == FailureKind::Crashed)
        m_state->prefixes.invalidate(choice.server);
    auto wasProbed = server->isBeingProbed;
    if (kind == FailureKind::Refused) {
        // An agent that refuses for lack of capacity is alive, so a server that was being probed becomes active again.
        m_state->servers.activate(choice.server);
        return;
    }
    bool isEjectionDue = server->health.onFailure(kind, m_state->options.health, now);
    // When most servers fail, the cause is rarely the servers, and the remaining ones would be overloaded; it is better
    // to keep using the failing ones.
    auto left = static_cast<double>(m_state->servers.activeCount()) - (server->state == ServerState::Active ? 1 : 0);
    bool leavesEnough = left >= m_state->options.minActiveShare * static_cast<double>(m_state->servers.size());
    if (wasProbed || (isEjectionDue && leavesEnough))
        m_state->servers.eject(choice.server);
}

void Router::onReport(ServerHandle server, const LoadReport& report)
{
    auto* found = m_state->servers.at(server);
    // Reports may arrive late and out of order; an older report must not replace a newer one.
    if (!found || report.sampledAt < found->sampledAt)
        return;
    found->sampledAt = report.sampledAt;
    auto ownAtSample = found->ownInFlight - found->recentChanges.sumAfter(report.sampledAt);
    auto others = static_cast<double>(std::max(Tokens(0), report.pending - std::max(Tokens(0), ownAtSample)).value());
    found->othersInFlight = found->othersInFlight < 0 ? others : found->othersInFlight + m_state->options.reportWeight * (others - found->othersInFlight);
    if (report.tokensPerSecond > 0)
        found->tokensPerSecond = report.tokensPerSecond;
}

void Router::onCacheEvicted(ServerHandle server, BlockHash block)
{
    m_state->prefixes.evict(block, server);
}

void Router::onCacheLost(ServerHandle server)
{
    m_state->prefixes.invalidate(server);
}

std::vector<RouteExplanation> Router::explain(const RouteRequest& request, TimePoint now) const
{
    PrefixIndex::Holders holders;
    auto n = m_state->prefixes.find(request.prefix, now, holders);
    std::vector<RouteExplanation> rows;
    for (std::uint32_t slot = 0; slot < m_state->servers.slots(); ++slot) {
        auto& server = m_state->servers.slot(slot);
        if (!server.isUsed)
            continue;
        auto holder = std::find_if(holders.begin(), holders.begin() + n, [&](auto& it) { return it.server == m_state->servers.handleOf(slot); });
        auto candidate = m_state->estimate(slot, holder == holders.begin() + n ? 0 : holder->blocks, request, now);
        rows.push_back({ server.id, server.state, microseconds(static_cast<std::int64_t>(candidate.wait)),
            microseconds(static_cast<std::int64_t>(candidate.firstByte)), candidate.cachedBlocks,
            server.health.slowFactor(m_state->options.health, now), server.ownInFlight, server.tier == Tier::DataCentre });
    }
    std::sort(rows.begin(), rows.end(), [](auto& a, auto& b) { return std::tie(a.state, a.expectedFirstByte, a.id) < std::tie(b.state, b.expectedFirstByte, b.id); });
    return rows;
}

} // namespace swiftloft::policy
