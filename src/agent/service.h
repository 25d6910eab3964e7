#pragma once

#include "src/agent/engine-run.h"
#include "src/process/outbox.h"
#include "src/rpc/agent.capnp.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace swiftloft::agent {

struct ServiceOptions {
    Incarnation incarnation;
    std::size_t resumeBufferBytes { 256 * 1024 };
};

/// The agent's RPC service on the traffic thread. Receives calls from entries, posts them to the control thread as events
/// and executes the effects that the reducer decides on. Owns all requests in progress and the buffered responses of
/// finished ones.
class Service {
public:
    /// Posts events to the control thread, in order.
    using Post = std::function<void(std::vector<Event>)>;

    Service(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint engine, ServiceOptions options, Post post);
    ~Service();

    /// Returns the RPC interface for a `Listener`.
    capnp::Capability::Client bootstrap();

    /// Executes an effect of the reducer. Must be called on the traffic thread.
    void execute(const Effect& effect);

    /// Sets the size of the response tail that is buffered for new connections. Applies to requests that start from now on.
    void setResumeBuffer(Bytes size) { m_options.resumeBufferBytes = size.value(); }

    /// Sets a callback that is called once, when the reducer has finished and every attached call has ended.
    void setOnDrained(std::function<void()> onDrained) { m_onDrained = std::move(onDrained); }

private:
    using RunContext = capnp::CallContext<rpc::schema::Agent::RunParams, rpc::schema::Agent::RunResults>;
    using ReportContext = capnp::CallContext<rpc::schema::Agent::ReportParams, rpc::schema::Agent::ReportResults>;
    using ClaimContext = capnp::CallContext<rpc::schema::Agent::ClaimParams, rpc::schema::Agent::ClaimResults>;
    using CancelContext = capnp::CallContext<rpc::schema::Agent::CancelParams, rpc::schema::Agent::CancelResults>;

    class Server;
    struct Call;

    kj::Promise<void> run(RunContext context);
    kj::Promise<void> cancel(CancelContext context);
    kj::Promise<void> claim(ClaimContext context);
    void release(rpc::schema::Claim::Reader claim);
    void report(ReportContext context);

    void on(const StartRun& effect);
    void on(const ReleaseRun& effect);
    void on(const AttachCall& effect);
    void on(const RefuseCall& effect);
    void on(const AnswerCancel& effect);
    void on(const AnswerClaim& effect);
    void on(const StopRun& effect);
    void on(const ProbeEngine&) { }
    void on(const ConcludeRun& effect);
    void on(const DiscardRun& effect);
    void on(const Finish& effect);
    void on(const PublishReport& effect);

    CallId nextCall() { return CallId(++m_lastCall); }
    void attach(const std::shared_ptr<Call>& call, const std::shared_ptr<EngineRun>& run);
    std::shared_ptr<Call> takeCall(CallId id);
    void notifyIfDrained();

    boost::asio::io_context& m_ioContext;
    EngineConnectionPool m_engine;
    ServiceOptions m_options;
    process::Outbox<Event> m_outbox;
    std::function<void()> m_onDrained;

    std::uint64_t m_lastCall { 0 };
    std::unordered_map<CallId, std::shared_ptr<Call>> m_pendingCalls;
    std::unordered_map<CallId, kj::Own<kj::PromiseFulfiller<Verdict>>> m_pendingCancels;
    std::unordered_map<CallId, kj::Own<kj::PromiseFulfiller<policy::ClaimReply>>> m_pendingClaims;
    std::unordered_map<RunId, std::shared_ptr<EngineRun>> m_runs;
    PublishReport m_report;
    std::size_t m_attachedCalls { 0 };
    bool m_isFinished { false };
};

} // namespace swiftloft::agent
