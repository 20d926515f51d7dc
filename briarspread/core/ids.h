#ifndef BRIARSPREAD_CORE_IDS_H_
#define BRIARSPREAD_CORE_IDS_H_

#include <cstdint>
#include <string>

#include "briarspread/core/strong_value.h"

namespace briarspread {

/// Name, in the settings, of one of the system's own instances.
using InstanceId = StrongValue<struct InstanceIdTag, std::string>;
/// Identifies one start of the program on an instance. Later starts have higher
/// numbers.
using Incarnation = StrongValue<struct IncarnationTag, std::uint64_t>;
/// Id of an upstream: a replica of a model engine or of a plain service.
using UpstreamId = StrongValue<struct UpstreamIdTag, std::string>;
/// Name of an availability zone.
using ZoneId = StrongValue<struct ZoneIdTag, std::string>;
/// Name of a region, which contains availability zones.
using RegionId = StrongValue<struct RegionIdTag, std::string>;
/// Id of a customer, such as a buyer of the operators' services.
using CustomerId = StrongValue<struct CustomerIdTag, std::string>;
/// Name of a class of requests, such as `quote`, `booking` or `rollout`.
using RequestClass = StrongValue<struct RequestClassTag, std::string>;
/// Name of a model that engines serve.
using ModelName = StrongValue<struct ModelNameTag, std::string>;
/// Name of a plain service.
using ServiceName = StrongValue<struct ServiceNameTag, std::string>;
/// Id of a trainer.
using TrainerId = StrongValue<struct TrainerIdTag, std::string>;
/// Number of a trainer's step.
using StepNumber = StrongValue<struct StepNumberTag, std::uint64_t>;
/// Id of a group of samples, unique within its step.
using GroupId = StrongValue<struct GroupIdTag, std::uint32_t>;
/// Index of a sample within its group.
using SampleIndex = StrongValue<struct SampleIndexTag, std::uint32_t>;
/// Version of an upstream's software, unique over all services. Has no order;
/// empty where it is unknown.
using SoftwareVersion = StrongValue<struct SoftwareVersionTag, std::string>;
/// Version of a model's weights. Later versions have higher numbers.
using WeightVersion = StrongValue<struct WeightVersionTag, std::uint64_t>;
/// Idempotency key that a caller chose for a request.
using RequestKey = StrongValue<struct RequestKeyTag, std::string>;
/// Id of one exchange with an upstream, assigned by this system and never
/// reused.
using ExchangeId = StrongValue<struct ExchangeIdTag, std::uint64_t>;
/// Revision of the operators' rules.
using Revision = StrongValue<struct RevisionTag, std::uint64_t>;
/// Revision of the list of homes that own idempotency keys.
using Epoch = StrongValue<struct EpochTag, std::uint64_t>;
/// Number that increases with each holder of a lease, for fencing.
using FencingNumber = StrongValue<struct FencingNumberTag, std::uint64_t>;
/// Id of one attempt to write to the store. Written with the value, so that a
/// writer whose answer was lost can read whether its write took effect.
using OperationId = StrongValue<struct OperationIdTag, std::string>;
/// The store's index of a key's last change. Zero means that the key is absent.
using StoreIndex = StrongValue<struct StoreIndexTag, std::uint64_t>;
/// Hash that identifies the content of a request.
using Fingerprint = StrongValue<struct FingerprintTag, std::uint64_t>;

/// A count of tokens.
using TokenCount = StrongValue<struct TokenCountTag, std::uint64_t>;
/// A count of bytes.
using ByteCount = StrongValue<struct ByteCountTag, std::uint64_t>;

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_IDS_H_
