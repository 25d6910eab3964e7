#include "src/spread/spreader.h"

#include <algorithm>
#include <limits>

namespace swiftloft::spread {

namespace {

constexpr std::size_t maxCandidatePeers = 8;
constexpr std::size_t maxRefused = 8;
/// Parts kept over from candidates that a newer one replaced; bounds memory, more than one document has.
constexpr std::size_t maxPulledParts = 16'384;
constexpr unsigned largestBackoff = 3; ///< Doublings of the pause after failed calls.
constexpr milliseconds unknownAge { std::numeric_limits<std::uint32_t>::max() };
/// That word of a higher revision counts without being said again.
constexpr seconds hearsayTime { 10 };
/// Beyond the deadline of a call or pull, after which its completion is taken as lost.
constexpr milliseconds completionGrace { 2000 };

} // namespace

Spreader::Spreader(Topic topic, SpreadOptions options, Check check, std::uint64_t seed)
    : m_topic(topic)
    , m_options(options)
    , m_check(std::move(check))
    , m_random(seed)
{
}

void Spreader::step(const SpreadEvent& event, SpreadEffects& effects)
{
    m_effects = &effects;
    std::visit([this](const auto& it) { on(it); }, event);
    m_effects = nullptr;
}

void Spreader::on(const SpreadTick& event)
{
    m_fleetSize = std::max<std::size_t>(event.fleetSize, 1);
    if (event.isWatcher && !m_isWatcher)
        m_nextCall = std::min(m_nextCall.value_or(event.now), event.now);
    m_isWatcher = event.isWatcher;
    callWhenDue(event);
    if (m_candidate && m_candidate->ticket && event.now >= m_candidate->deadline + completionGrace) {
        dropPeer(m_candidate->askedPeer);
        m_candidate->ticket = 0;
    }
    pullNext(event.now);
}

// All watchers may be gone at once, or the gossip path to this node. Silence about the platform shows that, and every
// node then polls. Thousands that begin together would break the service's rate, so each waits a random part of an
// interval that grows with the fleet; the first one that gets an answer calms the others by gossip.
void Spreader::callWhenDue(const SpreadTick& event)
{
    auto now = event.now;
    if (m_isCalling && now >= m_callDeadline + completionGrace)
        m_isCalling = false;
    if (m_isCalling)
        return;
    auto isFirst = !m_document && !m_lastContact;
    auto isSilent = !m_lastContact || now - *m_lastContact > m_options.silenceLimit;
    auto mayCall = m_isWatcher || !m_document || isSilent;
    if (!mayCall) {
        m_nextCall.reset();
        return;
    }
    if (!m_nextCall) {
        auto spread = isFirst ? m_options.startJitter : pollInterval(m_fleetSize);
        m_nextCall = now + std::chrono::duration_cast<Clock::duration>(spread * m_random.unit());
    }
    if (now < *m_nextCall)
        return;
    m_isCalling = true;
    m_callDeadline = now + m_options.watchTime;
    ++m_counters.platformCalls;
    m_effects->emplace_back(CallPlatform { m_topic, std::max(revision(), m_highestRefused), m_callDeadline });
}

milliseconds Spreader::fairInterval(std::size_t fleetSize) const
{
    auto callers = static_cast<double>(fleetSize * membership::topicCount);
    return milliseconds(static_cast<std::int64_t>(1000.0 * callers / m_options.fleetCallsPerSecond));
}

milliseconds Spreader::pollInterval(std::size_t fleetSize) const
{
    return std::max(m_options.shortestPoll, fairInterval(fleetSize));
}

TimePoint Spreader::after(TimePoint now, milliseconds mean)
{
    return now + std::chrono::duration_cast<Clock::duration>(mean * (0.5 + m_random.unit()));
}

void Spreader::on(const PlatformAnswered& event)
{
    m_isCalling = false;
    auto& answer = event.answer;
    auto hasAnswer = answer.outcome == PlatformOutcome::Body || answer.outcome == PlatformOutcome::Unchanged;
    if (hasAnswer) {
        m_failures = 0;
        m_lastContact = event.now;
        m_nextCall.reset();
        // A watcher asks again at once, but never in a tight loop: a broken service may answer without waiting.
        if (m_isWatcher)
            m_nextCall = event.now + m_options.shortestRetry / 10;
    } else {
        auto base = m_isWatcher || !m_document ? std::max(m_options.shortestRetry, fairInterval(m_fleetSize)) : pollInterval(m_fleetSize);
        m_nextCall = after(event.now, base * (1 << std::min(m_failures, largestBackoff)));
        ++m_failures;
    }
    if (answer.outcome != PlatformOutcome::Body)
        return;
    // A stale replica answers with what was in force some time ago. Taking it would undo an accepted change here.
    if (m_document && answer.revision <= m_document->revision()) {
        ++m_counters.staleAnswers;
        return;
    }
    if (answer.body.size() > maxDocumentBytes)
        return refuse(answer.revision, Digest {}, "larger than a document may be");
    auto body = std::make_shared<const std::string>(answer.body);
    take(Document::create(m_topic, answer.revision, std::move(body)));
}

void Spreader::on(const AnnouncementHeard& event)
{
    auto& heard = event.announcement;
    if (heard.platformAge < unknownAge) {
        auto contact = event.now - heard.platformAge;
        m_lastContact = std::max(m_lastContact.value_or(contact), contact);
    }
    if (m_document && heard.revision <= m_document->revision()) {
        if (heard.revision == m_document->revision() && heard.digest != m_document->digest())
            m_effects->emplace_back(RevisionConflict { m_topic, heard.revision });
        return;
    }
    if (isRefused(heard.revision, heard.digest))
        return;
    if (heard.revision >= m_highestHeard || !isBehind(event.now)) {
        m_highestHeard = heard.revision;
        m_highestHeardAt = event.now;
    }
    // A revision that nobody can deliver (a damaged datagram named it, or its holders died) must not shut out those
    // that can be had.
    auto isAbandoned = m_candidate && m_candidate->peers.empty() && !m_candidate->ticket;
    if (!m_candidate || isAbandoned || m_candidate->revision < heard.revision) {
        m_candidate = Candidate {};
        m_candidate->revision = heard.revision;
        m_candidate->digest = heard.digest;
    }
    if (m_candidate->revision != heard.revision || m_candidate->digest != heard.digest)
        return;
    auto& peers = m_candidate->peers;
    auto isKnown = std::find(peers.begin(), peers.end(), event.peer) != peers.end();
    if (!isKnown && peers.size() < maxCandidatePeers)
        peers.push_back(event.peer);
    pullNext(event.now);
}

void Spreader::pullNext(TimePoint now)
{
    if (!m_candidate || m_candidate->ticket || m_candidate->peers.empty())
        return;
    auto& candidate = *m_candidate;
    candidate.asked = candidate.manifest ? missingParts() : std::vector<Digest> { candidate.digest };
    if (candidate.asked.empty())
        return assemble();
    candidate.askedPeer = candidate.peers[m_random.below(candidate.peers.size())];
    candidate.ticket = m_random.next() | 1;
    candidate.deadline = now + m_options.pullTime;
    ++m_counters.pulls;
    m_effects->emplace_back(PullBlobs { m_topic, candidate.askedPeer, candidate.asked, candidate.deadline, candidate.ticket });
}

std::vector<Digest> Spreader::missingParts() const
{
    std::vector<Digest> missing;
    std::size_t bytes = 0;
    for (auto& part : m_candidate->manifest->parts) {
        if (pulledPart(part.digest) || (m_document && m_document->blob(part.digest)))
            continue;
        if (std::find(missing.begin(), missing.end(), part.digest) != missing.end())
            continue;
        bytes += part.size;
        if (!missing.empty() && bytes > m_options.pullBytes)
            break;
        missing.push_back(part.digest);
    }
    return missing;
}

const std::string* Spreader::pulledPart(const Digest& digest) const
{
    auto it = m_pulledParts.find(digest);
    return it == m_pulledParts.end() ? nullptr : &it->second;
}

void Spreader::on(const BlobsPulled& event)
{
    if (!m_candidate || m_candidate->ticket != event.ticket)
        return;
    m_candidate->ticket = 0;
    if (event.status != PullStatus::Ok || !keepBlobs(event)) {
        ++m_counters.failedPulls;
        dropPeer(m_candidate->askedPeer);
    }
    pullNext(event.now);
}

/// False when the peer sent nothing of use, or bytes that are not what their digest says.
bool Spreader::keepBlobs(const BlobsPulled& event)
{
    auto& candidate = *m_candidate;
    if (event.blobs.empty() || event.blobs.size() > candidate.asked.size())
        return false;
    for (std::size_t i = 0; i < event.blobs.size(); ++i) {
        auto& blob = event.blobs[i];
        if (membership::digestOf(blob) != candidate.asked[i])
            return false;
        m_counters.pulledBytes += blob.size();
        if (candidate.manifest) {
            if (m_pulledParts.size() >= maxPulledParts)
                m_pulledParts.clear();
            m_pulledParts[candidate.asked[i]] = blob;
            continue;
        }
        auto manifest = Manifest::decode(blob);
        if (!manifest)
            return false;
        candidate.manifest = std::move(*manifest);
        candidate.manifestBytes = blob;
    }
    return true;
}

void Spreader::dropPeer(const PeerAddress& peer)
{
    std::erase(m_candidate->peers, peer);
}

void Spreader::assemble()
{
    auto candidate = std::move(*m_candidate);
    m_candidate.reset();
    std::string body;
    body.reserve(candidate.manifest->size());
    for (auto& part : candidate.manifest->parts) {
        auto* pulled = pulledPart(part.digest);
        body += pulled ? std::string_view(*pulled) : *m_document->blob(part.digest);
    }
    m_pulledParts.clear();
    auto shared = std::make_shared<const std::string>(std::move(body));
    take(Document::create(m_topic, candidate.revision, std::move(shared), std::move(candidate.manifestBytes)));
}

void Spreader::take(std::shared_ptr<const Document> document)
{
    if (isRefused(document->revision(), document->digest()))
        return;
    auto validity = m_check ? m_check(*document->body()) : Validity {};
    if (!validity.isValid)
        return refuse(document->revision(), document->digest(), std::move(validity.problem));
    m_previous = std::exchange(m_document, std::move(document));
    if (m_candidate && m_candidate->revision <= m_document->revision()) {
        m_candidate.reset();
        m_pulledParts.clear();
    }
    m_effects->emplace_back(DocumentTaken { m_document });
}

void Spreader::refuse(Revision revision, const Digest& digest, std::string problem)
{
    m_refused[revision] = digest;
    if (m_refused.size() > maxRefused)
        m_refused.erase(m_refused.begin());
    // Watching past the refused revision: the service would answer with it at once, over and over.
    m_highestRefused = std::max(m_highestRefused, revision);
    if (m_highestHeard == revision)
        m_highestHeard = Revision();
    m_effects->emplace_back(DocumentRefused { m_topic, revision, std::move(problem) });
}

bool Spreader::isBehind(TimePoint now) const
{
    return m_highestHeard > revision() && now - m_highestHeardAt <= hearsayTime;
}

bool Spreader::isRefused(Revision revision, const Digest& digest) const
{
    auto it = m_refused.find(revision);
    return it != m_refused.end() && it->second == digest;
}

std::optional<Announcement> Spreader::announcement(TimePoint now) const
{
    if (!m_document)
        return std::nullopt;
    Announcement announcement { m_topic, m_document->revision(), m_document->digest(), unknownAge };
    if (m_lastContact)
        announcement.platformAge = std::min(unknownAge, std::chrono::duration_cast<milliseconds>(now - *m_lastContact));
    return announcement;
}

std::optional<std::string_view> Spreader::blob(const Digest& digest) const
{
    for (auto* document : { m_document.get(), m_previous.get() }) {
        if (!document)
            continue;
        if (auto blob = document->blob(digest))
            return blob;
    }
    return std::nullopt;
}

} // namespace swiftloft::spread
