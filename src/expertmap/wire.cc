#include "src/expertmap/wire.h"

#include <fmt/format.h>
#include <kj/exception.h>

namespace swiftloft::expertmap::wire {

namespace {

/// Thrown within this file only; `catchMalformed` converts it to an `Error`.
struct Malformed {
    std::string text;
};

void require(bool isValid, const char* text)
{
    if (!isValid)
        throw Malformed { text };
}

/// Runs `read` and converts the exceptions it throws for invalid values or malformed Cap'n Proto messages to an
/// `Error`.
template <typename T, typename Read>
Result<T> catchMalformed(Read&& read)
{
    try {
        return read();
    } catch (const Malformed& e) {
        return Error { ErrorCode::MalformedInput, e.text };
    } catch (const kj::Exception& e) {
        return Error { ErrorCode::MalformedInput, fmt::format("malformed Cap'n Proto message: {}", e.getDescription().cStr()) };
    }
}

void buildFence(schema::FencingNumber::Builder out, const FencingNumber& fence)
{
    out.setCounter(fence.counter);
    out.setHolder(fence.holder.value());
}

FencingNumber parseFence(schema::FencingNumber::Reader in)
{
    // A coordinator takes a counter one above the highest counter seen. A counter near the end of the range would leave
    // no higher one.
    require(in.getCounter() <= maxFenceCounter, "fencing number out of range");
    return { in.getCounter(), Incarnation(in.getHolder()) };
}

void buildPoint(schema::SwitchPoint::Builder out, const SwitchPoint& point)
{
    out.setVersion(point.version.value());
    out.setStep(point.step.value());
}

SwitchPoint parsePoint(schema::SwitchPoint::Reader in)
{
    require(in.getStep() > 0, "switch point has step 0");
    return { MapVersion(in.getVersion()), StepNumber(in.getStep()) };
}

RankIndex parseRank(std::uint32_t rank)
{
    require(rank < maxRanks, "rank out of range");
    return RankIndex(rank);
}

Incarnation parseIncarnation(std::uint64_t value)
{
    require(value != 0, "incarnation is 0");
    return Incarnation(value);
}

void buildStatus(schema::EngineStatus::Builder out, const EngineStatus& status)
{
    out.setEngine(status.engine.value());
    out.setIsAdmitted(status.isAdmitted);
    out.setCurrent(status.current.value());
    out.setEntered(status.entered.value());
    out.setIsReleased(status.isReleased);
    if (status.armed)
        buildPoint(out.initArmed(), *status.armed);
    auto staged = out.initStaged(static_cast<unsigned>(status.staged.size()));
    for (unsigned n = 0; n < staged.size(); ++n)
        staged.set(n, status.staged[n].value());
}

EngineStatus parseStatus(schema::EngineStatus::Reader in)
{
    EngineStatus status;
    status.engine = parseIncarnation(in.getEngine());
    status.isAdmitted = in.getIsAdmitted();
    status.current = MapVersion(in.getCurrent());
    status.entered = StepNumber(in.getEntered());
    status.isReleased = in.getIsReleased();
    if (in.hasArmed())
        status.armed = parsePoint(in.getArmed());
    require(status.armed || !status.isReleased, "engine status is released but not armed");
    require(!status.armed || status.isAdmitted, "engine status is armed but not admitted");
    auto staged = in.getStaged();
    require(staged.size() <= maxStagedMaps, "engine status has too many staged maps");
    for (auto version : staged)
        status.staged.emplace_back(version);
    return status;
}

/// Writes an order into the union of a `RankOrder`.
struct OrderBuilder {
    schema::RankOrder::Order::Builder out;

