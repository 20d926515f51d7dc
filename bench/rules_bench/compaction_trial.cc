#include "bench/rules_bench/compaction_trial.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <string>
#include <vector>

#include "bench/rules_bench/counting_store.h"
#include "briarspread/core/random_source.h"
#include "briarspread/rules/rule_store.h"

namespace briarspread::bench {
namespace {

/// Returns the elapsed time of `work`, which is close to the processor time
/// since the store is in memory.
template <typename Work>
Duration TimeOf(Work work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::steady_clock::now() - start;
}

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

std::string RuleText(std::size_t i, std::uint64_t rate) {
  return "limit customer=customer-" + std::to_string(i) +
         " class=quote rate=" + std::to_string(rate) +
         "/s   # Rosa Quispe, sales\n";
}

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line;
  return text;
}

}  // namespace

CompactionResult RunCompactionTrial(std::size_t interval, std::size_t rules,
                                    std::size_t changes, std::uint64_t seed) {
  RuleStoreSettings settings;
  settings.log.max_head_changes = interval;
  settings.log.max_head_bytes = kMaxStoreValueBytes;
  CountingStore keys;
  SystemClock clock;
  SeededRandom random(seed);
  RuleStore store(settings, keys, clock);
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < rules; ++i) lines.push_back(RuleText(i, 1));

  CompactionResult result;
  result.interval = interval;
  result.rules = rules;
  result.text_bytes = Join(lines).size();
  StoredRules known;
  Duration cold{0};
  Duration longest{0};
  Duration follow{0};
  std::uint64_t watch_bytes = 0;
  std::uint64_t writes = 0;
  std::uint64_t written = 0;
  for (std::size_t i = 0; i <= changes; ++i) {
    const std::size_t changed = random.Below(rules);
    lines[changed] = RuleText(changed, 2 + i);
    const std::uint64_t writes_before = keys.writes;
    const std::uint64_t written_before = keys.bytes_written;
    const auto outcome = store.Apply(
        {OperationId(std::to_string(i)), Revision(i), Join(lines), "Rosa"});
    assert(std::holds_alternative<RuleAcceptance>(outcome));
    if (i == 0) {
      known = ValueOf(store.Read());
      continue;  // The first change writes the whole text at every interval.
    }
    writes += keys.writes - writes_before;
    written += keys.bytes_written - written_before;
    const std::uint64_t read_before = keys.bytes_read;
    follow +=
        TimeOf([&] { known = ValueOf(store.Watch(known, milliseconds(0))); });
    watch_bytes += keys.bytes_read - read_before;
    const Duration duration = TimeOf([&] { (void)ValueOf(store.Read()); });
    cold += duration;
    longest = std::max(longest, duration);
  }
  const auto n = static_cast<double>(changes);
  result.cold_read_ms = Milliseconds(cold) / n;
  result.longest_cold_read_ms = Milliseconds(longest);
  result.follow_us = Milliseconds(follow) * 1000 / n;
  result.watch_bytes = static_cast<double>(watch_bytes) / n;
  result.written_bytes = static_cast<double>(written) / n;
  result.writes = static_cast<double>(writes) / n;
  return result;
}

}  // namespace briarspread::bench
