#include "cranberryplank/support/memory_vm_directory.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cranberryplank {

namespace {

constexpr Duration kTimeout{1'000};
constexpr Duration kWatchStep{10};

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
  m_process->Schedule(
      m_process->Now() + m_delay,
      [done = std::move(done), list = VmList{m_table->List(service), m_table->index()}](
          TimePoint now) { done(now, list, ""); });
}

void MemoryVmDirectory::WatchIndex(std::string_view service, std::uint64_t index, Duration wait,
                                   IndexCallback done) {
  if (m_down || m_delay >= kTimeout) {
    m_process->Schedule(m_process->Now() + wait + kTimeout,
                        [done = std::move(done)](TimePoint now) {
                          done(now, std::nullopt, "no answer from the VM list in time");
                        });
    return;
  }
  if (index == m_table->index() && wait > Duration(0)) {
    const Duration step = std::min(wait, kWatchStep);
    m_process->Schedule(
        m_process->Now() + step,
        [this, service = std::string(service), index, left = wait - step,
         done = std::move(done)](TimePoint) { WatchIndex(service, index, left, done); });
    return;
  }
  m_process->Schedule(m_process->Now() + m_delay,
                      [done = std::move(done), current = m_table->index()](TimePoint now) {
                        done(now, current, "");
                      });
}

}  // namespace cranberryplank
