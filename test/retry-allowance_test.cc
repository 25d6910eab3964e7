#include "src/gateway/retry-allowance.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };
const ServiceName service { "model" };

RetryAllowance allowance(double ratio, double slack)
{
    RetryAllowanceOptions options;
    options.ratio = ratio;
    options.slack = slack;
    options.window = seconds(10);
    options.margin = 1;
    return RetryAllowance(options);
}

int takeAll(RetryAllowance& retries, TimePoint now)
{
    int taken = 0;
    while (retries.tryTake(service, now))
        ++taken;
    return taken;
}

} // namespace

TEST_CASE("RetryAllowance: the allowance is a share of the requests in the window")
{
    auto retries = allowance(0.2, 0);
    for (int n = 0; n < 50; ++n)
        retries.onRequest(service, start);
    CHECK(takeAll(retries, start + seconds(1)) == 10);
    CHECK(takeAll(retries, start + seconds(9)) == 0);
    // The window has passed, and with it the requests that earned retries.
    CHECK(takeAll(retries, start + seconds(11)) == 0);
}

// Guards against this failure: all servers of a service fail at once and each of ten entries retries what it can. If
// together they send more retries than the budget of the fleet, the retry storm keeps the service down.
TEST_CASE("RetryAllowance: entries get equal shares of the slack, by the number that may exist")
{
    auto retries = allowance(0, 88);
    retries.raiseMaxEntries(10);
    CHECK(takeAll(retries, start) == 8);
    // In a network partition an entry sees fewer entries, and does not take more for it.
    retries.raiseMaxEntries(2);
    CHECK(takeAll(retries, start + seconds(11)) == 8);
}

TEST_CASE("RetryAllowance: services don't use each other's share")
{
    auto retries = allowance(0, 2);
    CHECK(takeAll(retries, start) == 2);
    CHECK(retries.tryTake(ServiceName("other"), start));
}
