#include "cranberryplank/entry/watched_prefix.h"

#include <algorithm>
#include <exception>
#include <utility>
#include <vector>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

constexpr Duration kRetryInterval{100};

}  // namespace

std::string_view ToString(KvStatus status) {
  switch (status) {
    case KvStatus::kOk:
      return "ok";
    case KvStatus::kConflict:
      return "conflict";
    case KvStatus::kCompacted:
      return "compacted";
    case KvStatus::kRefused:
      return "refused";
    case KvStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

WatchedPrefix::WatchedPrefix(KeyValueStore* store, std::string prefix, Duration wait,
                             ItemCallback changed)
    : m_store(store), m_prefix(std::move(prefix)), m_wait(wait), m_changed(std::move(changed)) {}

void WatchedPrefix::Start(TimePoint now) {
  m_running = true;
  Refresh(now);
}

void WatchedPrefix::Stop() {
  m_running = m_loaded = m_in_flight = false;
  m_lifetime.reset();
  m_revisions.clear();
}

void WatchedPrefix::Refresh(TimePoint now) {
  if (m_loading && m_in_flight) {
    return;  // On a slow link, a load that each refresh restarts would never finish.
  }
  m_lifetime = std::make_shared<Lifetime>();
  m_loading = true;
  m_last_key.clear();
  m_listed.clear();
  m_load_sent = now;
  ReadPage(now);
}

void WatchedPrefix::Tick(TimePoint now) {
  if (!m_running || m_in_flight || now < m_retry_at) {
    return;
  }
  if (m_loading) {
    ReadPage(now);
  } else {
    SendWatch(now);
  }
}

void WatchedPrefix::ReadPage(TimePoint now) {
  m_in_flight = true;
  const std::weak_ptr<Lifetime> lifetime = m_lifetime;
  if (m_last_key.empty()) {
    m_load_sent = now;
  }
  m_store->Range(m_prefix, m_last_key,
                 [this, lifetime, now](TimePoint at, const KvReadReply& reply) {
                   if (!lifetime.expired()) {
                     OnPage(at, now, reply);
                   }
                 });
}

void WatchedPrefix::OnPage(TimePoint now, TimePoint /*sent*/, const KvReadReply& reply) {
  m_in_flight = false;
  if (reply.status != KvStatus::kOk) {
    Fail(now, reply.status);
    return;
  }
  if (m_last_key.empty()) {
    m_load_revision = reply.revision;
  }
  for (const KvItem& item : reply.items) {
    m_listed[item.key] = item.revision;
    m_last_key = item.key;
    Apply(now, item);
  }
  if (reply.more && !reply.items.empty()) {
    ReadPage(now);
    return;
  }
  FinishLoad(now);
}

void WatchedPrefix::FinishLoad(TimePoint now) {
  m_loading = false;
  std::vector<std::string> missing;
  for (const auto& [key, revision] : m_revisions) {
    if (!m_listed.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    KvItem item;
    item.key = key;
    item.revision = m_load_revision;
    item.deleted = true;
    Apply(now, item);
  }
  m_revision = m_load_revision;
  m_confirmed_at = m_load_sent;
  if (m_failing || !m_loaded) {
    LogLine(LogLevel::kInfo, "store_prefix_loaded")
        .Field("prefix", m_prefix)
        .Field("items", m_revisions.size())
        .Field("revision", m_revision);
  }
  m_failing = false;
  m_loaded = true;
  SendWatch(now);
}

void WatchedPrefix::SendWatch(TimePoint now) {
  m_in_flight = true;
  const std::weak_ptr<Lifetime> lifetime = m_lifetime;
  m_store->Watch(m_prefix, m_revision, m_wait,
                 [this, lifetime, now](TimePoint at, const KvReadReply& reply) {
                   if (!lifetime.expired()) {
                     OnWatch(at, now, reply);
                   }
                 });
}

void WatchedPrefix::OnWatch(TimePoint now, TimePoint sent, const KvReadReply& reply) {
  m_in_flight = false;
  if (reply.status == KvStatus::kCompacted) {
    LogLine(LogLevel::kInfo, "store_history_gone").Field("prefix", m_prefix);
    Refresh(now);
    return;
  }
  if (reply.status != KvStatus::kOk) {
    Fail(now, reply.status);
    return;
  }
  if (m_failing) {
    LogLine(LogLevel::kInfo, "store_watch_regained").Field("prefix", m_prefix);
    m_failing = false;
  }
  for (const KvItem& item : reply.items) {
    Apply(now, item);
  }
  m_revision = std::max(m_revision, reply.revision);
  m_confirmed_at = sent;
  SendWatch(now);
}

void WatchedPrefix::Apply(TimePoint now, const KvItem& item) {
  const auto held = m_revisions.find(item.key);
  if (item.deleted) {
    if (held != m_revisions.end() && held->second <= item.revision) {
      m_revisions.erase(held);
      Report(now, item);
    }
    return;
  }
  if (held != m_revisions.end() && held->second >= item.revision) {
    return;
  }
  m_revisions[item.key] = item.revision;
  Report(now, item);
}

void WatchedPrefix::Report(TimePoint now, const KvItem& item) {
  try {
    m_changed(now, item);
  } catch (const std::exception& error) {
    // Otherwise the watch would return to the same item for ever and miss all later changes.
    LogLine(LogLevel::kError, "item_not_handled")
        .Field("key", item.key)
        .Field("reason", error.what());
  }
}

void WatchedPrefix::Fail(TimePoint now, KvStatus status) {
  if (!m_failing) {
    LogLine(LogLevel::kWarning, "store_watch_lost")
        .Field("prefix", m_prefix)
        .Field("status", ToString(status));
  }
  m_failing = true;
  m_retry_at = now + kRetryInterval;
}

}  // namespace cranberryplank
