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

/// Follows the platform's list of workers and tells which VMs of the fleet leave or are gone. A
/// list that loses more than a third of its VMs at once is not trusted; the last trusted one is
/// kept.
class VmListTracker : public sigc::trackable {
 public:
  using LeavingSet = std::set<std::string, std::less<>>;
  using ChangedSignal = sigc::signal<void, TimePoint /*now*/, const LeavingSet& /*leaving*/>;

  /// @param list list of workers; must outlive the tracker
  explicit VmListTracker(VmListReader* list);

  /// Compares the list with the VMs of `fleet` if one of them changed or the list is not trusted.
  void Tick(TimePoint now, const Fleet& fleet);

  /// VMs that leave or are gone, as of the last trusted list.
  const LeavingSet& leaving() const { return m_leaving; }

  /// Tells whether a trusted list was read and does not show `vm` any more.
  bool IsMissing(std::string_view vm) const { return !m_listed.empty() && !m_listed.contains(vm); }

  /// Lists not trusted since the start.
  std::uint64_t rejected_lists() const { return m_rejected_lists; }

  ChangedSignal& signal_changed() { return m_changed; }

 private:
  void OnRead(TimePoint now, TimePoint sent, bool changed);
  void Compare(TimePoint now);
  bool IsPlausible(const LeavingSet& listed) const;

  VmListReader* m_list;
  bool m_list_changed = false;
  bool m_newest_rejected = false;           ///< The newest list was not trusted.
  std::optional<std::uint64_t> m_revision;  ///< Of `m_fleet`.
  LeavingSet m_fleet;                       ///< VMs of the fleet at the last comparison.
  LeavingSet m_listed;                      ///< Of the last trusted list.
  LeavingSet m_leaving;
  std::uint64_t m_rejected_lists = 0;
  ChangedSignal m_changed;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_VM_LIST_TRACKER_H_
