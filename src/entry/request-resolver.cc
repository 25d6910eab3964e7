#include "src/entry/request-resolver.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace swiftloft::entry {

namespace {

bool isAuthorised(const settings::OrganisationSettings& organisation, const std::string& keyDigest)
{
    return !organisation.requiresKey || (organisation.keyDigest && *organisation.keyDigest == keyDigest);
}

Fingerprint fingerprintOf(const OrganisationName& organisation, std::uint64_t bodyHash)
{
    return Fingerprint(XXH3_64bits_withSeed(organisation.value().data(), organisation.value().size(), bodyHash));
}

Refusal refusal(RefusalReason reason)
{
    Refusal result;
    result.reason = reason;
    return result;
}

} // namespace

RequestResolver::RequestResolver(settings::Tree tree)
    : m_tree(std::move(tree))
{
}

std::shared_ptr<const settings::ServiceSettings> RequestResolver::service(const ServiceName& name)
{
    auto it = m_services.find(name);
    if (it != m_services.end())
        return it->second;
    auto found = m_tree.service(name);
    if (!found)
        return nullptr;
    return m_services.emplace(name, std::make_shared<settings::ServiceSettings>(*found)).first->second;
}

std::shared_ptr<const settings::OrganisationSettings> RequestResolver::organisation(const policy::TrafficKey& key)
{
    auto it = m_organisations.find(key);
    if (it != m_organisations.end())
        return it->second;
    auto found = m_tree.organisation(key.organisation, key.service);
    if (!found)
        return nullptr;
    return m_organisations.emplace(key, std::make_shared<settings::OrganisationSettings>(*found)).first->second;
}

boost::variant2::variant<ResolvedRequest, Refusal> RequestResolver::resolve(const RequestInfo& info, TimePoint now)
{
    ResolvedRequest request;
    request.service = service(info.service);
    if (!request.service)
        return refusal(RefusalReason::UnknownService);
    auto name = info.organisation;
    if (name.value().empty() && !info.keyDigest.empty())
        name = m_tree.organisationByKeyDigest(info.keyDigest).value_or(name);
    request.organisation = organisation({ info.service, name });
    if (!request.organisation)
        return refusal(RefusalReason::UnknownOrganisation);
    if (!isAuthorised(*request.organisation, info.keyDigest))
        return refusal(RefusalReason::NotAuthorised);
    request.isRepeatable = info.isRepeatable.value_or(request.service->isRepeatable(info.method));
    auto latest = now + std::chrono::duration_cast<Clock::duration>(request.service->requestDeadline);
    request.deadline = info.deadline.value_or(latest);
    request.fingerprint = fingerprintOf(name, info.bodyHash);
    return request;
}

membership::Topology RequestResolver::topology() const
{
    membership::Topology topology;
    for (auto& name : m_tree.dataCentres())
        topology.regions[name] = m_tree.dataCentre(name)->region;
    return topology;
}

microseconds RequestResolver::maxKeepTime() const
{
    microseconds longest { 0 };
    for (auto& name : m_tree.services())
        longest = std::max(longest, m_tree.service(name)->entriesKeepTime);
    return longest;
}

} // namespace swiftloft::entry
