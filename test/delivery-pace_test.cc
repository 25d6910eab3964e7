#include "src/gateway/delivery-pace.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace swiftloft;
using gateway::DeliveryPace;

namespace {

constexpr std::uint64_t largeResponse = std::uint64_t { 16 } << 20;

/// Delivers a response of `size` bytes, of which the client accepts `bytesPerStep` each `step`. Returns when the client is given
/// up; unset if it gets all.
std::optional<milliseconds> givenUpAfter(std::uint64_t size, std::uint64_t bytesPerStep, milliseconds step)
{
    DeliveryPace pace;
    TimePoint begin {};
    pace.start(begin, 0);
    for (std::uint64_t n = 1; n * bytesPerStep < size; ++n) {
        auto delivered = n * bytesPerStep;
        auto stepEnd = begin + n * step;
        while (pace.checkAt() < stepEnd) {
            auto checkAt = pace.checkAt();
            if (pace.isTooSlow(checkAt, delivered - bytesPerStep))
                return std::chrono::duration_cast<milliseconds>(checkAt - begin);
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against this failure: a client that accepts bytes all the time is given up because its response is large.
TEST_CASE("DeliveryPace: a client above the least rate gets a response of any size")
{
    auto step = milliseconds(GENERATE(20, 1000, 5000));
    auto bytesPerStep = 2 * DeliveryPace::minBytes * static_cast<std::uint64_t>(step.count()) / static_cast<std::uint64_t>(DeliveryPace::window.count());
    CHECK(givenUpAfter(largeResponse, bytesPerStep, step) == std::nullopt);
}

// Guards against this failure: a client that accepts almost nothing keeps its response in memory.
TEST_CASE("DeliveryPace: a client below the least rate is given up within two windows")
{
    auto bytesPerSecond = GENERATE(std::uint64_t { 1 }, std::uint64_t { 1000 }, std::uint64_t { 6000 });
    auto time = givenUpAfter(largeResponse, bytesPerSecond, milliseconds(1000));
    REQUIRE(time);
    CHECK(*time <= 2 * DeliveryPace::window);
}

// Guards against this failure: a client is given up for a time in which nothing waited for it.
TEST_CASE("DeliveryPace: time between deliveries does not count")
{
    DeliveryPace pace;
    TimePoint now {};
    for (int n = 0; n < 5; ++n) {
        pace.start(now, 0);
        CHECK_FALSE(pace.isTooSlow(now + DeliveryPace::window - milliseconds(1), 0));
        now += 2 * DeliveryPace::window;
    }
}
