#include <swiftloft/policy/admission-queue.h>

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace swiftloft;
using namespace swiftloft::policy;

namespace {

const TimePoint start { seconds(1000) };

/// A queue in front of a service that runs one request of `cost` at a time, each in 100 ms.
struct QueueFixture {
    static constexpr std::int64_t cost = 1000;

    explicit QueueFixture(std::size_t maximumQueued = 100)
        : queue(AdmissionQueue::create({ .capacity = Tokens(cost), .maximumQueued = maximumQueued, .initialTokensPerSecond = cost * 10 }).value())
    {
    }

    AdmissionEffects arrive(std::uint64_t id, const std::string& organisation, milliseconds patience = seconds(60), Priority priority = Priority::Normal)
    {
        AdmissionRequest request { AdmissionId(id), OrganisationName(organisation), priority, Tokens(cost), now + patience };
        owners[id] = organisation;
        return queue.onArrive(request, now, generator);
    }

    /// Finishes the running request. Returns the id of the request started next, or 0.
    std::uint64_t finish()
    {
        now += milliseconds(100);
        for (auto& effect : queue.onFinish(Tokens(cost), now, generator)) {
            if (effect.action == AdmissionAction::Start)
                return effect.id.value();
        }
        return 0;
    }

    AdmissionQueue queue;
    Generator generator { 3 };
    TimePoint now { start };
    std::map<std::uint64_t, std::string> owners;
};

} // namespace

TEST_CASE_METHOD(QueueFixture, "AdmissionQueue: an organisation that floods the queue does not delay another's request")
{
    // One organisation queues fifty requests, then another organisation sends a single one. In first-come, first-served
    // order the single request would wait for all fifty.
    for (std::uint64_t i = 1; i <= 51; ++i)
        arrive(i, "caterer");
    arrive(100, "driver");
    CHECK(queue.expectedWait(OrganisationName("driver"), Priority::Normal) <= milliseconds(200));
    CHECK(finish() == 100);
}

TEST_CASE_METHOD(QueueFixture, "AdmissionQueue: capacity is divided by weight")
{
    queue.setWeight(OrganisationName("large"), 3);
    for (std::uint64_t i = 1; i <= 40; ++i) {
        arrive(i, "large");
        arrive(100 + i, "small");
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 40; ++i)
        ++served[owners[finish()]];
    CHECK(served["large"] >= 29);
    CHECK(served["large"] <= 31);
}

TEST_CASE_METHOD(QueueFixture, "AdmissionQueue: an idle organisation accumulates no credit")
{
    for (std::uint64_t i = 1; i <= 30; ++i)
        arrive(i, "steady");
    for (int i = 0; i < 10; ++i)
        finish();
    for (std::uint64_t i = 101; i <= 120; ++i)
        arrive(i, "returning");
    int returning = 0;
    for (int i = 0; i < 10; ++i)
        returning += owners[finish()] == "returning" ? 1 : 0;
    CHECK(returning >= 4);
    CHECK(returning <= 6);
}

TEST_CASE_METHOD(QueueFixture, "AdmissionQueue: a request that would miss its deadline is refused on arrival")
{
    // Ten seconds of work are queued and the client waits for two. If the request were queued, it would use an engine
    // for a response that nobody reads, and delay the requests behind it.
    for (std::uint64_t i = 1; i <= 101; ++i)
        arrive(i, "cafe");
    auto effects = arrive(200, "cafe", seconds(2));
    REQUIRE(effects.size() == 1);
    CHECK(effects[0].action == AdmissionAction::Refuse);
    CHECK(effects[0].reason == AdmissionReason::WaitTooLong);
    CHECK(effects[0].retryAfter >= seconds(10));
    CHECK(arrive(201, "cafe", milliseconds(-1))[0].reason == AdmissionReason::WaitTooLong);
}

TEST_CASE_METHOD(QueueFixture, "AdmissionQueue: a request that can no longer meet its deadline is refused as soon as its latest start passes")
{
    // The engines stall after the request was queued, so its wait exceeds the deadline although the estimate on arrival
    // was within it. The client must be answered then, while it can still use another entry.
    arrive(1, "cafe");
    arrive(2, "cafe", milliseconds(500));
    REQUIRE(queue.nextTimer());
    CHECK(*queue.nextTimer() <= now + milliseconds(501));
    now = *queue.nextTimer();
    auto effects = queue.onTimer(now, generator);
    REQUIRE(effects.size() == 1);
    CHECK(effects[0].id == AdmissionId(2));
    CHECK(effects[0].reason == AdmissionReason::Expired);
    CHECK(effects[0].retryAfter >= seconds(1));
    CHECK_FALSE(queue.nextTimer());
    CHECK(finish() == 0);
}

