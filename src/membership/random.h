#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace swiftloft::membership {

/// Seeded pseudo-random number generator (splitmix64). Implemented here because a seed must give the same sequence with
/// every standard library. A reducer keeps its generator in its state, so that the same events always produce the same
/// effects.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ull;
        auto z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
        return z ^ (z >> 31);
    }

    /// Returns a number in [0, bound). `bound` must be greater than 0.
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(next() % bound); }

    /// Returns a number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    template <typename T>
    void shuffle(std::vector<T>& values)
    {
        for (auto n = values.size(); n > 1; --n)
            std::swap(values[n - 1], values[below(n)]);
    }

private:
    std::uint64_t m_state;
};

} // namespace swiftloft::membership
