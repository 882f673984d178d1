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

/// Contents of the fake VM list, with faults that apply to every reader.
class VmTable {
 public:
  /// Adds a VM or puts a removed one back.
  void Add(std::string_view service, std::string_view id);

  /// @return false if the VM is not listed.
  bool SetLeaving(std::string_view service, std::string_view id, bool leaving);
  bool Remove(std::string_view service, std::string_view id);

  /// Answers with the lists as they are now until set to false.
  void SetStale(bool stale);

  /// Lists only the first VM of each service until set to false.
  void SetNearlyEmpty(bool nearly_empty);

  /// Returns what a reader of `service` sees.
  std::vector<VmListing> List(std::string_view service) const;

  /// Rises with every change of what readers see.
  std::uint64_t index() const { return m_stale ? m_stale_index : m_index; }

  /// Runs `changed` once after the next change that readers see. @return an id for Unwatch
  std::uint64_t Watch(std::function<void()> changed);

  /// @return false if the watch has run or was ended before.
  bool Unwatch(std::uint64_t id) { return m_watches.erase(id) > 0; }

 private:
  using Service = std::map<std::string, bool, std::less<>>;  ///< VM id to whether it is leaving.
  using Services = std::map<std::string, Service, std::less<>>;

  void OnChange();

  Services m_services;
  Services m_snapshot;
  std::uint64_t m_index = 1;
  std::uint64_t m_stale_index = 1;  ///< Of the snapshot.
  std::uint64_t m_last_watch = 0;
  std::map<std::uint64_t, std::function<void()>> m_watches;
  bool m_stale = false;
  bool m_nearly_empty = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_VM_TABLE_H_
