#include <swiftloft/membership/address-answer.h>
#include <swiftloft/membership/rendezvous.h>
#include <swiftloft/membership/subset.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace swiftloft::membership {

namespace {

class ViewBuilder {
public:
    ViewBuilder()
    {
        m_view.topology.regions = { { DataCentreName("a1"), RegionName("a") }, { DataCentreName("a2"), RegionName("a") }, { DataCentreName("b1"), RegionName("b") } };
    }

    ViewMember& add(Role role, const std::string& id, const std::string& dataCentre, const std::string& service = "")
    {
        ListedInstance row;
        row.id = NodeId(id);
        row.role = role;
        row.address = TrafficAddress(id);
        row.dataCentre = DataCentreName(dataCentre);
        row.service = ServiceName(service);
        ViewMember member;
        member.listed = std::make_shared<const ListedInstance>(row);
        m_view.members.push_back(member);
        return m_view.members.back();
    }
    ViewMember& entry(const std::string& id, const std::string& dataCentre) { return add(Role::Entry, id, dataCentre); }

    View view()
    {
        auto view = m_view;
        std::sort(view.members.begin(), view.members.end(), [](auto& a, auto& b) { return a.listed->id < b.listed->id; });
        return view;
    }

private:
    View m_view;
};

const TimePoint now { std::chrono::hours(1) };

std::vector<std::string> answer(const View& view, std::uint64_t seed, const std::optional<DataCentreName>& client = DataCentreName("a1"), const AddressAnswerOptions& options = {})
{
    std::vector<std::string> addresses;
    for (auto& it : makeAddressAnswer(view, client, ServiceName("s"), seed, now, options).addresses)
        addresses.push_back(it.value());
    return addresses;
}

View twelveEntries()
{
    ViewBuilder builder;
    for (auto* dc : { "a1", "a2", "b1" }) {
        for (int i = 0; i < 4; ++i)
            builder.entry(fmt::format("{}-{}", dc, i), dc);
    }
    return builder.view();
}

} // namespace

TEST_CASE("Address answer: nearest entries first, the last one in another data centre", "[membership]")
{
    auto view = twelveEntries();
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        auto addresses = answer(view, seed);
        REQUIRE(addresses.size() == 3);
        CHECK(addresses[0].starts_with("a1"));
        CHECK(addresses[1].starts_with("a1"));
        CHECK(addresses[2].starts_with("a2"));
        CHECK(addresses == answer(view, seed));
    }
}

TEST_CASE("Address answer: no leaving or dead entries", "[membership]")
{
    // A client receives the address of an entry that is shutting down, keeps it for seconds and finds the port closed.
    ViewBuilder builder;
    builder.entry("a1-0", "a1").isLeaving = true;
    builder.entry("a1-1", "a1").health = Health::Dead;
    builder.entry("a1-2", "a1").health = Health::Suspect;
    builder.entry("b1-0", "b1");
    for (std::uint64_t seed = 0; seed < 50; ++seed)
        CHECK(answer(builder.view(), seed) == std::vector<std::string> { "b1-0", "a1-2" });
}

TEST_CASE("Address answer: weighted by load", "[membership]")
{
    auto view = twelveEntries();
    AddressAnswerOptions options;
    options.load = [](const NodeId& id) { return id.value() == "a1-0" ? 0.9 : 0.0; };
    std::map<std::string, int> first;
    constexpr int rounds = 4000;
    for (std::uint64_t seed = 0; seed < rounds; ++seed)
        ++first[answer(view, seed, DataCentreName("a1"), options)[0]];
    CHECK(first["a1-0"] < rounds / 16);
    CHECK(first["a1-1"] > rounds / 4);
    CHECK(first["a1-2"] > rounds / 4);
}

TEST_CASE("Address answer: a client in an unknown data centre gets entries near the agents of the service", "[membership]")
{
    ViewBuilder builder;
    builder.entry("a1-0", "a1");
    builder.entry("b1-0", "b1");
    builder.add(Role::Agent, "x", "b1", "s");
    CHECK(answer(builder.view(), 1, std::nullopt)[0] == "b1-0");
}

TEST_CASE("Address answer: a leaving entry accepts connections until every answer has expired", "[membership]")
{
    // An entry stops. A peer that does not know this yet returns its address to a client, which keeps the answer until
    // it expires. Until then, the entry must still accept connections.
    AddressAnswerOptions options;
    auto view = twelveEntries();
    constexpr milliseconds propagationDelay { 4000 };
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        auto addressAnswer = makeAddressAnswer(view, std::nullopt, ServiceName("s"), seed, now + propagationDelay, options);
        CHECK(addressAnswer.expiresAt <= acceptUntil(now, options));
        CHECK(addressAnswer.expiresAt > now + propagationDelay);
    }
}

TEST_CASE("Rendezvous: a member that leaves changes only its own choices", "[membership]")
{
    std::vector<NodeKey> members;
    members.reserve(50);
    for (int i = 0; i < 50; ++i)
        members.push_back(keyOf(NodeId(fmt::format("m{}", i))));
    std::size_t moved = 0;
    for (std::uint64_t subject = 0; subject < 1000; ++subject) {
        auto before = rendezvousChoice(members, subject, 1)[0];
        auto after = rendezvousChoice(std::span(members).first(49), subject, 1)[0];
        if (before != after) {
            ++moved;
            CHECK(before == members[49]);
        }
    }
    CHECK(moved > 0);
    CHECK(moved < 60);
}

TEST_CASE("Subset: all agents of a small service and a share of a large one, nearest first", "[membership]")
{
    ViewBuilder builder;
    for (int i = 0; i < 3; ++i)
        builder.add(Role::Agent, fmt::format("small-{}", i), "b1", "small");
    for (int i = 0; i < 100; ++i)
        builder.add(Role::Agent, fmt::format("large-{:03}", i), i < 50 ? "a2" : "b1", "large");
    auto view = builder.view();
    ListedInstance entry;
    entry.id = NodeId("e");
    entry.dataCentre = DataCentreName("a1");
    auto chosen = agentsFor(view, entry, { 16 });
    CHECK(chosen.size() == 3 + 16);
    for (auto& id : chosen) {
        auto* member = view.find(id);
        CHECK((member->listed->service.value() == "small" || member->listed->dataCentre.value() == "a2"));
    }
    view.members.erase(view.members.begin());
    auto after = agentsFor(view, entry, { 16 });
    std::vector<NodeId> removed;
    std::set_difference(chosen.begin(), chosen.end(), after.begin(), after.end(), std::back_inserter(removed));
    CHECK(removed.size() <= 1);
}

} // namespace swiftloft::membership
