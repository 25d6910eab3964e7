#include <swiftloft/policy/claim-protocol.h>

namespace swiftloft::policy {

namespace {

ClaimRefusal refusalFor(ClaimAnswer answer)
{
    switch (answer) {
    case ClaimAnswer::StaleList:
        return ClaimRefusal::ListBehind;
    case ClaimAnswer::TooYoung:
        return ClaimRefusal::HomeTooYoung;
    case ClaimAnswer::Full:
        return ClaimRefusal::HomeFull;
    case ClaimAnswer::Granted:
    case ClaimAnswer::Held:
        break;
    }
    return ClaimRefusal::None;
}

ClaimEffect refuse(ClaimRefusal refusal)
{
    return { ClaimEffectKind::Refuse, {}, {}, refusal, Verdict::MayHaveRun };
}

} // namespace

std::string_view toString(ClaimRefusal refusal)
{
    switch (refusal) {
    case ClaimRefusal::None:
        return "none";
    case ClaimRefusal::NoHomes:
        return "no-homes";
    case ClaimRefusal::HomeUnreachable:
        return "home-unreachable";
    case ClaimRefusal::HomeTooYoung:
        return "home-too-young";
    case ClaimRefusal::HomeFull:
        return "home-full";
    case ClaimRefusal::ListBehind:
        return "list-behind";
    case ClaimRefusal::ClaimExpired:
        return "claim-expired";
    }
    return "unknown";
}

ClaimProtocol::ClaimProtocol(ClaimRequest request, std::vector<BackendServerId> homes)
    : m_request(std::move(request))
    , m_homes(std::move(homes))
{
    if (!m_homes.empty())
        m_request.runner = m_homes.front();
}

ClaimEffects ClaimProtocol::start()
{
    if (m_homes.empty())
        return abortClaim(refuse(ClaimRefusal::NoHomes));
    return claimNext();
}

ClaimEffects ClaimProtocol::onReply(const BackendServerId& from, const ClaimReply& reply)
{
    // Duplicated and late replies of earlier homes are ignored.
    if (m_state != State::Claiming || from != m_homes[m_currentHome] || reply.claim != m_request.claim)
        return {};
    if (reply.answer == ClaimAnswer::Held)
        return abortClaim({ ClaimEffectKind::Attach, reply.runner });
    if (reply.answer != ClaimAnswer::Granted)
        return abortClaim(refuse(refusalFor(reply.answer)));
    if (m_currentHome == 0)
        m_runnerIncarnation = reply.agent;
    ++m_currentHome;
    return claimNext();
}

ClaimEffects ClaimProtocol::onUnreachable(const BackendServerId& agent)
{
    if (m_state == State::Running && agent == m_request.runner) {
        // The run may be in progress. The claims are kept, so that no other entry runs the key.
        m_state = State::Done;
        return { refuse(ClaimRefusal::HomeUnreachable) };
    }
    if (m_state != State::Claiming || agent != m_homes[m_currentHome])
        return {};
    return abortClaim(refuse(ClaimRefusal::HomeUnreachable));
}

ClaimEffects ClaimProtocol::onRunAnswer(RunAnswer answer)
{
    if (m_state != State::Running)
        return {};
    m_state = State::Done;
    switch (answer) {
    case RunAnswer::Run:
        return {};
    case RunAnswer::AlreadyRunning:
    case RunAnswer::AlreadyFinished:
        return { { ClaimEffectKind::Attach, m_request.runner } };
    case RunAnswer::NotClaimed:
        break;
    }
    // The claims are not released: copies of the claim and the run message may still be in transit to the runner.
    return { refuse(ClaimRefusal::ClaimExpired) };
}

ClaimEffects ClaimProtocol::claimNext()
{
    if (m_currentHome < m_homes.size())
        return { { ClaimEffectKind::SendClaim, m_homes[m_currentHome] } };
    m_state = State::Running;
    return { { ClaimEffectKind::SendRun, m_request.runner, m_runnerIncarnation } };
}

/// Releases the grants and ends the attempt. Called only before the run was sent: this claim can then never run, so its
/// grants can be released.
ClaimEffects ClaimProtocol::abortClaim(ClaimEffect last)
{
    m_state = State::Done;
    ClaimEffects effects;
    for (std::size_t i = 0; i < m_homes.size() && i <= m_currentHome; ++i)
        effects.push_back({ ClaimEffectKind::SendRelease, m_homes[i] });
    effects.push_back(std::move(last));
    return effects;
}

} // namespace swiftloft::policy
