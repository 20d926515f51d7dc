#include "briarspread/batch/batch_metrics.h"

namespace briarspread::batch {

void Write(const BatchMetrics& metrics, PrometheusWriter& out) {
  out.Counter("briarspread_jobs_accepted_total", metrics.jobs_accepted);
  out.Counter("briarspread_jobs_adopted_total", metrics.jobs_adopted);
  out.Counter("briarspread_jobs_handed_over_total", metrics.jobs_handed_over);
  out.Counter("briarspread_jobs_lost_total", metrics.jobs_lost);
  out.Counter("briarspread_jobs_ended_total", metrics.jobs_ended);
  out.Counter("briarspread_groups_in_time_total", metrics.groups_in_time);
  out.Counter("briarspread_groups_late_total", metrics.groups_late);
  out.Counter("briarspread_groups_wanted_total", metrics.groups_wanted);
  out.Counter("briarspread_items_listed_total", metrics.items_listed);
  out.CounterEach("briarspread_items_given_up_total", "reason",
                  metrics.items_given_up);
  out.Counter("briarspread_items_carried_total", metrics.items_carried);
  out.Counter("briarspread_items_restarted_total", metrics.items_restarted);
  out.CounterEach("briarspread_results_by_staleness_total", "versions_behind",
                  metrics.staleness);
  out.CounterEach("briarspread_runs_total", "outcome", metrics.runs);
  out.Counter("briarspread_runs_moved_total", metrics.runs_moved);
  out.Counter("briarspread_chunks_written_total", metrics.chunks_written);
  out.Type("briarspread_item_seconds", "summary");
  out.Summary("briarspread_item_seconds", "stage=\"waiting\"",
              metrics.waiting.Summarize());
  out.Summary("briarspread_item_seconds", "stage=\"running\"",
              metrics.running.Summarize());
  out.Summary("briarspread_item_seconds", "stage=\"scoring\"",
              metrics.scoring.Summarize());
  out.Summary("briarspread_item_seconds", "stage=\"listing\"",
              metrics.listing.Summarize());
  out.Type("briarspread_trainer_wait_seconds", "summary");
  out.Summary("briarspread_trainer_wait_seconds", "",
              metrics.trainer_wait.Summarize());
}

}  // namespace briarspread::batch
