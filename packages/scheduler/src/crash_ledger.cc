#include "cranberryplank/scheduler/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace cranberryplank {

namespace {

/// A crashed worker is back after some seconds; one that stays away proves nothing.
constexpr Duration kKeepTime{60'000};

const std::string& KeyOf(const WorkerInfo& worker) {
  return worker.vm.empty() ? worker.id : worker.vm;
}

}  // namespace

void CrashLedger::AddLostRun(TimePoint now, const WorkerInfo& worker, SuspectRun run) {
  m_entries.push_back({worker, now, std::move(run)});
}

void CrashLedger::AddStart(const WorkerInfo& worker) {
  std::int64_t& newest = m_newest_start[KeyOf(worker)];
  newest = std::max(newest, worker.started_unix_ms);
}

std::vector<SuspectRun> CrashLedger::TakeDisproved(const WorkerInfo& worker) {
  std::vector<SuspectRun> runs;
  std::erase_if(m_entries, [&](Entry& entry) {
    const bool same =
        entry.worker.id == worker.id && entry.worker.started_unix_ms == worker.started_unix_ms;
    if (same) {
      runs.push_back(std::move(entry.run));
    }
    return same;
  });
  return runs;
}

std::vector<SuspectRun> CrashLedger::TakeProved() {
  std::vector<SuspectRun> runs;
  std::erase_if(m_entries, [&](Entry& entry) {
    const auto newest = m_newest_start.find(KeyOf(entry.worker));
    const bool ended =
        newest != m_newest_start.end() && newest->second > entry.worker.started_unix_ms;
    if (ended) {
      runs.push_back(std::move(entry.run));
    }
    return ended;
  });
  return runs;
}

void CrashLedger::Forget(const std::string& worker) {
  std::erase_if(m_entries, [&](const Entry& entry) { return entry.worker.id == worker; });
}

void CrashLedger::Expire(TimePoint now) {
  std::erase_if(m_entries, [&](const Entry& entry) { return now - entry.since > kKeepTime; });
}

}  // namespace cranberryplank
