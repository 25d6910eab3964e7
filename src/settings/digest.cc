#include <swiftloft/settings/digest.h>

#include <swiftloft/result.h>

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>

namespace swiftloft::settings {

Digest digestOf(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf {};
    unsigned n = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), buf.data(), &n, EVP_sha256(), nullptr) != 1)
        throw Exception({ ErrorCode::Internal, "the cryptographic library has no SHA-256" });
    std::string text;
    for (unsigned it = 0; it < n; ++it)
        text += fmt::format("{:02x}", buf[it]);
    return Digest(std::move(text));
}

} // namespace swiftloft::settings
