#pragma once

#include "src/gateway/dispatcher.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace swiftloft::gateway {

/// What a call does next.
using CallDecision = std::variant<dispatch::StartAttempt, dispatch::Refuse, dispatch::ForwardError>;

/// Lets calls, which are coroutines, ask the dispatcher and wait for its decisions. Belongs to the traffic thread.
class AsyncDispatcher {
public:
    AsyncDispatcher(boost::asio::io_context& ioContext, const DispatcherOptions& options, policy::Generator generator);

    /// One call, from its arrival to its end. Closes it when destroyed, also when its coroutine is cancelled.
    class CallHandle {
    public:
        CallHandle(AsyncDispatcher& dispatcher, CallId id);
        ~CallHandle();
        CallHandle(const CallHandle&) = delete;
        CallHandle& operator=(const CallHandle&) = delete;

        boost::asio::awaitable<CallDecision> submit(CallRequest request);
        boost::asio::awaitable<CallDecision> reportAttemptEnd(AttemptOutcome outcome);
        void reportResponseStarted();
        void reportProgress();
        /// Called when the try in progress is to end.
        void setOnCancelAttempt(std::function<void()> hook);
        /// The whole answer has gone to the client.
        void reportCompleted();
        CallId id() const { return m_id; }

    private:
        AsyncDispatcher& m_dispatcher;
        CallId m_id;
    };

    CallId nextId() { return CallId(++m_lastId); }
    void apply(const dispatch::Event& event);
    /// From here on events have no effect: there is nobody left to carry out what follows from them.
    void close() { m_isClosed = true; }
    const Dispatcher& reducer() const { return m_reducer; }
    /// Called when requests began or ended, so that other entries can be told.
    void setOnLoadChanged(std::function<void()> hook) { m_onLoadChanged = std::move(hook); }
    using OnServerLeaving = std::function<void(const ServerIncarnation& server)>;
    /// Called when a server has said for the first time that it is leaving.
    void setOnServerLeaving(OnServerLeaving hook) { m_onServerLeaving = std::move(hook); }

private:
    struct Waiter {
        explicit Waiter(boost::asio::io_context& ioContext)
            : timer(ioContext, TimePoint::max())
        {
        }

        boost::asio::steady_timer timer;
        std::optional<CallDecision> decision;
    };

    boost::asio::awaitable<CallDecision> awaitDecision(CallId id, dispatch::Event event);
    void deliver(CallId id, CallDecision decision);
    void perform(const dispatch::CancelAttempt& effect);
    void perform(const dispatch::PublishLeaving& effect);
    template <typename Decision>
    void perform(const Decision& effect) { deliver(effect.call, effect); }
    void armTimer();

    boost::asio::io_context& m_ioContext;
    Dispatcher m_reducer;
    boost::asio::steady_timer m_timer;
    std::map<CallId, std::shared_ptr<Waiter>> m_waiters;
    std::map<CallId, std::function<void()>> m_onCancelAttempt;
    std::function<void()> m_onLoadChanged;
    OnServerLeaving m_onServerLeaving;
    std::uint64_t m_lastId { 0 };
    bool m_isClosed { false };
};

} // namespace swiftloft::gateway
