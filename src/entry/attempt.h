#pragma once

#include "src/entry/events.h"
#include "src/entry/exchange.h"
#include "src/rpc/agent.capnp.h"
#include "src/rpc/body-digest.h"

#include <functional>
#include <memory>

namespace swiftloft::entry {

/// One attempt to run a request on a backend server. Belongs to a traffic thread. Calls the agent, checks the frames
/// that the agent sends, and forwards the response to the client. After a lost connection the call may be started again
/// on a new connection; the response then resumes after the bytes already received.
class Attempt : public std::enable_shared_from_this<Attempt> {
public:
    struct Hooks {
        std::function<void()> onOutputBegan;
        std::function<void(AttemptOutcome, Verdict, AttemptReason, policy::CrashId)> onEnded;
    };

    Attempt(AttemptSpec spec, std::shared_ptr<Exchange> exchange, Hooks hooks);
    ~Attempt();

    const AttemptSpec& spec() const { return m_spec; }

    /// Sends the request to `agent`. Frames of earlier calls are ignored from now on.
    void startCall(rpc::schema::Agent::Client agent, TimePoint now);

    /// True once the head of the response has arrived.
    bool hasResponseHead() const { return m_hasHead; }
    bool hasEnded() const { return m_hasEnded; }

    /// Ends the attempt. Later frames and outcomes are ignored.
    void end(AttemptOutcome outcome, Verdict verdict, AttemptReason reason, policy::CrashId crash = {});

    /// Ends the attempt without calling `onEnded`, because its response is no longer needed.
    void abandon();

private:
    class Sink;

    kj::Promise<void> onFrame(rpc::schema::Frame::Reader frame);
    void onHead(rpc::schema::ResponseHead::Reader head);
    kj::Promise<void> onBytes(std::uint64_t offset, capnp::Data::Reader bytes);
    kj::Promise<void> onEndMark(std::uint64_t length, std::uint64_t digest);
    void onOutcome(rpc::schema::Outcome::Reader outcome);

    AttemptSpec m_spec;
    std::shared_ptr<Exchange> m_exchange;
    Hooks m_hooks;
    kj::Promise<void> m_call { nullptr };
    unsigned m_callNumber { 0 };
    rpc::BodyDigest m_digest;
    std::uint64_t m_received { 0 };
    bool m_hasHead { false };
    bool m_isComplete { false };
    bool m_awaitsEndMark { false };
    bool m_hasEnded { false };
};

} // namespace swiftloft::entry
