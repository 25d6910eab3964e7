#include "src/replay/generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <span>

namespace swiftloft::replay {

namespace {

/// A kind of model request: its shared prompt prefix and the size of what varies.
struct Task {
    std::string_view prefixId;
    std::size_t prefixCharacters;
    std::size_t ownCharacters;
    std::int64_t tokens;
    bool isRepeatable;
};

/// What a firm's callers send.
struct Profile {
    std::string_view model;
    std::string_view plain;
    std::string_view readPath;
    std::string_view writePath;
    std::span<const std::string_view> organisations;
    std::span<const Task> tasks;
    /// Share of plain requests that change something and may not be repeated.
    double writeShare;
};

constexpr std::array<std::string_view, 8> viaHeOrganisations {
    "old-quarter-cafes", "west-lake-cafes", "permit-office", "train-street-cafes", "truc-bach-cafes", "hang-buom-market",
    "long-bien-stalls", "floor-plan-review"
};
constexpr std::array<Task, 3> viaHeTasks { {
    { "application-letter", 1600, 300, 40, true },
    { "ward-notice", 900, 1200, 24, true },
    { "floor-plan", 1200, 700, 32, true },
} };

constexpr std::array<std::string_view, 8> rasoiOrganisations {
    "ahmedabad-tiffins", "surat-tiffins", "wedding-caterers", "vadodara-tiffins", "hostel-kitchens", "temple-kitchens",
    "navratri-stalls", "sweet-shops"
};
constexpr std::array<Task, 3> rasoiTasks { {
    { "redraft-route", 1800, 500, 40, false },
    { "explain-reroute", 1000, 250, 28, true },
    { "drop-window", 700, 200, 16, true },
} };

constexpr Profile viaHe { "drafting", "owner-status", "/permits", "/slots", viaHeOrganisations, viaHeTasks, 0.2 };
constexpr Profile rasoiRahdari { "dispatch", "driver-app", "/stop-sheets", "/vans", rasoiOrganisations, rasoiTasks, 0.3 };

constexpr double modelShare = 0.6;
constexpr double streamShare = 0.8;
/// The first few organisations are the large ones and send this share.
constexpr double largeShare = 0.6;
constexpr std::size_t largeOrganisations = 3;
constexpr milliseconds modelAllowed { 20'000 };
constexpr milliseconds plainAllowed { 5'000 };
constexpr int recordsOfFirm = 400;

/// Random draws that are the same with every standard library, which its distributions are not.
class Draw {
public:
    explicit Draw(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    double unit() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }
    std::size_t below(std::size_t n) { return std::min(n - 1, static_cast<std::size_t>(unit() * static_cast<double>(n))); }
    bool chance(double share) { return unit() < share; }
    double exponential(double mean) { return -std::log(1 - unit()) * mean; }

private:
    std::mt19937_64 m_engine;
};

std::string_view drawOrganisation(const Profile& profile, Draw& draw)
{
    auto isLarge = draw.chance(largeShare);
    auto large = profile.organisations.subspan(0, largeOrganisations);
    auto small = profile.organisations.subspan(largeOrganisations);
    return isLarge ? large[draw.below(large.size())] : small[draw.below(small.size())];
}

TraceRequest modelRequest(const Profile& profile, std::size_t serial, Draw& draw)
{
    auto& task = profile.tasks[draw.below(profile.tasks.size())];
    TraceRequest request;
    request.service = ServiceName(std::string(profile.model));
    request.kind = BackendKind::Model;
    request.method = "POST";
    request.isStream = draw.chance(streamShare);
    request.path = draw.chance(0.5) ? "/v1/completions" : "/v1/chat/completions";
    auto spread = 0.5 + draw.unit();
    request.prompt = PromptSpec { std::string(task.prefixId), task.prefixCharacters, fmt::format("case-{}", serial),
        static_cast<std::size_t>(static_cast<double>(task.ownCharacters) * spread) };
    request.maxTokens = std::max<std::int64_t>(1, static_cast<std::int64_t>(static_cast<double>(task.tokens) * spread));
    request.allowed = modelAllowed;
    request.isRepeatable = task.isRepeatable;
    request.key = RequestKey(fmt::format("{}-{}", profile.model, serial));
    return request;
}

TraceRequest plainRequest(const Profile& profile, std::size_t serial, Draw& draw)
{
    TraceRequest request;
    request.service = ServiceName(std::string(profile.plain));
    request.kind = BackendKind::Plain;
    request.allowed = plainAllowed;
    auto record = draw.below(recordsOfFirm);
    if (draw.chance(profile.writeShare)) {
        request.method = "POST";
        request.path = fmt::format("{}/{}", profile.writePath, record);
        request.prompt = PromptSpec { "form", 40, fmt::format("change-{}", serial), 80 };
        request.key = RequestKey(fmt::format("{}-{}", profile.plain, serial));
    } else {
        request.method = "GET";
        request.path = fmt::format("{}/{}", profile.readPath, record);
        request.isRepeatable = true;
    }
    return request;
}

} // namespace

std::optional<Firm> firmFromString(std::string_view text)
{
    if (text == "via-he")
        return Firm::ViaHe;
    if (text == "rasoi-rahdari")
        return Firm::RasoiRahdari;
    return std::nullopt;
}

Trace generate(const GeneratorOptions& options)
{
    auto& profile = options.firm == Firm::ViaHe ? viaHe : rasoiRahdari;
    Draw draw(options.seed);
    Trace trace;
    auto lengthMs = static_cast<double>(milliseconds(options.length).count());
    auto meanGapMs = 1000 / options.requestsPerSecond;
    for (double at = draw.exponential(meanGapMs); at < lengthMs; at += draw.exponential(meanGapMs)) {
        auto serial = trace.requests.size() + 1;
        auto request = draw.chance(modelShare) ? modelRequest(profile, serial, draw) : plainRequest(profile, serial, draw);
        request.sendAt = milliseconds(static_cast<std::int64_t>(at));
        request.organisation = OrganisationName(std::string(drawOrganisation(profile, draw)));
        request.expected = ExpectedOutcome::Answered;
        trace.requests.push_back(std::move(request));
    }
    return trace;
}

} // namespace swiftloft::replay
