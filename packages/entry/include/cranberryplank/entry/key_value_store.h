#ifndef CRANBERRYPLANK_ENTRY_KEY_VALUE_STORE_H_
#define CRANBERRYPLANK_ENTRY_KEY_VALUE_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Outcome of a call to the store.
enum class KvStatus {
  kOk,
  kConflict,   ///< A precondition did not hold. Nothing was done.
  kCompacted,  ///< The store no longer has the history that a watch requested.
  kRefused,    ///< Nothing was done, and the call will not be applied later.
  kUnknown,    ///< No complete answer. A write may have been applied, or may be applied later.
};

std::string_view ToString(KvStatus status);

/// An item of the store.
struct KvItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< Revision of the last change; 0 if the key does not exist.
  bool deleted = false;        ///< In a watch event: the key was removed.
};

/// Reply to a read.
struct KvReadReply {
  KvStatus status = KvStatus::kUnknown;
  std::vector<KvItem> items;
  std::uint64_t revision = 0;  ///< Revision of the store that the reply reflects.
  bool more = false;           ///< The range has further items after the last one returned.
};

/// Reply to a transaction.
struct KvCommitReply {
  KvStatus status = KvStatus::kUnknown;
  std::uint64_t revision = 0;
  std::vector<KvItem> current;  ///< On a conflict: the current items of the preconditions.
};

/// Requires that a key has a revision. Revision 0 means that the key must not exist.
struct KvPrecondition {
  std::string key;
  std::uint64_t revision = 0;
};

struct KvWrite {
  std::string key;
  std::string value;
};

/// Writes and removals that are applied atomically.
struct KvTransaction {
  std::vector<KvPrecondition> preconditions;
  std::vector<KvWrite> writes;
  std::vector<std::string> removals;
};

/// Interface to the platform's key-value store. Each callback runs once, from the event loop and
/// never from inside the call.
class KeyValueStore {
 public:
  using ReadCallback = std::function<void(TimePoint now, const KvReadReply& reply)>;
  using CommitCallback = std::function<void(TimePoint now, const KvCommitReply& reply)>;

  virtual ~KeyValueStore() = default;
  /// Reads one key. A key that does not exist yields no item.
  virtual void Get(std::string_view key, ReadCallback done) = 0;
  /// Reads a page of the items whose keys begin with `prefix`, after the key `after`.
  virtual void Range(std::string_view prefix, std::string_view after, ReadCallback done) = 0;
  /// Returns the changes after `revision` as soon as there are any, or an empty reply after `wait`.
  virtual void Watch(std::string_view prefix, std::uint64_t revision, Duration wait,
                     ReadCallback done) = 0;
  virtual void Commit(const KvTransaction& transaction, CommitCallback done) = 0;
};

/// Maximum number of writes, removals and preconditions in a transaction.
constexpr std::size_t kMaxTransactionEntries = 32;

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_KEY_VALUE_STORE_H_
