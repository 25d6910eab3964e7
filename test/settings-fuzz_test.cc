#include <swiftloft/settings/assembler.h>
#include <swiftloft/settings/tree.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <random>

using namespace swiftloft;
using namespace swiftloft::settings;

namespace {

constexpr int rounds = 400;

std::string sampleText()
{
    std::ifstream file(SWIFTLOFT_SOURCE_DIR "/samples/settings/via-he.ini");
    return { std::istreambuf_iterator<char>(file), {} };
}

/// The same number on every machine, which the standard distributions don't promise.
std::size_t below(std::mt19937_64& random, std::size_t limit)
{
    return random() % limit;
}

std::string randomBytes(std::mt19937_64& random)
{
    constexpr std::string_view likely = "[]=:;#\n\r\t -.%/ abz09\xEF\xBB\xBF";
    std::string text;
    auto size = below(random, 2000);
    for (std::size_t it = 0; it < size; ++it)
        text += below(random, 3) ? likely[below(random, likely.size())] : static_cast<char>(random());
    return text;
}

/// A good tree with a few bytes changed, lines doubled or lost.
std::string damaged(std::string text, std::mt19937_64& random)
{
    for (std::size_t it = 0; it <= below(random, 8); ++it) {
        auto at = below(random, text.size());
        auto end = std::min(text.find('\n', at), text.size() - 1);
        switch (below(random, 3)) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.insert(at, text.substr(at, end - at + 1));
            break;
        default:
            text.erase(at, end - at + 1);
        }
    }
    return text;
}

/// Parses twice; the verdict must be one, complete and the same.
void checkVerdict(const std::string& text)
{
    auto first = Tree::parse(text);
    auto second = Tree::parse(text);
    REQUIRE(first.tree.has_value() == first.problems.empty());
    REQUIRE(first.problems == second.problems);
    if (!first.tree)
        return;
    for (auto& node : first.tree->nodes())
        REQUIRE(first.tree->effective(node).has_value());
    for (auto& group : first.tree->groups())
        REQUIRE(first.tree->group(group).has_value());
}

} // namespace

TEST_CASE("SettingsFuzz: random bytes are judged without harm, always alike")
{
    std::mt19937_64 random(20261202);
    for (int round = 0; round < rounds; ++round)
        checkVerdict(randomBytes(random));
}

TEST_CASE("SettingsFuzz: a damaged tree is judged without harm, always alike")
{
    std::mt19937_64 random(7);
    auto text = sampleText();
    for (int round = 0; round < rounds; ++round)
        checkVerdict(damaged(text, random));
}

TEST_CASE("SettingsFuzz: a damaged manifest yields no tree or a whole one")
{
    std::mt19937_64 random(11);
    auto part = sampleText();
    auto manifest = Manifest::format({ { "all", digestOf(part), Bytes(part.size()) } });
    for (int round = 0; round < rounds; ++round) {
        auto assembler = Assembler::create(Revision(1), damaged(manifest, random));
        assembler.offerPart(part);
        auto candidate = assembler.finish();
        if (candidate.has_value())
            REQUIRE(candidate->parsed.tree.has_value() == candidate->parsed.problems.empty());
    }
}
