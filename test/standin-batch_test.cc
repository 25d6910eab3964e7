#include "standin/batch.h"
#include "standin/prefix-cache.h"

#include <catch2/catch.hpp>

using namespace swiftloft::standin;

namespace {

std::shared_ptr<Generation> request(std::string prompt, std::int64_t tokens, int priority = 0)
{
    auto generation = std::make_shared<Generation>();
    generation->key = prompt;
    generation->prompt = std::move(prompt);
    generation->promptTokens = 1;
    generation->endToken = tokens;
    generation->priority = priority;
    generation->wake = [] {};
    return generation;
}

BatchOptions twoAtATime()
{
    BatchOptions options;
    options.batch = 2;
    options.promptMsPerThousand = 0;
    return options;
}

} // namespace

TEST_CASE("Batch: each step gives one token to each running request, the rest wait by priority")
{
    RunLog runLog("");
    Batch batch(twoAtATime(), runLog);
    auto first = request("first", 2);
    auto second = request("second", 1);
    auto low = request("low", 1, 5);
    auto high = request("high", 1, -5);
    for (auto& generation : { first, second, low, high })
        batch.submit(generation);
    batch.step();
    CHECK(second->isComplete());
    CHECK_FALSE(first->isComplete());
    batch.step();
    CHECK(first->isComplete());
    CHECK(high->isComplete());
    CHECK_FALSE(low->isComplete());
}

TEST_CASE("Batch: a request that is cancelled while it waits has not run")
{
    RunLog runLog("");
    Batch batch(twoAtATime(), runLog);
    auto waiting = request("waiting", 1);
    batch.submit(request("first", 5));
    batch.submit(request("second", 5));
    batch.submit(waiting);
    batch.cancel(waiting);
    CHECK(runLog.countOf({ "waiting" }) == 0);
    CHECK(runLog.countOf({ "first" }) == 1);
}

TEST_CASE("PrefixCache: a prefix shortens by its held blocks and the least recently used goes first")
{
    PrefixCache cache(4);
    std::string shared(128, 'a');
    CHECK(cache.touch(shared + std::string(64, 'b')) == 0);
    CHECK(cache.touch(shared + std::string(64, 'c')) == 128);
    cache.touch(std::string(256, 'z'));
    CHECK(cache.touch(shared) == 0);
}
