#include "src/gateway/response-memory.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace swiftloft;
using gateway::ResponseMemory;

namespace {

constexpr std::size_t largeSize = ResponseMemory::maxBytes / 4;

/// Four deliveries that use up the memory, started one second after the other.
class FullMemory {
public:
    explicit FullMemory(TimePoint begin)
    {
        for (std::size_t n = 0; n < 4; ++n) {
            m_shares.push_back(std::make_unique<ResponseMemory::Share>(memory));
            isFilled = isFilled && m_shares.back()->add(begin, largeSize);
            m_shares.back()->startDelivery(begin + seconds(n), [this, n] { givenUp.push_back(n); });
        }
    }
    void end(std::size_t n) { m_shares[n].reset(); }

    ResponseMemory memory;
    bool isFilled { true };
    std::vector<std::size_t> givenUp;

private:
    std::vector<std::unique_ptr<ResponseMemory::Share>> m_shares;
};

} // namespace

// Guards against this failure: clients that take their responses slowly use up the memory, and the large responses of all others
// are lost.
TEST_CASE("ResponseMemory: the oldest delivery is given up for a new response")
{
    TimePoint begin {};
    FullMemory full(begin);
    REQUIRE(full.isFilled);
    ResponseMemory::Share share(full.memory);
    CHECK(share.add(begin + seconds(10), largeSize));
    CHECK(full.givenUp == std::vector<std::size_t> { 0 });
    CHECK(share.add(begin + seconds(10), 1));
    CHECK(full.givenUp == std::vector<std::size_t> { 0, 1 });
}

// Guards against this failure: clients that read fast are cut off because many responses come at the same moment.
TEST_CASE("ResponseMemory: a delivery that has just started is not given up")
{
    TimePoint begin {};
    FullMemory full(begin);
    ResponseMemory::Share share(full.memory);
    CHECK_FALSE(share.add(begin, largeSize));
    CHECK(full.givenUp.empty());
}

// Guards against this failure: a small response is lost, or costs another one its memory, because large ones use it up.
TEST_CASE("ResponseMemory: a small response is always buffered")
{
    TimePoint begin {};
    FullMemory full(begin);
    ResponseMemory::Share share(full.memory);
    CHECK(share.add(begin + seconds(10), ResponseMemory::maxSmallBytes));
    CHECK(full.givenUp.empty());
}

// Guards against this failure: memory of responses that have ended is counted for ever.
TEST_CASE("ResponseMemory: a response that has ended, or was given up, takes no memory")
{
    TimePoint begin {};
    FullMemory full(begin);
    full.end(2);
    ResponseMemory::Share first(full.memory);
    CHECK(first.add(begin + seconds(10), largeSize));
    CHECK(full.givenUp.empty());
    ResponseMemory::Share second(full.memory);
    CHECK(second.add(begin + seconds(10), largeSize));
    full.end(0);
    ResponseMemory::Share third(full.memory);
    CHECK(third.add(begin + seconds(10), largeSize));
    CHECK(full.givenUp == std::vector<std::size_t> { 0, 1 });
}
