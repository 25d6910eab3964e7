#include "src/log/printable.h"

#include <algorithm>

namespace swiftloft::log {

std::string printable(std::string_view text)
{
    constexpr std::size_t maxPrintedLength = 80;
    std::string out(text.substr(0, maxPrintedLength));
    std::replace_if(
        out.begin(), out.end(), [](unsigned char it) { return it < 0x20 || it > 0x7e || it == '"'; }, '?');
    return out;
}

} // namespace swiftloft::log
