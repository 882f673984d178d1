#ifndef CRANBERRYPLANK_ENTRY_CANCELLED_JOBS_H_
#define CRANBERRYPLANK_ENTRY_CANCELLED_JOBS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cranberryplank/entry/state_writer.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Prefix of the entries of cancelled jobs in the store.
constexpr std::string_view kCancelledPrefix = "cancelled/";

/// Jobs that were cancelled although no submission of them is known. A submission may still be
/// under way, in a daemon that does not run or on a slow link, and it must not start the job after
/// the cancelling was acknowledged. So the jobs are stored before that, and every owner refuses
/// them for a time. Jobs are given by their path: host, prefix and id.
///
/// The load that this answers: clients that nobody controls may cancel jobs that do not exist, in
/// any number. All jobs that arrive while an entry is being stored share the next entry. A job is
/// never dropped early; beyond a number of them further ones are not taken.
class CancelledJobs {
 public:
  /// Most jobs that are kept at the same time.
  static constexpr std::size_t kMaxJobs = 10'000;
  /// Least time for which a job is kept after it was stored.
  static constexpr Duration kLeastTime{60'000};

  /// @param kept how long jobs are kept after they were stored; `kLeastTime` if that is longer
  CancelledJobs(StateWriter* writer, Duration kept) : m_writer(writer) { SetTimeKept(kept); }
  CancelledJobs(const CancelledJobs&) = delete;
  CancelledJobs& operator=(const CancelledJobs&) = delete;

  void SetTimeKept(Duration kept) { m_kept = std::max(kept, kLeastTime); }
  /// Takes over an entry of an earlier owner. Its jobs are kept for the whole time again, because
  /// the clocks of two VMs may differ.
  /// @return false if the value cannot be decoded
  bool Load(TimePoint now, const std::string& key, std::string_view value);

  /// Adds a job whose cancelling is to be acknowledged once `IsStored`. The time for which a known
  /// one is kept begins anew, if much of it is over.
  /// @return false if there are too many jobs
  bool Add(TimePoint now, const std::string& job);
  /// Returns whether submissions of the job are refused.
  bool Contains(const std::string& job) const { return m_jobs.contains(job); }
  /// Returns whether later owners refuse the job too, for long enough.
  bool IsStored(const std::string& job) const;
  /// Returns for how long submissions of a contained job are still refused at least.
  Duration RefusedFor(TimePoint now, const std::string& job) const;
  /// Returns for how long the oldest job is still kept.
  Duration OldestKeptFor(TimePoint now) const;
  std::size_t size() const { return m_jobs.size(); }

  /// Stores new jobs and drops those whose time is over.
  /// @param epoch of the owner, which makes the keys of its entries unique
  void Tick(TimePoint now, std::uint64_t epoch);

 private:
  struct Job {
    std::string entry;   ///< Newest entry with the job; empty before there is one.
    bool waits = false;  ///< For the next entry.
  };
  struct Entry {
    std::vector<std::string> jobs;
    TimePoint dropped_at = TimePoint::max();  ///< Known once the entry is stored.

    bool stored() const { return dropped_at != TimePoint::max(); }
  };

  void StoreNext(std::uint64_t epoch);
  void DropOld(TimePoint now);

  StateWriter* m_writer;
  Duration m_kept{kLeastTime};
  std::unordered_map<std::string, Job> m_jobs;  ///< By path.
  std::map<std::string, Entry> m_entries;       ///< By key.
  std::vector<std::string> m_next;              ///< Jobs of the next entry.
  std::uint64_t m_last_entry = 0;
  bool m_storing = false;
  TimePoint m_checked{};
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_CANCELLED_JOBS_H_
