#pragma once

#include <swiftloft/settings/digest.h>
#include <swiftloft/settings/problem.h>
#include <swiftloft/units.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::settings {

/// One text of a tree that is published in several.
struct Part {
    /// A name as sections use them.
    std::string name;
    Digest digest;
    Bytes size;

    friend bool operator==(const Part&, const Part&) = default;
};

struct ParsedManifest;

/// The list of texts that make up one revision of a tree too large for one value of the configuration service:
///
///     [manifest]
///     format = 1
///     [part services]
///     sha256 = 64 hexadecimal digits
///     bytes = 1234
class Manifest {
public:
    /// Largest part, which is the largest value the configuration service holds.
    static constexpr Bytes maxPartSize { 1u << 20 };
    static constexpr std::size_t maxParts = 256;

    static ParsedManifest parse(std::string_view text, std::string file = "manifest");

    /// True when the first line of `text` that is no comment is `[manifest]`; reads no further.
    static bool isManifest(std::string_view text);

    const std::vector<Part>& parts() const { return m_parts; }
    /// The text that parses to this manifest.
    static std::string format(const std::vector<Part>& parts);

private:
    std::vector<Part> m_parts;
};

struct ParsedManifest {
    std::optional<Manifest> manifest;
    /// Empty exactly when there is a manifest.
    std::vector<Problem> problems;
};

} // namespace swiftloft::settings
