#ifndef CRANBERRYPLANK_ENTRY_PROGRESS_LOG_H_
#define CRANBERRYPLANK_ENTRY_PROGRESS_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cranberryplank {

/// Progress of a job as stored: the job's id and the encoded progress.
using StoredProgress = std::pair<std::string, std::string>;

/// Encode and decode an entry of the progress log. Decoding returns nothing if it is not valid.
std::string EncodeProgressEntry(std::span<const StoredProgress> rows);
std::optional<std::vector<StoredProgress>> DecodeProgressEntry(std::string_view value);

constexpr std::string_view kProgressLogPrefix = "progress-log/";

/// Returns the key of an entry. Keys of one epoch are in the order of their transactions, and those
/// of later epochs come after them.
std::string ProgressLogKey(std::uint64_t epoch, std::uint64_t batch);

/// Tracks which entries of the progress log in the store are still needed.
///
/// The load that this answers: thousands of runs end per second, in hundreds of jobs. A key for the
/// progress of each job takes several entries of a transaction per job, and a transaction holds
/// only a few dozen. So each transaction appends one log entry with the progress of all jobs that
/// have changed. An entry is removed once every job in it has newer progress or has ended. The log
/// never has more entries than there are active jobs with progress.
class ProgressLog {
 public:
  /// Records that the store has the entry `key` with the progress of `jobs`.
  void OnStored(const std::string& key, std::span<const std::string> jobs);
  /// Records that a job has ended, so its progress is not needed any more.
  void OnJobEnded(const std::string& job);
  /// Takes entries that no job needs, at most `max`, oldest first, in order to remove them.
  std::vector<std::string> TakeUnneeded(std::size_t max);
  /// Returns entries that were taken and not removed.
  void Return(std::span<const std::string> keys);
  /// Records that entries that were taken have been removed.
  void OnRemoved(std::span<const std::string> keys);
  /// Returns the number of entries that no job needs and that are not taken.
  std::size_t unneeded() const { return m_unneeded.size(); }

  /// Returns the number of entries in the store.
  std::size_t entries() const { return m_jobs_of_entry.size(); }

 private:
  void Release(const std::string& key);

  std::map<std::string, std::string> m_entry_of_job;   ///< Entry with a job's newest progress.
  std::map<std::string, std::size_t> m_jobs_of_entry;  ///< Number of jobs that need an entry.
  std::set<std::string> m_unneeded;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_PROGRESS_LOG_H_
