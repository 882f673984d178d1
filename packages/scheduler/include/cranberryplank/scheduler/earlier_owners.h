#ifndef CRANBERRYPLANK_SCHEDULER_EARLIER_OWNERS_H_
#define CRANBERRYPLANK_SCHEDULER_EARLIER_OWNERS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// A daemon that owned the schedule before the present owner.
struct EarlierOwner {
  std::string vm;           ///< Name of the daemon's VM.
  std::string address;      ///< Address for calls between daemons; empty if it is not known.
  std::string incarnation;  ///< Incarnation of the daemon's process.
  std::uint64_t epoch = 0;  ///< Revision of its claim.
};

/// Returns an owner of which only the epoch is known, so that it cannot be asked.
EarlierOwner UnknownOwner(std::uint64_t epoch);

/// Tracks until when the earlier owners of the schedule may act. An owner acts for a while after
/// the store last confirmed it, and several owners can be replaced within that time. So it is not
/// enough that the direct predecessor has stopped.
class EarlierOwners {
 public:
  EarlierOwners() = default;
  /// @param act_until time by which all of them have stopped, because none was confirmed after the
  ///   claim of the present owner
  EarlierOwners(std::span<const EarlierOwner> owners, TimePoint act_until);

  /// Records that the process of an owner has ended, or that it has stopped acting, by `now`.
  void RecordStopped(TimePoint now, std::string_view incarnation);
  /// Records that all earlier processes on a VM have ended.
  void RecordVmStopped(TimePoint now, std::string_view vm);
  /// Records that all owners with an epoch below `epoch` stop acting by `time`.
  void RecordBound(TimePoint time, std::uint64_t epoch);
  /// Records that all owners before the one with this incarnation stop acting by `time`.
  void RecordBoundBefore(TimePoint time, std::string_view incarnation);

  /// Returns the owners that may act and can be asked whether they have stopped.
  std::vector<EarlierOwner> Askable(TimePoint now) const;
  /// Returns the time by which all have stopped acting.
  TimePoint act_until() const;

 private:
  struct Entry {
    EarlierOwner owner;
    TimePoint act_until{};
  };

  std::vector<Entry> m_entries;
};

/// Maximum number of earlier owners that an ownership record lists.
constexpr std::size_t kMaxEarlierOwners = 8;

/// Returns the owners that may still act when `owner` is replaced.
/// @param before those that might have acted when it claimed the schedule
/// @param known_for how long its claim has been known
/// @param authority time for which an owner may act without confirmation
std::vector<EarlierOwner> OwnersBeforeClaim(EarlierOwner owner,
                                            std::span<const EarlierOwner> before,
                                            Duration known_for, Duration authority);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_EARLIER_OWNERS_H_
