#pragma once

#include "src/membership/random.h"
#include "src/spread/document.h"
#include "src/spread/platform-client.h"

#include <swiftloft/membership/message.h>
#include <swiftloft/units.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace swiftloft::spread {

using membership::Announcement;
using membership::PeerAddress;

/// Whether a document may be put in force. A pure function of the bytes, so that all nodes decide alike.
struct Validity {
    bool isValid { true };
    std::string problem;
};

/// Times and rates of the spread. The defaults are those of docs/design/membership.md.
struct SpreadOptions {
    milliseconds startJitter { 1000 }; ///< Within which a starting node makes its first call to the platform.
    milliseconds watchTime { 25'000 }; ///< Deadline of a watch; longer than the service holds one.
    milliseconds silenceLimit { 30'000 }; ///< Without word that anybody reached the platform, before a node polls.
    milliseconds shortestPoll { 5000 };
    milliseconds shortestRetry { 1000 };
    double fleetCallsPerSecond { 500 }; ///< That the polls of the whole fleet may sum up to, both topics together.
    milliseconds pullTime { 2000 }; ///< Deadline of one pull from a peer.
    std::size_t pullBytes { 64 * 1024 }; ///< Most bytes of parts asked for at once.
};

struct SpreadTick {
    TimePoint now;
    bool isWatcher { false };
    std::size_t fleetSize { 1 };
};
struct AnnouncementHeard {
    PeerAddress peer;
    Announcement announcement;
    TimePoint now;
};
enum class PullStatus : std::uint8_t {
    Ok,
    Busy, ///< The peer has served its share; another may serve.
    Unknown, ///< The peer does not hold it (any more).
    Failed,
};
struct BlobsPulled {
    std::uint64_t ticket { 0 };
    PullStatus status { PullStatus::Failed };
    std::vector<std::string> blobs; ///< In the order asked for; may be fewer.
    TimePoint now;
};
struct PlatformAnswered {
    PlatformAnswer answer;
    TimePoint now;
};
using SpreadEvent = std::variant<SpreadTick, AnnouncementHeard, BlobsPulled, PlatformAnswered>;

/// Waits at the platform for a revision above `known`.
struct CallPlatform {
    Topic topic;
    Revision known;
    TimePoint deadline;
};
struct PullBlobs {
    Topic topic;
    PeerAddress peer;
    std::vector<Digest> digests;
    TimePoint deadline;
    std::uint64_t ticket { 0 };
};
/// A higher revision than any before is held whole and valid; peers should hear of it at once.
struct DocumentTaken {
    std::shared_ptr<const Document> document;
};
struct DocumentRefused {
    Topic topic;
    Revision revision;
    std::string problem;
};
/// A peer or the platform named the revision in force with other contents.
struct RevisionConflict {
    Topic topic;
    Revision revision;
};
using SpreadEffect = std::variant<CallPlatform, PullBlobs, DocumentTaken, DocumentRefused, RevisionConflict>;
using SpreadEffects = std::vector<SpreadEffect>;

struct SpreadCounters {
    std::uint64_t platformCalls { 0 };
    std::uint64_t staleAnswers { 0 }; ///< The platform gave an older revision than the one held.
    std::uint64_t pulls { 0 };
    std::uint64_t pulledBytes { 0 };
    std::uint64_t failedPulls { 0 };
};

/// Spread of one published document: a reducer over its events.
///
/// A revision in force is only ever replaced by a higher one that is whole and valid, whoever brings it. So a stale
/// replica, a late waker and a healed partition can only raise a node's revision.
class Spreader {
public:
    using Check = std::function<Validity(std::string_view)>;

    Spreader(Topic topic, SpreadOptions options, Check check, std::uint64_t seed);

    void step(const SpreadEvent& event, SpreadEffects& effects);

    const std::shared_ptr<const Document>& document() const { return m_document; }
    Revision revision() const { return m_document ? m_document->revision() : Revision(); }
    /// What to tell peers; none before a document is held.
    std::optional<Announcement> announcement(TimePoint now) const;
    /// True while peers announce a higher revision, not refused, that is not yet in force here.
    bool isBehind(TimePoint now) const;
    /// A manifest or part of the document in force or of the one before, for a peer.
    std::optional<std::string_view> blob(const Digest& digest) const;

    const SpreadCounters& counters() const { return m_counters; }

private:
    /// A revision that peers announce and this node does not hold.
    struct Candidate {
        Revision revision;
        Digest digest;
        std::vector<PeerAddress> peers; ///< Who has announced it and not failed since.
        std::optional<Manifest> manifest;
        std::string manifestBytes;
        std::vector<Digest> asked;
        PeerAddress askedPeer;
        std::uint64_t ticket { 0 }; ///< 0: no pull under way.
        TimePoint deadline;
    };

    void on(const SpreadTick& event);
    void on(const AnnouncementHeard& event);
    void on(const BlobsPulled& event);
    void on(const PlatformAnswered& event);

    void callWhenDue(const SpreadTick& event);
    milliseconds fairInterval(std::size_t fleetSize) const;
    milliseconds pollInterval(std::size_t fleetSize) const;
    TimePoint after(TimePoint now, milliseconds mean);
    void pullNext(TimePoint now);
    std::vector<Digest> missingParts() const;
    const std::string* pulledPart(const Digest& digest) const;
    bool keepBlobs(const BlobsPulled& event);
    void dropPeer(const PeerAddress& peer);
    void assemble();
    void take(std::shared_ptr<const Document> document);
    void refuse(Revision revision, const Digest& digest, std::string problem);
    bool isRefused(Revision revision, const Digest& digest) const;

    Topic m_topic;
    SpreadOptions m_options;
    Check m_check;
    membership::Random m_random;
    std::shared_ptr<const Document> m_document;
    std::shared_ptr<const Document> m_previous;
    std::map<Revision, Digest> m_refused;
    Revision m_highestRefused;
    std::optional<Candidate> m_candidate;
    Revision m_highestHeard;
    TimePoint m_highestHeardAt;
    std::unordered_map<Digest, std::string, DigestHash> m_pulledParts;
    SpreadEffects* m_effects { nullptr }; ///< Only during `step`.
    SpreadCounters m_counters;
    std::optional<TimePoint> m_lastContact; ///< When somebody last had an answer from the platform.
    std::optional<TimePoint> m_nextCall;
    TimePoint m_callDeadline;
    bool m_isCalling { false };
    bool m_isWatcher { false };
    unsigned m_failures { 0 };
    std::size_t m_fleetSize { 1 };
};

} // namespace swiftloft::spread
