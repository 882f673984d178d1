// Memory of the owner's jobs: what is counted for each, and what happens at the limit.

#include <catch2/catch.hpp>
#include <limits>
#include <string>

#include "cranberryplank/scheduler/job_table.h"

namespace cranberryplank {
namespace {

constexpr std::int64_t kNowUnixMs = 1'700'000'000'000;
constexpr TimePoint kNow{std::chrono::seconds(1'000)};

JobSpec SpecOf(const std::string& id, int tasks, const std::string& customer = "customer") {
  JobSpec spec;
  spec.id = id;
  spec.queue = "queue";
  spec.customer = customer;
  spec.payload = std::string(1'000, 'x');
  StepSpec step;
  step.count = tasks;
  spec.steps.push_back(step);
  return spec;
}

JobSpec TimedSpecOf(const std::string& id, int tasks, int occurrences, std::int64_t first_due,
                    std::int64_t interval) {
  JobSpec spec = SpecOf(id, tasks);
  spec.occurrences = occurrences;
  spec.first_due_unix_ms = first_due;
  spec.interval_ms = interval;
  return spec;
}

Job* AddStored(JobTable* table, const JobSpec& spec) {
  Job* job = table->Add(kNow, spec);
  table->MarkStored(kNow, job, job->change, 0);
  return job;
}

/// Loads the job as the next owner does, with all its progress stored.
Job* LoadFrom(const Job& job, JobTable* table) {
  JobRecord record;
  record.spec = job.spec;
  return table->Load(kNow, kNowUnixMs, job.spec.id, record, job.Progress());
}

// Guards against one stored job whose occurrences take all memory of each owner in turn.
TEST_CASE("a timed job opens a bounded number of due occurrences at a time") {
  constexpr int kOccurrences = 2'000'000'000;
  constexpr std::size_t kMostOpen = 64;
  const std::int64_t interval = GENERATE(0, 1, std::numeric_limits<std::int64_t>::max());
  JobTable table;
  Job* job = AddStored(&table, TimedSpecOf("job", 1, kOccurrences, 1, interval));
  CHECK(table.OpenDue(kNow, kNowUnixMs));
  CHECK(job->open.size() == (interval > kNowUnixMs ? 1 : kMostOpen));
  JobTable next;
  CHECK(LoadFrom(*job, &next)->open.size() == job->open.size());
}

TEST_CASE("the open occurrences of a job together have a bounded number of tasks") {
  CHECK(MostOpenOccurrences(TimedSpecOf("job", 1, 10, 1, 1)) == 10);
  CHECK(MostOpenOccurrences(TimedSpecOf("job", 1, 100, 1, 1)) == 64);
  CHECK(MostOpenOccurrences(TimedSpecOf("job", 1'000, 100, 1, 1)) == 10);
  CHECK(MostOpenOccurrences(TimedSpecOf("job", 100'000, 100, 1, 1)) == 1);
  CHECK(MostOpenOccurrences(SpecOf("job", 1)) == 1);
}

// Guards against a new owner that does not know an occurrence of which the earlier one has started
// tasks, and starts them again once it opens it.
TEST_CASE("each owner opens at least the occurrences that an earlier owner had opened") {
  JobTable table;
  Job* job = AddStored(&table, TimedSpecOf("job", 1, 2'000, 1, 1));
  table.OpenDue(kNow, kNowUnixMs);
  table.MarkDone(kNow, {job, 3, 0, 0}, kNowUnixMs);
  CHECK_FALSE(table.OpenDue(kNow, kNowUnixMs));  // The end is not stored.
  table.MarkStored(kNow, job, job->change, job->done_occurrences.size());
  CHECK(table.OpenDue(kNow, kNowUnixMs));
  CHECK(job->next_occurrence == 65);
  for (const std::size_t limit : {std::size_t{0}, std::numeric_limits<std::size_t>::max()}) {
    JobTable next;
    next.SetMemoryLimit(limit);
    const Job* loaded = LoadFrom(*job, &next);
    for (const auto& [occurrence, state] : job->open) {
      CHECK(loaded->open.contains(occurrence));
    }
  }
}

TEST_CASE("a timed job counts with all occurrences that may become open") {
  JobTable table;
  const JobSpec spec = TimedSpecOf("job", 1'000, 500, kNowUnixMs + 1, 1);
  table.SetMemoryLimit(MemoryOf(spec, 10) - 1);
  CHECK_FALSE(table.HasRoomFor(spec));
  Job* job = AddStored(&table, spec);
  CHECK(table.memory() == MemoryOf(spec, 10));
  table.OpenDue(kNow, kNowUnixMs + 1'000);
  CHECK(job->open.size() == 10);
  CHECK(table.memory() == MemoryOf(spec, 10));
}

TEST_CASE("the memory of a job counts until the job is removed, less as its tasks end") {
  JobTable table;
  const JobSpec spec = SpecOf("job", 10);
  Job* job = AddStored(&table, spec);
  CHECK(table.memory() == MemoryOf(spec, 1));
  table.OpenDue(kNow, kNowUnixMs);
  CHECK(table.memory() == MemoryOf(spec, 1));
  for (int task = 0; task < 10; ++task) {
    table.MarkDone(kNow, {job, 0, 0, task}, kNowUnixMs);
  }
  CHECK(table.memory() == MemoryOf(spec, 0));
  table.ReleasePayload(job);
  CHECK(table.memory() == MemoryOf(spec, 0) - spec.payload.size());
  table.Remove("job");
  CHECK(table.memory() == 0);
}

// Guards against one customer whose jobs shut out all others.
TEST_CASE("a part of the memory is kept for customers whose jobs take little") {
  constexpr std::size_t kJobsInLimit = 100;
  JobTable table;
  table.SetMemoryLimit(kJobsInLimit * MemoryOf(SpecOf("job-000", 100), 1));
  const auto fill = [&](const std::string& customer) {
    std::size_t added = 0;
    while (table.HasRoomFor(SpecOf("job-000", 100, customer))) {
      table.Add(kNow, SpecOf(customer + std::to_string(added), 100, customer));
      ++added;
    }
    return added;
  };
  CHECK(fill("large") == 75);
  CHECK(fill("small") == 6);
  CHECK(fill("large") == 0);
  while (table.HasRoomFor(SpecOf("job-000", 100, std::to_string(table.jobs().size())))) {
    fill(std::to_string(table.jobs().size()));
  }
  CHECK(table.jobs().size() == kJobsInLimit);
}

}  // namespace
}  // namespace cranberryplank
