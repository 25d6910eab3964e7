#pragma once

#include "src/membership/member-table.h"
#include "src/membership/probe-schedule.h"
#include "src/membership/update-queue.h"

#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace swiftloft::membership {

/// Times and counts of failure detection. The defaults are those of docs/design/membership.md.
struct DetectorOptions {
    milliseconds probeInterval { 500 };
    milliseconds gossipInterval { 200 }; ///< Between datagrams that only carry news, while there is any.
    milliseconds directTimeout { 400 }; ///< Of a ping, before others are asked to ping.
    milliseconds indirectTimeout { 600 }; ///< Of the pings of others, before the member is suspect.
    milliseconds suspicionTimeout { 3000 }; ///< That a suspect has to refute.
    milliseconds pauseThreshold { 1000 }; ///< A longer gap between two events means that this process stood still.
    milliseconds refreshTimeout { 10'000 }; ///< After a pause, before the node judges again although nobody answered.
    std::size_t indirectProbes { 3 };
    std::size_t leavingFanout { 8 }; ///< Peers told at once by a process that leaves.
    std::size_t relayFanout { 3 }; ///< Peers told at once by who hears of a leaving member first.
};

struct Tick {
    TimePoint now;
};
struct MessageReceived {
    PeerAddress from;
    Message message;
    TimePoint now;
};
struct InstanceListReceived {
    std::shared_ptr<const InstanceList> list;
    TimePoint now;
};
struct LeaveRequested {
    TimePoint now;
};
using DetectorEvent = std::variant<Tick, MessageReceived, InstanceListReceived, LeaveRequested>;

struct SendMessage {
    PeerAddress to;
    Message message;
};
/// `Detector::view()` gives a new view.
struct ViewChanged { };
/// This process is leaving: it was told to, or the list or a peer says so.
struct SelfLeaving { };
struct MemberChanged {
    NodeId id;
    Health health;
    bool isLeaving;
};
struct PauseDetected {
    milliseconds length;
};
using DetectorEffect = std::variant<SendMessage, ViewChanged, SelfLeaving, MemberChanged, PauseDetected>;
using DetectorEffects = std::vector<DetectorEffect>;

struct DetectorCounters {
    std::uint64_t suspicionsRaised { 0 }; ///< By this node's own probes.
    std::uint64_t suspicionsRefuted { 0 }; ///< Of those and of what peers said: false suspicions.
    std::uint64_t deathsDeclared { 0 };
    std::uint64_t deathsRefuted { 0 }; ///< A member held dead spoke again within the same incarnation: false deaths.
    std::uint64_t selfRefutations { 0 };
    std::uint64_t pausesDetected { 0 };
};

/// Failure detection and spread of membership news: a reducer over its events.
///
/// As SWIM (Das, Gupta, Motivala 2002): a ping each interval to one member; no answer, pings through others; no answer,
/// suspicion, which the member may refute by a higher sequence; no refutation, death. With these differences: death is
/// never taken from a peer's word, only from the node's own wait for a refutation; it can be refuted too, since a paused process wakes; a leaving mark never goes within one life; members of other regions
/// are followed by data centre; and a node that has reason to doubt itself (it stood still, or hears nobody) keeps its
/// judgements to itself.
class Detector {
public:
    Detector(ListedInstance self, OrderedIncarnation incarnation, Topology topology, DetectorOptions options, std::uint64_t seed);

    void step(const DetectorEvent& event, DetectorEffects& effects);

    /// Built anew only after a change.
    std::shared_ptr<const View> view();
    /// A message that says who sends it and carries queued updates.
    Message makeMessage(MessageKind kind);
    /// Random peers, about half of them in this data centre, some in the region, a few elsewhere.
    std::vector<PeerAddress> pickPeers(std::size_t maxCount);
    /// Remembers a peer that the list does not name yet.
    void addSeed(const PeerAddress& peer);

