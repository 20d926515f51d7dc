#ifndef BRIARSPREAD_CORE_IDS_H_
#define BRIARSPREAD_CORE_IDS_H_

#include <cstdint>
#include <string>

#include "briarspread/core/strong_value.h"

namespace briarspread {

/// One of the system's own instances, by its name in the settings.
using InstanceId = StrongValue<struct InstanceIdTag, std::string>;
/// One start of the program on an instance; a later start has a higher number.
using Incarnation = StrongValue<struct IncarnationTag, std::uint64_t>;
/// One back end: a replica of a model engine or of a plain service.
using UpstreamId = StrongValue<struct UpstreamIdTag, std::string>;
/// An availability zone.
using ZoneId = StrongValue<struct ZoneIdTag, std::string>;
/// A region, which holds availability zones.
using RegionId = StrongValue<struct RegionIdTag, std::string>;
/// A customer, such as a buyer of the operators' services.
using CustomerId = StrongValue<struct CustomerIdTag, std::string>;
/// A class of requests, such as `quote`, `booking` or `rollout`.
using RequestClass = StrongValue<struct RequestClassTag, std::string>;
/// A model that engines serve.
using ModelName = StrongValue<struct ModelNameTag, std::string>;
/// A plain service.
using ServiceName = StrongValue<struct ServiceNameTag, std::string>;
/// A trainer.
using TrainerId = StrongValue<struct TrainerIdTag, std::string>;
/// The number of a trainer's step.
using StepNumber = StrongValue<struct StepNumberTag, std::uint64_t>;
/// A group of samples, unique within its step.
using GroupId = StrongValue<struct GroupIdTag, std::uint32_t>;
/// A sample's place within its group.
using SampleIndex = StrongValue<struct SampleIndexTag, std::uint32_t>;
/// A version of a model's weights; a later version has a higher number.
using WeightVersion = StrongValue<struct WeightVersionTag, std::uint64_t>;
/// A caller's idempotency key.
using RequestKey = StrongValue<struct RequestKeyTag, std::string>;
/// One exchange with an upstream; an id of ours, never reused.
using ExchangeId = StrongValue<struct ExchangeIdTag, std::uint64_t>;
/// A revision of the operators' rules.
using Revision = StrongValue<struct RevisionTag, std::uint64_t>;
/// A revision of the list of homes that own idempotency keys.
using Epoch = StrongValue<struct EpochTag, std::uint64_t>;
/// A number that orders the holders of a lease.
using FencingNumber = StrongValue<struct FencingNumberTag, std::uint64_t>;
/// One attempt to write to the store, for reading back a lost answer.
using OperationId = StrongValue<struct OperationIdTag, std::string>;
/// The store's index of a key's last change; zero where the key is absent.
using StoreIndex = StrongValue<struct StoreIndexTag, std::uint64_t>;
/// The hash of a request's body.
using Fingerprint = StrongValue<struct FingerprintTag, std::uint64_t>;

/// A count of tokens.
using TokenCount = StrongValue<struct TokenCountTag, std::uint64_t>;
/// A count of bytes.
using ByteCount = StrongValue<struct ByteCountTag, std::uint64_t>;

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_IDS_H_
