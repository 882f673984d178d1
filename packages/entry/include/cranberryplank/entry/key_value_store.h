#ifndef CRANBERRYPLANK_ENTRY_KEY_VALUE_STORE_H_
#define CRANBERRYPLANK_ENTRY_KEY_VALUE_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// How a call to the store ended.
enum class KvStatus {
  kOk,
  kConflict,   ///< A precondition did not hold: nothing was done.
  kCompacted,  ///< The history that a watch asked for is gone.
  kRefused,    ///< Nothing was done, and the call will not be carried out later.
  kUnknown,    ///< No whole answer: a write may have been done, or may be done later.
};

std::string_view ToString(KvStatus status);

/// An item of the store.
struct KvItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< Of the last change; 0 if the key does not exist.
  bool deleted = false;        ///< In an event of a watch: the key was removed.
};

/// Answer to a read.
struct KvReadReply {
  KvStatus status = KvStatus::kUnknown;
  std::vector<KvItem> items;
  std::uint64_t revision = 0;  ///< The store's revision that the answer reflects.
  bool more = false;           ///< A range has further items after the last one.
};

/// Answer to a transaction.
struct KvCommitReply {
  KvStatus status = KvStatus::kUnknown;
  std::uint64_t revision = 0;
  std::vector<KvItem> current;  ///< On a conflict: the items of the preconditions.
};

/// A key that must have a revision; revision 0 means that it must not exist.
struct KvPrecondition {
  std::string key;
  std::uint64_t revision = 0;
};

struct KvWrite {
  std::string key;
  std::string value;
};

/// Writes that happen all or not at all.
struct KvTransaction {
  std::vector<KvPrecondition> preconditions;
  std::vector<KvWrite> writes;
  std::vector<std::string> removals;
};

/// The platform's store as the product uses it. Each callback runs once, from the event loop and
/// never from inside the call.
class KeyValueStore {
 public:
  using ReadCallback = std::function<void(TimePoint now, const KvReadReply& reply)>;
  using CommitCallback = std::function<void(TimePoint now, const KvCommitReply& reply)>;

  virtual ~KeyValueStore() = default;
  /// Reads one key; a key that does not exist gives no item.
  virtual void Get(std::string_view key, ReadCallback done) = 0;
  /// Reads a page of the items that begin with `prefix`, after the key `after`.
  virtual void Range(std::string_view prefix, std::string_view after, ReadCallback done) = 0;
  /// Answers with the changes after `revision`, at once or as they come, at the latest after
  /// `wait` with none.
  virtual void Watch(std::string_view prefix, std::uint64_t revision, Duration wait,
                     ReadCallback done) = 0;
  virtual void Commit(const KvTransaction& transaction, CommitCallback done) = 0;
};

/// Most writes, removals and preconditions in a transaction.
constexpr std::size_t kMaxTransactionEntries = 32;

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_KEY_VALUE_STORE_H_
