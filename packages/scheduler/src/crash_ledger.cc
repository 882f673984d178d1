#include "cranberryplank/scheduler/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace cranberryplank {

namespace {

/// A crashed worker is back after some seconds; one that stays away proves nothing.
constexpr Duration kKeepTime{60'000};

}  // namespace

void CrashLedger::Add(TimePoint now, SuspectRun run) {
  const auto known = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) {
    return entry.run.task == run.task && entry.run.run == run.run;
  });
  if (known != m_entries.end()) {
    known->run = std::move(run);
    return;
  }
  m_entries.push_back({now, std::move(run)});
}

void CrashLedger::AddStart(const WorkerInfo& worker) {
  std::int64_t& newest = m_newest_start[worker.vm.empty() ? worker.id : worker.vm];
  newest = std::max(newest, worker.started_unix_ms);
}

template <typename Predicate>
std::vector<SuspectRun> CrashLedger::Take(Predicate matches) {
  std::vector<SuspectRun> runs;
  std::erase_if(m_entries, [&](Entry& entry) {
    const bool taken = matches(std::as_const(entry));
    if (taken) {
      runs.push_back(std::move(entry.run));
    }
    return taken;
  });
  return runs;
}

std::vector<SuspectRun> CrashLedger::TakeOfIncarnation(const WorkerInfo& worker) {
  return Take([&](const Entry& entry) {
    const SuspectStart& start = entry.run.start;
    return start.worker == worker.id && start.started_unix_ms == worker.started_unix_ms;
  });
}

std::vector<SuspectRun> CrashLedger::TakeOfWorker(const std::string& worker) {
  return Take([&](const Entry& entry) { return entry.run.start.worker == worker; });
}

std::vector<SuspectRun> CrashLedger::TakeOfTask(const TaskRef& task) {
  return Take([&](const Entry& entry) { return entry.run.task == task; });
}

std::vector<SuspectRun> CrashLedger::TakeRun(const TaskRef& task, int run) {
  return Take([&](const Entry& entry) { return entry.run.task == task && entry.run.run == run; });
}

std::vector<SuspectRun> CrashLedger::TakeProved() {
  return Take([&](const Entry& entry) {
    const SuspectStart& start = entry.run.start;
    const auto newest = m_newest_start.find(start.vm.empty() ? start.worker : start.vm);
    return newest != m_newest_start.end() && newest->second > start.started_unix_ms;
  });
}

std::vector<SuspectRun> CrashLedger::TakeExpired(TimePoint now) {
  return Take([&](const Entry& entry) { return now - entry.since > kKeepTime; });
}

}  // namespace cranberryplank
