#ifndef CRANBERRYPLANK_ENTRY_WATCHED_PREFIX_H_
#define CRANBERRYPLANK_ENTRY_WATCHED_PREFIX_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cranberryplank/entry/key_value_store.h"

namespace cranberryplank {

/// Keeps a copy of all items under a prefix. It loads them once, then watches for changes, and
/// reloads them when the store's history does not reach back far enough. It also reports how old
/// the copy may be.
class WatchedPrefix {
 public:
  using ItemCallback = std::function<void(TimePoint now, const KvItem& item)>;

  /// @param wait longest time that a watch waits for a change; bounds the age of the copy
  WatchedPrefix(KeyValueStore* store, std::string prefix, Duration wait, ItemCallback changed);
  WatchedPrefix(const WatchedPrefix&) = delete;
  WatchedPrefix& operator=(const WatchedPrefix&) = delete;

  /// Starts to watch the prefix until `Stop`. May be called again after `Stop`.
  void Start(TimePoint now);
  void Stop();
  /// Sets the longest time that a watch waits for a change, from the next watch on.
  void SetWait(Duration wait) { m_wait = wait; }
  /// Reloads all items without waiting for the watch. A load in progress continues.
  void Refresh(TimePoint now);
  /// Retries failed calls. Must be called regularly.
  void Tick(TimePoint now);

  bool loaded() const { return m_loaded; }
  /// Sending time of the newest call that the store answered. The copy holds every change that was
  /// acknowledged before this time.
  TimePoint confirmed_at() const { return m_confirmed_at; }

 private:
  struct Lifetime {};

  void ReadPage(TimePoint now);
  void OnPage(TimePoint now, TimePoint sent, const KvReadReply& reply);
  void SendWatch(TimePoint now);
  void OnWatch(TimePoint now, TimePoint sent, const KvReadReply& reply);
  void FinishLoad(TimePoint now);
  void Apply(TimePoint now, const KvItem& item);
  /// Calls the handler of changes. An item that it can't handle does not hold up the others.
  void Report(TimePoint now, const KvItem& item);
  void Fail(TimePoint now, KvStatus status);

  KeyValueStore* m_store;
  std::string m_prefix;
  Duration m_wait;
  ItemCallback m_changed;
  std::shared_ptr<Lifetime> m_lifetime;  ///< Replaced on a reload, to ignore older replies.
  bool m_running = false;
  bool m_loading = false;
  bool m_loaded = false;
  bool m_in_flight = false;
  bool m_failing = false;
  TimePoint m_retry_at{};
  TimePoint m_load_sent{};
  TimePoint m_confirmed_at{};
  std::uint64_t m_revision = 0;       ///< The watch continues after this revision.
  std::uint64_t m_load_revision = 0;  ///< Revision of the first page of a load.
  std::string m_last_key;
  std::map<std::string, std::uint64_t> m_revisions;  ///< Revisions of the items held, by key.
  std::map<std::string, std::uint64_t> m_listed;  ///< Revisions of the items listed during a load.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_WATCHED_PREFIX_H_
