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

/// Decision of the dispatcher about the next step of a call.
using CallDecision = std::variant<dispatch::StartAttempt, dispatch::Refuse, dispatch::ForwardError>;

/// Lets coroutines send events to the dispatcher and wait for its decisions. Belongs to the traffic thread.
class AsyncDispatcher {
public:
    AsyncDispatcher(boost::asio::io_context& ioContext, const DispatcherOptions& options, policy::Generator generator);

    /// Hooks of one call that follow its decisions while an attempt is in progress.
    struct AttemptHooks {
        /// The current attempt must end.
        std::function<void()> onCancel;
        /// Another server is to be asked to take the request over.
        std::function<void(const dispatch::StartTakeover&)> onStartTakeover;
    };

    /// Handle of one call. The destructor closes the call, also when its coroutine is cancelled.
    class CallHandle {
    public:
        CallHandle(AsyncDispatcher& dispatcher, CallId id);
        ~CallHandle();
        CallHandle(const CallHandle&) = delete;
        CallHandle& operator=(const CallHandle&) = delete;

        /// Submits the request and waits for the first decision.
        boost::asio::awaitable<CallDecision> submit(CallRequest request);
        /// Reports the end of an attempt and waits for the next decision.
        boost::asio::awaitable<CallDecision> reportAttemptEnd(AttemptOutcome outcome);
        void reportResponseStarted();
        /// Reports data of a stream that is now sent to the client; `reportDelivered` follows.
        void reportProgress();
        void reportDelivered();
        void reportResponseReceived();
        void reportTakeoverAccepted();
        void reportTakeoverFailed(AttemptOutcome outcome);
        void setAttemptHooks(AttemptHooks hooks);
        /// Reports that the complete response was sent to the client. `endsWithConnection`: only the end of the server's
        /// connection has shown that it is complete.
        void reportCompleted(bool isSuccess, bool endsWithConnection);
        /// See `Dispatcher::hasServerEnded`.
        bool hasServerEnded() const { return m_dispatcher.m_reducer.hasServerEnded(m_id); }
        CallId id() const { return m_id; }

    private:
        AsyncDispatcher& m_dispatcher;
        CallId m_id;
    };

    CallId nextId() { return CallId(++m_lastId); }
    void apply(const dispatch::Event& event);
    /// Ignores all further events, because their effects can no longer be carried out.
    void close() { m_isClosed = true; }
    const Dispatcher& reducer() const { return m_reducer; }
    /// `hook` is called when requests began or ended, so that the load can be reported to other entries.
    void setOnLoadChanged(std::function<void()> hook) { m_onLoadChanged = std::move(hook); }
    using OnServerLeaving = std::function<void(const ServerIncarnation& server)>;
    /// `hook` is called when a server reports for the first time that it is leaving.
    void setOnServerLeaving(OnServerLeaving hook) { m_onServerLeaving = std::move(hook); }
    using OnProbe = std::function<void(const BackendServer& server)>;
    /// `hook` is called to find out whether a server's address refuses connections; it reports that by `apply`.
    void setOnProbe(OnProbe hook) { m_onProbe = std::move(hook); }
    using OnRetryDenied = std::function<void(const dispatch::RetryDenied&)>;
    /// `hook` is called when a request is not sent again for now, because the retry allowance is spent.
    void setOnRetryDenied(OnRetryDenied hook) { m_onRetryDenied = std::move(hook); }
    /// See `Dispatcher::nextSuspicions`.
    std::vector<policy::SuspicionMessage> nextSuspicions() { return m_reducer.nextSuspicions(Clock::now()); }

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
    void perform(const dispatch::StartTakeover& effect);
    void perform(const dispatch::PublishLeaving& effect);
    void perform(const dispatch::ProbeServer& effect);
    void perform(const dispatch::RetryDenied& effect);
    template <typename Decision>
    void perform(const Decision& effect) { deliver(effect.call, effect); }
    void armTimer();

    boost::asio::io_context& m_ioContext;
    Dispatcher m_reducer;
    boost::asio::steady_timer m_timer;
    std::map<CallId, std::shared_ptr<Waiter>> m_waiters;
    std::map<CallId, AttemptHooks> m_attemptHooks;
    std::function<void()> m_onLoadChanged;
    OnServerLeaving m_onServerLeaving;
    OnProbe m_onProbe;
    OnRetryDenied m_onRetryDenied;
    std::uint64_t m_lastId { 0 };
    bool m_isClosed { false };
};

} // namespace swiftloft::gateway
