#include <swiftloft/policy/crash-quarantine.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <bitset>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace swiftloft::policy {

namespace {

/// Maximum number of crashes recorded per fingerprint. More uncleared crashes than this do not change any decision.
constexpr std::size_t maxCrashes = 8;
/// A part is refused only if it was in flight at one in `crashesPerExplained` of the latest `maxRecentCrashes` crashes.
constexpr std::size_t maxRecentCrashes = 6;
constexpr std::size_t crashesPerExplained = 3;
/// Weight of a crash, and of one at which the request had been running for a while.
constexpr std::size_t crashWeight = 2;
constexpr std::size_t weakCrashWeight = 1;

/// Weighs the crashes of one record, one after the other.
struct Scale {
    bool isPart { false };
    std::bitset<std::numeric_limits<std::uint8_t>::max() + 1> rounds;

    std::size_t weightOf(bool isWeak, CrashRound round)
    {
        if (!isPart)
            return isWeak ? weakCrashWeight : crashWeight;
        bool isKnown = rounds.test(round.value());
        rounds.set(round.value());
        return isKnown ? 0 : crashWeight;
    }
};

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

Specificity specificityOfPart(std::size_t index)
{
    return Specificity(static_cast<std::uint8_t>(std::min<std::size_t>(index + 1, wholeRequest.value() - 1U)));
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
    auto until = earliestExpiry(record.crashes, now);
    if (isRefused(record, now))
        return { QuarantineAction::Refuse, until };
    if (weightOf(record, now, m_explained) == 0 && !record.isAlternative)
        return {};
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
        messages.push_back(messageOf(fingerprint, it->second, crash, now));
    }
    if (!messages.empty())
        onCrashesChanged(it->second, false, now);
    return messages;
}

std::vector<SuspicionMessage> CrashQuarantine::onPartSuccess(Fingerprint part, TimePoint now)
{
    rememberSuccess(part, now);
    return onSuccess(part, now);
}

bool CrashQuarantine::isProven(Fingerprint part, TimePoint now) const
{
    auto it = m_successes.find(part);
    return it != m_successes.end() && it->second + m_options.provenPeriod > now;
}

/// Drops the older half when the table is full, so that the cost for each success is constant on average.
void CrashQuarantine::rememberSuccess(Fingerprint part, TimePoint now)
{
    if (m_successes.size() >= m_options.successCapacity && !m_successes.contains(part)) {
        std::vector<TimePoint> times;
        times.reserve(m_successes.size());
        for (auto& [fingerprint, at] : m_successes)
            times.push_back(at);
        auto middle = times.begin() + std::ssize(times) / 2;
        std::nth_element(times.begin(), middle, times.end());
        boost::unordered::erase_if(m_successes, [oldest = *middle](auto& it) { return it.second <= oldest; });
    }
    m_successes[part] = now;
}

std::vector<SuspicionMessage> CrashQuarantine::onCrash(const CrashReport& report, TimePoint now)
{
    std::vector<SuspicionMessage> messages;
    auto add = [&](const PossibleCause& cause, bool isWeak, CrashRound round = {}) {
        Crash crash { report.crash, now + m_options.suspicionPeriod, false, 0, isWeak, round };
        if (merge(cause, crash, now))
            messages.push_back(messageOf(cause.fingerprint, m_records.find(cause.fingerprint)->second, crash, now));
    };
    for (auto fingerprint : report.inFlight)
        add({ fingerprint }, false);
    for (auto fingerprint : report.inProgress)
        add({ fingerprint }, true);
    for (auto& part : report.parts) {
        if (!isProven(part.cause.fingerprint, now))
            add(part.cause, false, part.round);
    }
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
    return merge({ message.fingerprint, message.specificity }, { message.crash, now + remaining, message.isCleared, message.hops + 1, message.isWeak, message.round }, now);
}

std::vector<SuspicionMessage> CrashQuarantine::snapshot(TimePoint now) const
{
    std::vector<SuspicionMessage> messages;
    for (auto& [fingerprint, record] : m_records) {
        for (auto& crash : record.crashes) {
            if (crash.expiresAt > now)
                messages.push_back(messageOf(fingerprint, record, crash, now));
        }
    }
    return messages;
}

void CrashQuarantine::tick(TimePoint now)
{
    auto n = boost::unordered::erase_if(m_records, [&](auto& entry) { return !entry.second.running && latestExpiry(entry.second.crashes) <= now; });
    if (n > 0 || !m_explained.empty())
        judge(now);
}

