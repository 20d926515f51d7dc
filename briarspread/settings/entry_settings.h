#ifndef BRIARSPREAD_SETTINGS_ENTRY_SETTINGS_H_
#define BRIARSPREAD_SETTINGS_ENTRY_SETTINGS_H_

#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// Settings of one `briarspread-entry` process, read at its start.
struct EntrySettings {
  /// The instance's name.
  InstanceId instance;
  /// Availability zone and region of the instance.
  Locality locality;
  /// Endpoint on which the instance listens.
  Endpoint listen;
  /// Endpoint of the platform's services.
  Endpoint platform;
  /// Region of the weight store; the instance's own region by default.
  RegionId store_region;
  /// Number of threads that serve connections. Each serves one open connection,
  /// so this bounds the number of connections.
  std::size_t http_threads = 512;
  /// Maximum size of a request body, in bytes.
  std::size_t max_body_bytes = 1 << 20;
  /// Maximum time to wait for further bytes of a request.
  milliseconds read_timeout{5000};
  /// Maximum time that a graceful shutdown waits for requests in flight.
  seconds drain_limit{600};
  /// Interval at which the instance list and the load of the engines are read.
  milliseconds poll_interval{1000};
  /// Interval at which a digest is sent to a peer.
  milliseconds heartbeat_interval{500};
  /// Key shared by all instances, which authenticates peers. Never logged.
  std::string peer_key;
  /// Whether peers are authenticated; false only where the file sets
  /// `peer_authentication` to `false`.
  bool peer_authentication = true;
  /// File to which trace spans are written as JSON lines; empty for no tracing.
  std::string trace_file;
  /// Folder for bulk data; empty where the instance stores none.
  std::string data_folder;
};

/// Reads and validates a settings file. An error names the file, the key, the
/// value found and the values allowed. Thread-safe.
Result<EntrySettings> LoadEntrySettings(const std::string& path);

/// Parses and validates the text of a settings file; errors name `source` as
/// the file. Thread-safe.
Result<EntrySettings> ParseEntrySettings(const std::string& text,
                                         const std::string& source);

}  // namespace briarspread

#endif  // BRIARSPREAD_SETTINGS_ENTRY_SETTINGS_H_
