#ifndef CRANBERRYPLANK_SUPPORT_MEMORY_VM_DIRECTORY_H_
#define CRANBERRYPLANK_SUPPORT_MEMORY_VM_DIRECTORY_H_

#include <memory>

#include "cranberryplank/platform/vm_directory.h"
#include "cranberryplank/support/event_queue.h"
#include "cranberryplank/support/vm_table.h"

namespace cranberryplank {

/// In-memory VM list, driven by a simulated clock. Several clients may share a VmTable.
class MemoryVmDirectory : public VmDirectory {
 public:
  explicit MemoryVmDirectory(EventQueue* queue);
  MemoryVmDirectory(Scheduler* process, std::shared_ptr<VmTable> table);

  void List(std::string_view service, ListCallback done) override;
  void WatchIndex(std::string_view service, std::uint64_t index, Duration wait,
                  IndexCallback done) override;

  /// While down, calls end without a list after the timeout.
  void SetDown(bool down) { m_down = down; }
  void SetDelay(Duration delay) { m_delay = delay; }

  VmTable& table() { return *m_table; }

 private:
  Scheduler* m_process;
  std::shared_ptr<VmTable> m_table;
  Duration m_delay{1};
  bool m_down = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_MEMORY_VM_DIRECTORY_H_
