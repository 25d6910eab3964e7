// How a client of the library answers failed attempts: a verdict says whether a request may have run, a retry policy
// decides from it, and a budget keeps the extra work small.
#include <swiftloft/policy/retry-policy.h>

#include <fmt/format.h>

using namespace swiftloft;
using namespace swiftloft::policy;

namespace {

void show(std::string_view what, const RetryDecision& decision, TimePoint now)
{
    auto wait = std::chrono::duration_cast<milliseconds>(decision.at - now).count();
    switch (decision.action) {
    case RetryAction::Retry:
        fmt::print("{}: try again in {} ms\n", what, wait);
        return;
    case RetryAction::Resume:
        fmt::print("{}: attach again in {} ms and go on at byte {}\n", what, wait, decision.resumeAt.value());
        return;
    case RetryAction::Answer:
        fmt::print("{}: answer \"{}\" now ({}), Retry-After: {}\n", what, toString(decision.verdict), toString(decision.reason), decision.retryAfter.count());
        return;
    }
}

} // namespace

int main()
{
    auto policy = RetryPolicy::create({ .maximumAttempts = 3 });
    auto budget = RetryBudget::create({ .fractionOfSuccesses = 0.5, .floorPerSecond = 0, .maximumFloor = 1 });
    if (!policy || !budget)
        return 1;
    // The library reads no clock and draws no random number by itself: both come from the caller.
    Generator generator(42);
    TimePoint now { seconds(1) };

    FailedAttempt attempt;
    attempt.traffic = { ServiceName("dispatch"), OrganisationName("rasoi") };
    attempt.deadline = now + seconds(10);

    attempt.verdict = Verdict::MayHaveRun;
    attempt.isRepeatable = false;
    show("a booking, connection broke after it was written", policy->decide(attempt, *budget, now, generator), now);

    attempt.verdict = Verdict::NotRun;
    show("a booking, the agent confirmed that it did not run", policy->decide(attempt, *budget, now, generator), now);
    show("the same once more, and the budget is spent", policy->decide(attempt, *budget, now, generator), now);

    for (int i = 0; i < 2; ++i)
        budget->onSuccess(attempt.traffic);
    show("after two successes of the organisation", policy->decide(attempt, *budget, now, generator), now);

    attempt.verdict = Verdict::MayHaveRun;
    attempt.isRepeatable = true;
    attempt.delivered = OutputOffset(1200);
    attempt.resumableFrom = OutputOffset(800);
    show("an answer cut in the middle, its run goes on", policy->decide(attempt, *budget, now, generator), now);
    return 0;
}
