#pragma once

#include <swiftloft/policy/claim.h>
#include <swiftloft/result.h>
#include <swiftloft/verdict.h>

#include <string_view>
#include <vector>

namespace swiftloft::policy {

enum class ClaimEffectKind {
    SendClaim,
    /// Best effort: a claim whose release is lost ends by itself.
    SendRelease,
    /// Hand the request to the agent, naming the claim and the incarnation that granted it.
    SendRun,
    /// The key runs or ran at this agent: fetch the answer there. If it knows nothing, answer may-have-run.
    Attach,
    Refuse,
};

enum class ClaimRefusal {
    None,
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

/// One entry's attempt to run a request that carries only a client's own key.
///
/// Claims at every home, the runner first, one after the other, and runs only when all have granted. Two attempts whose
/// homes have one agent in common can't both get all grants, and an agent that restarted refuses; so the key runs at
/// most once although the entries' lists differ. The runner comes first because its claim must not outlive the others:
/// an entry that pauses between claims finds the runner's claim ended and the run refused.
///
/// No refusal here says not-run: the entry does not know the key's history at homes it did not ask.
class ClaimProtocol {
public:
    /// `homes` as `RequestHome::homesOf` gives them.
    ClaimProtocol(ClaimRequest request, std::vector<BackendServerId> homes);

    ClaimEffects start();
    ClaimEffects onReply(const BackendServerId& from, const ClaimReply& reply);
    /// The agent can't be reached, or did not answer in time.
    ClaimEffects onUnreachable(const BackendServerId& agent);
    ClaimEffects onRunAnswer(RunAnswer answer);

    /// The message that `SendClaim` stands for.
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
