#ifndef BRIARSPREAD_BATCH_JOB_H_
#define BRIARSPREAD_BATCH_JOB_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/accounts/account.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"
#include "briarspread/forward/configuration.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::batch {

/// Id of a batch job, chosen by its submitter.
using JobId = StrongValue<struct JobIdTag, std::string>;
/// Id of an item of a batch job, chosen by the submitter.
using ItemId = StrongValue<struct ItemIdTag, std::string>;
/// Name of a group of items. Items of one group share their prompt.
using ItemGroup = StrongValue<struct ItemGroupTag, std::string>;

/// A request to the reward service that scores a finished text.
struct RewardCall {
  std::string id;
  std::string host;
  std::string path;
  std::string body;
};

/// A request for generated text within a job.
struct ItemSpec {
  ItemId id;
  std::string path;
  /// Headers to send with the request, as given by the submitter.
  std::vector<proxy::Header> headers;
  std::string body;
  ItemGroup group;
  /// Tokens of the prompt.
  std::uint64_t prompt_tokens = 0;
  /// Estimated number of output tokens.
  std::uint64_t expected_tokens = 0;
  std::optional<RewardCall> reward;
};

/// A batch job as submitted: one step of a trainer.
struct JobSpec {
  JobId id;
  /// The client account that submitted the job; empty without accounts.
  accounts::AccountId account;
  /// The host that selects the job's route. Its items are sent with it.
  std::string host;
  /// The path that the job was submitted to.
  std::string path;
  /// The configuration that an instance had when it took the submission. The
  /// job's owner must have it or a later one. Zero in jobs of earlier builds.
  forward::ConfigurationVersion configuration;
  std::uint64_t step = 0;
  ModelName model;
  /// The oldest weight version that may generate text of the job.
  WeightVersion oldest_allowed;
  /// Number of complete groups that the trainer waits for.
  std::uint64_t target_groups = 0;
  std::vector<ItemSpec> items;
};

/// Maximum encoded size in bytes of one value that is written about a job, a
/// little below the store's limit.
inline constexpr std::size_t kMaxJobValueBytes = 900'000;

/// Maximum bytes of an item's text. A longer text could not be written as a
/// result.
inline constexpr std::size_t kMaxItemTextBytes = 800'000;

/// Final result of an item. Never changes once it is listed.
struct ItemResult {
  ItemId id;
  /// Whether `text` is complete; otherwise the item was given up.
  bool is_complete = false;
  std::string text;
  /// All versions that generated events of the text, ascending.
  std::vector<WeightVersion> versions;
  /// The signature in the answer to the reward call; empty without a reward
  /// call.
  std::string score;
};

/// A page of the list of results.
struct ResultPage {
  /// Items of the job.
  std::uint64_t total = 0;
  /// The position after the last result of the page.
  std::uint64_t next = 0;
  std::vector<ItemResult> results;
};

/// The record in the store that names the owner of a job.
struct JobRecord {
  InstanceId owner;
  Incarnation incarnation;
  Endpoint owner_endpoint;
  /// When the job was submitted, by the wall clock of the instance that
  /// accepted it.
  WallTime submitted{};
  std::uint64_t total = 0;
  /// Number of values in the store that the specification is split into.
  std::uint32_t spec_parts = 1;
  /// Key that selects the home of the job; see `HomeOrder`.
  std::string home_key;
  bool is_ended = false;
  /// The model of the job's items; empty in records of earlier builds.
  ModelName model;
  /// As in the job's specification.
  forward::ConfigurationVersion configuration;
  /// The client account that the job belongs to; empty without accounts.
  accounts::AccountId account;
};

/// Returns whether a caller may access a job: its account is the job's, or one
/// of the two has no account. Thread-safe.
bool MayAccess(const JobRecord& record,
               const std::optional<accounts::AccountId>& caller);

/// Encodings for the store and for calls between instances. The format is CBOR,
/// since bodies and texts may contain any bytes. Decoding returns nothing for
/// malformed input. Thread-safe.
std::string Encode(const JobSpec& spec);
std::optional<JobSpec> DecodeJobSpec(const std::string& bytes);
std::string Encode(const std::vector<ItemResult>& results);
std::optional<std::vector<ItemResult>> DecodeResults(const std::string& bytes);
std::string Encode(const ResultPage& page);
std::optional<ResultPage> DecodeResultPage(const std::string& bytes);
std::string Encode(const JobRecord& record);
std::optional<JobRecord> DecodeJobRecord(const std::string& bytes);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_H_
