#include "src/gateway/control-message.h"

#include "src/gateway/news.capnp.h"
#include "src/process/process-config.h"

#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>

namespace swiftloft::gateway {

namespace asio = boost::asio;

namespace {

/// Maximum size of an unpacked message, in words of 8 bytes. A few damaged bytes can claim any size.
constexpr std::uint64_t maxMessageWords = 1U << 16;
/// Limits of values that are accepted from a peer.
constexpr std::uint32_t maxRanks = 4096;
constexpr std::size_t maxKnownPeers = 0xffff;

std::string formatEndpoint(const Endpoint& endpoint)
{
    return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

/// Thrown inside this file on a field value that no correct sender writes.
struct MalformedField { };

Endpoint endpointFrom(capnp::Text::Reader text)
{
    auto endpoint = process::parseEndpoint(text.cStr());
    if (!endpoint)
        throw MalformedField {};
    return *endpoint;
}

/// Casts a count that is not negative to a field of a message; larger counts become the field's maximum.
template <typename Field, typename Number>
Field clamped(Number number)
{
    constexpr auto max = static_cast<Number>(std::numeric_limits<Field>::max());
    return static_cast<Field>(std::clamp<Number>(number, 0, max));
}

void build(schema::Member::Builder out, const EntryMember& member)
{
    if (member.control.address().is_v4() && member.clients.address().is_v4()) {
        out.setControlIp4(member.control.address().to_v4().to_uint());
        out.setControlPort(member.control.port());
        out.setClientsIp4(member.clients.address().to_v4().to_uint());
        out.setClientsPort(member.clients.port());
    } else {
        out.setControl(formatEndpoint(member.control));
        out.setClients(formatEndpoint(member.clients));
    }
    out.setIncarnation(member.incarnation.value());
    out.setHeartbeat(member.heartbeat);
    out.setDataCentre(member.dataCentre.value());
    out.setState(static_cast<std::uint8_t>(member.state));
    out.setIsWatching(member.isWatching);
    out.setAcceptsForMs(clamped<std::uint16_t>(member.acceptsFor.count()));
}

EntryMember parse(schema::Member::Reader in)
{
    if (in.getState() > static_cast<std::uint8_t>(EntryState::Leaving))
        throw MalformedField {};
    auto ip4 = [](std::uint32_t address, std::uint16_t port) { return Endpoint(asio::ip::address_v4(address), port); };
    auto control = in.hasControl() ? endpointFrom(in.getControl()) : ip4(in.getControlIp4(), in.getControlPort());
    auto clients = in.hasClients() ? endpointFrom(in.getClients()) : ip4(in.getClientsIp4(), in.getClientsPort());
    return { control, Incarnation(in.getIncarnation()), in.getHeartbeat(), clients,
        DataCentreName(in.getDataCentre().cStr()), static_cast<EntryState>(in.getState()), in.getIsWatching(), milliseconds(in.getAcceptsForMs()) };
}

/// Checks a quantity that a peer sent.
double quantityFrom(float value)
{
    if (!std::isfinite(value) || value < 0)
        throw MalformedField {};
    return value;
}

void build(schema::ServiceDemand::Builder out, const ServiceDemand& demand)
{
    out.setService(demand.service.value());
    auto priorities = out.initPriorities(static_cast<unsigned>(demand.priorities.size()));
    for (unsigned n = 0; n < priorities.size(); ++n) {
        auto& it = demand.priorities[n];
        priorities[n].setPriority(clamped<std::uint8_t>(it.priority));
        priorities[n].setQueued(clamped<std::uint16_t>(it.queued));
        priorities[n].setReturning(clamped<std::uint16_t>(it.returning));
        priorities[n].setArrivalsPerSecond(static_cast<float>(it.arrivalsPerSecond));
        priorities[n].setSinceAdmittedMs(clamped<std::uint16_t>(it.sinceAdmitted.count()));
        priorities[n].setSinceRefusedMs(clamped<std::uint16_t>(it.sinceRefused.count()));
    }
    auto organisations = out.initOrganisations(static_cast<unsigned>(demand.organisations.size()));
    for (unsigned n = 0; n < organisations.size(); ++n) {
        organisations[n].setOrganisation(demand.organisations[n].organisation.value());
        organisations[n].setWork(static_cast<float>(demand.organisations[n].work));
    }
}

ServiceDemand parse(schema::ServiceDemand::Reader in)
{
    ServiceDemand demand { ServiceName(in.getService().cStr()), {}, {} };
    for (auto it : in.getPriorities()) {
        demand.priorities.push_back({ it.getPriority(), it.getQueued(), it.getReturning(), quantityFrom(it.getArrivalsPerSecond()),
            milliseconds(it.getSinceAdmittedMs()), milliseconds(it.getSinceRefusedMs()) });
    }
    for (auto it : in.getOrganisations())
        demand.organisations.push_back({ OrganisationName(it.getOrganisation().cStr()), quantityFrom(it.getWork()) });
    return demand;
}

void build(schema::GroupStatus::Builder out, const GroupStatus& group)
{
    out.setGroup(group.group.value());
    out.setEpoch(group.epoch.value());
    out.setAgeMs(clamped<std::uint32_t>(group.age.count()));
    out.setPassMs(static_cast<float>(group.passMs));
    out.setImbalance(static_cast<float>(group.imbalance));
    out.setIsCopying(group.isCopying);
    auto ranks = out.initRanks(static_cast<unsigned>(group.ranks.size()));
    for (unsigned n = 0; n < ranks.size(); ++n) {
        auto& address = group.ranks[n].address;
        ranks[n].setRank(static_cast<std::uint16_t>(group.ranks[n].rank.value()));
        if (address.address().is_v4()) {
            ranks[n].setIp4(address.address().to_v4().to_uint());
            ranks[n].setPort(address.port());
        } else
            ranks[n].setAddress(formatEndpoint(address));
    }
}

GroupStatus parse(schema::GroupStatus::Reader in)
{
    GroupStatus group { EngineGroupName(in.getGroup().cStr()), GroupEpoch(in.getEpoch()), milliseconds(in.getAgeMs()), quantityFrom(in.getPassMs()), quantityFrom(in.getImbalance()), in.getIsCopying(), {} };
    for (auto rank : in.getRanks()) {
        if (rank.getRank() >= maxRanks)
            throw MalformedField {};
        auto address = rank.hasAddress() ? endpointFrom(rank.getAddress()) : Endpoint(asio::ip::address_v4(rank.getIp4()), rank.getPort());
        group.ranks.push_back({ RankIndex(rank.getRank()), address });
    }
    return group;
}

void build(schema::Suspicion::Builder out, const policy::SuspicionMessage& message)
{
    out.setFingerprint(message.fingerprint.value());
    out.setCrash(message.crash.value());
    out.setIsCleared(message.isCleared);
    out.setHops(clamped<std::uint8_t>(message.hops));
    out.setRemainingMs(clamped<std::uint32_t>(message.remaining.count()));
    out.setIsWeak(message.isWeak);
    out.setSpecificity(message.specificity.value());
    out.setRound(message.round.value());
}

policy::SuspicionMessage parse(schema::Suspicion::Reader in)
{
    return { Fingerprint(in.getFingerprint()), policy::CrashId(in.getCrash()), in.getIsCleared(), milliseconds(in.getRemainingMs()), in.getHops(), in.getIsWeak(), policy::Specificity(in.getSpecificity()), policy::CrashRound(in.getRound()) };
}

/// Writes a message into the union of a datagram.
struct DatagramBuilder {
    schema::Datagram::Builder out;

    void operator()(const Hello& it)
    {
        auto hello = out.initHello();
        build(hello.initSender(), it.sender);
        hello.setConfiguration(it.configuration);
        hello.setServers(it.servers.revision);
        hello.setServersEra(it.servers.era.value());
        auto members = hello.initMembers(static_cast<unsigned>(it.members.size()));
        for (unsigned n = 0; n < members.size(); ++n)
            build(members[n], it.members[n]);
        auto leaving = hello.initLeaving(static_cast<unsigned>(it.leaving.size()));
        for (unsigned n = 0; n < leaving.size(); ++n) {
            leaving[n].setServer(it.leaving[n].server.value());
            leaving[n].setRemainingMs(static_cast<std::uint32_t>(it.leaving[n].remaining.count()));
            auto removedAt = it.leaving[n].removedAt.value_or(StorePosition {});
            leaving[n].setIsRemoved(it.leaving[n].removedAt.has_value());
            leaving[n].setRemovedEra(removedAt.era.value());
            leaving[n].setRemovedRevision(removedAt.revision);
        }
        hello.setKnown(static_cast<std::uint16_t>(std::min(it.knownPeers, maxKnownPeers)));
        auto degraded = hello.initDegraded(static_cast<unsigned>(it.degraded.size()));
        for (unsigned n = 0; n < degraded.size(); ++n) {
            degraded[n].setAddress(formatEndpoint(it.degraded[n].address));
            degraded[n].setAgeMs(static_cast<std::uint32_t>(it.degraded[n].age.count()));
            degraded[n].setIsOpen(it.degraded[n].isOpen);
            degraded[n].setPace(static_cast<float>(it.degraded[n].pace));
            degraded[n].setHasEngineEnded(it.degraded[n].hasEngineEnded);
        }
        auto loads = hello.initLoads(static_cast<unsigned>(it.loads.size()));
        for (unsigned n = 0; n < loads.size(); ++n) {
            loads[n].setService(it.loads[n].service.value());
            loads[n].setRunning(static_cast<float>(it.loads[n].running));
            loads[n].setPromptTokens(static_cast<float>(it.loads[n].promptTokens));
        }
        hello.setEvacuationsEra(it.evacuations.asOf.era.value());
        hello.setEvacuationsAsOf(it.evacuations.asOf.revision);
        auto& evacuated = it.evacuations.evacuations;
        auto evacuations = hello.initEvacuations(static_cast<unsigned>(evacuated.size()));
        for (unsigned n = 0; n < evacuations.size(); ++n) {
            evacuations[n].setDataCentre(evacuated[n].dataCentre.value());
            evacuations[n].setEra(evacuated[n].requestedAt.era.value());
            evacuations[n].setRevision(evacuated[n].requestedAt.revision);
        }
        auto demands = hello.initDemands(static_cast<unsigned>(it.demands.size()));
        for (unsigned n = 0; n < demands.size(); ++n)
            build(demands[n], it.demands[n]);
        auto groups = hello.initGroups(static_cast<unsigned>(it.groups.size()));
        for (unsigned n = 0; n < groups.size(); ++n)
            build(groups[n], it.groups[n]);
        auto suspicions = hello.initSuspicions(static_cast<unsigned>(it.suspicions.size()));
        for (unsigned n = 0; n < suspicions.size(); ++n)
            build(suspicions[n], it.suspicions[n]);
    }
    void operator()(const LoadUpdate& it)
    {
        auto load = out.initLoad();
        load.setIncarnation(it.incarnation.value());
        load.setSequence(it.sequence);
        auto servers = load.initServers(static_cast<unsigned>(it.servers.size()));
        for (unsigned n = 0; n < servers.size(); ++n) {
            servers[n].setServer(it.servers[n].server.value());
            servers[n].setRunning(it.servers[n].running);
            servers[n].setPromptTokens(static_cast<std::uint32_t>(it.servers[n].promptTokens.value()));
            servers[n].setHeldTokens(clamped<std::uint32_t>(it.servers[n].heldTokens.value()));
        }
        auto limits = load.initLimits(static_cast<unsigned>(it.limits.size()));
        for (unsigned n = 0; n < limits.size(); ++n) {
            limits[n].setServer(it.limits[n].server.value());
            limits[n].setAgeMs(static_cast<std::uint32_t>(it.limits[n].age.count()));
            limits[n].setIsNamed(it.limits[n].rate.has_value());
            limits[n].setRate(it.limits[n].rate.value_or(RequestRate {}).value());
        }
        auto silent = load.initSilent(static_cast<unsigned>(it.silent.size()));
        for (unsigned n = 0; n < silent.size(); ++n) {
            silent[n].setServer(it.silent[n].server.value());
            silent[n].setRemainingMs(static_cast<std::uint32_t>(it.silent[n].remaining.count()));
        }
        auto demands = load.initDemands(static_cast<unsigned>(it.demands.size()));
        for (unsigned n = 0; n < demands.size(); ++n)
            build(demands[n], it.demands[n]);
        auto suspicions = load.initSuspicions(static_cast<unsigned>(it.suspicions.size()));
        for (unsigned n = 0; n < suspicions.size(); ++n)
            build(suspicions[n], it.suspicions[n]);
        auto trials = load.initTrials(static_cast<unsigned>(it.trials.size()));
        for (unsigned n = 0; n < trials.size(); ++n)
            trials.set(n, it.trials[n].value());
    }
    void operator()(const RankStatus& it)
    {
        auto rank = out.initRank();
        rank.setAddress(formatEndpoint(it.address));
        rank.setGroup(it.group.value());
        rank.setEpoch(it.epoch.value());
        rank.setRank(it.rank.value());
        rank.setRanks(it.ranks);
        rank.setIsOpen(it.isOpen);
        rank.setPace(it.pace);
        rank.setStartedAt(it.startedAt.value());
        rank.setKnowsGroup(it.knowsGroup);
        rank.setPassMs(static_cast<float>(it.passMs));
        rank.setImbalance(static_cast<float>(it.imbalance));
        rank.setIsCopying(it.isCopying);
        rank.setHeldTokens(clamped<std::uint32_t>(it.heldTokens.value()));
        rank.setTokenCapacity(clamped<std::uint32_t>(it.tokenCapacity.value()));
        rank.setHasEngineEnded(it.hasEngineEnded);
    }
    void operator()(const GroupBrief& it)
    {
        auto brief = out.initBrief();
        brief.setGroup(it.group.value());
        brief.setEpoch(it.epoch.value());
        brief.setLayers(it.traits.layers);
        brief.setExperts(it.traits.experts);
        brief.setSlotsPerRank(it.traits.slotsPerRank);
        brief.setSpareSlots(it.traits.spareSlots);
        brief.setExpertMegabytes(static_cast<float>(it.traits.expertMegabytes));
        brief.setLinkMbps(static_cast<float>(it.traits.linkMbps));
        brief.setStepMs(static_cast<float>(it.traits.stepMs));
        constexpr std::uint32_t maxSteps = std::numeric_limits<std::uint16_t>::max();
        brief.setStepsPerPass(static_cast<std::uint16_t>(std::min(it.traits.stepsPerPass, maxSteps)));
        auto ranks = brief.initRanks(static_cast<unsigned>(it.ranks.size()));
        for (unsigned n = 0; n < ranks.size(); ++n) {
            ranks[n].setRank(it.ranks[n].rank.value());
            ranks[n].setAddress(formatEndpoint(it.ranks[n].address));
        }
    }
};

Hello parse(schema::Hello::Reader in)
{
    Hello hello { parse(in.getSender()), in.getConfiguration(), { StoreEra(in.getServersEra()), in.getServers() }, {}, {}, in.getKnown(), {}, {} };
    for (auto rank : in.getDegraded())
        hello.degraded.push_back({ endpointFrom(rank.getAddress()), milliseconds(rank.getAgeMs()), rank.getIsOpen(), rank.getPace(), rank.getHasEngineEnded() });
    for (auto load : in.getLoads()) {
        bool isValid = load.getRunning() >= 0 && load.getPromptTokens() >= 0;
        if (!isValid)
            throw MalformedField {};
        hello.loads.push_back({ ServiceName(load.getService().cStr()), load.getRunning(), load.getPromptTokens() });
    }
    for (auto leaving : in.getLeaving()) {
        StorePosition position { StoreEra(leaving.getRemovedEra()), leaving.getRemovedRevision() };
        auto removedAt = leaving.getIsRemoved() ? std::optional(position) : std::nullopt;
        hello.leaving.push_back({ ServerHash(leaving.getServer()), milliseconds(leaving.getRemainingMs()), removedAt });
    }
    for (auto member : in.getMembers())
        hello.members.push_back(parse(member));
    hello.evacuations.asOf = { StoreEra(in.getEvacuationsEra()), in.getEvacuationsAsOf() };
    for (auto evacuation : in.getEvacuations())
        hello.evacuations.evacuations.push_back({ DataCentreName(evacuation.getDataCentre().cStr()), { StoreEra(evacuation.getEra()), evacuation.getRevision() } });
    for (auto demand : in.getDemands())
        hello.demands.push_back(parse(demand));
    for (auto group : in.getGroups())
        hello.groups.push_back(parse(group));
    for (auto suspicion : in.getSuspicions())
        hello.suspicions.push_back(parse(suspicion));
    return hello;
}

LoadUpdate parse(schema::LoadNews::Reader in)
{
    LoadUpdate load { Incarnation(in.getIncarnation()), in.getSequence(), {}, {}, {} };
    for (auto server : in.getServers())
        load.servers.push_back({ ServerHash(server.getServer()), server.getRunning(), Tokens(server.getPromptTokens()), Tokens(server.getHeldTokens()) });
    for (auto limit : in.getLimits()) {
        bool isValid = std::isfinite(limit.getRate()) && limit.getRate() >= 0;
        if (!isValid)
            throw MalformedField {};
        auto rate = limit.getIsNamed() ? std::optional(RequestRate(limit.getRate())) : std::nullopt;
        load.limits.push_back({ ServerHash(limit.getServer()), rate, milliseconds(limit.getAgeMs()) });
    }
    for (auto server : in.getSilent())
        load.silent.push_back({ ServerHash(server.getServer()), milliseconds(server.getRemainingMs()) });
    for (auto demand : in.getDemands())
        load.demands.push_back(parse(demand));
    for (auto suspicion : in.getSuspicions())
        load.suspicions.push_back(parse(suspicion));
    for (auto trial : in.getTrials())
        load.trials.emplace_back(trial);
    return load;
}

RankStatus parse(schema::RankNews::Reader in)
{
    if (in.getRanks() > maxRanks || in.getRank() >= maxRanks)
        throw MalformedField {};
    return { endpointFrom(in.getAddress()), EngineGroupName(in.getGroup().cStr()), GroupEpoch(in.getEpoch()), RankIndex(in.getRank()), in.getRanks(),
        in.getIsOpen(), in.getPace(), ServerStartTime(in.getStartedAt()), in.getKnowsGroup(), quantityFrom(in.getPassMs()), quantityFrom(in.getImbalance()),
        in.getIsCopying(), Tokens(in.getHeldTokens()), Tokens(in.getTokenCapacity()), in.getHasEngineEnded() };
}

GroupBrief parse(schema::GroupBrief::Reader in)
{
    GroupBrief brief { EngineGroupName(in.getGroup().cStr()), GroupEpoch(in.getEpoch()), {}, {} };
    brief.traits.layers = in.getLayers();
    brief.traits.experts = in.getExperts();
    brief.traits.slotsPerRank = in.getSlotsPerRank();
    brief.traits.spareSlots = in.getSpareSlots();
    brief.traits.expertMegabytes = in.getExpertMegabytes();
    brief.traits.linkMbps = in.getLinkMbps();
    brief.traits.stepMs = in.getStepMs();
    if (!std::isfinite(brief.traits.stepMs) || brief.traits.stepMs < 0)
        throw MalformedField {};
    brief.traits.stepsPerPass = in.getStepsPerPass();
    for (auto rank : in.getRanks()) {
        if (rank.getRank() >= maxRanks)
            throw MalformedField {};
        brief.ranks.push_back({ RankIndex(rank.getRank()), endpointFrom(rank.getAddress()) });
    }
    return brief;
}

ControlMessage parse(schema::Datagram::Reader in)
{
    switch (in.which()) {
    case schema::Datagram::HELLO:
        return parse(in.getHello());
    case schema::Datagram::LOAD:
        return parse(in.getLoad());
    case schema::Datagram::RANK:
        return parse(in.getRank());
    case schema::Datagram::BRIEF:
        return parse(in.getBrief());
    }
    throw MalformedField {};
}

std::string toBytes(capnp::MessageBuilder& builder)
{
    auto words = capnp::messageToFlatArray(builder);
    auto bytes = words.asChars();
    return { bytes.begin(), bytes.size() };
}

Error malformedError()
{
    return { ErrorCode::MalformedInput, "malformed control message or list of published documents" };
}

} // namespace

membership::NodeKey keyOf(const Endpoint& control)
{
    auto text = control.address().to_string();
    return membership::NodeKey(XXH3_64bits_withSeed(text.data(), text.size(), control.port()));
}

ServerHash hashOf(const ServerIncarnation& incarnation)
{
    auto& id = incarnation.id.value();
    return ServerHash(XXH3_64bits_withSeed(id.data(), id.size(), incarnation.startedAt.value()));
}

std::string_view toString(ControlMessageKind kind)
{
    switch (kind) {
    case ControlMessageKind::Hello:
        return "hello";
    case ControlMessageKind::Load:
        return "load";
    case ControlMessageKind::Rank:
        return "rank";
    case ControlMessageKind::Brief:
        return "brief";
    }
    return "unknown";
}

ControlMessageKind kindOf(const ControlMessage& message)
{
    return static_cast<ControlMessageKind>(message.index());
}

std::string encode(const ControlMessage& message)
{
    capnp::MallocMessageBuilder builder;
    std::visit(DatagramBuilder { builder.initRoot<schema::Datagram>() }, message);
    // More than half of the bytes of an unpacked hello are zero, and hellos are most of the control traffic.
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    auto bytes = out.getArray().asChars();
    return { bytes.begin(), bytes.size() };
}

Result<ControlMessage> decodeMessage(const void* bytes, std::size_t size)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(static_cast<const kj::byte*>(bytes), size));
        capnp::PackedMessageReader reader(in, { .traversalLimitInWords = maxMessageWords });
        return parse(reader.getRoot<schema::Datagram>());
    } catch (const kj::Exception&) {
        return malformedError();
    } catch (const MalformedField&) {
        return malformedError();
    }
}

