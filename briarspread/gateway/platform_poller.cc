#include "briarspread/gateway/platform_poller.h"

#include <glog/logging.h>

#include <utility>

#include "briarspread/rules/rule_parser.h"

namespace briarspread {
namespace {

constexpr char kRulesKey[] = "briarspread/rules";

}  // namespace

PlatformPoller::PlatformPoller(const PlatformPollerSettings& settings,
                               KeyValueStore& store, ControlState& state)
    : settings_(settings), store_(store), state_(state) {}

PlatformPoller::~PlatformPoller() { Stop(); }

void PlatformPoller::Start() {
  thread_ = std::thread([this] { Run(); });
}

void PlatformPoller::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void PlatformPoller::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    PollRules();
    lock.lock();
    stop_requested_.wait_for(lock, settings_.interval,
                             [this] { return stopping_; });
  }
}

void PlatformPoller::PollRules() {
  const auto read = store_.Get(kRulesKey);
  if (!IsOk(read) || !ValueOf(read).has_value()) return;
  const KeyValue& stored = *ValueOf(read);
  const Revision revision(stored.index.value());
  if (revision <= state_.rules.Read()->revision) return;
  auto parsed = ParseRules(stored.value);
  auto* rules = std::get_if<RuleSet>(&parsed);
  if (rules == nullptr) {
    LOG(ERROR) << "event=rules_refused revision=" << revision;
    return;
  }
  rules->revision = revision;
  state_.rules.Publish(std::make_unique<const RuleSet>(std::move(*rules)));
  state_.has_rules = true;
  LOG(INFO) << "event=rules_in_force revision=" << revision;
}

}  // namespace briarspread
