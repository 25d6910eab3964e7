#include "src/gateway/configuration.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route out;
    out.name = name;
    out.host = host;
    out.prefix = prefix;
    out.timeout = seconds(1);
    out.services = { { ServiceName("model"), 1 } };
    return out;
}

Result<std::shared_ptr<const Configuration>> make(std::vector<Route> routes)
{
    ConfigurationParts parts;
    parts.version = ConfigurationVersion(3);
    parts.routes = std::move(routes);
    parts.organisations = { { OrganisationName("cafe"), { "k1", "k2" }, 1 } };
    return Configuration::create(std::move(parts));
}

std::string nameOf(const Route* found)
{
    return found ? found->name : "none";
}

} // namespace

TEST_CASE("Configuration: the longest prefix of the host decides")
{
    auto configuration = make({ route("root", "a.example", "/"), route("draft", "a.example", "/draft/"), route("deep", "a.example", "/draft/two/"), route("other", "b.example", "/draft/") }).value();
    CHECK(nameOf(configuration->findRoute("a.example", "/draft/two/x")) == "deep");
    CHECK(nameOf(configuration->findRoute("a.example", "/draft/twofold")) == "draft");
    CHECK(nameOf(configuration->findRoute("a.example", "/draft")) == "root");
    CHECK(nameOf(configuration->findRoute("b.example", "/draft/x")) == "other");
    CHECK(nameOf(configuration->findRoute("b.example", "/x")) == "none");
    CHECK(nameOf(configuration->findRoute("c.example", "/")) == "none");
}

TEST_CASE("Configuration: an organisation may hold several keys")
{
    auto configuration = make({ route("root", "a.example", "/") }).value();
    REQUIRE(configuration->findOrganisation("k2"));
    CHECK(configuration->findOrganisation("k2")->name == OrganisationName("cafe"));
    CHECK_FALSE(configuration->findOrganisation("k3"));
    CHECK_FALSE(configuration->findOrganisation(""));
}

TEST_CASE("Configuration: a configuration with an invalid route is rejected as a whole, naming the route")
{
    auto noSlash = make({ route("bad", "a.example", "/draft") });
    REQUIRE_FALSE(noSlash.has_value());
    CHECK(noSlash.error().message == "route bad: prefix \"/draft\" must begin and end with a slash");
    auto twice = make({ route("one", "a.example", "/x/"), route("two", "a.example", "/x/") });
    CHECK_FALSE(twice.has_value());
    auto withoutService = route("empty", "a.example", "/y/");
    withoutService.services.clear();
    CHECK_FALSE(make({ withoutService }).has_value());
}

TEST_CASE("Configuration: the homes of a host are those that its routes share, and those of any of them")
{
    auto withHomes = [](Route it, std::vector<RegionName> homes) {
        it.homes = std::move(homes);
        return it;
    };
    RegionName one("one"), two("two"), three("three");
    auto configuration = make({ withHomes(route("r1", "a.example", "/1/"), { one, two }), route("open", "a.example", "/2/"), withHomes(route("r3", "a.example", "/3/"), { two, three }), route("r4", "b.example", "/") }).value();
    auto* homes = configuration->findHostHomes("a.example");
    REQUIRE(homes);
    CHECK(homes->shared == std::vector<RegionName> { two });
    CHECK(homes->all == std::vector<RegionName> { one, two, three });
    CHECK_FALSE(configuration->findHostHomes("b.example"));
}
