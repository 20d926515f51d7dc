// briarspread-rules: checks the operators' file and puts it in force.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "briarspread/rules/rule_parser.h"
#include "briarspread/transport/consul_store.h"
#include "briarspread/transport/http_upstream_client.h"

DEFINE_string(platform_host, "127.0.0.1", "the platform's IP number");
DEFINE_uint32(platform_port, 8500, "the platform's port");

namespace briarspread {
namespace {

constexpr char kRulesKey[] = "briarspread/rules";
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadRules = 2;

int Check(const std::string& text) {
  const auto parsed = ParseRules(text);
  const auto* errors = std::get_if<std::vector<RuleError>>(&parsed);
  if (errors == nullptr) return kExitOk;
  for (const RuleError& error : *errors) std::cerr << Describe(error) << "\n";
  return kExitBadRules;
}

int Apply(const std::string& text) {
  SystemClock clock;
  HttpUpstreamClient client(HttpUpstreamClientSettings{}, clock);
  ConsulSettings settings;
  settings.endpoint = {FLAGS_platform_host,
                       static_cast<std::uint16_t>(FLAGS_platform_port)};
  ConsulStore store(settings, client);
  const auto current = store.Get(kRulesKey);
  if (!IsOk(current)) {
    std::cerr << ErrorOf(current).message << "\n";
    return kExitFailed;
  }
  const StoreIndex index =
      ValueOf(current).has_value() ? ValueOf(current)->index : StoreIndex(0);
  const auto swapped = store.CompareAndSwap(kRulesKey, text, index);
  if (!IsOk(swapped) || ValueOf(swapped) != SwapOutcome::kSwapped) {
    std::cerr << "the rules were not applied\n";
    return kExitFailed;
  }
  std::cout << "applied\n";
  return kExitOk;
}

int Run(const std::string& command, const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    std::cerr << path << ": cannot be read\n";
    return kExitBadRules;
  }
  std::ostringstream buf;
  buf << in.rdbuf();
  const int checked = Check(buf.str());
  if (checked != kExitOk || command == "check") return checked;
  return Apply(buf.str());
}

}  // namespace
}  // namespace briarspread

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  gflags::SetVersionString(BRIARSPREAD_VERSION);
  gflags::SetUsageMessage("briarspread-rules check|apply FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc != 3) {
    std::cerr << "usage: briarspread-rules check|apply FILE\n";
    return 2;
  }
  return briarspread::Run(argv[1], argv[2]);
}
