// briarspread-entry: the daemon of an entry instance. Serves the requests of
// callers and trainers and runs the control tasks of the instance.

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <signal.h>

#include <iostream>

#include "briarspread/gateway/entry.h"
#include "briarspread/settings/entry_settings.h"

DEFINE_string(settings, "", "path of the JSON settings file");
DEFINE_bool(check, false, "check the settings, print the result, and exit");

namespace briarspread {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

int Run() {
  // Blocks the stop signals before any thread is started, so that only the
  // sigwait call below receives them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  const auto settings = LoadEntrySettings(FLAGS_settings);
  if (!IsOk(settings)) {
    std::cerr << "briarspread-entry: " << ErrorOf(settings).message << "\n";
    return kExitBadSettings;
  }
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": ok\n";
    return kExitOk;
  }
  Entry entry(ValueOf(settings));
  const Status started = entry.Start();
  if (!IsOk(started)) {
    LOG(ERROR) << "event=start_failed reason=\"" << ErrorOf(started).message
               << "\"";
    return kExitFailed;
  }
  int received = 0;
  sigwait(&stop_signals, &received);
  return entry.Drain() ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace briarspread

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  gflags::SetVersionString(BRIARSPREAD_VERSION);
  gflags::SetUsageMessage(
      "serves callers and trainers on one entry instance\n"
      "  briarspread-entry --settings=FILE          serve until SIGTERM\n"
      "  briarspread-entry --settings=FILE --check  check the settings\n"
      "exit codes: 0 stopped cleanly or settings good, 1 failed, 2 bad "
      "settings");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::Run();
}
