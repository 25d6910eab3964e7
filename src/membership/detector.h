#pragma once

#include "src/membership/member-table.h"
#include "src/membership/probe-schedule.h"
#include "src/membership/update-queue.h"

#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace swiftloft::membership {

/// Intervals, timeouts and fan-outs of failure detection. The defaults are given in docs/design/membership.md.
struct DetectorOptions {
    milliseconds probeInterval { 500 };
    milliseconds gossipInterval { 200 }; ///< Time between datagrams that only carry updates, if fresh ones are queued.
    milliseconds directTimeout { 400 }; ///< Wait for the reply to a ping before peers are asked to ping the member.
    milliseconds indirectTimeout { 600 }; ///< Wait for the indirect pings before the member becomes suspect.
    milliseconds suspicionTimeout { 3000 }; ///< Time within which a suspect has to refute the suspicion.
    milliseconds pauseThreshold { 1000 }; ///< A longer gap between two events means that this process was paused.
    /// Time after a pause for which this node waits for peers before it judges the health of members again.
    milliseconds refreshTimeout { 10'000 };
    std::size_t indirectProbes { 3 }; ///< Peers asked to ping a member that did not reply.
    std::size_t leavingFanout { 8 }; ///< Peers notified immediately by a process that starts leaving.
    std::size_t relayFanout { 3 }; ///< Peers notified immediately by a node that learns that a member is leaving.
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
/// `Detector::view()` returns a new view.
struct ViewChanged { };
/// This process has started leaving, either on request or because the list or a peer marks it as leaving.
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
    std::uint64_t suspicionsRaised { 0 }; ///< Suspicions raised by this node's own probes.
    std::uint64_t suspicionsRefuted { 0 }; ///< False suspicions, raised by this node or reported by peers.
    std::uint64_t deathsDeclared { 0 };
    std::uint64_t deathsRefuted { 0 }; ///< False deaths: a dead member became alive again in the same incarnation.
    std::uint64_t selfRefutations { 0 }; ///< Suspicions or deaths of this process that it refuted.
    std::uint64_t pausesDetected { 0 };
};

/// Failure detector and gossip of membership updates, implemented as a reducer over its events.
///
/// Follows SWIM (Das, Gupta, Motivala 2002): in each interval, the node pings one member. If the member does not reply,
/// the node asks peers to ping it. If they get no reply either, the member becomes suspect. The member can refute the
/// suspicion with a higher sequence. If it does not do so in time, it is declared dead.
///
/// Differences from SWIM:
/// - A death reported by a peer is never adopted. A node declares a death only after its own wait for a refutation.
/// - A death can be refuted too, because a paused process may resume.
/// - A leaving mark is never cleared within one incarnation.
/// - Members of other regions are tracked by data centre.
/// - A node that may itself be at fault (it was paused, or receives no messages) does not share its judgements.
class Detector {
public:
    Detector(ListedInstance self, OrderedIncarnation incarnation, Topology topology, DetectorOptions options, std::uint64_t seed);

    void step(const DetectorEvent& event, DetectorEffects& effects);

    /// Returns the current view. Rebuilt only after a change.
    std::shared_ptr<const View> view();
    /// Returns a message that describes this node as its sender and carries queued updates.
    Message makeMessage(MessageKind kind);
    /// Returns up to `maxCount` random peers: about half of them in this data centre, some in the rest of the region
    /// and a few elsewhere.
    std::vector<PeerAddress> pickPeers(std::size_t maxCount);
    /// Adds a peer that is not in the instance list yet.
    void addSeed(const PeerAddress& peer);

    const DetectorCounters& counters() const { return m_counters; }
    const MemberTable& table() const { return m_table; }
    bool isLeaving() const { return m_isLeaving; }
    bool isRefreshing() const { return m_isRefreshing; }
    std::size_t memoryBytes() const;

private:
    /// Time without a message from any member after which a node no longer trusts its judgements of other members.
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
    std::map<std::uint64_t, Relay> m_relays; ///< By the nonce of the ping sent on behalf of another node.
    std::vector<NodeKey> m_suspects;
    std::map<DataCentreName, int> m_remoteMisses; ///< Consecutive failed probes per data centre of other regions.
    DetectorEffects* m_effects { nullptr }; ///< Set only during `step`.
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
