#include <swiftloft/settings/tree.h>

#include "src/settings/tree-data.h"

#include <fmt/format.h>

#include <algorithm>

namespace swiftloft::settings {

namespace {

/// Takes typed values off a search path; the tree was validated, so every key asked for has a value of its type.
class Values {
public:
    explicit Values(const internal::SearchPath& path)
        : m_path(path)
    {
    }

    template <typename T>
    const T& of(Key key) const { return std::get<T>(*m_path.find(key).value); }

    bool flag(Key key) const { return of<bool>(key); }
    std::int64_t count(Key key) const { return of<std::int64_t>(key); }
    std::uint32_t smallCount(Key key) const { return static_cast<std::uint32_t>(count(key)); }
    double number(Key key) const { return of<double>(key); }
    Ratio ratio(Key key) const { return Ratio(number(key)); }
    PerSecond rate(Key key) const { return PerSecond(number(key)); }
    Weight weight(Key key) const { return Weight(number(key)); }
    microseconds duration(Key key) const { return of<microseconds>(key); }
    Bytes bytes(Key key) const { return of<Bytes>(key); }
    const std::string& text(Key key) const { return of<std::string>(key); }

private:
    const internal::SearchPath& m_path;
};

Priority priorityFrom(std::string_view word)
{
    if (word == "low")
        return Priority::Low;
    return word == "high" ? Priority::High : Priority::Normal;
}

Objective objectiveFrom(const Values& values)
{
    Objective objective;
    objective.availability = values.ratio(Key::ObjectiveAvailability);
    objective.firstToken = values.duration(Key::ObjectiveFirstToken);
    objective.tokenGap = values.duration(Key::ObjectiveTokenGap);
    objective.answer = values.duration(Key::ObjectiveAnswer);
    return objective;
}

Error unknown(const NodeId& node)
{
    return { ErrorCode::NotFound, fmt::format("no [{}] in the settings, or it is a template", node.toString()) };
}

const internal::Node* findReal(const internal::TreeData& data, const NodeId& id)
{
    auto node = data.find(id);
    return node && !node->isTemplate() ? node : nullptr;
}

} // namespace

bool ServiceSettings::isRepeatable(std::string_view method) const
{
    return std::find(repeatableMethods.begin(), repeatableMethods.end(), method) != repeatableMethods.end();
}

Result<ServiceSettings> Tree::service(const ServiceName& name) const
{
    auto node = findReal(*m_data, NodeId::of(name));
    if (!node)
        return unknown(NodeId::of(name));
    auto path = internal::SearchPath::of(*m_data, *node);
    Values values(path);
    ServiceSettings settings;
    settings.name = name;
    settings.kind = values.text(Key::Kind) == "model" ? ServiceKind::Model : ServiceKind::Plain;
    settings.repeatableMethods = values.of<Methods>(Key::RepeatableMethods);
    settings.requestDeadline = values.duration(Key::RequestDeadline);
    settings.retryBudgetRatio = values.ratio(Key::RetryBudgetRatio);
    settings.retryBackoffBase = values.duration(Key::RetryBackoffBase);
    settings.retryBackoffMax = values.duration(Key::RetryBackoffMax);
    settings.maxConcurrentPerBackendServer = values.count(Key::MaxConcurrentPerBackendServer);
    settings.queueLimit = values.count(Key::QueueLimit);
    settings.resumeBuffer = values.bytes(Key::ResumeBuffer);
    settings.entriesKeepTime = values.duration(Key::EntriesKeepTime);
    settings.prefixAffinityWeight = values.weight(Key::PrefixAffinityWeight);
    settings.spillThreshold = values.ratio(Key::SpillThreshold);
    settings.crashQuarantine = values.duration(Key::CrashQuarantine);
    settings.loadReportMaxAge = values.duration(Key::LoadReportMaxAge);
    settings.objective = objectiveFrom(values);
    return settings;
}

Result<OrganisationSettings> Tree::organisation(const OrganisationName& name, const ServiceName& service) const
{
    auto node = findReal(*m_data, NodeId::of(name));
    if (!node)
        return unknown(NodeId::of(name));
    auto serviceNode = findReal(*m_data, NodeId::of(service));
    if (!serviceNode)
        return unknown(NodeId::of(service));
    auto path = internal::SearchPath::of(*m_data, *node, serviceNode);
    Values values(path);
    OrganisationSettings settings;
    settings.name = name;
    settings.service = service;
    settings.requestsPerSecond = values.rate(Key::RequestsPerSecond);
    settings.tokensPerSecond = values.rate(Key::TokensPerSecond);
    settings.burst = values.duration(Key::Burst);
    settings.maxInFlight = values.count(Key::MaxInFlight);
    settings.weight = values.weight(Key::Weight);
    settings.priority = priorityFrom(values.text(Key::Priority));
    settings.requiresKey = values.flag(Key::RequiresKey);
    if (auto digest = node->find(Key::KeyDigest))
        settings.keyDigest = std::get<std::string>(digest->value);
    return settings;
}

Result<GroupSettings> Tree::group(const EngineGroupName& name) const
{
    auto node = findReal(*m_data, NodeId::of(name));
    if (!node)
        return unknown(NodeId::of(name));
    auto path = internal::SearchPath::of(*m_data, *node);
    Values values(path);
    GroupSettings settings;
    settings.name = name;
    settings.service = ServiceName(path.service()->id.name);
    settings.dataCentre = DataCentreName(values.text(Key::DataCentre));
    settings.ranks = values.smallCount(Key::Ranks);
    settings.experts = values.smallCount(Key::Experts);
    settings.layers = values.smallCount(Key::Layers);
    settings.spareSlotsPerRank = values.smallCount(Key::SpareSlotsPerRank);
    settings.skewWeight = values.weight(Key::SkewWeight);
    settings.rebalanceWeight = values.weight(Key::RebalanceWeight);
    settings.quietHours = values.of<QuietHours>(Key::QuietHours);
    settings.moveBytesPerMinute = values.bytes(Key::MoveBytesPerMinute);
    settings.loadHalfLife = values.duration(Key::LoadHalfLife);
    settings.planningHorizonSteps = values.count(Key::PlanningHorizonSteps);
    settings.minimumGain = values.ratio(Key::MinimumGain);
    settings.stragglerThreshold = values.number(Key::StragglerThreshold);
    settings.checksFencing = values.flag(Key::ChecksFencing);
    settings.checksOrderKey = values.flag(Key::ChecksOrderKey);
    return settings;
}

Result<DataCentreSettings> Tree::dataCentre(const DataCentreName& name) const
{
    auto node = findReal(*m_data, NodeId::of(name));
    if (!node)
        return unknown(NodeId::of(name));
    auto path = internal::SearchPath::of(*m_data, *node);
    Values values(path);
    DataCentreSettings settings;
    settings.name = name;
    settings.region = RegionName(values.text(Key::Region));
    settings.heartbeatInterval = values.duration(Key::HeartbeatInterval);
    settings.heartbeatTimeout = values.duration(Key::HeartbeatTimeout);
    settings.drainTime = values.duration(Key::DrainTime);
    settings.gossipInterval = values.duration(Key::GossipInterval);
    settings.watchersPerDataCentre = values.smallCount(Key::WatchersPerDataCentre);
    return settings;
}

SystemSettings Tree::system() const
{
    auto path = internal::SearchPath::of(*m_data, m_data->nodes[internal::defaultsIndex]);
    return { Values(path).rate(Key::PollBudget) };
}

} // namespace swiftloft::settings
