#ifndef CRANBERRYPLANK_DAEMON_VM_LIST_TRACKER_H_
#define CRANBERRYPLANK_DAEMON_VM_LIST_TRACKER_H_

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/vm_directory.h"

namespace cranberryplank {

/// Polls the platform's list of workers and tells which VMs of the fleet leave or are gone. A list
/// that loses more than a third of its VMs at once is not trusted; the last trusted one is kept.
class VmListTracker {
 public:
  using LeavingSet = std::set<std::string, std::less<>>;
  using ChangedSignal = sigc::signal<void, TimePoint /*now*/, const LeavingSet& /*leaving*/>;

  /// @param directory must outlive the tracker
  /// @param poll time between two reads
  VmListTracker(VmDirectory* directory, Duration poll);

  /// Reads the list when due and compares it with the VMs of `fleet`.
  void Tick(TimePoint now, const Fleet& fleet);

  /// VMs that leave or are gone, as of the last trusted list.
  const LeavingSet& leaving() const { return m_leaving; }

  /// Tells whether a trusted list was read and does not show `vm` any more.
  bool IsGone(std::string_view vm) const { return !m_listed.empty() && !m_listed.contains(vm); }

  /// Lists not trusted since the start.
  std::uint64_t distrusted() const { return m_distrusted; }

  ChangedSignal& signal_changed() { return m_changed; }

 private:
  void OnList(TimePoint now, const std::vector<VmListing>& listings);
  bool Trusted(const LeavingSet& listed) const;

  VmDirectory* m_directory;
  Duration m_poll;
  std::optional<TimePoint> m_next;
  bool m_reading = false;
  LeavingSet m_fleet;   ///< VMs of the fleet at the last tick.
  LeavingSet m_listed;  ///< Of the last trusted list.
  LeavingSet m_leaving;
  std::uint64_t m_distrusted = 0;
  ChangedSignal m_changed;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_VM_LIST_TRACKER_H_
