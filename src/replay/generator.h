#pragma once

#include "src/replay/trace.h"

#include <cstdint>
#include <optional>

namespace swiftloft::replay {

/// The two deployments that traces are made for.
enum class Firm {
    ViaHe,
    RasoiRahdari,
};

std::optional<Firm> firmFromString(std::string_view);

struct GeneratorOptions {
    Firm firm { Firm::ViaHe };
    std::uint64_t seed { 1 };
    seconds length { 10 };
    /// Mean of model and plain requests together; bursts come on top.
    double requestsPerSecond { 10 };
};

/// Makes a trace from a seed: the same options give the same trace on every machine.
Trace generate(const GeneratorOptions&);

} // namespace swiftloft::replay
