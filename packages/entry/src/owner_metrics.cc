#include "owner_metrics.h"

#include <chrono>

namespace cranberryplank {

void RecordOwnerMetrics(TimePoint now, ScheduleOwner* owner, Metrics* metrics) {
  if (const VmFleet* fleet = owner->fleet()) {
    metrics->SetTotal("cranberryplank_vm_moves_total", fleet->moves());
    metrics->SetTotal("cranberryplank_vm_upkeeps_total", fleet->upkeeps());
  }
  const OwnerLoadReport& load = owner->load().last_report();
  metrics->SetGauge("cranberryplank_owner_longest_turn_seconds",
                    std::chrono::duration<double>(load.longest_turn).count());
  metrics->SetGauge("cranberryplank_oldest_unstored_change_seconds",
                    std::chrono::duration<double>(load.oldest_unstored).count());
  metrics->SetGauge("cranberryplank_starts_per_pass", load.fewest_starts);
  metrics->SetGauge("cranberryplank_job_bytes",
                    static_cast<double>(owner->scheduler()->job_table().memory()));
  metrics->SetGauge(
      "cranberryplank_registrations_age_seconds",
      std::chrono::duration<double>(owner->scheduler()->RegistrationsAge(now)).count());
  if (owner->scheduler()->settings().evacuation_bound) {
    metrics->SetGauge("cranberryplank_evacuated_zones",
                      static_cast<double>(owner->scheduler()->evacuation().zones().size()));
    metrics->SetGauge("cranberryplank_evacuated_zone_runs",
                      owner->scheduler()->RunsInEvacuatedZones());
  }
  const SchedulerCounters& counters = owner->scheduler()->counters();
  metrics->SetTotal("cranberryplank_task_starts_total", counters.starts);
  metrics->SetTotal("cranberryplank_task_start_failures_total", counters.start_failures);
  metrics->SetTotal("cranberryplank_uncertain_starts_total", counters.uncertain_starts);
  metrics->SetTotal("cranberryplank_task_stops_total", counters.stops);
  metrics->SetTotal("cranberryplank_holds_total", counters.renewals);
  metrics->SetTotal("cranberryplank_failed_holds_total", counters.failed_renewals);
  metrics->SetTotal("cranberryplank_tasks_done_total", counters.tasks_done);
  metrics->SetTotal("cranberryplank_tasks_failed_total", counters.tasks_failed);
  metrics->SetTotal("cranberryplank_runs_lost_total", counters.runs_lost);
  metrics->SetTotal("cranberryplank_reborn_workers_total", counters.restarted_workers);
  metrics->SetTotal("cranberryplank_worker_crashes_total", counters.worker_crashes);
  metrics->SetTotal("cranberryplank_crashing_tasks_total", counters.crashing_tasks);
  metrics->SetTotal("cranberryplank_locality_waits_total", counters.locality_waits);
  metrics->SetTotal("cranberryplank_jobs_done_total", counters.jobs_done);
  metrics->SetTotal("cranberryplank_jobs_failed_total", counters.jobs_failed);
  metrics->SetTotal("cranberryplank_jobs_cancelled_total", counters.jobs_cancelled);
}

}  // namespace cranberryplank