bool CrashQuarantine::merge(const PossibleCause& cause, Crash crash, TimePoint now)
{
    auto it = m_records.find(cause.fingerprint);
    if (it == m_records.end()) {
        evictToCapacity(now);
        it = m_records.emplace(cause.fingerprint, Record {}).first;
    }
    it->second.specificity = std::max(it->second.specificity, cause.specificity);
    rememberCrash(crash.id);
    auto& crashes = it->second.crashes;
    std::erase_if(crashes, [&](auto& known) { return known.expiresAt <= now && known.id != crash.id; });
    auto known = std::find_if(crashes.begin(), crashes.end(), [&](auto& each) { return each.id == crash.id; });
    if (known != crashes.end()) {
        // The expiry of the first message is kept. If the later one were used, two nodes that exchange their snapshots
        // would postpone the expiry indefinitely.
        bool isNewlyCleared = crash.isCleared && !known->isCleared;
        known->isCleared = known->isCleared || crash.isCleared;
        // Of several copies on the crashed server, one that had just begun counts in full.
        bool isNewlyStrong = (known->isWeak && !crash.isWeak) || known->round < crash.round;
        known->isWeak = known->isWeak && crash.isWeak;
        known->round = std::max(known->round, crash.round);
        if (isNewlyStrong || isNewlyCleared)
            onCrashesChanged(it->second, isNewlyStrong, now);
        return isNewlyCleared || isNewlyStrong;
    }
    if (!makeRoom(it->second, crash))
        return false;
    crashes.push_back(crash);
    onCrashesChanged(it->second, true, now);
    return true;
}

std::size_t CrashQuarantine::weightOf(const Record& record, TimePoint now, const std::set<CrashId>& explained) const
{
    std::size_t weight = 0;
    Scale scale { record.isPart(), {} };
    for (auto& it : record.crashes) {
        bool isExplained = record.isPart() && explained.contains(it.id);
        if (!it.isCleared && it.expiresAt > now && !isExplained)
            weight += scale.weightOf(it.isWeak, it.round);
    }
    return weight;
}

bool CrashQuarantine::isOverThreshold(const Record& record, TimePoint now) const
{
    return weightOf(record, now, {}) >= m_options.threshold * crashWeight;
}

bool CrashQuarantine::isRefused(const Record& record, TimePoint now) const
{
    return isOverThreshold(record, now) && (!record.isPart() || record.isCause);
}

void CrashQuarantine::onCrashesChanged(Record& record, bool isNewCrash, TimePoint now)
{
    if (!record.isCause && !record.isAlternative && !isOverThreshold(record, now))
        return;
    judge(now);
    if (isNewCrash && isRefused(record, now))
        extendQuarantine(record, now);
}

void CrashQuarantine::judge(TimePoint now)
{
    auto minWeight = m_options.threshold * crashWeight;
    std::vector<Suspect> suspects;
    for (auto& [fingerprint, record] : m_records) {
        record.alternatives.clear();
        record.isAlternative = false;
        if (weightOf(record, now, {}) < minWeight) {
            record.isCause = false;
            continue;
        }
        auto success = m_successes.find(fingerprint);
        suspects.push_back({ &record, crashes(fingerprint, now), success == m_successes.end() ? TimePoint::min() : success->second, fingerprint });
    }
    // The likeliest cause comes first.
    auto order = [](auto& it) { return std::tuple(-static_cast<std::ptrdiff_t>(it.crashes), it.succeededAt, -static_cast<int>(it.record->specificity.value()), it.fingerprint); };
    std::sort(suspects.begin(), suspects.end(), [&](auto& a, auto& b) { return order(a) < order(b); });
    m_explained.clear();
    for (auto& it : suspects) {
        bool wasCause = it.record->isCause;
        bool isLikely = !it.record->isPart() || wasCause || explainsRecentCrashes(*it.record);
        it.record->isCause = isLikely && weightOf(*it.record, now, m_explained) >= minWeight;
        if (!it.record->isCause)
            continue;
        if (!wasCause)
            extendQuarantine(*it.record, now);
        for (auto& crash : it.record->crashes) {
            if (!crash.isCleared && crash.expiresAt > now)
                m_explained.insert(crash.id);
        }
    }
    for (auto& it : suspects) {
        for (auto& other : suspects) {
            if (!it.record->isCause || other.record->isCause || !isAmbiguous(it, other, now))
                continue;
            other.record->isAlternative = true;
            it.record->alternatives.push_back(other.fingerprint);
        }
    }
}

