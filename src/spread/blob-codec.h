#pragma once

#include "src/spread/spreader.h"

#include <string>
#include <string_view>
#include <vector>

/// Requests for parts and their replies as Cap'n Proto messages.
namespace swiftloft::spread {

inline constexpr std::size_t maxDigestsPerRequest = 1024;
inline constexpr std::size_t maxRequestBytes = 32 * 1024;
inline constexpr std::size_t maxReplyBytes = 512 * 1024;

std::string encodeRequest(const std::vector<Digest>& digests);
/// Fails with `MalformedInput`; any bytes are safe to pass. So it is with `decodeReply`.
Result<std::vector<Digest>> decodeRequest(std::string_view bytes);

/// Writes `status` and `blobs` only.
std::string encodeReply(const BlobsPulled& reply);
Result<BlobsPulled> decodeReply(std::string_view bytes);

} // namespace swiftloft::spread
