#include "src/spread/control.h"

#include <swiftloft/membership/instance-list.h>
#include <swiftloft/membership/rendezvous.h>

#include <algorithm>
#include <utility>

namespace swiftloft::spread {

using membership::Message;
using membership::MessageKind;
using membership::NodeKey;

namespace {

/// Views are rebuilt no more often, however much news there is; a leaving member is not held up by it.
constexpr milliseconds viewInterval { 250 };
constexpr milliseconds joinRound { 500 };
constexpr std::size_t largestServe = 128 * 1024;

} // namespace

Control::Control(membership::ListedInstance self, membership::OrderedIncarnation life, membership::Topology topology, ControlOptions options,
    Spreader::Check checkSettings, std::uint64_t seed)
    : m_self(self)
    , m_options(options)
    , m_parsedList(std::make_shared<std::optional<membership::InstanceList>>())
    , m_detector(std::move(self), life, std::move(topology), options.detector, seed)
    , m_spreaders { Spreader(Topic::Settings, options.spread, std::move(checkSettings), seed + 1),
        Spreader(Topic::Instances, options.spread, checkInstances(), seed + 2) }
    , m_serveBudget(options.serveBurst, options.serveRate)
    , m_random(seed + 3)
    , m_view(m_detector.view())
{
}

/// Keeps the parsed list for `takeList`: at the design size parsing it takes tens of milliseconds.
Spreader::Check Control::checkInstances()
{
    return [parsed = m_parsedList](std::string_view body) {
        auto list = membership::parseInstanceList(body);
        if (!list)
            return Validity { false, list.error().message };
        *parsed = std::move(*list);
        return Validity {};
    };
}

void Control::step(const ControlEvent& event, ControlEffects& effects)
{
    m_effects = &effects;
    std::visit([this](const auto& it) { on(it); }, event);
    m_effects = nullptr;
}

void Control::on(const membership::Tick& event)
{
    m_now = event.now;
    stepDetector(event);
    if (m_isViewDirty && m_now >= m_nextView)
        publishView();
    auto hasList = spreader(Topic::Instances).document() != nullptr;
    auto fleetSize = hasList ? m_detector.table().otherCount() + 1 : m_options.assumedFleetSize;
    for (auto topic : membership::allTopics)
        stepSpreader(topic, SpreadTick { m_now, isWatcher(topic), fleetSize });
    if (!m_isReady)
        join();
}

void Control::on(const DatagramArrived& event)
{
    m_now = event.now;
    auto& message = event.message;
    stepDetector(membership::MessageReceived { event.from, message, event.now });
    if (!m_isReady)
        m_heardPeers.insert(message.from);
    if (!m_isReady && message.isReady)
        m_readyPeers.insert(message.from);
    auto isBehind = false;
    for (auto& announcement : message.announcements) {
        isBehind = isBehind || announcement.revision < spreaderOf(announcement.topic).revision();
        stepSpreader(announcement.topic, AnnouncementHeard { event.from, announcement, event.now });
    }
    // Pings and acks carry announcements both ways; news does not, and its sender may wait long for the next ping.
    if (isBehind && message.kind == MessageKind::Gossip)
        sendNews(event.from);
}

void Control::on(const PlatformReplied& event)
{
    m_now = event.now;
    stepSpreader(event.topic, PlatformAnswered { event.answer, event.now });
}

void Control::on(const PullEnded& event)
{
    m_now = event.result.now;
    stepSpreader(event.topic, event.result);
}

void Control::on(const membership::LeaveRequested& event)
{
    m_now = event.now;
    stepDetector(event);
    publishView();
}

void Control::stepDetector(const membership::DetectorEvent& event)
{
    membership::DetectorEffects effects;
    m_detector.step(event, effects);
    for (auto& effect : effects)
        std::visit([this](auto& it) { handle(std::move(it)); }, effect);
}

void Control::stepSpreader(Topic topic, const SpreadEvent& event)
{
    SpreadEffects effects;
    spreaderOf(topic).step(event, effects);
    for (auto& effect : effects)
        std::visit([this](auto& it) { handle(std::move(it)); }, effect);
}

void Control::handle(membership::SendMessage effect)
{
    complete(effect.message);
    m_effects->emplace_back(std::move(effect));
}

void Control::handle(const DocumentTaken& effect)
{
    if (effect.document->topic() == Topic::Instances)
        takeList(*effect.document);
    else if (m_isReady)
        m_effects->emplace_back(SettingsInForce { effect.document });
    announce();
}

void Control::handle(membership::ViewChanged)
{
    m_isViewDirty = true;
}

void Control::handle(membership::SelfLeaving)
{
    m_isViewDirty = true;
    m_nextView = m_now;
    m_effects->emplace_back(NodeLeaving {});
}

void Control::takeList(const Document& document)
{
    auto list = std::exchange(*m_parsedList, std::nullopt);
    if (!list)
        return;
    // The platform's order is the revision it answered with; the one inside the body is not trusted to agree.
    list->revision = document.revision();
    if (!list->leftOut.empty())
        m_effects->emplace_back(InstancesLeftOut { list->revision, list->leftOut });
    if (!m_joinStart)
        m_joinStart = m_now;
    stepDetector(membership::InstanceListReceived { std::make_shared<const membership::InstanceList>(std::move(*list)), m_now });
    publishView();
}

void Control::announce()
{
    for (auto& peer : m_detector.pickPeers(m_options.announceFanout))
        sendNews(peer);
}

void Control::sendNews(const PeerAddress& to)
{
    handle(membership::SendMessage { to, m_detector.makeMessage(MessageKind::Gossip) });
}

void Control::complete(Message& message) const
{
    message.isReady = m_isReady;
    for (auto& spreader : m_spreaders) {
        if (auto announcement = spreader.announcement(m_now))
            message.announcements.push_back(*announcement);
    }
}

void Control::publishView()
{
    m_view = m_detector.view();
    m_isViewDirty = false;
    m_nextView = m_now + viewInterval;
    chooseWatchers();
    m_effects->emplace_back(ViewPublished { m_view });
}

// Two watchers a data centre for each topic, by rendezvous over the live view: when one dies or leaves, the next in the
// order takes over as soon as the view shows it. Views that differ only make for a few more watchers.
void Control::chooseWatchers()
{
    std::vector<NodeKey> members { membership::keyOf(m_self.id) };
    auto self = members[0];
    for (auto& record : m_detector.table().records()) {
        auto isHere = record.locality == membership::Locality::SameDataCentre && record.key != self;
        // Members judged while nobody was heard count as there: when gossip is blocked everywhere, each node would
        // otherwise take itself for the last one and the whole fleet would watch.
        auto isThere = record.health == membership::Health::Alive || record.isHealthLocal;
        if (isHere && isThere && !record.isLeaving())
            members.push_back(record.key);
    }
    for (auto topic : membership::allTopics) {
        auto i = static_cast<std::size_t>(topic);
        auto chosen = membership::rendezvousChoice(members, i + 1, m_options.watchersPerDataCentre);
        m_isWatcher[i] = std::find(chosen.begin(), chosen.end(), self) != chosen.end();
    }
}

// A restarted process has forgotten which revision was in force, and the platform may be stale: taking its answer would
// bring an old tree back into force. Peers remember, so it asks them, and neither puts settings in force nor takes traffic
// before they have answered.
void Control::join()
{
    if (maySettle()) {
        m_isReady = true;
        m_effects->emplace_back(SettingsInForce { spreader(Topic::Settings).document() });
        m_effects->emplace_back(NodeReady {});
        announce();
        return;
    }
    if (m_now < m_nextJoinRound)
        return;
    m_nextJoinRound = m_now + joinRound;
    for (auto& peer : m_detector.pickPeers(m_options.joinPeers))
        handle(membership::SendMessage { peer, m_detector.makeMessage(MessageKind::SyncRequest) });
}

bool Control::maySettle() const
{
    auto& settings = spreader(Topic::Settings);
    if (!m_joinStart || !settings.document() || settings.isBehind(m_now))
        return false;
    auto others = m_detector.table().otherCount();
    if (m_readyPeers.size() >= std::min(m_options.joinAnswers, others))
        return true;
    // All of the fleet starts together: nobody is ready, and nobody is left who could know better.
    if (m_heardPeers.size() >= others)
        return true;
    auto waited = m_now - *m_joinStart;
    return waited >= (m_heardPeers.empty() ? m_options.lonelyJoinTime : m_options.joinTime);
}

BlobsPulled Control::serve(const std::vector<Digest>& digests, TimePoint now)
{
    BlobsPulled reply;
    std::size_t bytes = 0;
    for (auto& digest : digests) {
        auto blob = m_spreaders[0].blob(digest);
        if (!blob)
            blob = m_spreaders[1].blob(digest);
        if (!blob)
            break;
        if (!reply.blobs.empty() && bytes + blob->size() > largestServe)
            break;
        bytes += blob->size();
        reply.blobs.emplace_back(*blob);
    }
    reply.status = reply.blobs.empty() ? PullStatus::Unknown : PullStatus::Ok;
    if (reply.status == PullStatus::Ok && !m_serveBudget.spend(Bytes(bytes), now)) {
        reply.blobs.clear();
        reply.status = PullStatus::Busy;
    }
    return reply;
}

std::size_t Control::memoryBytes() const
{
    auto bytes = m_detector.memoryBytes();
    for (auto& spreader : m_spreaders) {
        if (spreader.document())
            bytes += spreader.document()->memoryBytes();
    }
    return bytes;
}

} // namespace swiftloft::spread
