#include "cranberryplank/entry/cancelled_jobs.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryplank/jobs/message_pack.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr int kFormat = 1;
/// Bounds the size of an entry; a path has a few dozen bytes.
constexpr std::size_t kJobsPerEntry = 100;
constexpr Duration kDropInterval{5'000};
/// Entries that one transaction removes.
constexpr std::size_t kRemovals = 8;

std::string EncodeEntry(const std::vector<std::string>& jobs) {
  return ToMessagePack(json::array({kFormat, jobs}));
}

}  // namespace

bool CancelledJobs::Load(TimePoint now, const std::string& key, std::string_view value) {
  Entry entry;
  try {
    entry.jobs = FromMessagePack(value).at(1).get<std::vector<std::string>>();
  } catch (const json::exception&) {
    return false;
  }
  entry.dropped_at = now + m_kept;
  for (const std::string& job : entry.jobs) {
    m_jobs[job].entry = key;
  }
  m_entries[key] = std::move(entry);
  return true;
}

bool CancelledJobs::Add(TimePoint now, const std::string& job) {
  const auto known = m_jobs.find(job);
  if (known != m_jobs.end()) {
    const bool lasts = known->second.waits || !IsStored(job) || RefusedFor(now, job) > m_kept / 2;
    if (lasts) {
      return true;
    }
  } else if (m_jobs.size() >= kMaxJobs) {
    return false;
  }
  m_jobs[job].waits = true;
  m_next.push_back(job);
  return true;
}

bool CancelledJobs::IsStored(const std::string& job) const {
  const auto known = m_jobs.find(job);
  if (known == m_jobs.end() || known->second.waits) {
    return false;
  }
  return m_entries.at(known->second.entry).stored();
}

Duration CancelledJobs::RefusedFor(TimePoint now, const std::string& job) const {
  const auto entry = m_entries.find(m_jobs.at(job).entry);
  if (entry == m_entries.end() || !entry->second.stored()) {
    return m_kept;
  }
  return std::chrono::duration_cast<Duration>(entry->second.dropped_at - now);
}

Duration CancelledJobs::OldestKeptFor(TimePoint now) const {
  TimePoint first = now + m_kept;
  for (const auto& [key, entry] : m_entries) {
    first = std::min(first, entry.dropped_at);
  }
  return std::max(std::chrono::duration_cast<Duration>(first - now), Duration(0));
}

void CancelledJobs::Tick(TimePoint now, std::uint64_t epoch) {
  if (!m_next.empty() && !m_storing) {
    StoreNext(epoch);
  }
  if (now - m_checked >= kDropInterval) {
    m_checked = now;
    DropOld(now);
  }
}

void CancelledJobs::StoreNext(std::uint64_t epoch) {
  const auto count = static_cast<std::ptrdiff_t>(std::min(m_next.size(), kJobsPerEntry));
  const std::string key = fmt::format("{}{}-{}", kCancelledPrefix, epoch, ++m_last_entry);
  Entry entry;
  entry.jobs.assign(std::make_move_iterator(m_next.begin()),
                    std::make_move_iterator(m_next.begin() + count));
  m_next.erase(m_next.begin(), m_next.begin() + count);
  for (const std::string& job : entry.jobs) {
    m_jobs[job] = {key, false};
  }
  m_storing = true;
  StateWriter::ExtraChange change;
  change.writes.push_back({key, EncodeEntry(entry.jobs)});
  change.done = [this, key](TimePoint now) {
    m_storing = false;
    m_entries.at(key).dropped_at = now + m_kept;
  };
  m_entries.emplace(key, std::move(entry));
  m_writer->Put(std::move(change));
}

void CancelledJobs::DropOld(TimePoint now) {
  std::vector<std::string> keys;
  for (const auto& [key, entry] : m_entries) {
    if (now >= entry.dropped_at && keys.size() < kRemovals) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  for (const std::string& key : keys) {
    for (const std::string& job : m_entries.at(key).jobs) {
      const auto known = m_jobs.find(job);
      if (known != m_jobs.end() && known->second.entry == key && !known->second.waits) {
        m_jobs.erase(known);
      }
    }
    m_entries.erase(key);
  }
  StateWriter::ExtraChange change;
  change.removals = std::move(keys);
  m_writer->Put(std::move(change));
}

}  // namespace cranberryplank
