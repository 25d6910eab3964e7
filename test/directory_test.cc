#include "src/gateway/directory.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const DataCentreName own { "da1" };

Endpoint endpointOf(unsigned n)
{
    return { boost::asio::ip::address_v4(0x0a000000 + n), 80 };
}

std::vector<ServingEntry> serving(const std::vector<std::string>& dataCentres)
{
    std::vector<ServingEntry> out;
    out.reserve(dataCentres.size());
    for (auto& dataCentre : dataCentres)
        out.push_back({ endpointOf(static_cast<unsigned>(out.size())), DataCentreName(dataCentre) });
    return out;
}

/// The data centres of the chosen entries, in order.
std::string chosen(const std::vector<std::string>& dataCentres, const DirectoryQuery& query, const HostHomes* homes)
{
    auto regions = DataCentreRegions::create({ { own, RegionName("a") }, { DataCentreName("da2"), RegionName("a") }, { DataCentreName("db1"), RegionName("b") }, { DataCentreName("dc1"), RegionName("c") } }).value();
    std::string out;
    for (auto& endpoint : directoryEntries(serving(dataCentres), query, homes, regions, own))
        out += (out.empty() ? "" : " ") + dataCentres[endpoint.address().to_v4().to_uint() - 0x0a000000];
    return out;
}

HostHomes homesOfHost(std::vector<RegionName> shared, std::vector<RegionName> all)
{
    return { std::move(shared), std::move(all) };
}

const DirectoryQuery fromA { "a.example", RegionName("a"), own };
const DirectoryQuery fromC { "a.example", RegionName("c"), DataCentreName("dc1") };

} // namespace

TEST_CASE("Directory: without homes the entries of the data centre are named, all if it has fewer than two")
{
    CHECK(chosen({ "da1", "db1", "da1", "dc1" }, fromC, nullptr) == "da1 da1");
    CHECK(chosen({ "da1", "db1", "dc1" }, {}, nullptr) == "da1 db1 dc1");
    CHECK(chosen({}, {}, nullptr).empty());
    CHECK(chosen(std::vector<std::string>(100, "da1"), {}, nullptr).size() == 4 * maxDirectoryEntries - 1);
}

TEST_CASE("Directory: with homes only entries of a home or of the client's region are named while one serves")
{
    auto homes = homesOfHost({ RegionName("b") }, { RegionName("b") });
    CHECK(chosen({ "da1", "da1", "db1", "dc1" }, fromC, &homes) == "db1 dc1");
    CHECK(chosen({ "da1", "da1", "db1" }, fromC, &homes) == "db1");
    CHECK(chosen({ "da1", "da1", "dc1" }, fromC, &homes) == "dc1");
    CHECK(chosen({ "da1", "da2", "db1" }, { "a.example", {}, {} }, &homes) == "db1");
    CHECK(chosen({ "da1", "da2", "db1" }, { "a.example", RegionName("unknown"), {} }, &homes) == "db1");
}

// Guards against this failure: all entries of the homes and of the client's region are lost, and clients get no entry,
// although an entry elsewhere could send their requests to a server of a home.
TEST_CASE("Directory: other entries are named once no entry of a home or of the client's region serves")
{
    auto homes = homesOfHost({ RegionName("b") }, { RegionName("b") });
    CHECK(chosen({ "da1", "da2" }, fromC, &homes) == "da1 da2");
}

TEST_CASE("Directory: the client's data centre comes before its region, as long as two entries serve there")
{
    auto homes = homesOfHost({ RegionName("a"), RegionName("c") }, { RegionName("a"), RegionName("c") });
    CHECK(chosen({ "da1", "da2", "dc1", "da1" }, fromA, &homes) == "da1 da1");
    CHECK(chosen({ "da1", "da2", "dc1" }, fromA, &homes) == "da1 da2");
    CHECK(chosen({ "da1", "db1", "dc1" }, fromA, &homes) == "da1 dc1");
}

// Guards against this failure: two routes of a host have different homes, and a client sends the body of one route to an
// entry that only the other route allows.
TEST_CASE("Directory: entries that all routes of the host allow come first, then those of a home of some route")
{
    auto homes = homesOfHost({ RegionName("b") }, { RegionName("a"), RegionName("b") });
    CHECK(chosen({ "da1", "db1" }, fromC, &homes) == "db1");
    CHECK(chosen({ "da1", "da1" }, fromC, &homes) == "da1 da1");
    auto disjoint = homesOfHost({}, { RegionName("a"), RegionName("b") });
    CHECK(chosen({ "da1", "db1" }, fromC, &disjoint) == "da1 db1");
}

// Guards against this failure: all entries are being replaced at once, the directory names none, and clients go on with the
// entries of an old list, of which some are about to end.
TEST_CASE("Directory: while no entry serves, the leaving ones are named that accept requests for as long as clients keep a list")
{
    const TimePoint now { seconds(100) };
    auto leaver = [&](unsigned short port, milliseconds acceptsFor) { return LeavingEntry { { boost::asio::ip::address_v4(0x0a000001), port }, DataCentreName("a"), now + acceptsFor }; };
    auto portsOf = [&](const std::vector<LeavingEntry>& leavers) {
        std::vector<unsigned> ports;
        for (auto& it : servingLeavers(leavers, now, seconds(1)))
            ports.push_back(it.clients.port());
        return ports;
    };
    CHECK(portsOf({ leaver(1, milliseconds(900)), leaver(2, milliseconds(1100)), leaver(3, milliseconds(2900)) }) == std::vector<unsigned> { 2, 3 });
    CHECK(portsOf({ leaver(1, milliseconds(900)), leaver(2, milliseconds(-10)) }) == std::vector<unsigned> { 1 });
    CHECK(portsOf({ leaver(1, milliseconds(0)) }).empty());
}
