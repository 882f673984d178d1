#ifndef CRANBERRYPLANK_ENTRY_TESTS_FAKE_KEY_VALUE_STORE_H_
#define CRANBERRYPLANK_ENTRY_TESTS_FAKE_KEY_VALUE_STORE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "cranberryplank/entry/key_value_store.h"
#include "transaction_table.h"

namespace cranberryplank {

/// Fault that the store applies to the next transaction.
enum class CommitFault {
  kNone,
  kRefuse,
  kLoseAnswer,  ///< Applied immediately; the caller gets kUnknown.
  kApplyLate,   ///< Applied by `ApplyLate`; the caller gets kUnknown.
};

/// An in-memory store. Replies, except to watches, are held until a `Deliver` function is called.
class FakeKeyValueStore : public KeyValueStore {
 public:
  void Get(std::string_view key, ReadCallback done) override {
    KvReadReply reply;
    reply.status = KvStatus::kOk;
    reply.revision = m_table.revision();
    if (const auto it = m_table.items().find(std::string(key)); it != m_table.items().end()) {
      reply.items.push_back(it->second);
    }
    QueueReply([done, reply](TimePoint now) { done(now, reply); });
  }

  void Range(std::string_view prefix, std::string_view after, ReadCallback done) override {
    KvReadReply reply;
    reply.status = KvStatus::kOk;
    reply.revision = m_table.revision();
    for (const auto& [key, item] : m_table.items()) {
      if (key.starts_with(prefix) && key > after) {
        reply.items.push_back(item);
      }
    }
    QueueReply([done, reply](TimePoint now) { done(now, reply); });
  }

  /// A watch stays open until `EndWatch`.
  void Watch(std::string_view, std::uint64_t revision, Duration, ReadCallback done) override {
    watched_after = revision;
    m_watch = std::move(done);
  }

  void Commit(const KvTransaction& transaction, CommitCallback done) override {
    ++commits;
    const CommitFault fault = skip_before_fault-- > 0
                                  ? CommitFault::kNone
                                  : std::exchange(next_fault, CommitFault::kNone);
    KvCommitReply reply;
    if (fault == CommitFault::kRefuse) {
      reply.status = KvStatus::kRefused;
    } else if (fault == CommitFault::kApplyLate) {
      m_late.push_back(transaction);
    } else {
      reply = m_table.Apply(transaction);
      if (fault == CommitFault::kLoseAnswer) {
        reply = {};
      }
    }
    QueueReply([done, reply](TimePoint now) { done(now, reply); });
  }

  /// Delivers only the reply to the oldest call.
  void DeliverFirst(TimePoint now) {
    const auto send_reply = m_queued_replies.front();
    m_queued_replies.erase(m_queued_replies.begin());
    send_reply(now);
  }

  int queued_replies() const { return static_cast<int>(m_queued_replies.size()); }
  /// Holds back the replies to all calls under way.
  void Hold() {
    m_held.insert(m_held.end(), m_queued_replies.begin(), m_queued_replies.end());
    m_queued_replies.clear();
  }
  /// Delivers the replies that were held back.
  void DeliverHeld(TimePoint now) {
    for (const auto& send_reply : std::exchange(m_held, {})) {
      send_reply(now);
    }
  }

  /// Delivers the replies in reverse order of the calls.
  void DeliverNewestFirst(TimePoint now) {
    std::reverse(m_queued_replies.begin(), m_queued_replies.end());
    Deliver(now);
  }

  void Deliver(TimePoint now) {
    const auto replies = std::move(m_queued_replies);
    m_queued_replies.clear();
    for (const auto& send_reply : replies) {
      send_reply(now);
    }
  }

  /// Applies the transactions delayed by kApplyLate. @return how many took effect
  int ApplyLate() {
    int applied = 0;
    for (const KvTransaction& transaction : m_late) {
      applied += m_table.Apply(transaction).status == KvStatus::kOk ? 1 : 0;
    }
    m_late.clear();
    return applied;
  }

  void EndWatch(TimePoint now, const KvReadReply& reply) {
    std::exchange(m_watch, nullptr)(now, reply);
  }

  std::string Value(const std::string& key) const {
    const auto it = m_table.items().find(key);
    return it == m_table.items().end() ? std::string() : it->second.value;
  }
  /// Returns the number of keys with a prefix.
  int KeysWith(std::string_view prefix) const {
    const auto& items = m_table.items();
    return static_cast<int>(std::count_if(items.begin(), items.end(), [&](const auto& item) {
      return item.first.starts_with(prefix);
    }));
  }
  void Put(const std::string& key, const std::string& value) { m_table.Put(key, value); }
  void Erase(const std::string& key) { m_table.Erase(key); }
  std::uint64_t revision() const { return m_table.revision(); }

  CommitFault next_fault = CommitFault::kNone;
  int skip_before_fault = 0;  ///< Transactions before the one to which `next_fault` applies.
  int commits = 0;
  std::uint64_t watched_after = 0;

 private:
  void QueueReply(std::function<void(TimePoint)> send_reply) {
    m_queued_replies.push_back(std::move(send_reply));
  }

  TransactionTable m_table;
  std::vector<std::function<void(TimePoint)>> m_queued_replies;
  std::vector<std::function<void(TimePoint)>> m_held;
  std::vector<KvTransaction> m_late;
  ReadCallback m_watch;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_TESTS_FAKE_KEY_VALUE_STORE_H_
