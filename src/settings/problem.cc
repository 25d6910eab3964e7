#include <swiftloft/settings/problem.h>

#include <fmt/format.h>

#include <array>

namespace swiftloft::settings {

std::string_view toString(ProblemCode code)
{
    constexpr std::array<std::string_view, 18> names {
        "", "bad-line", "line-too-long", "bad-section", "duplicate-section", "key-outside-section", "unknown-key",
        "key-not-for-section", "duplicate-key", "bad-value", "out-of-range", "missing-parent", "bad-parent", "cycle",
        "unknown-reference", "missing-key", "contradiction", "too-many-problems"
    };
    return names[static_cast<std::size_t>(code)];
}

std::string Problem::toString() const
{
    auto text = fmt::format("{}:{}:", file, line);
    if (!node.empty())
        text += fmt::format(" [{}]", node);
    if (!key.empty())
        text += fmt::format(" {}:", key);
    return text + fmt::format(" found {}, expected {} ({})", found, expected, settings::toString(code));
}

} // namespace swiftloft::settings
