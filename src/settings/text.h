#pragma once

#include <string_view>
#include <vector>

/// Helpers for ASCII text; they look at no locale, so that every process reads a tree alike.
namespace swiftloft::settings::internal {

inline std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n\v\f";
    auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    auto last = text.find_last_not_of(blanks);
    return text.substr(first, last - first + 1);
}

/// The trimmed pieces of `text` between `separator`s.
inline std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> pieces;
    for (;;) {
        auto it = text.find(separator);
        pieces.push_back(trim(text.substr(0, it)));
        if (it == std::string_view::npos)
            return pieces;
        text.remove_prefix(it + 1);
    }
}

} // namespace swiftloft::settings::internal
