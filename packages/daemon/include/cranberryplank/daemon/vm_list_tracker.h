#ifndef CRANBERRYPLANK_DAEMON_VM_LIST_TRACKER_H_
#define CRANBERRYPLANK_DAEMON_VM_LIST_TRACKER_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/vm_list_reader.h"

namespace cranberryplank {

/// Tracks the platform's list of workers and reports which VMs of the fleet are leaving or missing.
/// Rejects a list that lacks more than a third of the previous VMs, and keeps the last accepted
/// list.
class VmListTracker : public sigc::trackable {
 public:
  using LeavingSet = std::set<std::string, std::less<>>;
  using ChangedSignal = sigc::signal<void, TimePoint /*now*/, const LeavingSet& /*leaving*/>;

  /// @param list reader of the list of workers; must outlive the tracker
  explicit VmListTracker(VmListReader* list);

  /// Compares the list with the VMs of `fleet` if either has changed or a rejected list was read
  /// again.
  void Tick(TimePoint now, const Fleet& fleet);

  /// Returns the VMs that are leaving or missing according to the last accepted list.
  const LeavingSet& leaving() const { return m_leaving; }

  /// Returns whether a list has been accepted and the last accepted list does not contain `vm`.
  bool IsMissing(std::string_view vm) const { return !m_listed.empty() && !m_listed.contains(vm); }

  /// Returns the number of lists rejected since the start.
  std::uint64_t rejected_lists() const { return m_rejected_lists; }

  ChangedSignal& signal_changed() { return m_changed; }

 private:
  void OnRead(TimePoint now, TimePoint sent, bool changed);
  void Compare(TimePoint now);
  bool IsPlausible(const LeavingSet& listed) const;

  VmListReader* m_list;
  bool m_list_changed = false;
  bool m_newest_rejected = false;           ///< The newest list was rejected.
  std::optional<std::uint64_t> m_revision;  ///< Revision of `m_fleet`.
  LeavingSet m_fleet;                       ///< VMs of the fleet at the last comparison.
  LeavingSet m_listed;                      ///< VMs of the last accepted list.
  LeavingSet m_leaving;
  std::uint64_t m_rejected_lists = 0;
  ChangedSignal m_changed;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_VM_LIST_TRACKER_H_
