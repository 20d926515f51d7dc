#include "briarspread/batch/job_checkpoint.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "briarspread/core/rendezvous.h"

namespace briarspread::batch {

using Json = nlohmann::json;

std::string Encode(const JobCheckpoint& checkpoint) {
  Json parts = Json::array();
  for (const CheckpointPart& part : checkpoint) {
    Json versions = Json::array();
    for (const WeightVersion& version : part.versions) {
      versions.push_back(version.value());
    }
    parts.push_back({{"id", part.id.value()},
                     {"offset", part.offset},
                     {"text", part.text},
                     {"events", part.events},
                     {"last", part.last_event_id},
                     {"versions", std::move(versions)},
                     {"software", part.software.value()}});
  }
  std::string bytes;
  Json::to_cbor(parts, bytes);
  return bytes;
}

std::optional<JobCheckpoint> DecodeJobCheckpoint(const std::string& bytes) {
  const Json json = Json::from_cbor(bytes, true, false);
  if (!json.is_array()) return std::nullopt;
  try {
    JobCheckpoint checkpoint;
    for (const Json& each : json) {
      CheckpointPart part;
      part.id = ItemId(each.at("id").get<std::string>());
      part.offset = each.at("offset").get<std::uint64_t>();
      part.text = each.at("text").get<std::string>();
      part.events = each.at("events").get<std::uint64_t>();
      part.last_event_id = each.at("last").get<std::uint64_t>();
      for (const Json& version : each.at("versions")) {
        part.versions.emplace_back(version.get<std::uint64_t>());
      }
      part.software = SoftwareVersion(each.value("software", ""));
      checkpoint.push_back(std::move(part));
    }
    return checkpoint;
  } catch (const Json::exception&) {
    // Malformed input; the caller handles the error.
    return std::nullopt;
  }
}

namespace {

/// Returns an upper estimate of the encoded size of a part.
std::size_t EncodedSize(const CheckpointPart& part) {
  // CBOR's field names and lengths, and a version as a 64-bit number.
  constexpr std::size_t kFieldBytes = 128;
  constexpr std::size_t kVersionBytes = 9;
  return kFieldBytes + part.id.value().size() + part.text.size() +
         part.software.value().size() + kVersionBytes * part.versions.size();
}

}  // namespace

JobCheckpoint LimitCheckpoint(JobCheckpoint parts, std::size_t max_bytes) {
  std::stable_sort(parts.begin(), parts.end(),
                   [](const CheckpointPart& a, const CheckpointPart& b) {
                     return a.text.size() > b.text.size();
                   });
  JobCheckpoint chosen;
  std::size_t bytes = 0;
  for (CheckpointPart& part : parts) {
    const std::size_t size = EncodedSize(part);
    if (size > max_bytes) {
      LOG_EVERY_N(WARNING, 100)
          << "event=checkpoint_part_too_large item=" << part.id
          << " bytes=" << size;
    }
    if (bytes + size > max_bytes) continue;
    bytes += size;
    chosen.push_back(std::move(part));
  }
  return chosen;
}

std::optional<CheckpointPart> CheckpointPlan::PartFor(
    const ItemId& id, const ItemProgress& progress) const {
  Written before;
  if (const auto it = written_.find(id); it != written_.end()) {
    before = it->second;
  }
  // Fewer events than before: the item has restarted.
  if (progress.events() < before.events) before = Written{};
  if (progress.events() < before.events + min_new_events_) return std::nullopt;
  // Another text than was written: the item has restarted and has grown since.
  const std::string_view text = progress.text();
  if (StableHash(text.substr(0, before.bytes)) != before.text_hash) {
    before = Written{};
  }
  return CheckpointPart{id,
                        before.bytes,
                        progress.TextFrom(before.bytes),
                        progress.events(),
                        progress.last_event_id(),
                        progress.versions(),
                        progress.software(),
                        StableHash(text)};
}

void CheckpointPlan::MarkWritten(const JobCheckpoint& checkpoint) {
  for (const CheckpointPart& part : checkpoint) {
    written_[part.id] =
        Written{part.offset + part.text.size(), part.events, part.text_hash};
  }
}

std::map<ItemId, ItemProgress> AssembleProgress(
    const std::vector<JobCheckpoint>& checkpoints) {
  std::map<ItemId, ItemProgress> assembled;
  for (const JobCheckpoint& checkpoint : checkpoints) {
    for (const CheckpointPart& part : checkpoint) {
      const auto it = assembled.find(part.id);
      std::string text;
      if (part.offset > 0) {
        const bool continues = it != assembled.end() &&
                               it->second.text().size() == part.offset &&
                               it->second.software() == part.software;
        if (!continues) continue;
        text = it->second.text();
      }
      text += part.text;
      assembled.insert_or_assign(
          part.id,
          ItemProgress(std::move(text), part.events, part.last_event_id,
                       part.versions, part.software));
    }
  }
  return assembled;
}

}  // namespace briarspread::batch