std::string encode(const PublishedItems& items)
{
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<schema::PublishedItems>();
    out.setAsOf(items.asOf);
    out.setEra(items.era.value());
    auto list = out.initItems(static_cast<unsigned>(items.items.size()));
    for (unsigned n = 0; n < list.size(); ++n) {
        auto& item = items.items[n];
        list[n].setName(item.name);
        list[n].setDocument(capnp::Data::Reader(reinterpret_cast<const kj::byte*>(item.document.data()), item.document.size()));
        list[n].setRevision(item.revision);
        list[n].setEra(item.era.value());
    }
    return toBytes(builder);
}

Result<PublishedItems> decodeItems(std::string_view bytes)
{
    // Copied because Cap'n Proto reads aligned words in place.
    std::vector<std::uint64_t> words(bytes.size() / sizeof(std::uint64_t));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(std::uint64_t));
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(reinterpret_cast<const capnp::word*>(words.data()), words.size()));
        auto in = reader.getRoot<schema::PublishedItems>();
        PublishedItems items;
        items.asOf = in.getAsOf();
        items.era = StoreEra(in.getEra());
        for (auto item : in.getItems()) {
            auto document = item.getDocument();
            items.items.push_back({ item.getName().cStr(), std::string(reinterpret_cast<const char*>(document.begin()), document.size()), item.getRevision(), false, {}, StoreEra(item.getEra()) });
        }
        return items;
    } catch (const kj::Exception&) {
        return malformedError();
    }
}

} // namespace swiftloft::gateway
