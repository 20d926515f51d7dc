#ifndef BRIARSPREAD_SETTINGS_ENTRY_SETTINGS_H_
#define BRIARSPREAD_SETTINGS_ENTRY_SETTINGS_H_

#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// What one `briarspread-entry` process is told at its start.
struct EntrySettings {
  /// The instance's name.
  InstanceId instance;
  /// Where it stands.
  Locality locality;
  /// Where it listens.
  Endpoint listen;
  /// Where the platform's services listen.
  Endpoint platform;
  /// The region that the weight store is in; this instance's own by default.
  RegionId store_region;
  /// Threads that serve connections, one each.
  std::size_t http_threads = 512;
  /// The largest body taken, in bytes.
  std::size_t max_body_bytes = 1 << 20;
  /// How long a slow sender may pause within a request.
  milliseconds read_timeout{5000};
  /// The longest a graceful shutdown waits for requests in flight.
  seconds drain_limit{600};
  /// How often the instance list and the engines' load are read.
  milliseconds poll_interval{1000};
  /// How often a peer is sent a digest.
  milliseconds heartbeat_interval{500};
  /// Shared by all instances; authenticates peers. Never logged.
  std::string peer_key;
  /// Off only where `peer_authentication` is `false` in the file.
  bool peer_authentication = true;
  /// Where spans are written, as JSON lines; empty for none.
  std::string trace_file;
  /// Folder for bulk data; empty where the instance keeps nothing.
  std::string data_folder;
};

/// Reads and checks a settings file. The error names the file, the key, what
/// was found and what is allowed. Thread-safe.
Result<EntrySettings> LoadEntrySettings(const std::string& path);

/// As `LoadEntrySettings`, from text; `source` stands for the file's name.
Result<EntrySettings> ParseEntrySettings(const std::string& text,
                                         const std::string& source);

}  // namespace briarspread

#endif  // BRIARSPREAD_SETTINGS_ENTRY_SETTINGS_H_
