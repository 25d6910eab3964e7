#include <swiftloft/policy/crash-quarantine.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace swiftloft::policy {

namespace {

/// Maximum number of crashes recorded per fingerprint. More uncleared crashes than this do not change any decision.
constexpr std::size_t maxCrashes = 8;
/// Weight of a crash, and of one at which the request had been running for a while.
constexpr std::size_t crashWeight = 2;
constexpr std::size_t weakCrashWeight = 1;

template <typename Crashes>
std::size_t countUncleared(const Crashes& crashes, TimePoint now)
{
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [&](auto& it) { return !it.isCleared && it.expiresAt > now; }));
}

template <typename Crashes>
TimePoint earliestExpiry(const Crashes& crashes, TimePoint now)
{
    auto first = TimePoint::max();
    for (auto& it : crashes) {
        if (!it.isCleared && it.expiresAt > now)
            first = std::min(first, it.expiresAt);
    }
    return first;
}

template <typename Crashes>
TimePoint latestExpiry(const Crashes& crashes)
{
    auto last = TimePoint::min();
    for (auto& it : crashes)
        last = std::max(last, it.expiresAt);
    return last;
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

CrashId crashIdOf(const BackendServerId& server, Incarnation agent, std::uint64_t count)
{
    std::uint64_t numbers[] = { agent.value(), count };
    return CrashId(hashOf(server.value(), XXH3_64bits(numbers, sizeof numbers)));
}

std::optional<BackendServerId> isolationServer(Fingerprint fingerprint, std::span<const BackendServerId> candidates)
{
    auto score = [&](const BackendServerId& id) { return std::pair(hashOf(id.value(), fingerprint.value()), std::string_view(id.value())); };
    auto it = std::max_element(candidates.begin(), candidates.end(), [&](auto& a, auto& b) { return score(a) < score(b); });
    if (it == candidates.end())
        return std::nullopt;
    return *it;
}

std::string_view toString(QuarantineAction action)
{
    switch (action) {
    case QuarantineAction::Admit:
        return "admit";
    case QuarantineAction::RunAlone:
        return "run-alone";
    case QuarantineAction::Wait:
        return "wait";
    case QuarantineAction::Refuse:
        return "refuse";
    }
    return "unknown";
}

CrashQuarantine::CrashQuarantine(CrashQuarantineOptions options)
    : m_options(options)
{
}

Result<CrashQuarantine> CrashQuarantine::create(CrashQuarantineOptions options)
{
    if (options.suspicionPeriod.count() <= 0 || options.quarantinePeriod < options.suspicionPeriod || options.reviewPeriod.count() < 0 || !options.capacity)
        return Error { ErrorCode::InvalidArgument, "crash quarantine: suspicion period and capacity must be positive, quarantine period must be at least the suspicion period, review period must not be negative" };
    constexpr auto maxThreshold = maxCrashes * weakCrashWeight / crashWeight;
    if (options.threshold == 0 || options.threshold > maxThreshold)
        return Error { ErrorCode::InvalidArgument, fmt::format("crash quarantine: threshold is {}, must be 1 to {}", options.threshold, maxThreshold) };
    return CrashQuarantine(options);
}

QuarantineDecision CrashQuarantine::check(Fingerprint fingerprint, TimePoint now) const
{
    auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return {};
    auto& record = it->second;
    auto n = countUncleared(record.crashes, now);
    if (!n)
        return {};
    auto until = earliestExpiry(record.crashes, now);
    if (isOverThreshold(record, now))
        return { QuarantineAction::Refuse, until };
    // Two copies of one suspect could crash two servers before the first crash is known.
    if (record.running)
        return { QuarantineAction::Wait, until };
    return { QuarantineAction::RunAlone, until };
}

void CrashQuarantine::onStartAlone(Fingerprint fingerprint)
{
    auto it = m_records.find(fingerprint);
    if (it != m_records.end())
        ++it->second.running;
}

void CrashQuarantine::onEndAlone(Fingerprint fingerprint)
{
    auto it = m_records.find(fingerprint);
    if (it != m_records.end() && it->second.running)
        --it->second.running;
}

std::vector<SuspicionMessage> CrashQuarantine::onSuccess(Fingerprint fingerprint, TimePoint now)
{
    std::vector<SuspicionMessage> messages;
    auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return messages;
    for (auto& crash : it->second.crashes) {
        if (crash.isCleared || crash.expiresAt <= now)
            continue;
        crash.isCleared = true;
        messages.push_back(messageOf(fingerprint, crash, now));
    }
    return messages;
}

std::vector<SuspicionMessage> CrashQuarantine::onCrash(const CrashReport& report, TimePoint now)
{
    std::vector<SuspicionMessage> messages;
    auto add = [&](Fingerprint fingerprint, bool isWeak) {
        Crash crash { report.crash, now + m_options.suspicionPeriod, false, 0, isWeak };
        if (merge(fingerprint, crash, now))
            messages.push_back(messageOf(fingerprint, crash, now));
    };
    for (auto fingerprint : report.inFlight)
        add(fingerprint, false);
    for (auto fingerprint : report.inProgress)
        add(fingerprint, true);
    return messages;
}

bool CrashQuarantine::onMessage(const SuspicionMessage& message, TimePoint now)
{
    // Each forwarding adds its delay to the lifetime of a message, so a node that has just dropped a record could
    // receive it again from a slower node, and so on indefinitely. The hop limit ends this whatever the delays are.
    if (message.hops >= m_options.maxHops || message.remaining.count() <= 0)
        return false;
    // The remaining time sent by a peer is not trusted: it is capped at the longest time that this node would set
    // itself.
    auto remaining = std::min<milliseconds>(message.remaining, m_options.quarantinePeriod + m_options.reviewPeriod);
    return merge(message.fingerprint, { message.crash, now + remaining, message.isCleared, message.hops + 1, message.isWeak }, now);
}

std::vector<SuspicionMessage> CrashQuarantine::snapshot(TimePoint now) const
{
    std::vector<SuspicionMessage> messages;
    for (auto& [fingerprint, record] : m_records) {
        for (auto& crash : record.crashes) {
            if (crash.expiresAt > now)
                messages.push_back(messageOf(fingerprint, crash, now));
        }
    }
    return messages;
}

void CrashQuarantine::tick(TimePoint now)
{
    boost::unordered::erase_if(m_records, [&](auto& entry) { return !entry.second.running && latestExpiry(entry.second.crashes) <= now; });
}

bool CrashQuarantine::merge(Fingerprint fingerprint, Crash crash, TimePoint now)
{
    auto it = m_records.find(fingerprint);
    if (it == m_records.end()) {
        evictToCapacity(now);
        it = m_records.emplace(fingerprint, Record {}).first;
    }
    auto& crashes = it->second.crashes;
    std::erase_if(crashes, [&](auto& known) { return known.expiresAt <= now && known.id != crash.id; });
    auto known = std::find_if(crashes.begin(), crashes.end(), [&](auto& each) { return each.id == crash.id; });
    if (known != crashes.end()) {
        // The expiry of the first message is kept. If the later one were used, two nodes that exchange their snapshots
        // would postpone the expiry indefinitely.
        bool isNewlyCleared = crash.isCleared && !known->isCleared;
        known->isCleared = known->isCleared || crash.isCleared;
        // Of several copies on the crashed server, one that had just begun counts in full.
        bool isNewlyStrong = known->isWeak && !crash.isWeak;
        known->isWeak = known->isWeak && crash.isWeak;
        if (isNewlyStrong)
            extendQuarantine(it->second, now);
        return isNewlyCleared || isNewlyStrong;
    }
    if (!makeRoom(crashes))
        return false;
    crashes.push_back(crash);
    extendQuarantine(it->second, now);
    return true;
}

bool CrashQuarantine::isOverThreshold(const Record& record, TimePoint now) const
{
    std::size_t weight = 0;
    for (auto& it : record.crashes) {
        if (!it.isCleared && it.expiresAt > now)
            weight += it.isWeak ? weakCrashWeight : crashWeight;
    }
    return weight >= m_options.threshold * crashWeight;
}

/// Returns false if `crashes` is full and none of them is cleared.
bool CrashQuarantine::makeRoom(std::vector<Crash>& crashes)
{
    if (crashes.size() < maxCrashes)
        return true;
    auto it = std::find_if(crashes.begin(), crashes.end(), [](auto& each) { return each.isCleared; });
    if (it == crashes.end())
        return false;
    crashes.erase(it);
    return true;
}

/// During the review after the quarantine, one crash less than the threshold is in force.
void CrashQuarantine::extendQuarantine(Record& record, TimePoint now) const
{
    if (!isOverThreshold(record, now))
        return;
    std::size_t kept = 0;
    for (auto& it : record.crashes) {
        auto weight = it.isWeak ? weakCrashWeight : crashWeight;
        bool isKept = !it.isCleared && kept + weight < m_options.threshold * crashWeight;
        kept += isKept ? weight : 0;
        it.expiresAt = std::max(it.expiresAt, now + m_options.quarantinePeriod + (isKept ? m_options.reviewPeriod : seconds(0)));
    }
}

/// Guards against a flood of crash reports exhausting the memory. Evicts suspects first, in order of expiry, then
/// quarantined requests. Linear in the number of records, but only for a new suspect when the table is full.
void CrashQuarantine::evictToCapacity(TimePoint now)
{
    if (m_records.size() < m_options.capacity)
        return;
    tick(now);
    while (m_records.size() >= m_options.capacity) {
        auto rank = [&](auto& entry) { return std::pair(isOverThreshold(entry.second, now), latestExpiry(entry.second.crashes)); };
        auto it = std::min_element(m_records.begin(), m_records.end(), [&](auto& a, auto& b) { return rank(a) < rank(b); });
        m_records.erase(it);
    }
}

SuspicionMessage CrashQuarantine::messageOf(Fingerprint fingerprint, const Crash& crash, TimePoint now) const
{
    return { fingerprint, crash.id, crash.isCleared, std::chrono::duration_cast<milliseconds>(crash.expiresAt - now), crash.hops, crash.isWeak };
}

} // namespace swiftloft::policy
