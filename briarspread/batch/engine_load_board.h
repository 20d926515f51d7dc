#ifndef BRIARSPREAD_BATCH_ENGINE_LOAD_BOARD_H_
#define BRIARSPREAD_BATCH_ENGINE_LOAD_BOARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread::batch {

/// Items that one instance has at each engine; engines without any are left
/// out.
using EngineLoads = std::map<UpstreamId, std::uint32_t>;

/// JSON of an instance's loads. Parsing gives nothing for malformed text.
/// Thread-safe.
std::string FormatEngineLoads(const EngineLoads& loads);
std::optional<EngineLoads> ParseEngineLoads(const std::string& text);

/// What other instances have said that they run at each engine, so that two of
/// them do not fill the same slots. Not thread-safe.
class EngineLoadBoard final {
 public:
  /// What a peer said longer ago no longer counts. Precondition: `clock`
  /// outlives this object.
  EngineLoadBoard(Duration time_to_live, const Clock& clock)
      : time_to_live_(time_to_live), clock_(clock) {}

  /// Takes all that a peer runs now, in place of what it said before.
  void Put(const InstanceId& peer, EngineLoads loads);
  /// Items of all peers at an engine.
  std::uint32_t LoadAt(const UpstreamId& engine) const;

 private:
  struct Said {
    EngineLoads loads;
    TimePoint when{};
  };

  const Duration time_to_live_;
  const Clock& clock_;
  std::map<InstanceId, Said> said_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ENGINE_LOAD_BOARD_H_
