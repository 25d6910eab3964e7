#include "src/gateway/admission/startup-wait.h"

#include "src/gateway/startup-queue.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;
using namespace swiftloft::gateway::admission;

namespace {

const TimePoint start { seconds(100) };

} // namespace

TEST_CASE("Startup wait: a request waits for an entry that is about to be able to serve, within its deadline")
{
    CHECK(startupWaitEnd(start, { start, 0 }, start + seconds(8)) == start + seconds(1));
    CHECK(startupWaitEnd(start + seconds(1), { start, 0 }, start + seconds(9)) == start + milliseconds(1500));
    CHECK(startupWaitEnd(start, { start, 0 }, start + milliseconds(800)) == start + milliseconds(200));
}

TEST_CASE("Startup wait: a request is refused at once when waiting is of no use")
{
    // The entry should have been able to serve long ago.
    CHECK_FALSE(startupWaitEnd(start + seconds(2), { start, 0 }, start + seconds(10)).has_value());
    CHECK_FALSE(startupWaitEnd(start, { start, 0 }, start).has_value());
}

TEST_CASE("Startup wait: the number of waiting requests is bounded")
{
    // Guards against memory that grows while all clients of a fleet return to a few entries that have just started.
    CHECK(startupWaitEnd(start, { start, maxStartupWaiting - 1 }, start + seconds(8)).has_value());
    CHECK_FALSE(startupWaitEnd(start, { start, maxStartupWaiting }, start + seconds(8)).has_value());
}

TEST_CASE("StartupQueue: waiting requests continue when the entry can serve, and at once when it is switched off")
{
    boost::asio::io_context ioContext;
    StartupQueue queue(true);
    StartupQueue off(false);
    int continued = 0;
    auto wait = [&](StartupQueue& it) -> boost::asio::awaitable<void> {
        co_await it.wait(Clock::now() + seconds(8));
        ++continued;
    };
    co_spawn(ioContext, wait(off), boost::asio::detached);
    ioContext.poll();
    CHECK(continued == 1);
    ioContext.restart();
    co_spawn(ioContext, wait(queue), boost::asio::detached);
    ioContext.poll();
    CHECK(continued == 1);
    queue.onReady();
    ioContext.poll();
    CHECK(continued == 2);
}

// Guards against this failure: requests wait at an entry that has been asked to stop before it could serve.
TEST_CASE("StartupQueue: no request waits once the entry is being stopped")
{
    boost::asio::io_context ioContext;
    StartupQueue queue(true);
    int continued = 0;
    auto wait = [&]() -> boost::asio::awaitable<void> {
        co_await queue.wait(Clock::now() + seconds(8));
        ++continued;
    };
    co_spawn(ioContext, wait(), boost::asio::detached);
    ioContext.poll();
    CHECK(continued == 0);
    queue.close();
    ioContext.restart();
    co_spawn(ioContext, wait(), boost::asio::detached);
    ioContext.poll();
    CHECK(continued == 2);
}
