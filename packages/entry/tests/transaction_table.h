#ifndef CRANBERRYPLANK_ENTRY_TESTS_TRANSACTION_TABLE_H_
#define CRANBERRYPLANK_ENTRY_TESTS_TRANSACTION_TABLE_H_

#include <map>
#include <string>

#include "cranberryplank/entry/key_value_store.h"

namespace cranberryplank {

/// Items with revisions and atomic transactions, with the semantics of the platform's store.
class TransactionTable {
 public:
  KvCommitReply Apply(const KvTransaction& transaction) {
    KvCommitReply reply;
    for (const KvPrecondition& precondition : transaction.preconditions) {
      const auto it = m_items.find(precondition.key);
      const std::uint64_t revision = it == m_items.end() ? 0 : it->second.revision;
      if (revision != precondition.revision) {
        reply.status = KvStatus::kConflict;
      }
      reply.current.push_back(it == m_items.end() ? KvItem{precondition.key, "", 0, false}
                                                  : it->second);
    }
    if (reply.status == KvStatus::kConflict) {
      return reply;
    }
    reply.status = KvStatus::kOk;
    reply.revision = ++m_revision;
    for (const KvWrite& write : transaction.writes) {
      m_items[write.key] = {write.key, write.value, m_revision, false};
    }
    for (const std::string& key : transaction.removals) {
      m_items.erase(key);
    }
    return reply;
  }

  void Put(const std::string& key, const std::string& value) {
    m_items[key] = {key, value, ++m_revision, false};
  }
  void Erase(const std::string& key) {
    ++m_revision;
    m_items.erase(key);
  }

  const std::map<std::string, KvItem>& items() const { return m_items; }
  std::uint64_t revision() const { return m_revision; }

 private:
  std::map<std::string, KvItem> m_items;
  std::uint64_t m_revision = 10;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_TESTS_TRANSACTION_TABLE_H_
