#include <swiftloft/expertmap/expert-map.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace swiftloft::expertmap {

namespace {

Error invalid(std::string message)
{
    return { ErrorCode::InvalidArgument, std::move(message) };
}

/// Limits that keep size computations on untrusted maps far from overflow.
constexpr std::uint32_t maxRanks = 4096;
constexpr std::uint32_t maxLayers = 1024;
constexpr std::uint32_t maxExperts = 4096;
constexpr std::uint32_t maxSlotsPerRank = 4096;

/// Describes the first error in the slots of a layer; empty when they are valid.
std::string layerError(const MapShape& shape, std::span<const ExpertIndex> slots, std::uint32_t layer)
{
    std::vector<std::uint32_t> lastRank(shape.experts, shape.ranks);
    for (std::uint32_t n = 0; n < slots.size(); ++n) {
        if (slots[n] == noExpert)
            continue;
        auto expert = slots[n].value();
        auto rank = n / shape.slotsPerRank;
        if (expert >= shape.experts)
            return fmt::format("layer {} names expert {} of {}", layer, expert, shape.experts);
        if (lastRank[expert] == rank)
            return fmt::format("layer {} has expert {} twice on rank {}", layer, expert, rank);
        lastRank[expert] = rank;
    }
    auto missing = std::find(lastRank.begin(), lastRank.end(), shape.ranks);
    if (missing != lastRank.end())
        return fmt::format("layer {} has no slot for expert {}", layer, missing - lastRank.begin());
    return {};
}

} // namespace

bool isValid(const MapShape& shape)
{
    auto isWithin = [](std::uint32_t value, std::uint32_t bound) { return value > 0 && value <= bound; };
    return isWithin(shape.ranks, maxRanks) && isWithin(shape.layers, maxLayers) && isWithin(shape.experts, maxExperts)
        && isWithin(shape.slotsPerRank, maxSlotsPerRank);
}

ExpertMap::ExpertMap(const MapShape& shape, std::vector<ExpertIndex> slots)
    : m_shape(shape)
    , m_slots(std::move(slots))
{
}

Result<ExpertMap> ExpertMap::create(const MapShape& shape, std::vector<ExpertIndex> slots)
{
    if (!isValid(shape))
        return invalid("a dimension of the expert map is zero or too large");
    if (slots.size() != static_cast<std::size_t>(shape.slotsPerLayer()) * shape.layers)
        return invalid(fmt::format("an expert map of this shape needs {} slots, got {}", static_cast<std::size_t>(shape.slotsPerLayer()) * shape.layers, slots.size()));
    ExpertMap map(shape, std::move(slots));
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        auto error = layerError(shape, map.layer(LayerIndex(layer)), layer);
        if (!error.empty())
            return invalid(std::move(error));
    }
    return map;
}

Result<ExpertMap> ExpertMap::contiguous(const MapShape& shape)
{
    if (!isValid(shape) || shape.experts > shape.slotsPerLayer())
        return invalid("the experts don't fit into the slots");
    std::vector<ExpertIndex> layer(shape.slotsPerLayer(), noExpert);
    auto rankHolds = [&](std::uint32_t rank, ExpertIndex expert) {
        auto begin = layer.begin() + rank * shape.slotsPerRank;
        return std::find(begin, begin + shape.slotsPerRank, expert) != begin + shape.slotsPerRank;
    };
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
        auto rank = static_cast<std::uint32_t>(static_cast<std::uint64_t>(expert) * shape.ranks / shape.experts);
        auto first = layer.begin() + rank * shape.slotsPerRank;
        *std::find(first, first + shape.slotsPerRank, noExpert) = ExpertIndex(expert);
    }
    std::uint32_t next = shape.experts / 2;
    for (std::uint32_t n = 0; n < layer.size(); ++n) {
        if (layer[n] != noExpert)
            continue;
        for (std::uint32_t attempts = 0; attempts < shape.experts && layer[n] == noExpert; ++attempts, ++next) {
            ExpertIndex expert(next % shape.experts);
            if (!rankHolds(n / shape.slotsPerRank, expert))
                layer[n] = expert;
        }
    }
    std::vector<ExpertIndex> slots;
    slots.reserve(layer.size() * shape.layers);
    for (std::uint32_t n = 0; n < shape.layers; ++n)
        slots.insert(slots.end(), layer.begin(), layer.end());
    return create(shape, std::move(slots));
}

Result<ExpertMap> ExpertMap::roundRobin(const MapShape& shape)
{
    if (!isValid(shape) || shape.experts > shape.slotsPerLayer())
        return invalid("the experts don't fit into the slots");
    std::vector<ExpertIndex> slots(static_cast<std::size_t>(shape.layers) * shape.slotsPerLayer(), noExpert);
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
            auto rank = expert % shape.ranks;
            auto slot = expert / shape.ranks;
            slots[layer * shape.slotsPerLayer() + rank * shape.slotsPerRank + slot] = ExpertIndex(expert);
        }
    }
    return create(shape, std::move(slots));
}

std::span<const ExpertIndex> ExpertMap::layer(LayerIndex layer) const
{
    return std::span(m_slots).subspan(static_cast<std::size_t>(layer.value()) * m_shape.slotsPerLayer(), m_shape.slotsPerLayer());
}

MapVersion ExpertMap::version() const
{
    std::vector<std::uint32_t> words { m_shape.ranks, m_shape.layers, m_shape.experts, m_shape.slotsPerRank };
    words.reserve(words.size() + m_slots.size());
    for (auto expert : m_slots)
        words.push_back(expert.value());
    return MapVersion(XXH3_64bits(words.data(), words.size() * sizeof(words[0])));
}

std::uint64_t expertsMoved(const ExpertMap& from, const ExpertMap& to)
{
    auto perRank = to.shape().slotsPerRank;
    std::uint64_t moved = 0;
    for (std::size_t begin = 0; begin < to.slots().size(); begin += perRank) {
        auto held = from.slots().subspan(begin, perRank);
        for (auto expert : to.slots().subspan(begin, perRank))
            moved += expert != noExpert && std::find(held.begin(), held.end(), expert) == held.end();
    }
    return moved;
}

} // namespace swiftloft::expertmap