bool CrashQuarantine::isAmbiguous(const Suspect& one, const Suspect& other, TimePoint now) const
{
    bool areParts = one.record->isPart() && other.record->isPart();
    bool isSuccessAlike = (one.succeededAt == TimePoint::min()) == (other.succeededAt == TimePoint::min());
    if (!areParts || !isSuccessAlike || one.crashes != other.crashes)
        return false;
    return std::all_of(one.record->crashes.begin(), one.record->crashes.end(), [&](auto& crash) {
        return crash.isCleared || crash.expiresAt <= now || std::any_of(other.record->crashes.begin(), other.record->crashes.end(), [&](auto& it) { return it.id == crash.id && !it.isCleared; });
    });
}

std::span<const Fingerprint> CrashQuarantine::alternatives(Fingerprint part) const
{
    auto it = m_records.find(part);
    return it == m_records.end() ? std::span<const Fingerprint>() : it->second.alternatives;
}

void CrashQuarantine::rememberCrash(CrashId crash)
{
    if (std::find(m_recentCrashes.begin(), m_recentCrashes.end(), crash) != m_recentCrashes.end())
        return;
    m_recentCrashes.push_back(crash);
    if (m_recentCrashes.size() > maxRecentCrashes)
        m_recentCrashes.erase(m_recentCrashes.begin());
}

bool CrashQuarantine::explainsRecentCrashes(const Record& record) const
{
    auto n = std::count_if(m_recentCrashes.begin(), m_recentCrashes.end(), [&](auto id) {
        return std::any_of(record.crashes.begin(), record.crashes.end(), [&](auto& it) { return it.id == id && !it.isCleared; });
    });
    return static_cast<std::size_t>(n) * crashesPerExplained >= m_recentCrashes.size();
}

CrashRound CrashQuarantine::nextRound(Fingerprint part, TimePoint now) const
{
    CrashRound last {};
    auto it = m_records.find(part);
    if (it == m_records.end())
        return last;
    for (auto& crash : it->second.crashes) {
        if (!crash.isCleared && crash.expiresAt > now)
            last = std::max(last, crash.round);
    }
    // There are never more rounds than crashes.
    return CrashRound(static_cast<std::uint8_t>(std::min<std::size_t>(last.value() + 1U, maxCrashes)));
}

std::size_t CrashQuarantine::crashes(Fingerprint fingerprint, TimePoint now) const
{
    auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return 0;
    auto& crashes = it->second.crashes;
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [&](auto& crash) { return !crash.isCleared && crash.expiresAt > now; }));
}

/// Drops a cleared crash, or else the oldest one of a part whose round another one has as well. Returns false if there is
/// none, so that the new one would change no decision.
bool CrashQuarantine::makeRoom(Record& record, const Crash& next)
{
    auto& crashes = record.crashes;
    if (crashes.size() < maxCrashes)
        return true;
    auto isRoundRepeated = [&](const Crash& crash) {
        auto n = std::count_if(crashes.begin(), crashes.end(), [&](auto& it) { return it.round == crash.round; });
        return n > 1 || crash.round == next.round;
    };
    auto it = std::find_if(crashes.begin(), crashes.end(), [](auto& each) { return each.isCleared; });
    if (it == crashes.end() && record.isPart())
        it = std::find_if(crashes.begin(), crashes.end(), isRoundRepeated);
    if (it == crashes.end())
        return false;
    crashes.erase(it);
    return true;
}

/// During the review after the quarantine, one crash less than the threshold is in force.
void CrashQuarantine::extendQuarantine(Record& record, TimePoint now) const
{
    std::size_t kept = 0;
    Scale scale { record.isPart(), {} };
    for (auto& it : record.crashes) {
        auto weight = it.isCleared ? 0 : scale.weightOf(it.isWeak, it.round);
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
        auto rank = [&](auto& entry) { return std::pair(isRefused(entry.second, now), latestExpiry(entry.second.crashes)); };
        auto it = std::min_element(m_records.begin(), m_records.end(), [&](auto& a, auto& b) { return rank(a) < rank(b); });
        m_records.erase(it);
    }
}

SuspicionMessage CrashQuarantine::messageOf(Fingerprint fingerprint, const Record& record, const Crash& crash, TimePoint now) const
{
    return { fingerprint, crash.id, crash.isCleared, std::chrono::duration_cast<milliseconds>(crash.expiresAt - now), crash.hops, crash.isWeak, record.specificity, crash.round };
}

} // namespace swiftloft::policy
