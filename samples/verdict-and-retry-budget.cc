#include <swiftloft/policy/retry-budget.h>
#include <swiftloft/policy/retry-policy.h>
#include <swiftloft/verdict.h>

#include <fmt/format.h>

/// One idea: whether a failed request is sent again follows from its verdict first and from the retry budget second. A
/// request that may have run and is not idempotent is never sent again; one that did not run is, as long as the
/// successes of its service and organisation have paid for it.

using namespace swiftloft;
using namespace swiftloft::policy;

namespace {

constexpr int successes = 20;
constexpr int failures = 10;

const char* toString(RetryAction action)
{
    switch (action) {
    case RetryAction::Retry:
        return "retry";
    case RetryAction::Resume:
        return "resume";
    case RetryAction::Answer:
        break;
    }
    return "answer";
}

FailedAttempt failedAttempt(const TrafficKey& traffic, Verdict verdict, bool isRepeatable, TimePoint now)
{
    FailedAttempt attempt;
    attempt.traffic = traffic;
    attempt.verdict = verdict;
    attempt.isRepeatable = isRepeatable;
    attempt.deadline = now + seconds(30);
    return attempt;
}

} // namespace

int main()
{
    // Both take no clock and no randomness of their own, so this program prints the same on each run.
    TimePoint now;
    Generator generator(7);
    RetryBudgetOptions options;
    options.floorPerSecond = 0;
    options.maximumFloor = 0;
    auto budget = RetryBudget::create(options).value();
    auto policy = RetryPolicy::create({}).value();
    TrafficKey traffic { ServiceName("drafting"), OrganisationName("permit-office") };

    for (int n = 0; n < successes; ++n)
        budget.onSuccess(traffic);

    fmt::print("verdict       idempotent  action  reason\n");
    for (auto verdict : { Verdict::NotRun, Verdict::MayHaveRun }) {
        auto decision = policy.decide(failedAttempt(traffic, verdict, false, now), budget, now, generator);
        fmt::print("{:<13} {:<11} {:<7} {}\n", swiftloft::toString(verdict), "no", toString(decision.action), toString(decision.reason));
        bool mustRetry = verdict == Verdict::NotRun;
        if ((decision.action == RetryAction::Retry) != mustRetry)
            return 1;
    }

    // One of the two retries that 20 successes earned at 10% is spent; the storm gets the other and no more.
    int retries = 0;
    for (int n = 0; n < failures; ++n) {
        auto decision = policy.decide(failedAttempt(traffic, Verdict::MayHaveRun, true, now), budget, now, generator);
        retries += decision.action == RetryAction::Retry ? 1 : 0;
    }
    fmt::print("{} idempotent requests failed; {} sent again, the others answered at once\n", failures, retries);
    return retries == 1 ? 0 : 1;
}
