#include "cranberryplank/support/memory_store.h"

#include <optional>
#include <string>
#include <utility>

namespace cranberryplank {

namespace {

StoreReadReply ToReply(const KeyEntry& entry) {
  return {StoreStatus::kOk, entry.found, entry.value, entry.index, entry.watch_index, ""};
}

}  // namespace

template <typename Reply>
struct MemoryStore::Call {
  Scheduler* network;
  Scheduler* process;
  std::shared_ptr<StoreFaults> faults;
  std::function<void(TimePoint, const Reply&)> done;

  void Finish(TimePoint now, const Reply& reply) {
    if (done) {
      std::exchange(done, nullptr)(now, reply);
    }
  }
};

namespace {

/// Sends a reply over the network unless the store is down when it is sent or when it arrives.
template <typename CallPtr, typename Reply>
void Answer(const CallPtr& call, const Reply& reply) {
  if (call->faults->down) {
    return;
  }
  const TimePoint when = call->network->Now() + call->faults->answer_delay;
  call->network->Schedule(when, [call, reply](TimePoint at) {
    if (!call->faults->down) {
      call->process->Schedule(at, [call, reply](TimePoint now) { call->Finish(now, reply); });
    }
  });
}

/// Runs `handle` when the request arrives at the store.
template <typename CallPtr, typename Reply>
void SendRequest(const CallPtr& call, Duration delay, const Reply& refusal,
                 const std::function<void()>& handle) {
  if (call->faults->down) {
    return;
  }
  call->network->Schedule(call->network->Now() + delay, [call, refusal, handle](TimePoint) {
    if (call->faults->down) {
      return;
    }
    if (call->faults->refuse) {
      Answer(call, refusal);
      return;
    }
    handle();
  });
}

StoreReadReply RefusedRead() {
  StoreReadReply reply;
  reply.status = StoreStatus::kRefused;
  reply.reason = "the store refused the read";
  return reply;
}

}  // namespace

MemoryStore::MemoryStore(EventQueue* queue)
    : MemoryStore(queue, queue, std::make_shared<KeyTable>()) {}

MemoryStore::MemoryStore(Scheduler* network, Scheduler* process, std::shared_ptr<KeyTable> table)
    : m_network(network),
      m_process(process),
      m_table(std::move(table)),
      m_faults(std::make_shared<StoreFaults>()) {}

template <typename Reply>
std::shared_ptr<MemoryStore::Call<Reply>> MemoryStore::StartCall(
    std::function<void(TimePoint, const Reply&)> done, Duration timeout) {
  auto call =
      std::make_shared<Call<Reply>>(Call<Reply>{m_network, m_process, m_faults, std::move(done)});
  m_process->Schedule(m_network->Now() + timeout, [call](TimePoint now) {
    Reply reply;
    reply.status = StoreStatus::kUnknown;
    reply.reason = "no answer from the store in time";
    call->Finish(now, reply);
  });
  return call;
}

void MemoryStore::Read(std::string_view key, ReadCallback done) {
  const auto call = StartCall<StoreReadReply>(std::move(done), m_faults->timeout);
  SendRequest(
      call, m_faults->request_delay, RefusedRead(),
      [call, table = m_table, key = std::string(key)] { Answer(call, ToReply(table->Get(key))); });
}

void MemoryStore::Watch(std::string_view key, std::uint64_t watch_index, Duration wait,
                        ReadCallback done) {
  const auto call = StartCall<StoreReadReply>(std::move(done), wait + m_faults->timeout);
  SendRequest(call, m_faults->request_delay, RefusedRead(),
              [call, table = m_table, key = std::string(key), watch_index, wait] {
                const KeyEntry entry = table->Get(key);
                if (entry.watch_index > watch_index) {
                  Answer(call, ToReply(entry));
                  return;
                }
                const std::uint64_t id =
                    table->Watch(key, [call](const KeyEntry& e) { Answer(call, ToReply(e)); });
                call->network->Schedule(call->network->Now() + wait,
                                        [call, table, key, id](TimePoint) {
                                          table->Unwatch(id);
                                          Answer(call, ToReply(table->Get(key)));
                                        });
              });
}

void MemoryStore::CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index,
                                 WriteCallback done) {
  const auto call = StartCall<StoreWriteReply>(std::move(done), m_faults->timeout);
  Duration delay = m_faults->request_delay;
  bool lost = false;
  if (m_faults->late_writes > 0) {
    --m_faults->late_writes;
    delay = m_faults->late_by;
    lost = true;
  } else if (m_faults->lose_answers > 0) {
    --m_faults->lose_answers;
    lost = true;
  }
  const StoreWriteReply refusal{StoreStatus::kRefused, "the store refused the write"};
  SendRequest(
      call, delay, refusal,
      [call, table = m_table, key = std::string(key), value = std::string(value), index, lost] {
        const bool written = table->CompareAndSwap(key, value, index);
        if (lost) {
          return;
        }
        Answer(call, written
                         ? StoreWriteReply{StoreStatus::kOk, ""}
                         : StoreWriteReply{StoreStatus::kConflict, "the key has another version"});
      });
}

}  // namespace cranberryplank
