#pragma once

#include <swiftloft/strong.h>

#include <cstdint>
#include <string>

namespace swiftloft {

/// A service callers ask for: one model, or one plain HTTP service. Named in the settings tree.
using ServiceName = Strong<struct ServiceNameTag, std::string>;
/// Who a request is counted and limited under. Named in the settings tree.
using OrganisationName = Strong<struct OrganisationNameTag, std::string>;
/// A group of engines that serve one service with one set of settings.
using EngineGroupName = Strong<struct EngineGroupNameTag, std::string>;
using DataCentreName = Strong<struct DataCentreNameTag, std::string>;
using RegionName = Strong<struct RegionNameTag, std::string>;
/// An entry instance, as the published instance list names it.
using InstanceId = Strong<struct InstanceIdTag, std::string>;
/// A backend server (an engine or a plain server with its agent), as the published instance list names it.
using BackendServerId = Strong<struct BackendServerIdTag, std::string>;

/// One run of a process from start to exit. Drawn at random at the start and never reused, so two processes that follow
/// each other at the same address have different incarnations.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/// Names a request through all its attempts and resends; at most 256 bytes.
using RequestKey = Strong<struct RequestKeyTag, std::string>;
/// Hash of organisation and body: equal for a resend under a new key.
using Fingerprint = Strong<struct FingerprintTag, std::uint64_t>;
/// A part of a prompt: equal in all prompts that contain the same text at its place.
using PromptPartId = Strong<struct PromptPartIdTag, std::uint64_t>;
/// Revision of the published settings tree; the platform's order.
using Revision = Strong<struct RevisionTag, std::uint64_t>;

using RankIndex = Strong<struct RankIndexTag, std::uint32_t>;
using ExpertIndex = Strong<struct ExpertIndexTag, std::uint32_t>;
using LayerIndex = Strong<struct LayerIndexTag, std::uint32_t>;
using StepNumber = Strong<struct StepNumberTag, std::uint64_t>;
using MapVersion = Strong<struct MapVersionTag, std::uint64_t>;

} // namespace swiftloft
