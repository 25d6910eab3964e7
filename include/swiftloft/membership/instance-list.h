#pragma once

#include <swiftloft/membership/types.h>
#include <swiftloft/result.h>

namespace swiftloft::membership {

/// Parses the body of `GET /v1/instances`:
/// `{"revision":N,"instances":[{"id","role":"entry|agent","address","peer","data_centre","service","group","rank","state":"live|leaving"}]}`.
/// `service`, `group` and `rank` are optional. Fails with `MalformedInput` if any instance is malformed: a list is
/// accepted as a whole or not at all.
Result<InstanceList> parseInstanceList(std::string_view json);

} // namespace swiftloft::membership
