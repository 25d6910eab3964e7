#pragma once

#include <swiftloft/membership/types.h>
#include <swiftloft/result.h>

namespace swiftloft::membership {

/// Parses the body of `GET /v1/instances`:
/// `{"revision":N,"instances":[{"id","role":"entry|agent","address","peer","data_centre","service","group","rank","state":"live|leaving"}]}`.
/// `service`, `group` and `rank` are optional. Malformed elements of `instances` are left out: one of them must not keep the others
/// from being known. Fails with `MalformedInput` if the document is malformed otherwise, or if all its elements are.
Result<InstanceList> parseInstanceList(std::string_view json);

} // namespace swiftloft::membership
