#include "src/spread/control-node.h"

#include "src/log/logger.h"
#include "src/log/printable.h"
#include "src/spread/blob-exchange.h"
#include "src/spread/platform-client.h"
#include "src/spread/tree-reader.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <chrono>

namespace swiftloft::spread {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using membership::OrderedIncarnation;

namespace {

constexpr milliseconds tickInterval { 100 };

std::uint64_t wallMilliseconds()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

/// Carries out the effects of a `Control` with sockets and timers.
class Node : public ControlNode, public std::enable_shared_from_this<Node> {
public:
    Node(ControlNodeOptions options, ControlNodeHooks hooks, udp::endpoint endpoint)
        : m_options(std::move(options))
        , m_hooks(std::move(hooks))
        , m_endpoint(std::move(endpoint))
        , m_control(m_options.self, OrderedIncarnation { wallMilliseconds(), m_options.incarnation }, m_options.topology, m_options.control,
              m_hooks.checkSettings, m_options.randomSeed ^ m_options.incarnation.value())
    {
        for (auto& seed : m_options.seeds)
            m_control.addSeed(seed);
    }

    Result<void> start(asio::io_context& io) override
    {
        auto self = shared_from_this();
        auto udp = UdpTransport::create(io, m_endpoint, [self](auto& from, auto& message) { self->onDatagram(from, message); });
        if (!udp)
            return udp.error();
        m_udp = *udp;
        if (!m_hooks.pull) {
            auto exchange = BlobExchange::create(io, tcp::endpoint(m_endpoint.address(), m_endpoint.port()),
                [self](auto& digests) { return self->serve(digests); });
            if (!exchange) {
                m_udp->stop();
                return exchange.error();
            }
            m_exchange = *exchange;
        }
        m_platform = PlatformClient::create(io, m_options.platform);
        m_treeReader = TreeReader::create(m_platform);
        m_timer = std::make_shared<asio::steady_timer>(io);
        scheduleTick();
        return {};
    }

    void leave() override { step(membership::LeaveRequested { Clock::now() }); }

    void stop() override
    {
        m_isStopped = true;
        // Later, since a hook may be what calls this.
        if (m_timer)
            asio::post(m_timer->get_executor(), [self = shared_from_this()] { self->m_hooks = {}; });
        if (m_udp)
            m_udp->stop();
        if (m_exchange)
            m_exchange->stop();
        if (m_platform)
            m_platform->stop();
        if (m_timer)
            m_timer->cancel();
    }

    BlobsPulled serve(const std::vector<Digest>& digests) override { return m_control.serve(digests, Clock::now()); }

    std::shared_ptr<const membership::View> view() const override { return m_control.view(); }

    std::optional<Revision> settingsRevision() const override
    {
        auto& document = m_control.spreader(Topic::Settings).document();
        return document ? std::optional(document->revision()) : std::nullopt;
    }

    bool isReady() const override { return m_control.isReady(); }

    ControlNodeStatus status() const override
    {
        ControlNodeStatus status;
        for (auto topic : membership::allTopics) {
            auto i = static_cast<std::size_t>(topic);
            status.revisions[i] = m_control.spreader(topic).revision();
            status.isWatcher[i] = m_control.isWatcher(topic);
            status.spread[i] = m_control.spreader(topic).counters();
        }
        status.detector = m_control.detector().counters();
        if (m_udp)
            status.udp = m_udp->counters();
        status.pullBytes = m_exchange ? m_exchange->bytes() : 0;
        status.memoryBytes = m_control.memoryBytes();
        status.isReady = m_control.isReady();
        status.isLeaving = m_control.isLeaving();
        return status;
    }

    void sendNote(const membership::NodeId& to, std::string note) override
    {
        auto member = view()->find(to);
        if (!m_udp || !member || note.size() > membership::maxNoteBytes)
            return;
        membership::Message message;
        message.kind = membership::MessageKind::Note;
        message.note = std::move(note);
        m_udp->send(member->listed->peer, message);
    }

private:
    void scheduleTick()
    {
        m_timer->expires_at(Clock::now() + tickInterval);
        m_timer->async_wait([self = shared_from_this()](boost::system::error_code ec) {
            if (ec || self->m_isStopped)
                return;
            self->step(membership::Tick { Clock::now() });
            if (!self->m_isStopped)
                self->scheduleTick();
        });
    }

    void onDatagram(const PeerAddress& from, const membership::Message& message)
    {
        if (message.kind == membership::MessageKind::Note) {
            if (m_hooks.onNote && !m_isStopped)
                m_hooks.onNote(message.note);
            return;
        }
        step(DatagramArrived { from, message, Clock::now() });
    }

    void step(const ControlEvent& event)
    {
        ControlEffects effects;
        m_control.step(event, effects);
        for (auto& effect : effects) {
            if (m_isStopped)
                return;
            std::visit([this](const auto& it) { perform(it); }, effect);
        }
    }

    void perform(const membership::SendMessage& effect) { m_udp->send(effect.to, effect.message); }