    const DetectorCounters& counters() const { return m_counters; }
    const MemberTable& table() const { return m_table; }
    bool isLeaving() const { return m_isLeaving; }
    bool isRefreshing() const { return m_isRefreshing; }
    std::size_t memoryBytes() const;

private:
    /// Silence from everybody after which a node no longer trusts what it believes of others.
    static constexpr milliseconds isolationTimeout { 3000 };
    static constexpr int missesUntilUnreachable = 3;

    struct PendingProbe {
        NodeKey target;
        TimePoint sentAt;
        TimePoint deadline;
        bool isIndirect { false };
    };
    struct Relay {
        PeerAddress origin;
        std::uint64_t originNonce { 0 };
        TimePoint deadline;
    };

    void on(const Tick& event);
    void on(const MessageReceived& event);
    void on(const InstanceListReceived& event);
    void on(const LeaveRequested& event);

    void detectPause(TimePoint now);
    void endRefresh(TimePoint now);
    void startProbe(TimePoint now);
    void probe(const MemberRecord& record, TimePoint now);
    void probeNeighbour(const MemberRecord& suspect, TimePoint now);
    void expireProbes(TimePoint now);
    void sendIndirectProbes(std::uint64_t nonce, PendingProbe& probe, TimePoint now);
    void onProbeFailed(const PendingProbe& probe, TimePoint now);
    void markSuspect(MemberRecord& record, bool isHealthLocal, TimePoint now);
    void expireSuspicions(TimePoint now);
    void resetLocalHealth();
    void gossipIfDue(TimePoint now);
    std::optional<DataCentreName> suspectDataCentre() const;

    void mergeSender(const MessageReceived& event);
    void notifyRevivedMember(const MessageReceived& event);
    void mergeUpdates(const MessageReceived& event);
    void mergeUpdate(const MemberUpdate& update, TimePoint now, std::vector<MemberUpdate>& corrections);
    void onSelfUpdate(const MemberUpdate& update);
    void recordChange(const MemberRecord& record, Health healthBefore, bool wasLeaving, TimePoint now);
    void replyToPing(const MessageReceived& event);
    void onAck(const MessageReceived& event);
    void relayPing(const MessageReceived& event);
    void replyToSync(const MessageReceived& event);
    void requestSync(TimePoint now);

    void startLeaving();
    void queueUpdate(const MemberRecord& record);
    void queueSelfUpdate();
    void sendGossip(std::size_t fanout);
    void send(const PeerAddress& to, Message message);
    void sendToMember(const MemberRecord& record, MessageKind kind, std::uint64_t nonce);
    bool isDataCentreReachable(const DataCentreName& dataCentre) const;

    ListedInstance m_self;
    NodeKey m_key;
    OrderedIncarnation m_incarnation;
    DetectorOptions m_options;
    Random m_random;
    MemberTable m_table;
    Revision m_listRevision;
    ProbeSchedule m_schedule;
    UpdateQueue m_queue;
    std::vector<PeerAddress> m_seeds;
    std::map<std::uint64_t, PendingProbe> m_probes; ///< By nonce.
    std::map<std::uint64_t, Relay> m_relays; ///< By the nonce of the ping sent for another.
    std::vector<NodeKey> m_suspects;
    std::map<DataCentreName, int> m_remoteMisses; ///< Failed probes in a row into each data centre of other regions.
    DetectorEffects* m_effects { nullptr }; ///< Only during `step`.
    std::shared_ptr<const View> m_view;
    DetectorCounters m_counters;
    TimePoint m_lastEventAt;
    TimePoint m_lastReceivedAt;
    TimePoint m_nextProbe;
    TimePoint m_resumedAt;
    TimePoint m_nextSync;
    TimePoint m_nextGossip;
    TimePoint m_nextRevivalNotice;
    std::uint64_t m_syncNonce { 0 };
    std::size_t m_syncReplies { 0 };
    std::uint32_t m_sequence { 0 };
    bool m_isLeaving { false };
    bool m_isSuperseded { false };
    bool m_isRefreshing { false };
    bool m_hasUrgentUpdate { false };
    bool m_isViewDirty { true };
};

} // namespace swiftloft::membership
