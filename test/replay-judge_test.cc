#include "src/replay/answer-check.h"
#include "src/replay/judge.h"

#include "standin/answer-text.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace swiftloft;
using namespace swiftloft::replay;

namespace {

TraceRequest streamOfThree()
{
    TraceRequest request;
    request.kind = BackendKind::Model;
    request.path = "/v1/completions";
    request.prompt = PromptSpec { "letter", 10, "case-1", 10 };
    request.maxTokens = 3;
    request.isStream = true;
    return request;
}

std::string tokenEvent(std::int64_t n, const std::string& prompt)
{
    return fmt::format("data: {{\"choices\":[{{\"text\":\"{}\"}}]}}\n\n", standin::answerToken(n, standin::promptHash(prompt)));
}

const std::string verdictEvent = "event: swiftloft\ndata: {\"verdict\":\"ran\"}\n\n";
const std::string endEvent = "data: [DONE]\n\n";

ExchangeResult wholeAnswer()
{
    ExchangeResult result;
    result.end = ExchangeEnd::Whole;
    result.head.result(200);
    result.head.set("Swiftloft-Verdict", "may-have-run");
    result.firstByteAt = TimePoint(seconds(1));
    return result;
}

Record check(const std::string& bytes, const ExchangeResult& result = wholeAnswer())
{
    auto request = streamOfThree();
    AnswerCheck check(request, "", true);
    // One byte at a time: how the network splits a stream must not matter.
    for (auto c : bytes)
        check.onBody(std::string_view(&c, 1), TimePoint(seconds(1)));
    Record record;
    record.request = request;
    check.conclude(result, record);
    return record;
}

std::shared_ptr<Record> refusedNotRun(const std::string& key, bool isRepeatable)
{
    auto record = std::make_shared<Record>();
    record->request.key = RequestKey(key);
    record->request.isRepeatable = isRepeatable;
    record->fate = Fate::Refused;
    record->verdict = Verdict::NotRun;
    record->refusal = { 7, "overloaded" };
    return record;
}

} // namespace

TEST_CASE("AnswerCheck: a stream counts as answered only when it is whole, in order and its own")
{
    auto prompt = promptText(*streamOfThree().prompt);
    auto tokens = tokenEvent(0, prompt) + tokenEvent(1, prompt) + tokenEvent(2, prompt);
    CHECK(check(tokens + verdictEvent + endEvent).fate == Fate::Answered);
    CHECK(check(tokens + verdictEvent + endEvent).verdict == Verdict::Ran);
    CHECK(check(tokens + endEvent).problem == "no verdict at the end of the stream");
    CHECK(check(tokens + verdictEvent).problem == "the stream looks whole but has no end mark after 3 tokens");
    CHECK(check(tokenEvent(0, prompt) + verdictEvent + endEvent).problem == "1 tokens of 3");
    CHECK(check(tokenEvent(0, prompt) + tokenEvent(0, prompt) + tokenEvent(1, prompt) + verdictEvent + endEvent).fate == Fate::Lost);
    CHECK(check(tokenEvent(0, prompt) + tokenEvent(1, "another prompt") + tokenEvent(2, prompt) + verdictEvent + endEvent).fate == Fate::Lost);
}

TEST_CASE("AnswerCheck: a cut stream is lost unless its last event gave verdict and reason")
{
    auto prompt = promptText(*streamOfThree().prompt);
    auto cut = wholeAnswer();
    cut.end = ExchangeEnd::Cut;
    cut.failure = "end of stream";
    CHECK(check(tokenEvent(0, prompt), cut).problem == "end of stream after 1 tokens");
    auto told = check(tokenEvent(0, prompt) + "event: swiftloft\ndata: {\"verdict\":\"may-have-run\",\"reason\":10,\"name\":\"backend-server-failed\"}\n\n", cut);
    CHECK(told.fate == Fate::Refused);
    CHECK(told.verdict == Verdict::MayHaveRun);
    CHECK(told.refusal.name == "backend-server-failed");
}

TEST_CASE("AnswerCheck: an error status without a numbered reason counts as lost")
{
    auto bare = wholeAnswer();
    bare.head.result(503);
    CHECK(check("", bare).problem == "status 503 without a reason");
    bare.body = R"({"reason":7,"name":"overloaded"})";
    CHECK(check("", bare).fate == Fate::Refused);
}

TEST_CASE("Judge: a not repeatable key that ran twice is doubled, a repeatable one is not")
{
    RunCounts counts;
    addRuns(R"([{"key":"internal-1","idempotency_key":"k","fingerprint":"0a"}])", counts);
    addRuns(R"([{"key":"internal-2","idempotency_key":"k","fingerprint":"0a"}])", counts);
    auto record = refusedNotRun("k", false);
    record->verdict = Verdict::MayHaveRun;
    CHECK(summarize({ record }, counts).doubled == 1);
    record->request.isRepeatable = true;
    CHECK(summarize({ record }, counts).doubled == 0);
}

TEST_CASE("Judge: a request refused as not run that ran is counted")
{
    RunCounts counts;
    CHECK(summarize({ refusedNotRun("k", false) }, counts).falseNotRun == 0);
    counts.add("k", 1);
    CHECK(summarize({ refusedNotRun("k", false) }, counts).falseNotRun == 1);
    // A resend under the same key that ran explains the run.
    auto resend = refusedNotRun("k", false);
    resend->fate = Fate::Answered;
    resend->verdict = Verdict::Ran;
    CHECK(summarize({ refusedNotRun("k", false), resend }, counts).falseNotRun == 0);
}

TEST_CASE("Judge: stated outcomes replace the defaults of the same measure")
{
    Summary summary;
    summary.sent = 10;
    summary.answered = 8;
    summary.lost = 2;
    CHECK(judge(summary, withDefaults({})).size() == 1);
    CHECK(judge(summary, withDefaults({ { Measure::Lost, Bound::AtMost, 2 } })).empty());
    auto failures = judge(summary, { { Measure::AnsweredShare, Bound::AtLeast, 0.9 } });
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].what == "answered_share is 0.8, stated >= 0.9");
}

TEST_CASE("Histogram: percentiles are read to within 2%")
{
    Histogram histogram;
    CHECK(histogram.percentile(0.5) == std::chrono::nanoseconds(0));
    for (int n = 1; n <= 1000; ++n)
        histogram.add(milliseconds(n));
    CHECK(std::chrono::duration<double, std::milli>(histogram.percentile(0.5)).count() == Approx(500).epsilon(0.02));
    CHECK(std::chrono::duration<double, std::milli>(histogram.percentile(0.99)).count() == Approx(990).epsilon(0.02));
    CHECK(histogram.max() == milliseconds(1000));
}
