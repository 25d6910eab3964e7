#pragma once

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <span>

namespace swiftloft::rpc {

/// XXH3 of an answer's body, piece by piece: both ends of the path count the same bytes and compare at the end mark.
class BodyDigest {
public:
    BodyDigest()
        : m_state(XXH3_createState(), &XXH3_freeState)
    {
        XXH3_64bits_reset(m_state.get());
    }

    void add(std::span<const unsigned char> bytes) { XXH3_64bits_update(m_state.get(), bytes.data(), bytes.size()); }
    std::uint64_t value() const { return XXH3_64bits_digest(m_state.get()); }

private:
    std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> m_state;
};

} // namespace swiftloft::rpc
