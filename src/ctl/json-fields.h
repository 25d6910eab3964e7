#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include <string>

/// Fields of pages of running instances. Absent and null are alike, so that one program reads processes of several
/// versions; a field of another type throws.
namespace swiftloft::ctl {

inline const boost::json::value* findField(const boost::json::object& object, const char* key)
{
    auto value = object.if_contains(key);
    return value && !value->is_null() ? value : nullptr;
}

inline std::string textField(const boost::json::object& object, const char* key)
{
    auto value = findField(object, key);
    return value ? std::string(value->as_string()) : std::string();
}

/// `T()` when it is absent.
template <typename T>
T numberField(const boost::json::object& object, const char* key)
{
    auto value = findField(object, key);
    return value ? value->to_number<T>() : T();
}

} // namespace swiftloft::ctl