    void operator()(const ReadStatus&) { out.setRead(); }
    void operator()(const StageMap& it) { out.setStage(it.version.value()); }
    void operator()(const DropMaps& it) { out.setDrop(it.keep.value()); }
    void operator()(const Admit& it)
    {
        auto admit = out.initAdmit();
        admit.setVersion(it.version.value());
        if (it.arm)
            buildPoint(admit.initArm(), *it.arm);
    }
    void operator()(const Arm& it) { buildPoint(out.initArm(), it.point); }
    void operator()(const Go& it) { buildPoint(out.initGo(), it.point); }
    void operator()(const Cancel& it) { buildPoint(out.initCancel(), it.point); }
};

Admit parseAdmit(schema::Admit::Reader in)
{
    Admit admit { MapVersion(in.getVersion()), std::nullopt };
    if (in.hasArm())
        admit.arm = parsePoint(in.getArm());
    return admit;
}

Order parseOrder(schema::RankOrder::Order::Reader in)
{
    switch (in.which()) {
    case schema::RankOrder::Order::READ:
        return ReadStatus {};
    case schema::RankOrder::Order::STAGE:
        return StageMap { MapVersion(in.getStage()) };
    case schema::RankOrder::Order::DROP:
        return DropMaps { MapVersion(in.getDrop()) };
    case schema::RankOrder::Order::ADMIT:
        return parseAdmit(in.getAdmit());
    case schema::RankOrder::Order::ARM:
        return Arm { parsePoint(in.getArm()) };
    case schema::RankOrder::Order::GO:
        return Go { parsePoint(in.getGo()) };
    case schema::RankOrder::Order::CANCEL:
        return Cancel { parsePoint(in.getCancel()) };
    }
    throw Malformed { "order of unknown kind" };
}

} // namespace

void build(schema::RankOrder::Builder out, const RankOrder& order)
{
    buildFence(out.initFence(), order.fence);
    out.setRound(order.round);
    out.setRank(order.rank.value());
    out.setEngine(order.engine ? order.engine->value() : 0);
    std::visit(OrderBuilder { out.getOrder() }, order.order);
}

void build(schema::RankReport::Builder out, const RankReport& report)
{
    out.setRank(report.rank.value());
    out.setAgent(report.agent.value());
    buildFence(out.initPromised(), report.promised);
    out.setRound(report.round);
    if (report.status)
        buildStatus(out.initStatus(), *report.status);
}

void build(schema::RankHello::Builder out, const RankHello& hello)
{
    out.setRank(hello.rank.value());
    out.setAgent(hello.agent.value());
}

void build(schema::ExpertMap::Builder out, const VersionedMap& versioned)
{
    auto& shape = versioned.map.shape();
    out.setRanks(shape.ranks);
    out.setLayers(shape.layers);
    out.setExperts(shape.experts);
    out.setSlotsPerRank(shape.slotsPerRank);
    out.setVersion(versioned.version.value());
    auto slots = out.initSlots(static_cast<unsigned>(versioned.map.slots().size()));
    for (unsigned n = 0; n < slots.size(); ++n)
        slots.set(n, static_cast<std::uint16_t>(versioned.map.slots()[n].value()));
}

void build(schema::RankLoads::Builder out, const RankLoads& loads)
{
    out.setRank(loads.rank.value());
    out.setEngine(loads.engine.value());
    out.setMap(loads.map.value());
    out.setStep(loads.step.value());
    out.setPace(static_cast<float>(loads.pace));
    auto held = out.initHeld(static_cast<unsigned>(loads.held.size()));
    for (unsigned n = 0; n < held.size(); ++n)
        held.set(n, static_cast<std::uint16_t>(loads.held[n].value()));
    auto tokens = out.initTokens(static_cast<unsigned>(loads.tokens.size()));
    for (unsigned n = 0; n < tokens.size(); ++n)
        tokens.set(n, static_cast<std::uint16_t>(loads.tokens[n]));
}

Result<RankOrder> parse(schema::RankOrder::Reader in)
{
    return catchMalformed<RankOrder>([&] {
        RankOrder order;
        order.fence = parseFence(in.getFence());
        parseIncarnation(in.getFence().getHolder());
        order.round = in.getRound();
        order.rank = parseRank(in.getRank());
        if (in.getEngine() != 0)
            order.engine = Incarnation(in.getEngine());
        order.order = parseOrder(in.getOrder());
        bool isRead = std::holds_alternative<ReadStatus>(order.order);
        require(isRead || order.engine, "order has no engine incarnation");
        return order;
    });
}

Result<RankReport> parse(schema::RankReport::Reader in)
{
    return catchMalformed<RankReport>([&] {
        RankReport report;
        report.rank = parseRank(in.getRank());
        report.agent = parseIncarnation(in.getAgent());
        report.promised = parseFence(in.getPromised());
        report.round = in.getRound();
        if (in.hasStatus())
            report.status = parseStatus(in.getStatus());
        return report;
    });
}

Result<RankHello> parse(schema::RankHello::Reader in)
{
    return catchMalformed<RankHello>([&] { return RankHello { parseRank(in.getRank()), parseIncarnation(in.getAgent()) }; });
}

Result<VersionedMap> parse(schema::ExpertMap::Reader in)
{
    struct Content {
        MapVersion version;
        MapShape shape;
        std::vector<ExpertIndex> slots;
    };
    auto content = catchMalformed<Content>([&] {
        Content parsed { MapVersion(in.getVersion()), { in.getRanks(), in.getLayers(), in.getExperts(), in.getSlotsPerRank() }, {} };
        auto sent = in.getSlots();
        parsed.slots.reserve(sent.size());
        for (auto expert : sent)
            parsed.slots.emplace_back(expert);
        return parsed;
    });
    if (!content)
        return content.error();
    auto map = ExpertMap::create(content->shape, std::move(content->slots));
    if (!map)
        return Error { ErrorCode::MalformedInput, map.error().message };
    return VersionedMap { content->version, std::move(*map) };
}

Result<RankLoads> parse(schema::RankLoads::Reader in)
{
    return catchMalformed<RankLoads>([&] {
        RankLoads loads { parseRank(in.getRank()), parseIncarnation(in.getEngine()), StepNumber(in.getStep()), MapVersion(in.getMap()), {}, {}, in.getPace() };
        for (auto expert : in.getHeld())
            loads.held.emplace_back(expert);
        for (auto tokens : in.getTokens())
            loads.tokens.push_back(tokens);
        return loads;
    });
}

} // namespace swiftloft::expertmap::wire
