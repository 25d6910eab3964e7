#include <swiftloft/settings/tree.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace swiftloft;
using namespace swiftloft::settings;

namespace {

constexpr auto smallTree = R"([defaults]
requires-key = no
priority = low

[data-centre east]
region = north

[service chat]
kind = model
request-deadline = 10s
ranks = 2
experts = 8
layers = 4
requests-per-second = 7/s

[service chat-long]
parent = service chat
request-deadline = 2min

[service lookup]
kind = plain

[group chat-1]
parent = service chat-long
data-centre = east
ranks = 4

[organisation large]
template = yes
weight = 3
key-digest = 0000000000000000000000000000000000000000000000000000000000000001

[organisation large at service chat]
max-in-flight = 9

[organisation acme]
parent = organisation large

[organisation acme at service chat]
priority = high
)";

Tree treeOf(std::string_view text)
{
    return Tree::parse(text, "t.ini").result().value();
}

std::vector<std::string> problemsOf(std::string_view text)
{
    std::vector<std::string> lines;
    for (auto& problem : Tree::parse(text, "t.ini").problems)
        lines.push_back(problem.toString());
    return lines;
}

std::string readFile(const std::string& name)
{
    std::ifstream file(std::string(SWIFTLOFT_SOURCE_DIR "/") + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

using Lines = std::vector<std::string>;

} // namespace

TEST_CASE("SettingsTree: a service has what it says, then its parents, then the defaults")
{
    auto tree = treeOf(smallTree);
    auto service = tree.service(ServiceName("chat-long")).value();
    CHECK(service.kind == ServiceKind::Model);
    CHECK(service.requestDeadline == std::chrono::minutes(2));
    CHECK(service.queueLimit == 1000);
    CHECK(service.isRepeatable("GET"));
    CHECK_FALSE(service.isRepeatable("POST"));
}

TEST_CASE("SettingsTree: a group serves the service it inherits from")
{
    auto group = treeOf(smallTree).group(EngineGroupName("chat-1")).value();
    CHECK(group.service == ServiceName("chat-long"));
    CHECK(group.ranks == 4);
    CHECK(group.experts == 8);
    CHECK(group.dataCentre == DataCentreName("east"));
}

TEST_CASE("SettingsTree: what is said of an organisation goes before what is said of a service")
{
    auto tree = treeOf(smallTree);
    auto acme = tree.organisation(OrganisationName("acme"), ServiceName("chat-long")).value();
    CHECK(acme.priority == Priority::High);
    CHECK(acme.maxInFlight == 9);
    CHECK(acme.weight == Weight(3));
    CHECK(acme.requestsPerSecond == PerSecond(7));
    auto elsewhere = tree.organisation(OrganisationName("acme"), ServiceName("lookup")).value();
    CHECK(elsewhere.priority == Priority::Low);
    CHECK(elsewhere.maxInFlight == 256);
}

TEST_CASE("SettingsTree: a key digest is not inherited")
{
    // A caller with the key of one organisation must not pass for another that only shares its limits.
    auto tree = treeOf(smallTree);
    CHECK(tree.organisation(OrganisationName("acme"), ServiceName("chat")).value().keyDigest == std::nullopt);
    CHECK(tree.organisationByKeyDigest("0000000000000000000000000000000000000000000000000000000000000001") == std::nullopt);
    for (auto& setting : tree.effective(NodeId::of(OrganisationName("acme"))).value()) {
        CHECK(setting.key != Key::KeyDigest);
        CHECK((setting.key != Key::Template || setting.text() == "no"));
    }
}

TEST_CASE("SettingsTree: each value in force names the section and line it came from")
{
    auto settings = treeOf(smallTree).effective(NodeId::of(EngineGroupName("chat-1"))).value();
    auto originOf = [&](Key key) {
        auto it = std::find_if(settings.begin(), settings.end(), [&](auto& setting) { return setting.key == key; });
        return it->origin.toString();
    };
    CHECK(originOf(Key::Ranks) == "group chat-1 (t.ini:26)");
    CHECK(originOf(Key::Experts) == "service chat (t.ini:12)");
    CHECK(originOf(Key::SkewWeight) == "built-in default");
}

TEST_CASE("SettingsTree: templates and unknown names have no settings")
{
    auto tree = treeOf(smallTree);
    CHECK(tree.organisation(OrganisationName("large"), ServiceName("chat")).error().code == ErrorCode::NotFound);
    CHECK(tree.organisation(OrganisationName("nobody"), ServiceName("chat")).error().code == ErrorCode::NotFound);
    CHECK(tree.service(ServiceName("nothing")).error().code == ErrorCode::NotFound);
    CHECK(tree.organisations() == std::vector { OrganisationName("acme") });
}

TEST_CASE("SettingsTree: every fault is reported at once, with line, key, what was found and what mends it")
{
    CHECK(problemsOf("[service a]\nkind = model\nrequest-dedline = 3s\nrequest-deadline = 3\nqueue-limit = 9999999\nkind = plain\nthis line\n")
        == Lines {
            "t.ini:3: [service a] found \"request-dedline\", expected a known key; did you mean request-deadline? (unknown-key)",
            "t.ini:4: [service a] request-deadline: found \"3\", expected a duration of whole microseconds with its unit (us, ms, s, min or h), such as 1500ms (bad-value)",
            "t.ini:5: [service a] queue-limit: found \"9999999\", expected 0 to 1000000 (out-of-range)",
            "t.ini:6: [service a] kind: found \"plain\", expected each key once a section; it also stands on line 2 (duplicate-key)",
            "t.ini:7: [service a] found \"this line\", expected [SECTION], KEY = VALUE, or a comment after # or ; (bad-line)",
        });
}

TEST_CASE("SettingsTree: sections and parents that don't fit are refused")
{
    CHECK(problemsOf("kind = model\n")
        == Lines { "t.ini:1: kind: found \"model\", expected a [SECTION] before the first key (key-outside-section)" });
    CHECK(problemsOf("[service a]\nkind = plain\n[service a]\nkind = model\n")
        == Lines { "t.ini:3: found \"service a\", expected each section once; it also stands at t.ini:1 (duplicate-section)" });
    CHECK(problemsOf("[defaults]\n[defaults]\n").size() == 1);
    CHECK(problemsOf("[zone a]\nregion = b\n").size() == 1);
    CHECK(problemsOf("[service a]\nkind = plain\nparent = service b\n")
        == Lines { "t.ini:3: [service a] parent: found \"service b\", expected the name of a section in this tree (missing-parent)" });
    CHECK(problemsOf("[service a]\nkind = plain\nparent = group b\n")
        == Lines { "t.ini:3: [service a] parent: found \"group b\", expected service NAME, or no parent for the defaults (bad-parent)" });
    CHECK(problemsOf("[defaults]\nkind = plain\n")
        == Lines { "t.ini:2: [defaults] kind: found \"plain\", expected the key in [service] (key-not-for-section)" });
}

TEST_CASE("SettingsTree: a cycle of parents is reported once and ends")
{
    auto problems = problemsOf("[service a]\nkind = plain\nparent = service b\n[service b]\nparent = service c\n[service c]\nparent = service b\n");
    REQUIRE(problems.size() == 1);
    CHECK(problems[0] == "t.ini:5: [service b] parent: found service b -> service c -> service b, expected parents that lead to the defaults (cycle)");
}

TEST_CASE("SettingsTree: references must lead to what they need")
{
    constexpr auto base = "[defaults]\nrequires-key = no\n[data-centre e]\nregion = r\n[service m]\nkind = model\nranks = 1\nexperts = 1\nlayers = 1\n[service p]\nkind = plain\n";
    auto with = [&](std::string_view more) { return problemsOf(std::string(base) + std::string(more)); };
    CHECK(with("").empty());
    CHECK(with("[group g]\nparent = service m\ndata-centre = e\n").empty());
    CHECK(with("[group g]\nparent = service m\ndata-centre = f\n")
        == Lines { "t.ini:14: [group g] data-centre: found \"f\", expected a [data-centre NAME] of this tree that is no template (unknown-reference)" });
    CHECK(with("[group g]\nparent = service p\ndata-centre = e\nranks = 1\nexperts = 1\nlayers = 1\n").size() == 1);
    CHECK(with("[group g]\ndata-centre = e\nranks = 1\nexperts = 1\nlayers = 1\n").size() == 1);
    CHECK(with("[group g]\nparent = service m\n").size() == 1);
    CHECK(with("[organisation x at service m]\n").size() == 1);
    CHECK(with("[organisation x]\n[organisation x at service q]\n").size() == 1);
}

TEST_CASE("SettingsTree: values that contradict each other are refused where they are written")
{
    CHECK(problemsOf("[service a]\nkind = plain\nretry-backoff-max = 10ms\n[service b]\nparent = service a\n")
        == Lines { "t.ini:3: [service a] retry-backoff-max: found 10ms, expected at least retry-backoff-base, which is 20ms (contradiction)" });
    CHECK(problemsOf("[defaults]\nheartbeat-interval = 1s\n")
        == Lines { "t.ini:2: [defaults] heartbeat-timeout: found 1500ms, expected at least twice heartbeat-interval, which is 1s (contradiction)" });
}

TEST_CASE("SettingsTree: an organisation without a key is refused unless the tree says that it needs none")
{
    CHECK(problemsOf("[organisation x]\n")
        == Lines { "t.ini:1: [organisation x] key-digest: found nothing, expected the SHA-256 digest of the organisation's key, or requires-key = no (missing-key)" });
    CHECK(problemsOf("[organisation x]\nrequires-key = no\n").empty());
}

TEST_CASE("SettingsTree: a key that was written badly is not called missing too")
{
    CHECK(problemsOf("[service a]\nkind = modle\n")
        == Lines { "t.ini:2: [service a] kind: found \"modle\", expected model or plain (bad-value)" });
}

TEST_CASE("SettingsTree: something pasted in place of a key digest is not repeated in the problem")
{
    auto problems = problemsOf("[organisation x]\nkey-digest = hunter2-very-secret\nrequires-key = no\n");
    REQUIRE(problems.size() == 1);
    CHECK_THAT(problems[0], !Catch::Matchers::Contains("hunter2"));
}

TEST_CASE("SettingsTree: a line longer than the reader's buffer is refused whole")
{
    // An operator adds times of day to quiet-hours until the line is over 200 bytes. inih would hand out the line in two
    // pieces, of which the first may be a valid value: the group would move experts in the rest of its quiet hours.
    std::string hours = "05:30-09:30";
    while (hours.size() < 195)
        hours += ", 11:00-12:00";
    auto problems = problemsOf("[service a]\nkind = model\nquiet-hours = " + hours + " +05:30\n");
    REQUIRE(problems.size() == 1);
    CHECK_THAT(problems[0], Catch::Matchers::Contains("at most 190 bytes a line"));
}

TEST_CASE("SettingsTree: parts are read as one tree, and a section doesn't go on in the next part")
{
    std::vector<Source> sources { { "a.ini", "[service a]\nkind = plain\n" }, { "b.ini", "queue-limit = 3\n[service b]\nparent = service a\n" } };
    auto parsed = Tree::parse(sources);
    REQUIRE(parsed.problems.size() == 1);
    CHECK(parsed.problems[0].file == "b.ini");
    CHECK(parsed.problems[0].code == ProblemCode::KeyOutsideSection);
    sources[1].text = "[service b]\nparent = service a\n";
    CHECK(Tree::parse(sources).tree->service(ServiceName("b")).value().kind == ServiceKind::Plain);
}

TEST_CASE("SettingsTree: the sample trees are valid")
{
    for (auto name : { "samples/settings/via-he.ini", "samples/settings/rasoi-rahdari.ini" }) {
        auto parsed = Tree::parse(readFile(name), name);
        INFO((parsed.problems.empty() ? std::string() : parsed.problems[0].toString()));
        REQUIRE(parsed.tree);
        CHECK(parsed.tree->services().size() == 2);
        CHECK(parsed.tree->dataCentres().size() == 3);
        CHECK(parsed.tree->organisations().size() == 10);
    }
}