TEST_CASE("AdmissionQueue: when the queue is full, a request of the organisation with the largest backlog is evicted")
{
    // One organisation fills the queue. Refusing the next arrival would refuse the only request of an organisation that
    // has used nothing.
    QueueFixture fixture(10);
    for (std::uint64_t i = 1; i <= 11; ++i)
        fixture.arrive(i, "hog");
    auto own = fixture.arrive(12, "hog");
    REQUIRE(own.size() == 1);
    CHECK(own[0].id == AdmissionId(12));
    CHECK(own[0].reason == AdmissionReason::QueueFull);
    auto effects = fixture.arrive(13, "modest");
    REQUIRE(effects.size() == 1);
    CHECK(effects[0].id == AdmissionId(11));
    CHECK(effects[0].reason == AdmissionReason::QueueFull);
    CHECK(fixture.queue.queued() == 10);
    CHECK(fixture.finish() == 13);
}

TEST_CASE_METHOD(QueueFixture, "AdmissionQueue: priority orders the requests of one organisation and takes nothing from another")
{
    // One organisation marks all its requests as high priority.
    for (std::uint64_t i = 1; i <= 21; ++i)
        arrive(i, "loud", seconds(60), Priority::High);
    for (std::uint64_t i = 101; i <= 110; ++i)
        arrive(i, "calm", seconds(60), Priority::Low);
    arrive(200, "calm", seconds(60), Priority::High);
    std::vector<std::uint64_t> calm;
    for (int i = 0; i < 10; ++i) {
        auto id = finish();
        if (owners[id] == "calm")
            calm.push_back(id);
    }
    REQUIRE(calm.size() >= 4);
    CHECK(calm[0] == 200);
    CHECK(calm[1] == 101);
}

TEST_CASE_METHOD(QueueFixture, "AdmissionQueue: abandoned requests free their place in the queue")
{
    arrive(1, "cafe");
    arrive(2, "cafe");
    arrive(3, "cafe");
    queue.onAbandon(AdmissionId(2));
    queue.onAbandon(AdmissionId(99));
    CHECK(finish() == 3);
    CHECK(finish() == 0);
    CHECK(queue.inFlight() == Tokens(0));
    queue.removeOrganisation(OrganisationName("cafe"));
    CHECK(arrive(4, "other")[0].action == AdmissionAction::Start);
}

TEST_CASE("AdmissionQueue: a request larger than the whole capacity runs alone")
{
    auto queue = AdmissionQueue::create({ .capacity = Tokens(1000) }).value();
    Generator generator(1);
    AdmissionRequest large { AdmissionId(1), OrganisationName("a"), Priority::Normal, Tokens(5000), start + seconds(60) };
    CHECK(queue.onArrive(large, start, generator)[0].action == AdmissionAction::Start);
    large.id = AdmissionId(2);
    CHECK(queue.onArrive(large, start, generator).empty());
    CHECK(queue.onFinish(Tokens(5000), start + seconds(1), generator)[0].id == AdmissionId(2));
    auto effects = queue.setCapacity(Tokens(9000), start + seconds(1), generator);
    CHECK(effects.empty());
}

TEST_CASE("AdmissionQueue: short requests do not overfill the engines' batch slots")
{
    // Under overload, mostly short requests can still meet their deadlines. If only tokens were counted, far more of
    // them would be started than the engines can batch; all would slow down and most would miss their deadlines.
    auto queue = AdmissionQueue::create({ .capacity = Tokens(1000), .maximumInFlight = 3 }).value();
    Generator generator(1);
    std::size_t started = 0;
    for (std::uint64_t i = 0; i < 10; ++i)
        started += queue.onArrive({ AdmissionId(i), OrganisationName("a"), Priority::Normal, Tokens(10), start + seconds(60) }, start, generator).size();
    CHECK(started == 3);
    CHECK(queue.onFinish(Tokens(10), start, generator).size() == 1);
    CHECK(queue.setMaximumInFlight(5, start, generator).size() == 2);
}

TEST_CASE("AdmissionQueue: the expected wait follows the measured throughput, not the assumed one")
{
    QueueFixture fixture;
    for (std::uint64_t i = 1; i <= 41; ++i)
        fixture.arrive(i, "cafe");
    CHECK(fixture.queue.expectedWait(OrganisationName("cafe"), Priority::Normal) == seconds(4));
    for (int i = 0; i < 20; ++i) {
        fixture.now += milliseconds(300);
        fixture.finish();
    }
    auto wait = fixture.queue.expectedWait(OrganisationName("cafe"), Priority::Normal);
    CHECK(wait >= seconds(7));
    CHECK(wait <= seconds(9));
}
