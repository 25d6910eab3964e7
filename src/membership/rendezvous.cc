#include <swiftloft/membership/rendezvous.h>

#include <algorithm>

namespace swiftloft::membership {

std::uint64_t rendezvousScore(NodeKey member, std::uint64_t subject)
{
    auto z = member.value() ^ (subject * 0x9e3779b97f4a7c15ull);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return z ^ (z >> 31);
}

std::vector<NodeKey> rendezvousChoice(std::span<const NodeKey> members, std::uint64_t subject, std::size_t maxCount)
{
    std::vector<NodeKey> chosen(members.begin(), members.end());
    auto n = std::min(maxCount, chosen.size());
    auto isBetter = [subject](NodeKey a, NodeKey b) { return rendezvousScore(a, subject) > rendezvousScore(b, subject); };
    std::partial_sort(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(n), chosen.end(), isBetter);
    chosen.resize(n);
    return chosen;
}

} // namespace swiftloft::membership
