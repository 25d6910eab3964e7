#pragma once

#include "src/membership/detector.h"
#include "src/spread/serve-budget.h"
#include "src/spread/spreader.h"

#include <swiftloft/membership/view.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace swiftloft::spread {

struct ControlOptions {
    membership::DetectorOptions detector;
    SpreadOptions spread;
    std::size_t watchersPerDataCentre { 2 }; ///< For each topic.
    std::size_t announceFanout { 4 }; ///< Peers told at once of a new revision.
    std::size_t joinPeers { 5 }; ///< Asked by a node that starts.
    std::size_t joinAnswers { 3 }; ///< Ready peers that must have answered before it is ready.
    milliseconds joinTime { 3000 }; ///< After which fewer answers will do, if somebody answered at all.
    milliseconds lonelyJoinTime { 10'000 }; ///< After which no answer will do.
    std::size_t assumedFleetSize { 1000 }; ///< Before an instance list is held; paces calls to the platform.
    Bytes serveBurst { 4 * 1024 * 1024 }; ///< Parts served to peers at once, and the rate at which that refills.
    Bytes serveRate { 10 * 1024 }; ///< A second.
};

struct DatagramArrived {
    PeerAddress from;
    membership::Message message;
    TimePoint now;
};
struct PlatformReplied {
    Topic topic { Topic::Settings };
    PlatformAnswer answer;
    TimePoint now;
};
struct PullEnded {
    Topic topic { Topic::Settings };
    BlobsPulled result;
};
using ControlEvent = std::variant<membership::Tick, DatagramArrived, PlatformReplied, PullEnded, membership::LeaveRequested>;

struct ViewPublished {
    std::shared_ptr<const membership::View> view;
};
struct SettingsInForce {
    std::shared_ptr<const Document> document;
};
/// Settings and list are held and checked against peers. Once.
struct NodeReady { };
/// This process is leaving. Once.
struct NodeLeaving { };
/// Malformed elements of the instance list that is now in force.
struct InstancesLeftOut {
    Revision revision;
    std::vector<membership::LeftOutInstance> leftOut;
};
using ControlEffect = std::variant<membership::SendMessage, CallPlatform, PullBlobs, ViewPublished, SettingsInForce, NodeReady,
    NodeLeaving, DocumentRefused, InstancesLeftOut, RevisionConflict, membership::MemberChanged, membership::PauseDetected>;
using ControlEffects = std::vector<ControlEffect>;

/// All control state of one process: membership, spread of settings and of the instance list, and whether it may take
/// traffic. A reducer over its events; the instance list that the spread brings is fed to membership.
class Control {
public:
    Control(membership::ListedInstance self, membership::OrderedIncarnation life, membership::Topology topology, ControlOptions options,
        Spreader::Check checkSettings, std::uint64_t seed);

    void step(const ControlEvent& event, ControlEffects& effects);

    /// Answers a peer's pull. Busy when more has been served than the budget allows.
    BlobsPulled serve(const std::vector<Digest>& digests, TimePoint now);
    void addSeed(const PeerAddress& peer) { m_detector.addSeed(peer); }

    bool isReady() const { return m_isReady; }
    bool isLeaving() const { return m_detector.isLeaving(); }
    std::shared_ptr<const membership::View> view() const { return m_view; }
    const Spreader& spreader(Topic topic) const { return m_spreaders[static_cast<std::size_t>(topic)]; }
    const membership::Detector& detector() const { return m_detector; }
    bool isWatcher(Topic topic) const { return m_isWatcher[static_cast<std::size_t>(topic)]; }
    std::size_t memoryBytes() const;

private:
    void on(const membership::Tick& event);
    void on(const DatagramArrived& event);
    void on(const PlatformReplied& event);
    void on(const PullEnded& event);
    void on(const membership::LeaveRequested& event);

    Spreader& spreaderOf(Topic topic) { return m_spreaders[static_cast<std::size_t>(topic)]; }
    void stepDetector(const membership::DetectorEvent& event);
    void stepSpreader(Topic topic, const SpreadEvent& event);
    void handle(membership::SendMessage effect);
    void handle(const DocumentTaken& effect);
    void handle(membership::ViewChanged effect);
    void handle(membership::SelfLeaving effect);
    template <typename T>
    void handle(T effect)
    {
        m_effects->emplace_back(std::move(effect));
    }
    Spreader::Check checkInstances();
    void takeList(const Document& document);
    void announce();
    void complete(membership::Message& message) const;
    void sendNews(const PeerAddress& to);
    void publishView();
    void chooseWatchers();
    void join();
    bool maySettle() const;

    membership::ListedInstance m_self;
    ControlOptions m_options;
    /// Of the list that the instances' spreader last found valid, until it is taken.
    std::shared_ptr<std::optional<membership::InstanceList>> m_parsedList;
    membership::Detector m_detector;
    std::array<Spreader, membership::topicCount> m_spreaders;
    ServeBudget m_serveBudget;
    membership::Random m_random;
    std::shared_ptr<const membership::View> m_view;
    std::array<bool, membership::topicCount> m_isWatcher {};
    ControlEffects* m_effects { nullptr }; ///< Only during `step`.
    TimePoint m_now;
    TimePoint m_nextView;
    std::optional<TimePoint> m_joinStart; ///< When the first instance list was taken.
    TimePoint m_nextJoinRound;
    std::set<membership::NodeKey> m_heardPeers; ///< While joining.
    std::set<membership::NodeKey> m_readyPeers; ///< Of those, who said that they are ready.
    bool m_isViewDirty { true };
    bool m_isReady { false };
};

} // namespace swiftloft::spread
