#include <swiftloft/expertmap/protocol.h>

#include <algorithm>
#include <array>

namespace swiftloft::expertmap {

bool EngineStatus::hasStaged(MapVersion version) const
{
    return std::find(staged.begin(), staged.end(), version) != staged.end();
}

bool EngineStatus::isCommittedTo(const SwitchPoint& point) const
{
    if (!isAdmitted)
        return false;
    if (armed == point)
        return isReleased;
    return entered >= point.step && current == point.version;
}

bool EngineStatus::hasMissed(const SwitchPoint& point) const
{
    return isAdmitted && armed != point && entered >= point.step && current != point.version;
}

const char* nameOf(const Order& order)
{
    constexpr std::array<const char*, std::variant_size_v<Order>> names { "read", "stage", "drop", "admit", "arm", "go", "cancel" };
    return names[order.index()];
}

} // namespace swiftloft::expertmap