    void perform(const CallPlatform& effect)
    {
        auto topic = effect.topic;
        auto done = [self = shared_from_this(), topic](PlatformAnswer answer) {
            self->notePlatform(answer);
            self->step(PlatformReplied { topic, std::move(answer), Clock::now() });
        };
        if (topic == Topic::Settings)
            m_treeReader->watch(effect.known, effect.deadline, done);
        else
            m_platform->watch(topic, effect.known, effect.deadline, done);
    }

    void perform(const PullBlobs& effect)
    {
        auto done = [self = shared_from_this(), topic = effect.topic, ticket = effect.ticket](BlobsPulled result) {
            if (self->m_isStopped)
                return;
            result.ticket = ticket;
            result.now = Clock::now();
            self->step(PullEnded { topic, std::move(result) });
        };
        if (m_hooks.pull)
            return m_hooks.pull(effect.peer, effect.digests, effect.deadline, done);
        auto endpoint = endpointOf(effect.peer);
        if (!endpoint)
            return done({});
        m_exchange->pull(tcp::endpoint(endpoint->address(), endpoint->port()), effect.digests, effect.deadline, done);
    }

    void perform(const ViewPublished& effect)
    {
        if (m_hooks.onViewChanged)
            m_hooks.onViewChanged(effect.view);
    }

    void perform(const SettingsInForce& effect)
    {
        auto& document = *effect.document;
        log::write(log::Event::SettingsInForce, "revision={} bytes={}", document.revision().value(), document.body()->size());
        if (m_hooks.onSettings)
            m_hooks.onSettings(document.revision(), document.body());
    }

    void perform(const DocumentRefused& effect)
    {
        log::write(log::Event::DocumentRefused, "topic={} revision={} problem=\"{}\"", toString(effect.topic), effect.revision.value(), effect.problem);
        if (effect.topic == Topic::Settings && m_hooks.onSettingsRefused)
            m_hooks.onSettingsRefused(effect.revision, effect.problem);
    }

    static void perform(const InstancesLeftOut& effect)
    {
        auto& first = effect.leftOut.front();
        log::write(log::Event::InstancesLeftOut, "revision={} instances={} first=\"{}\" problem=\"{}\"", effect.revision.value(), effect.leftOut.size(),
            first.id ? log::printable(first.id->value()) : "-", log::printable(first.problem));
    }

    void perform(const RevisionConflict& effect)
    {
        auto& said = m_conflictSaid[static_cast<std::size_t>(effect.topic)];
        if (std::exchange(said, effect.revision) != effect.revision)
            log::write(log::Event::DocumentConflict, "topic={} revision={}", toString(effect.topic), effect.revision.value());
    }

    void perform(const NodeReady&)
    {
        log::write(log::Event::NodeReady, "settings={} instances={}", m_control.spreader(Topic::Settings).revision().value(),
            m_control.spreader(Topic::Instances).revision().value());
        if (m_hooks.onReady)
            m_hooks.onReady();
    }

    void perform(const NodeLeaving&)
    {
        log::write(log::Event::NodeLeaving, "id={}", m_options.self.id.value());
        if (m_hooks.onLeaving)
            m_hooks.onLeaving();
    }

    void perform(const membership::MemberChanged& effect)
    {
        auto event = effect.isLeaving ? log::Event::MemberLeaving : log::Event::MemberHealthChanged;
        log::write(event, "id={} health={}", effect.id.value(), membership::toString(effect.health));
    }

    void perform(const membership::PauseDetected& effect)
    {
        log::write(log::Event::PauseNoticed, "ms={}", effect.length.count());
    }

    void notePlatform(const PlatformAnswer& answer)
    {
        auto isReachable = answer.outcome != PlatformOutcome::Failed;
        if (isReachable == m_isPlatformReachable)
            return;
        m_isPlatformReachable = isReachable;
        if (isReachable)
            log::write(log::Event::PlatformReachable, "calls={}", m_platform->callCount());
        else
            log::write(log::Event::PlatformUnreachable, "problem=\"{}\"", answer.problem);
    }

    ControlNodeOptions m_options;
    ControlNodeHooks m_hooks;
    udp::endpoint m_endpoint;
    Control m_control;
    std::shared_ptr<UdpTransport> m_udp;
    std::shared_ptr<BlobExchange> m_exchange;
    std::shared_ptr<PlatformClient> m_platform;
    std::shared_ptr<TreeReader> m_treeReader;
    std::shared_ptr<asio::steady_timer> m_timer;
    std::array<Revision, membership::topicCount> m_conflictSaid;
    bool m_isPlatformReachable { true };
    bool m_isStopped { false };
};

} // namespace

Result<std::shared_ptr<ControlNode>> ControlNode::create(ControlNodeOptions options, ControlNodeHooks hooks)
{
    if (options.self.id.value().empty())
        return Error { ErrorCode::InvalidArgument, "control node: the instance has no id" };
    auto endpoint = endpointOf(options.self.peer);
    if (!endpoint)
        return Error { ErrorCode::InvalidArgument, fmt::format("control node: '{}' is no IP:port", options.self.peer.value()) };
    return std::shared_ptr<ControlNode>(std::make_shared<Node>(std::move(options), std::move(hooks), *endpoint));
}

} // namespace swiftloft::spread
