#ifndef CRANBERRYPLANK_SUPPORT_VM_TABLE_H_
#define CRANBERRYPLANK_SUPPORT_VM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/platform/vm_directory.h"

namespace cranberryplank {

/// Contents of the fake VM list, with faults that affect all readers.
class VmTable {
 public:
  /// Adds a VM or restores a removed one.
  void Add(std::string_view service, std::string_view id);

  /// @return false if the VM is not listed.
  bool SetLeaving(std::string_view service, std::string_view id, bool leaving);
  bool Remove(std::string_view service, std::string_view id);

  /// While set, readers get the lists as they were when it was set.
  void SetStale(bool stale);

  /// While set, readers get only the first VM of each service.
  void SetNearlyEmpty(bool nearly_empty);

  /// Returns the list of `service` as readers see it.
  std::vector<VmListing> List(std::string_view service) const;

  /// Increases with every change that is visible to readers.
  std::uint64_t index() const { return m_stale ? m_stale_index : m_index; }

  /// Calls `changed` once after the next change that is visible to readers. @return an id for
  /// Unwatch
  std::uint64_t Watch(std::function<void()> changed);

  /// @return false if the watch has already fired or been cancelled.
  bool Unwatch(std::uint64_t id) { return m_watches.erase(id) > 0; }

 private:
  using Service = std::map<std::string, bool, std::less<>>;  ///< Whether a VM is leaving, by id.
  using Services = std::map<std::string, Service, std::less<>>;

  void OnChange();

  Services m_services;
  Services m_snapshot;
  std::uint64_t m_index = 1;
  std::uint64_t m_stale_index = 1;  ///< Index of the snapshot.
  std::uint64_t m_last_watch = 0;
  std::map<std::uint64_t, std::function<void()>> m_watches;
  bool m_stale = false;
  bool m_nearly_empty = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_VM_TABLE_H_
