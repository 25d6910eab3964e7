#include <swiftloft/settings/diff.h>

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::settings;

namespace {

constexpr auto base = R"([defaults]
requires-key = no
[data-centre e]
region = r
[service a]
kind = model
ranks = 2
experts = 4
layers = 1
request-deadline = 60s
[service b]
parent = service a
[group g]
parent = service a
data-centre = e
[organisation x]
[organisation x at service a]
weight = 2
)";

std::vector<std::string> changes(const std::string& before, const std::string& after)
{
    std::vector<std::string> lines;
    for (auto& change : diff(Tree::parse(before).tree.value(), Tree::parse(after).tree.value())) {
        auto line = change.node.toString() + " " + std::string(toString(change.kind));
        for (auto& setting : change.settings)
            line += " " + std::string(infoOf(setting.key).name) + ":" + (setting.before ? setting.before->text() : "") + ">" + (setting.after ? setting.after->text() : "");
        if (change.service)
            line += " serves:" + change.service->before + ">" + change.service->after;
        lines.push_back(line);
    }
    return lines;
}

std::string with(std::string_view from, std::string_view to)
{
    std::string text = base;
    return text.replace(text.find(from), from.size(), to);
}

using Lines = std::vector<std::string>;

} // namespace

TEST_CASE("SettingsDiff: the same values in another form are no change")
{
    CHECK(changes(base, with("60s", "1min")).empty());
}

TEST_CASE("SettingsDiff: a change of a service touches all that inherit from it")
{
    CHECK(changes(base, with("ranks = 2", "ranks = 4\nmax-in-flight = 3"))
        == Lines { "service a changed max-in-flight:256>3 ranks:2>4", "service b changed max-in-flight:256>3 ranks:2>4",
            "group g changed ranks:2>4", "organisation x at service a changed max-in-flight:256>3" });
}

TEST_CASE("SettingsDiff: a group that moves to another service says so although no value differs")
{
    CHECK(changes(base, with("parent = service a\ndata-centre", "parent = service b\ndata-centre"))
        == Lines { "group g changed serves:a>b" });
}

TEST_CASE("SettingsDiff: added and removed nodes list what was written for them")
{
    auto more = std::string(base) + "[organisation y]\nweight = 5\n";
    CHECK(changes(base, more) == Lines { "organisation y added weight:>5 requires-key:>no" });
    CHECK(changes(more, base) == Lines { "organisation y removed weight:5> requires-key:no>" });
}
