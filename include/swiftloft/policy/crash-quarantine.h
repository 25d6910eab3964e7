#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace swiftloft::policy {

/// Names one crash of one backend server; from `crashIdOf`.
using CrashId = Strong<struct CrashIdTag, std::uint64_t>;

/// `count` numbers the crashes that this agent incarnation has seen of its engine.
CrashId crashIdOf(const BackendServerId& server, Incarnation agent, std::uint64_t count);

/// The server that runs a suspect: the same at every entry that sees the same candidates, so that all copies of one
/// suspect meet at one agent, which runs one at a time. Linear in the candidates; suspects are rare.
std::optional<BackendServerId> isolationServer(Fingerprint fingerprint, std::span<const BackendServerId> candidates);

/// What was in flight on a backend server when it crashed.
struct CrashReport {
    CrashId crash;
    std::vector<Fingerprint> inFlight;
};

/// News of one fingerprint and one crash, small enough to be spread to every entry and agent.
struct SuspicionMessage {
    Fingerprint fingerprint;
    CrashId crash;
    /// The fingerprint has ended well elsewhere since, so it did not cause this crash.
    bool isCleared { false };
    /// Life left at sending; no common clock exists, so each receiver stores its own time point.
    milliseconds remaining { 0 };
    /// Nodes this news has passed through.
    std::uint32_t hops { 0 };

    friend bool operator==(const SuspicionMessage&, const SuspicionMessage&) = default;
};

enum class QuarantineAction {
    Admit,
    /// A suspect: send it to `suspectServer`, alone.
    RunAlone,
    /// A suspect of which a copy is running: refuse for now. This attempt has not run; a resend's earlier ones may have.
    Wait,
    /// Convicted: refuse until `until`. This attempt has not run; a resend's earlier ones may have.
    Refuse,
};

std::string_view toString(QuarantineAction action);

struct QuarantineDecision {
    QuarantineAction action { QuarantineAction::Admit };
    TimePoint until;
};

struct CrashQuarantineOptions {
    /// How long one crash keeps its suspects; a second crash within that time convicts.
    seconds suspicionPeriod { 600 };
    seconds quarantinePeriod { 3600 };
    std::size_t capacity { 4096 };
    /// News that has passed through more nodes is dropped. Far more than any spread needs.
    std::uint32_t maximumHops { 16 };
};

/// Finds the request that crashes whatever runs it, at entries and, as the second line, at agents.
///
/// All that was in flight at a crash is suspect. A suspect runs alone; ending well clears it, so innocent neighbours
/// are released. Two crashes that were not cleared convict. The state is a set of (fingerprint, crash, cleared), so
/// messages may come doubled, late and in any order: every node that has the same messages decides alike.
class CrashQuarantine {
public:
    static Result<CrashQuarantine> create(CrashQuarantineOptions options);

    /// True when nothing is suspect: no fingerprint needs to be computed.
    bool empty() const { return m_records.empty(); }
    QuarantineDecision check(Fingerprint fingerprint, TimePoint now) const;
    /// A run that `check` answered with `RunAlone` begins; call `onEnd` after it, whatever its outcome.
    void onStartAlone(Fingerprint fingerprint);
    void onEndAlone(Fingerprint fingerprint);
    /// Any run has ended well. Returns the news to spread.
    std::vector<SuspicionMessage> onSuccess(Fingerprint fingerprint, TimePoint now);
    std::vector<SuspicionMessage> onCrash(const CrashReport& report, TimePoint now);
    /// True when the message was news and is to be spread further.
    bool onMessage(const SuspicionMessage& message, TimePoint now);
    /// Everything known, for a node that has just joined.
    std::vector<SuspicionMessage> snapshot(TimePoint now) const;
    /// Drops what has expired.
    void tick(TimePoint now);

    std::size_t size() const { return m_records.size(); }

private:
    struct Crash {
        CrashId id;
        TimePoint expiresAt;
        bool isCleared { false };
        std::uint32_t hops { 0 };
    };
    struct Record {
        std::vector<Crash> crashes;
        unsigned running { 0 };
    };
    using Records = boost::unordered_flat_map<Fingerprint, Record, std::hash<Fingerprint>>;

    explicit CrashQuarantine(CrashQuarantineOptions options);
    bool merge(Fingerprint fingerprint, Crash crash, TimePoint now);
    void evictToCapacity(TimePoint now);
    void extendQuarantine(Record& record, TimePoint now) const;
    SuspicionMessage messageOf(Fingerprint fingerprint, const Crash& crash, TimePoint now) const;

    CrashQuarantineOptions m_options;
    Records m_records;
};

} // namespace swiftloft::policy
