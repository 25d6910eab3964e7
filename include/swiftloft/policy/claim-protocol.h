#pragma once

#include <swiftloft/policy/claim.h>
#include <swiftloft/result.h>
#include <swiftloft/verdict.h>

#include <string_view>
#include <vector>

namespace swiftloft::policy {

enum class ClaimEffectKind {
    SendClaim,
    /// Best effort: when the release message is lost, the claim expires by itself.
    SendRelease,
    /// Send the request to the agent, with the claim and the incarnation that granted it.
    SendRun,
    /// The request with this key is running or has run at this agent: fetch the response there. If the agent does not
    /// know the key, respond to the client with may-have-run.
    Attach,
    Refuse,
};

/// Why a claim attempt was refused. `HomeTooYoung`, `HomeFull` and `ListBehind` stand for the answers `TooYoung`,
/// `Full` and `StaleList` of a home.
enum class ClaimRefusal {
    None,
    /// No agents are known, so the key has no homes.
    NoHomes,
    HomeUnreachable,
    HomeTooYoung,
    HomeFull,
    ListBehind,
    ClaimExpired,
};

std::string_view toString(ClaimRefusal refusal);

struct ClaimEffect {
    ClaimEffectKind kind { ClaimEffectKind::Refuse };
    BackendServerId to;
    /// For `SendRun`.
    Incarnation incarnation;
    /// For `Refuse`.
    ClaimRefusal refusal { ClaimRefusal::None };
    Verdict verdict { Verdict::MayHaveRun };
};

using ClaimEffects = std::vector<ClaimEffect>;

/// One entry's attempt to run a request that carries only a key chosen by the client.
///
/// The homes of a key are the agents that remember the claims on it; the first home is the runner, which runs the
/// request. The protocol claims the key at each home in turn, starting with the runner, and runs the request only when
/// all homes have granted the claim. Two attempts whose homes have one agent in common cannot both get all grants, and
/// a restarted agent refuses; so the key runs at most once even though the entries' instance lists differ. The runner
/// comes first because its claim must not outlive the other claims: when an entry pauses between claims, the runner's
/// claim expires first and the run is refused.
///
/// The verdict of a refusal is never `NotRun`, because the entry does not know the key's history at the homes that it
/// did not contact.
class ClaimProtocol {
public:
    /// `homes` is the result of `HomeSelector::homesOf`.
    ClaimProtocol(ClaimRequest request, std::vector<BackendServerId> homes);

    ClaimEffects start();
    ClaimEffects onReply(const BackendServerId& from, const ClaimReply& reply);
    /// The agent is unreachable or did not reply in time.
    ClaimEffects onUnreachable(const BackendServerId& agent);
    ClaimEffects onRunAnswer(RunAnswer answer);

    /// The claim request that `SendClaim` sends.
    const ClaimRequest& request() const { return m_request; }
    bool isDone() const { return m_state == State::Done; }

private:
    enum class State {
        Claiming,
        Running,
        Done,
    };

    ClaimEffects claimNext();
    ClaimEffects abortClaim(ClaimEffect last);

    ClaimRequest m_request;
    std::vector<BackendServerId> m_homes;
    std::size_t m_currentHome { 0 };
    Incarnation m_runnerIncarnation;
    State m_state { State::Claiming };
};

} // namespace swiftloft::policy
