#include "cranberryplank/support/memory_vm_directory.h"

#include <utility>

namespace cranberryplank {

namespace {

constexpr Duration kTimeout{1'000};

}  // namespace

MemoryVmDirectory::MemoryVmDirectory(EventQueue* queue)
    : MemoryVmDirectory(queue, std::make_shared<VmTable>()) {}

MemoryVmDirectory::MemoryVmDirectory(Scheduler* process, std::shared_ptr<VmTable> table)
    : m_process(process), m_table(std::move(table)) {}

void MemoryVmDirectory::List(std::string_view service, ListCallback done) {
  if (m_down || m_delay >= kTimeout) {
    m_process->Schedule(m_process->Now() + kTimeout, [done = std::move(done)](TimePoint now) {
      done(now, std::nullopt, "no answer from the VM list in time");
    });
    return;
  }
  m_process->Schedule(m_process->Now() + m_delay,
                      [done = std::move(done), listings = m_table->List(service)](TimePoint now) {
                        done(now, listings, "");
                      });
}

}  // namespace cranberryplank
