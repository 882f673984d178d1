#include "cranberryplank/support/key_table.h"

#include <utility>
#include <vector>

namespace cranberryplank {

KeyEntry KeyTable::Get(std::string_view key) const {
  const auto it = m_entries.find(key);
  return it == m_entries.end() ? KeyEntry{} : it->second;
}

bool KeyTable::CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index) {
  if (Get(key).index != index) {
    return false;
  }
  Put(key, value);
  return true;
}

void KeyTable::Put(std::string_view key, std::string_view value) {
  ++m_last_index;
  ++m_writes;
  const KeyEntry entry{true, std::string(value), m_last_index, m_last_index};
  m_entries[std::string(key)] = entry;
  std::vector<Watcher> due;
  std::erase_if(m_watches, [&](auto& item) {
    if (item.second.key != key) {
      return false;
    }
    due.push_back(std::move(item.second.watcher));
    return true;
  });
  for (const Watcher& watcher : due) {
    watcher(entry);
  }
}

std::uint64_t KeyTable::Watch(std::string_view key, Watcher watcher) {
  ++m_last_watch;
  m_watches.emplace(m_last_watch, PendingWatch{std::string(key), std::move(watcher)});
  return m_last_watch;
}

bool KeyTable::Unwatch(std::uint64_t id) { return m_watches.erase(id) > 0; }

}  // namespace cranberryplank
