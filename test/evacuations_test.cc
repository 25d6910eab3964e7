#include "src/gateway/evacuations.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };
const DataCentreName a("a");
const DataCentreName b("b");

PublishedItem request(const std::string& dataCentre, std::uint64_t revision, std::uint64_t era = 0)
{
    return { dataCentre, "{}", revision, false, {}, StoreEra(era) };
}

PublishedItem withdrawal(const std::string& dataCentre, std::uint64_t revision)
{
    return { dataCentre, "", revision, true };
}

PublishedItems asOf(std::uint64_t revision, std::vector<PublishedItem> evacuations, std::uint64_t era = 0)
{
    return { {}, revision, StoreEra(era), std::move(evacuations) };
}

} // namespace

TEST_CASE("Evacuations: a request and its withdrawal begin and end an evacuation")
{
    Evacuations evacuations;
    CHECK_FALSE(evacuations.onListed(start, asOf(10, {})));
    CHECK(evacuations.onChanged(start, asOf(12, { request("a", 11) })));
    CHECK(evacuations.isEvacuated(a));
    CHECK_FALSE(evacuations.isEvacuated(b));
    CHECK(evacuations.report().evacuations == std::vector<Evacuation> { { a, { {}, 11 } } });
    CHECK_FALSE(evacuations.endedAt(a));
    CHECK(evacuations.onChanged(start + seconds(3), asOf(20, { withdrawal("a", 19) })));
    CHECK_FALSE(evacuations.isEvacuated(a));
    CHECK(evacuations.endedAt(a) == start + seconds(3));
}

// Guards against this failure: a peer that has not heard of the end, or a delayed message, starts an evacuation again.
TEST_CASE("Evacuations: a late report neither starts nor ends an evacuation")
{
    Evacuations evacuations;
    evacuations.onListed(start, asOf(12, { request("a", 11) }));
    auto whileEvacuated = evacuations.report();
    evacuations.onChanged(start, asOf(20, { withdrawal("a", 19) }));
    CHECK_FALSE(evacuations.onPeerReport(start, whileEvacuated));
    CHECK_FALSE(evacuations.isEvacuated(a));
    CHECK_FALSE(evacuations.onChanged(start, asOf(12, { request("a", 11) })));
    CHECK_FALSE(evacuations.isEvacuated(a));
    evacuations.onChanged(start, asOf(31, { request("b", 30) }));
    CHECK_FALSE(evacuations.onPeerReport(start, { { {}, 25 }, {} }));
    CHECK(evacuations.isEvacuated(b));
}

// Guards against this failure: the watch returns a change that a peer's newer report has already replaced.
TEST_CASE("Evacuations: a change older than a peer's report is left out, one after it counts")
{
    Evacuations evacuations;
    evacuations.onListed(start, asOf(10, {}));
    CHECK(evacuations.onPeerReport(start, { { {}, 30 }, { { b, { {}, 25 } } } }));
    CHECK(evacuations.onChanged(start, asOf(40, { withdrawal("b", 35), request("a", 20) })));
    CHECK_FALSE(evacuations.isEvacuated(a));
    CHECK_FALSE(evacuations.isEvacuated(b));
}

// Guards against this failure: the store comes back from an older copy, and its lower revisions count as old news.
TEST_CASE("Evacuations: state of a later era of the store replaces that of a higher revision")
{
    Evacuations evacuations;
    evacuations.onListed(start, asOf(500, { request("a", 400, 1) }, 1));
    CHECK(evacuations.onListed(start, asOf(300, { request("b", 290, 2) }, 2)));
    CHECK_FALSE(evacuations.isEvacuated(a));
    CHECK(evacuations.isEvacuated(b));
    CHECK_FALSE(evacuations.onListed(start, asOf(600, { request("a", 400, 1) }, 1)));
}

TEST_CASE("Evacuations: an invalid request has no effect and hides no valid one")
{
    Evacuations evacuations;
    auto invalid = request("a", 11);
    invalid.problem = "value is not an object";
    CHECK(evacuations.onListed(start, asOf(12, { invalid, request("b", 12) })));
    CHECK_FALSE(evacuations.isEvacuated(a));
    CHECK(evacuations.isEvacuated(b));
}
