#ifndef CRANBERRYPLANK_CONTROL_VM_PRESENCE_H_
#define CRANBERRYPLANK_CONTROL_VM_PRESENCE_H_

#include <sigc++/sigc++.h>

#include <map>
#include <optional>
#include <set>
#include <string>

#include "cranberryplank/model/head.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/vm_directory.h"
#include "cranberryplank/platform/vm_list_reader.h"
#include "freshness_tracker.h"

namespace cranberryplank {

/// Reads the list of entry VMs and determines which registered daemons have lost their VM.
class VmPresence : public sigc::trackable {
 public:
  /// @param own_vm id of this daemon's VM; a list without it is rejected.
  VmPresence(std::string own_vm, VmDirectory& directory, const FreshnessTracker& freshness);

  /// Reads the list when due; `head` names the daemons to look for.
  void Tick(TimePoint now, const Head& head);

  /// Incarnations in `head` whose VM was missing in two consecutive reads and that sent no answer
  /// since the first of the two was sent.
  std::set<std::string> MissingDaemons() const;

 private:
  struct Daemon {
    std::string vm;
    bool listed = false;   ///< Was listed at least once.
    int missed_reads = 0;  ///< Consecutive reads without it.
    TimePoint missing_since{};
    bool missing = false;
  };

  void OnList(TimePoint now, TimePoint sent, bool changed);
  bool AliveSinceMissing(const std::string& incarnation, const Daemon& daemon) const;
  bool IsTrusted(const std::set<std::string>& vms) const;

  std::string m_own_vm;
  VmListReader m_list;
  const FreshnessTracker& m_freshness;
  std::map<std::string, Daemon> m_daemons;  ///< By incarnation.
  std::set<std::string> m_trusted_vms;      ///< VMs of the last accepted list.
  std::optional<TimePoint> m_rejected_since;
  std::optional<TimePoint> m_last_sent;  ///< Of the last read that was counted.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_VM_PRESENCE_H_
