#include "src/spread/control-node.h"

#include "src/spread/platform-client.h"

#include <swiftloft/membership/instance-list.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>

namespace swiftloft::spread {

namespace asio = boost::asio;

namespace {

constexpr seconds watchTime { 25 };
constexpr seconds retryPause { 1 };

class Node : public ControlNode, public std::enable_shared_from_this<Node> {
public:
    Node(ControlNodeOptions options, ControlNodeHooks hooks)
        : m_options(std::move(options))
        , m_hooks(std::move(hooks))
        , m_view(std::make_shared<membership::View>())
    {
    }

    Result<void> start(asio::io_context& io) override
    {
        m_platform = PlatformClient::create(io, m_options.platform);
        for (auto topic : membership::allTopics) {
            m_timers.push_back(std::make_shared<asio::steady_timer>(io));
            watch(topic);
        }
        return {};
    }

    void leave() override
    {
        if (!m_isLeaving && m_hooks.onLeaving)
            m_hooks.onLeaving();
        m_isLeaving = true;
    }

    void stop() override
    {
        m_hooks = {};
        m_platform->stop();
        m_timers.clear();
    }

    std::shared_ptr<const membership::View> view() const override { return m_view; }
    std::optional<Revision> settingsRevision() const override { return m_revisions[0]; }
    bool isReady() const override { return m_revisions[0] && m_revisions[1]; }

private:
    void watch(Topic topic)
    {
        auto known = m_revisions[static_cast<std::size_t>(topic)].value_or(Revision());
        auto done = [self = shared_from_this(), topic](const PlatformAnswer& answer) { self->onAnswer(topic, answer); };
        m_platform->watch(topic, known, Clock::now() + watchTime, done);
    }

    void watchLater(Topic topic)
    {
        auto& timer = m_timers[static_cast<std::size_t>(topic)];
        timer->expires_at(Clock::now() + retryPause);
        timer->async_wait([self = shared_from_this(), topic, timer](boost::system::error_code ec) {
            if (!ec)
                self->watch(topic);
        });
    }

    void onAnswer(Topic topic, const PlatformAnswer& answer)
    {
        auto& revision = m_revisions[static_cast<std::size_t>(topic)];
        if (answer.outcome == PlatformOutcome::Body && (!revision || answer.revision > *revision))
            take(topic, answer);
        if (answer.outcome == PlatformOutcome::Body || answer.outcome == PlatformOutcome::Unchanged)
            return watch(topic);
        watchLater(topic);
    }

    void take(Topic topic, const PlatformAnswer& answer)
    {
        auto wasReady = isReady();
        if (topic == Topic::Settings)
            takeSettings(answer);
        else
            takeList(answer);
        if (!wasReady && isReady() && m_hooks.onReady)
            m_hooks.onReady();
    }

    void takeSettings(const PlatformAnswer& answer)
    {
        auto validity = m_hooks.checkSettings ? m_hooks.checkSettings(answer.body) : Validity {};
        if (!validity.isValid) {
            if (m_hooks.onSettingsRefused)
                m_hooks.onSettingsRefused(answer.revision, validity.problem);
            return;
        }
        m_revisions[0] = answer.revision;
        if (m_hooks.onSettings)
            m_hooks.onSettings(answer.revision, std::make_shared<const std::string>(answer.body));
    }

    void takeList(const PlatformAnswer& answer)
    {
        auto list = membership::parseInstanceList(answer.body);
        if (!list)
            return;
        m_revisions[1] = answer.revision;
        auto view = std::make_shared<membership::View>();
        view->listRevision = answer.revision;
        view->topology = m_options.topology;
        for (auto& it : list->instances) {
            membership::ViewMember member;
            member.listed = std::make_shared<const membership::ListedInstance>(it);
            member.isLeaving = it.state == membership::ListedState::Leaving;
            view->members.push_back(std::move(member));
        }
        std::sort(view->members.begin(), view->members.end(), [](auto& a, auto& b) { return a.listed->id < b.listed->id; });
        m_view = view;
        if (m_hooks.onViewChanged)
            m_hooks.onViewChanged(m_view);
    }

    ControlNodeOptions m_options;
    ControlNodeHooks m_hooks;
    std::shared_ptr<PlatformClient> m_platform;
    std::vector<std::shared_ptr<asio::steady_timer>> m_timers;
    std::array<std::optional<Revision>, membership::topicCount> m_revisions;
    std::shared_ptr<const membership::View> m_view;
    bool m_isLeaving { false };
};

} // namespace

Result<std::shared_ptr<ControlNode>> ControlNode::create(ControlNodeOptions options, ControlNodeHooks hooks)
{
    if (options.self.id.value().empty())
        return Error { ErrorCode::InvalidArgument, "control node: the instance has no id" };
    return std::shared_ptr<ControlNode>(std::make_shared<Node>(std::move(options), std::move(hooks)));
}

} // namespace swiftloft::spread
