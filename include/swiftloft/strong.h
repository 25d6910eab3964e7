#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace swiftloft {

/// A value of type `Value` that only mixes with values of the same `Tag`.
///
/// Ids and units are strong types so that a rank can't be passed where an expert is expected. The caller names the
/// conversion both ways: construction is explicit and `value()` takes the plain value out.
template <typename Tag, typename Value>
class Strong {
public:
    using ValueType = Value;

    constexpr Strong() = default;
    explicit constexpr Strong(Value value)
        : m_value(std::move(value))
    {
    }

    constexpr const Value& value() const { return m_value; }

    friend constexpr auto operator<=>(const Strong&, const Strong&) = default;

private:
    Value m_value {};
};

/// As `Strong`, for quantities that add up (tokens, bytes).
template <typename Tag, typename Value>
class Quantity {
public:
    using ValueType = Value;

    constexpr Quantity() = default;
    explicit constexpr Quantity(Value value)
        : m_value(value)
    {
    }

    constexpr Value value() const { return m_value; }

    constexpr Quantity& operator+=(Quantity other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return Quantity(a.m_value + b.m_value); }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return Quantity(a.m_value - b.m_value); }
    friend constexpr auto operator<=>(const Quantity&, const Quantity&) = default;

private:
    Value m_value {};
};

} // namespace swiftloft

template <typename Tag, typename Value>
struct std::hash<swiftloft::Strong<Tag, Value>> {
    std::size_t operator()(const swiftloft::Strong<Tag, Value>& id) const { return std::hash<Value> {}(id.value()); }
};
