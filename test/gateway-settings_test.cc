#include "src/gateway/settings.h"

#include <catch2/catch.hpp>

using namespace swiftloft::gateway;

namespace {

const std::string entryText = R"([entry]
id = e1
data-centre = dc
clients = 10.0.0.1:80
ready = 10.0.0.1:81
directory = 10.0.0.1:82
peers = 10.0.0.1:83
load = 10.0.0.1:84
agent-port = 85
metrics = 10.0.0.1:86
seeds = 10.0.0.1:83,10.0.0.2:83
store = 10.0.0.9:90
retry-ratio = 0.2
retry-slack = 88
retry-window-seconds = 10
stop-within-seconds = 8
directory-kept-seconds = 1.5
)";

std::string without(const std::string& key)
{
    auto begin = entryText.find("\n" + key) + 1;
    auto text = entryText;
    return text.erase(begin, text.find('\n', begin) - begin + 1);
}

} // namespace

TEST_CASE("Entry settings: all keys are read")
{
    auto settings = parseEntrySettings(entryText, "entry.ini").value();
    CHECK(settings.seeds.size() == 2);
    CHECK(settings.agentPort == 85);
    CHECK(settings.retries.slack == 88);
    CHECK(settings.directoryMaxAge == swiftloft::milliseconds(1500));
    CHECK(settings.stopTimeout == swiftloft::seconds(8));
}

TEST_CASE("Entry settings: a missing key is named")
{
    auto key = GENERATE(std::string("clients"), std::string("store"), std::string("retry-ratio"));
    auto settings = parseEntrySettings(without(key), "entry.ini");
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().message == "entry.ini: key '" + key + "' is missing from section '[entry]'");
}

TEST_CASE("Entry settings: a wrong value is named with its line and what was expected")
{
    auto text = entryText + "least-entries = many\n";
    auto settings = parseEntrySettings(text, "entry.ini");
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().message == "entry.ini:18: key 'least-entries' has value 'many'; expected a number from 1 to 100000");
    CHECK_FALSE(parseEntrySettings(without("store") + "store = somewhere\n", "entry.ini").has_value());
    CHECK_FALSE(parseEntrySettings(entryText + "colour = red\n", "entry.ini").has_value());
    CHECK_FALSE(parseEntrySettings(entryText + "id = twice\n", "entry.ini").has_value());
}

TEST_CASE("Entry settings: parts of admission are on unless switched off")
{
    CHECK(parseEntrySettings(entryText, "entry.ini").value().isUrgencyOn);
    CHECK_FALSE(parseEntrySettings(entryText + "urgency = off\n", "entry.ini").value().isUrgencyOn);
    CHECK(parseEntrySettings(entryText + "urgency = 1\n", "entry.ini").error().message == "entry.ini:18: key 'urgency' has value '1'; expected on or off");
}

TEST_CASE("Entry settings: seeds are optional")
{
    CHECK(parseEntrySettings(without("seeds"), "entry.ini").value().seeds.empty());
}

TEST_CASE("Entry settings: regions of data centres are optional, and complete for the entry's own")
{
    CHECK(parseEntrySettings(entryText, "entry.ini").value().regions.isEmpty());
    auto regions = parseEntrySettings(entryText + "region.dc = r1\nregion.dc-2 = r1\nregion.dc-3 = r2\n", "entry.ini").value().regions;
    CHECK(regions.regionOf(swiftloft::DataCentreName("dc-3"))->value() == "r2");
    CHECK(regions.names() == std::vector<std::string> { "r1", "r2" });
    auto messageOf = [](const std::string& lines) { return parseEntrySettings(entryText + lines, "entry.ini").error().message; };
    CHECK(messageOf("region.dc-2 = r1\n") == "entry.ini: key 'region.dc' is missing: other data centres have a region, so this one needs one");
    CHECK(messageOf("region.dc = \n") == "entry.ini:18: key 'region.dc' has value ''; expected a name");
    CHECK(messageOf("region.dc = r1\nregion.dc = r2\n") == "entry.ini:19: key 'region.dc' was already set on line 18");
    CHECK(messageOf("region. = r1\n") == "entry.ini:18: key 'region.' has value 'r1'; expected a name after the key's point");
    std::string many = "region.dc = r0\n";
    for (std::size_t n = 1; n <= DataCentreRegions::maxRegions; ++n)
        many += "region.dc" + std::to_string(n) + " = r" + std::to_string(n) + "\n";
    CHECK(messageOf(many) == "entry.ini: keys 'region....': 65 regions; at most 64 are possible");
}

TEST_CASE("Agent settings: the planner's keys are optional")
{
    const std::string text = "[agent]\nid = a1\ndata-centre = dc\nengine = 10.0.0.5:80\nnews = 10.0.0.5:81\nmetrics = 10.0.0.5:83\ngroup = 10.0.0.5:82\n";
    auto settings = parseAgentSettings(text, "agent.ini").value();
    CHECK(settings.maxCopyTime == AgentSettings().maxCopyTime);
    CHECK(settings.movedGigabytePrice == 0);
    CHECK(parseAgentSettings(text + "copy-within-seconds = 0.2\n", "agent.ini").value().maxCopyTime == std::chrono::milliseconds(200));
    CHECK(parseAgentSettings(text + "moved-gigabyte-price-seconds = 0.5\n", "agent.ini").value().movedGigabytePrice == 0.5);
    CHECK_FALSE(parseAgentSettings(text + "moved-gigabyte-price-seconds = -1\n", "agent.ini").has_value());
    CHECK(parseAgentSettings(text + "least-gain = 0.1\n", "agent.ini").value().minGain == 0.1);
    CHECK_FALSE(parseAgentSettings(text + "least-gain = 2\n", "agent.ini").has_value());
}

TEST_CASE("Entry settings: the estimate is on unless it is switched off, and other words are refused")
{
    CHECK(parseEntrySettings(entryText, "entry.ini").value().estimate.isEnabled);
    CHECK_FALSE(parseEntrySettings(entryText + "estimate = off\n", "entry.ini").value().estimate.isEnabled);
    auto refused = parseEntrySettings(entryText + "estimate = maybe\n", "entry.ini");
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().message.find("on or off") != std::string::npos);
}

TEST_CASE("Entry settings: the bounds of clients follow from memory and descriptors, which are optional")
{
    CHECK(parseEntrySettings(entryText, "entry.ini").value().resources.memoryBytes == 256U << 20);
    auto resources = parseEntrySettings(entryText + "memory-mb = 160\ndescriptors = 4096\n", "entry.ini").value().resources;
    CHECK(resources.forClients().maxBytes == 40U << 20);
    CHECK(resources.forClients().maxConnections == 2048);
    CHECK(parseEntrySettings(entryText + "memory-mb = 8\n", "entry.ini").error().message == "entry.ini:18: key 'memory-mb' has value '8'; expected a number from 64 to 1048576");
    CHECK(parseEntrySettings(entryText + "descriptors = all\n", "entry.ini").error().message == "entry.ini:18: key 'descriptors' has value 'all'; expected a number from 128 to 16777216");
}
