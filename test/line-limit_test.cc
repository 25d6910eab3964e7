#include "src/log/line-limit.h"

#include <catch2/catch.hpp>

using namespace swiftloft::log;

namespace {

const LineLimit::Time start { std::chrono::seconds(100) };

int allowed(LineLimit& limit, Event event, int lines, LineLimit::Time now = start)
{
    int count = 0;
    for (int n = 0; n < lines; ++n)
        count += limit.allows(event, now) ? 1 : 0;
    return count;
}

} // namespace

// A rush of requests fills the log; the one that was refused and that a user asks about tomorrow is not in it.
TEST_CASE("LineLimit: requests that went well leave room for those that did not")
{
    LineLimit limit({ 100, 40 });
    CHECK(allowed(limit, Event::RequestServed, 1000) == 40);
    CHECK(allowed(limit, Event::RequestFailed, 1000) == 60);
    CHECK(limit.takeDropped() == 960 + 940);
    CHECK(limit.takeDropped() == 0);
}

TEST_CASE("LineLimit: each second has its own room")
{
    LineLimit limit({ 10, 10 });
    CHECK(allowed(limit, Event::RequestFailed, 20) == 10);
    CHECK(allowed(limit, Event::RequestFailed, 20, start + std::chrono::milliseconds(999)) == 0);
    CHECK(allowed(limit, Event::RequestFailed, 20, start + std::chrono::seconds(1)) == 10);
}
