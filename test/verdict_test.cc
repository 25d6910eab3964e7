#include <swiftloft/verdict.h>

#include <catch2/catch.hpp>

using namespace swiftloft;

TEST_CASE("Verdict: one attempt that may have run keeps the request from being called not-run")
{
    CHECK(combine(Verdict::NotRun, Verdict::NotRun) == Verdict::NotRun);
    CHECK(combine(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun);
    CHECK(combine(Verdict::Ran, Verdict::MayHaveRun) == Verdict::Ran);
}

TEST_CASE("Verdict: a request that is not repeatable is retried only when nothing has run")
{
    CHECK(mayRetry(Verdict::NotRun, false));
    CHECK_FALSE(mayRetry(Verdict::MayHaveRun, false));
    CHECK(mayRetry(Verdict::MayHaveRun, true));
}

TEST_CASE("Verdict: header text is read back as the same verdict")
{
    for (auto verdict : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran })
        CHECK(verdictFromString(toString(verdict)) == verdict);
    CHECK(verdictFromString("perhaps") == std::nullopt);
}
