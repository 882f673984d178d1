#ifndef CRANBERRYPLANK_SUPPORT_MEMORY_STORE_H_
#define CRANBERRYPLANK_SUPPORT_MEMORY_STORE_H_

#include <functional>
#include <memory>

#include "cranberryplank/platform/store.h"
#include "cranberryplank/support/event_queue.h"
#include "cranberryplank/support/key_table.h"

namespace cranberryplank {

/// Faults between one client and the store. May be changed at any time.
struct StoreFaults {
  bool down = false;          ///< Requests and answers are lost; calls time out.
  bool refuse = false;        ///< The store refuses every call.
  Duration request_delay{1};  ///< A write takes effect this long after the call.
  Duration answer_delay{1};
  Duration timeout{1'000};  ///< A call without an answer ends as kUnknown after this time.
  int lose_answers = 0;     ///< The next writes take effect, but their answers are lost.
  int late_writes = 0;      ///< The next writes time out and take effect `late_by` after the call.
  Duration late_by{3'000};
};

/// In-memory store, driven by a simulated clock. Each object is the connection of one client;
/// several clients may share a KeyTable.
class MemoryStore : public Store {
 public:
  explicit MemoryStore(EventQueue* queue);

  /// @param network delivers requests and answers, including those of a paused process
  /// @param process runs the callbacks
  MemoryStore(Scheduler* network, Scheduler* process, std::shared_ptr<KeyTable> table);

  void Read(std::string_view key, ReadCallback done) override;
  void Watch(std::string_view key, std::uint64_t watch_index, Duration wait,
             ReadCallback done) override;
  void CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index,
                      WriteCallback done) override;

  StoreFaults& faults() { return *m_faults; }
  const std::shared_ptr<KeyTable>& table() { return m_table; }

 private:
  template <typename Reply>
  struct Call;

  template <typename Reply>
  std::shared_ptr<Call<Reply>> StartCall(std::function<void(TimePoint, const Reply&)> done,
                                         Duration timeout);

  Scheduler* m_network;
  Scheduler* m_process;
  std::shared_ptr<KeyTable> m_table;
  std::shared_ptr<StoreFaults> m_faults;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_MEMORY_STORE_H_
