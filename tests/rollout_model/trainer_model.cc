#include "tests/rollout_model/trainer_model.h"

#include <algorithm>

namespace briarspread::testing {
namespace {

constexpr seconds kPullInterval{1};

}  // namespace

TrainerModel::TrainerModel(const TrainerModelSettings& settings,
                           RolloutSimulation& simulation)
    : settings_(settings), simulation_(simulation) {}

StepSpec TrainerModel::MakeSpec() const {
  StepSpec spec;
  spec.model = ModelName("rollout");
  spec.samples_per_group = settings_.samples_per_group;
  spec.staleness_bound = settings_.staleness_bound;
  for (std::uint32_t i = 0; i < settings_.groups; ++i) {
    spec.groups.push_back({GroupId(i), "prompt " + std::to_string(i)});
  }
  return spec;
}

void TrainerModel::Start() { OpenStep(); }

void TrainerModel::SubmitStepTo(std::size_t instance, std::uint64_t step) {
  const auto cursor = simulation_.instance(instance).SubmitStep(
      settings_.id, StepNumber(step), MakeSpec());
  if (IsOk(cursor) && step == step_) opening_cursor_ = ValueOf(cursor);
}

void TrainerModel::OpenStep() {
  ++step_;
  if (step_ == settings_.warm_up_steps + 1) {
    measured_since_ = simulation_.clock().Now();
  }
  for (std::uint64_t i = 0; i <= settings_.steps_ahead; ++i) {
    SubmitStepTo(current_, step_ + i);
  }
  cursor_ = opening_cursor_;
  arrivals_.assign(settings_.groups, 0);
  Save();
  opened_ = simulation_.clock().Now();
  is_waiting_ = true;
  simulation_.OfferSlots();
  Pull();
  SchedulePull(step_);
}

void TrainerModel::SchedulePull(std::uint64_t step) {
  simulation_.clock().ScheduleAfter(kPullInterval, [this, step] {
    if (step != step_ || !is_waiting_) return;
    Pull();
    SchedulePull(step);
  });
}

void TrainerModel::PullIfWaiting() {
  if (is_waiting_) Pull();
}

bool TrainerModel::DrawFault(double share) {
  return share > 0 && simulation_.random().Fraction() < share;
}

void TrainerModel::KillCurrent() {
  simulation_.Kill(current_);
  current_ = (current_ + 1) % simulation_.instance_count();
  ++report_.kills;
}

void TrainerModel::Save() {
  saved_cursor_ = cursor_;
  saved_arrivals_ = arrivals_;
}

void TrainerModel::Restore() {
  cursor_ = saved_cursor_;
  arrivals_ = saved_arrivals_;
}

Result<Batch> TrainerModel::PullFrom(std::size_t instance) {
  const std::string& cursor =
      settings_.protections.sends_cursor ? cursor_ : opening_cursor_;
  RolloutScheduler& scheduler = simulation_.instance(instance);
  auto batch = scheduler.NextBatch(settings_.id, cursor, simulation_.newest());
  if (IsOk(batch) || ErrorOf(batch).code != ErrorCode::kNotFound ||
      !settings_.protections.posts_step_again) {
    return batch;
  }
  for (std::uint64_t i = 0; i <= settings_.steps_ahead; ++i) {
    SubmitStepTo(instance, step_ + i);
  }
  return scheduler.NextBatch(settings_.id, cursor, simulation_.newest());
}

void TrainerModel::Pull() {
  const PullFaults& faults = settings_.faults;
  auto reply = PullFrom(current_);
  if (!IsOk(reply)) return;
  if (DrawFault(faults.pulled_twice)) {
    const std::size_t other = (current_ + 1) % simulation_.instance_count();
    auto second = PullFrom(other);
    if (IsOk(second)) reply = std::move(second);
  }
  const Batch& batch = ValueOf(reply);
  if (batch.groups.empty() && !batch.is_whole) return;
  if (DrawFault(faults.killed_before_reply)) return KillCurrent();
  const std::string next =
      simulation_.instance(current_).FormatCursor(batch.next);
  const bool is_killed = DrawFault(faults.killed_in_reply);
  if (is_killed || DrawFault(faults.reply_lost)) {
    ++report_.lost_replies;
    if (!settings_.protections.keeps_cursor_with_batch) cursor_ = next;
    if (is_killed) KillCurrent();
    return;
  }
  Save();
  cursor_ = next;
  AcceptBatch(batch);
  if (DrawFault(faults.killed_after_reply)) KillCurrent();
  if (DrawFault(faults.trainer_restored)) return Restore();
  const bool is_whole = settings_.protections.sends_cursor
                            ? batch.is_whole
                            : std::find(arrivals_.begin(), arrivals_.end(),
                                        0U) == arrivals_.end();
  if (is_whole) EndStep();
}

void TrainerModel::AcceptBatch(const Batch& batch) {
  ++report_.batches;
  for (const DeliveredGroup& group : batch.groups) {
    const bool is_new = arrivals_[group.id.value()]++ == 0;
    if (!is_new) report_.duplicated += group.samples.size();
    for (const FinishedSample& sample : group.samples) AcceptSample(sample);
  }
}

void TrainerModel::AcceptSample(const FinishedSample& sample) {
  ++report_.samples;
  if (sample.text != FormatSpans(sample.versions)) ++report_.mislabelled;
  if (sample.versions.empty()) return;
  const std::uint64_t staleness =
      StalenessOf(OldestVersion(sample.versions), simulation_.newest());
  if (staleness > settings_.staleness_bound) ++report_.too_stale;
  if (step_ > settings_.warm_up_steps) report_.staleness.Add(staleness);
}

void TrainerModel::EndStep() {
  is_waiting_ = false;
  const Duration waited = simulation_.clock().Now() - opened_;
  for (const std::uint32_t times : arrivals_) {
    if (times == 0) report_.lost += settings_.samples_per_group;
  }
  ++report_.steps;
  if (step_ > settings_.warm_up_steps) {
    report_.idle += waited;
    report_.step_times.push_back(waited);
  }
  const double spread = 0.9 + 0.2 * simulation_.random().Fraction();
  const auto compute = Duration(static_cast<Duration::rep>(
      spread * static_cast<double>(settings_.compute.count())));
  simulation_.clock().ScheduleAfter(compute, [this] { OpenStep(); });
}

TrainerModelReport TrainerModel::Report(bool open_step_is_lost) const {
  TrainerModelReport report = report_;
  if (step_ > settings_.warm_up_steps) {
    report.measured = simulation_.clock().Now() - measured_since_;
    if (is_waiting_) report.idle += simulation_.clock().Now() - opened_;
  }
  if (open_step_is_lost && is_waiting_) {
    report.lost += static_cast<std::uint64_t>(
                       std::count(arrivals_.begin(), arrivals_.end(), 0U)) *
                   settings_.samples_per_group;
  }
  return report;
}

}  // namespace briarspread::testing
