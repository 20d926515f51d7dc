#ifndef BRIARSPREAD_BATCH_JOB_H_
#define BRIARSPREAD_BATCH_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::batch {

/// A batch job, by the id that its submitter gave it.
using JobId = StrongValue<struct JobIdTag, std::string>;
/// An item of a batch job, by the id that the submitter gave it.
using ItemId = StrongValue<struct ItemIdTag, std::string>;
/// Items of one group share their prompt.
using ItemGroup = StrongValue<struct ItemGroupTag, std::string>;

/// The call that scores a finished text.
struct RewardCall {
  std::string id;
  std::string host;
  std::string path;
  std::string body;
};

/// One request for tokens.
struct ItemSpec {
  ItemId id;
  std::string path;
  /// Headers to be sent, as the submitter gave them.
  std::vector<proxy::Header> headers;
  std::string body;
  ItemGroup group;
  /// Tokens of the prompt.
  std::uint64_t prompt_tokens = 0;
  /// Output tokens to expect; a guess.
  std::uint64_t expected_tokens = 0;
  std::optional<RewardCall> reward;
};

/// One step of a trainer as submitted.
struct JobSpec {
  JobId id;
  /// The host that selects its route, and that its items are sent with.
  std::string host;
  /// The path that it was submitted under.
  std::string path;
  std::uint64_t step = 0;
  ModelName model;
  /// The oldest version of the weights that may make its tokens.
  WeightVersion oldest_allowed;
  /// Groups that the trainer waits for.
  std::uint64_t target_groups = 0;
  std::vector<ItemSpec> items;
};

/// What became of an item. Never changes once it is listed.
struct ItemResult {
  ItemId id;
  /// Whether `text` is whole; otherwise the item was given up.
  bool is_complete = false;
  std::string text;
  /// All versions that made an event of the text, ascending.
  std::vector<WeightVersion> versions;
  /// The signature of the reward call's answer; empty without such a call.
  std::string score;
};

/// Results from a position on.
struct ResultPage {
  /// Items of the job.
  std::uint64_t total = 0;
  /// The position after the last result here.
  std::uint64_t next = 0;
  std::vector<ItemResult> results;
};

/// Who runs a job; the store's record that decides it.
struct JobRecord {
  InstanceId owner;
  Incarnation incarnation;
  Endpoint owner_endpoint;
  /// When it was submitted, by the time of day of who accepted it.
  WallTime submitted{};
  std::uint64_t total = 0;
  /// Values that its specification was cut into.
  std::uint32_t spec_parts = 1;
  /// Names the instance that runs jobs of this kind, by rendezvous hashing.
  std::string home_key;
  bool is_ended = false;
};

/// Encodings for the store and between instances: CBOR, since bodies and texts
/// are any bytes. Parsing gives nothing for malformed input. Thread-safe.
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
