#ifndef CRANBERRYPLANK_SUPPORT_KEY_TABLE_H_
#define CRANBERRYPLANK_SUPPORT_KEY_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cranberryplank {

/// Value of a key with Consul's index numbers.
struct KeyEntry {
  bool found = false;
  std::string value;
  std::uint64_t index = 0;        ///< Version of the key; 0 if it is absent.
  std::uint64_t watch_index = 1;  ///< Never 0, because a watch on index 0 returns immediately.
};

/// Contents of the fake store: versioned keys with compare-and-swap and watches.
class KeyTable {
 public:
  using Watcher = std::function<void(const KeyEntry& entry)>;

  KeyEntry Get(std::string_view key) const;

  /// Writes `value` if the key's version is `index`. @return whether it was written.
  bool CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index);

  /// Writes `value` unconditionally.
  void Put(std::string_view key, std::string_view value);

  /// Calls `watcher` once at the next change of `key`. @return id for Unwatch.
  std::uint64_t Watch(std::string_view key, Watcher watcher);

  /// @return false if the watcher has already been called.
  bool Unwatch(std::uint64_t id);

  /// Number of writes that took effect.
  std::uint64_t writes() const { return m_writes; }

 private:
  struct PendingWatch {
    std::string key;
    Watcher watcher;
  };

  std::map<std::string, KeyEntry, std::less<>> m_entries;
  std::map<std::uint64_t, PendingWatch> m_watches;
  std::uint64_t m_last_index = 1;
  std::uint64_t m_last_watch = 0;
  std::uint64_t m_writes = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_KEY_TABLE_H_
