#pragma once

#include <swiftloft/membership/types.h>
#include <swiftloft/result.h>

namespace swiftloft::membership {

/// Reads the body of `GET /v1/instances`:
/// `{"revision":N,"instances":[{"id","role":"entry|agent","address","peer","data_centre","service","group","rank","state":"live|leaving"}]}`.
/// `service`, `group` and `rank` may be missing. Fails with `MalformedInput` as a whole: a list is taken whole or not.
Result<InstanceList> parseInstanceList(std::string_view json);

} // namespace swiftloft::membership
