#include "cranberryplank/entry/progress_log.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryplank/jobs/message_pack.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

}  // namespace

std::string EncodeProgressEntry(std::span<const StoredProgress> rows) {
  json encoded = json::array();
  for (const auto& [job, progress] : rows) {
    encoded.push_back(json::array({job, progress}));
  }
  return ToMessagePack(encoded);
}

std::optional<std::vector<StoredProgress>> DecodeProgressEntry(std::string_view value) {
  try {
    std::vector<StoredProgress> rows;
    for (const json& row : FromMessagePack(value)) {
      rows.emplace_back(row.at(0), row.at(1));
    }
    return rows;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string ProgressLogKey(std::uint64_t epoch, std::uint64_t batch) {
  return fmt::format("{}{:020}-{:012}", kProgressLogPrefix, epoch, batch);
}

void ProgressLog::OnStored(const std::string& key, std::span<const std::string> jobs) {
  std::size_t& needed_by = m_jobs_of_entry[key];
  for (const std::string& job : jobs) {
    const auto [it, added] = m_entry_of_job.try_emplace(job, key);
    if (!added && it->second == key) {
      continue;
    }
    if (!added) {
      Release(it->second);
      it->second = key;
    }
    ++needed_by;
  }
  if (needed_by == 0) {
    m_unneeded.insert(key);
  }
}

void ProgressLog::OnJobEnded(const std::string& job) {
  const auto it = m_entry_of_job.find(job);
  if (it == m_entry_of_job.end()) {
    return;
  }
  Release(it->second);
  m_entry_of_job.erase(it);
}

void ProgressLog::Release(const std::string& key) {
  if (--m_jobs_of_entry.at(key) == 0) {
    m_unneeded.insert(key);
  }
}

std::vector<std::string> ProgressLog::TakeUnneeded(std::size_t max) {
  std::vector<std::string> keys;
  while (keys.size() < max && !m_unneeded.empty()) {
    keys.push_back(std::move(m_unneeded.extract(m_unneeded.begin()).value()));
  }
  return keys;
}

void ProgressLog::Return(std::span<const std::string> keys) {
  m_unneeded.insert(keys.begin(), keys.end());
}

void ProgressLog::OnRemoved(std::span<const std::string> keys) {
  for (const std::string& key : keys) {
    m_jobs_of_entry.erase(key);
  }
}

}  // namespace cranberryplank
