#include "cranberryplank/control/store_document.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryplank/model/invariant.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr std::string_view kWriterField = "writer";
constexpr std::string_view kContentField = "content";
constexpr std::string_view kEmptyContent = "{}";

std::string Wrap(std::string_view nonce, std::string_view content) {
  json value = json::object();
  value[std::string(kWriterField)] = nonce;
  value[std::string(kContentField)] = json::parse(content.empty() ? kEmptyContent : content);
  return value.dump();
}

bool Unwrap(std::string_view text, std::string* nonce, std::string* content) {
  try {
    const json value = json::parse(text);
    value.at(std::string(kWriterField)).get_to(*nonce);
    *content = value.at(std::string(kContentField)).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

}  // namespace

StoreDocument::StoreDocument(Store* store, RandomSource* random, std::string key, Duration retry)
    : m_store(store), m_random(random), m_key(std::move(key)), m_retry(retry) {}

std::optional<std::string> StoreDocument::ContentOf(std::string_view text) {
  std::string nonce;
  std::string content;
  return Unwrap(text, &nonce, &content) ? std::optional(content) : std::nullopt;
}

void StoreDocument::Refresh(TimePoint now) {
  if (m_phase != Phase::kIdle) {
    return;
  }
  m_phase = Phase::kReading;
  SendRead(now);
}

void StoreDocument::Swap(TimePoint now, std::string_view content) {
  CP_INVARIANT(Idle() && m_current, "key={}", m_key);
  m_pending_content = content;
  m_pending_nonce = m_random->Nonce();
  m_sent_nonce = m_pending_nonce;
  SendWrite(now, content, Phase::kWriting);
}

void StoreDocument::KeepWatching(TimePoint now, Duration wait) {
  if (m_watching || (m_watch_at && now < *m_watch_at)) {
    return;
  }
  m_watching = true;
  m_store->Watch(m_key, m_watch_index, wait,
                 [this, alive = std::weak_ptr<bool>(m_alive)](TimePoint answered,
                                                              const StoreReadReply& reply) {
                   if (!alive.expired()) {
                     OnWatch(answered, reply);
                   }
                 });
}

void StoreDocument::Tick(TimePoint now) {
  if (!m_retry_at || now < *m_retry_at) {
    return;
  }
  m_retry_at.reset();
  if (m_phase == Phase::kResolving) {
    SendRead(now);
  } else if (m_phase == Phase::kBackoff) {
    m_phase = Phase::kIdle;
  }
}

void StoreDocument::SendRead(TimePoint now) {
  m_store->Read(m_key, [this, now, alive = std::weak_ptr<bool>(m_alive)](
                           TimePoint answered, const StoreReadReply& reply) {
    if (!alive.expired()) {
      OnRead(answered, now, reply);
    }
  });
}

void StoreDocument::SendWrite(TimePoint now, std::string_view content, Phase phase) {
  m_phase = phase;
  m_sent = now;
  m_store->CompareAndSwap(m_key, Wrap(m_sent_nonce, content), m_index,
                          [this, alive = std::weak_ptr<bool>(m_alive)](
                              TimePoint answered, const StoreWriteReply& reply) {
                            if (!alive.expired()) {
                              OnWrite(answered, reply);
                            }
                          });
}

void StoreDocument::OnRead(TimePoint now, TimePoint sent, const StoreReadReply& reply) {
  const bool resolving = m_phase == Phase::kResolving;
  const std::uint64_t old_index = m_index;
  if (reply.status != StoreStatus::kOk || !Accept(sent, reply)) {
    m_phase = resolving ? Phase::kResolving : Phase::kBackoff;
    m_retry_at = now + m_retry;
    return;
  }
  if (resolving && m_index == old_index) {
    // The write may still arrive. Once either the no-op or the write has succeeded, the other can
    // no longer take effect.
    m_sent_nonce = m_random->Nonce();
    SendWrite(now, m_content, Phase::kFencing);
    return;
  }
  m_phase = Phase::kIdle;
  if (resolving) {
    m_last_recorded = m_nonce == m_pending_nonce;
  }
  m_resolved.emit(now);
}

void StoreDocument::OnWrite(TimePoint now, const StoreWriteReply& reply) {
  const bool fencing = m_phase == Phase::kFencing;
  switch (reply.status) {
    case StoreStatus::kOk:
      if (!fencing) {
        m_content = m_pending_content;
      }
      m_nonce = m_sent_nonce;
      m_confirmed = m_sent;
      m_last_recorded = !fencing;
      m_current = false;  // The next read returns the new version.
      m_phase = Phase::kIdle;
      m_resolved.emit(now);
      return;
    case StoreStatus::kConflict:
      if (fencing) {
        m_phase = Phase::kResolving;
        SendRead(now);
        return;
      }
      m_last_recorded = false;
      m_current = false;
      m_phase = Phase::kIdle;
      m_resolved.emit(now);
      return;
    case StoreStatus::kRefused:
      m_retry_at = now + m_retry;
      if (fencing) {
        m_phase = Phase::kResolving;
        return;
      }
      m_last_recorded = false;
      m_phase = Phase::kBackoff;
      m_resolved.emit(now);
      return;
    case StoreStatus::kUnknown:
      m_phase = Phase::kResolving;
      if (fencing) {
        m_retry_at = now + m_retry;
        return;
      }
      SendRead(now);
      return;
  }
}

void StoreDocument::OnWatch(TimePoint now, const StoreReadReply& reply) {
  m_watching = false;
  if (reply.status != StoreStatus::kOk) {
    m_watch_at = now + m_retry;
    return;
  }
  m_watch_index = reply.watch_index;
  const bool open = m_phase != Phase::kIdle && m_phase != Phase::kBackoff;
  if (open || !reply.found || reply.index <= m_index) {
    return;
  }
  // The answer may be delayed, so it confirms the content but not the time at which it was the
  // newest.
  if (Accept(m_confirmed, reply)) {
    m_resolved.emit(now);
  }
}

bool StoreDocument::Accept(std::optional<TimePoint> confirmed, const StoreReadReply& reply) {
  std::string nonce;
  std::string content;
  if (reply.found && !Unwrap(reply.value, &nonce, &content)) {
    return false;
  }
  CP_INVARIANT(reply.index >= m_index, "key={} index={} known={}", m_key, reply.index, m_index);
  m_content = std::move(content);
  m_nonce = std::move(nonce);
  m_index = reply.index;
  m_current = true;
  m_confirmed = confirmed;
  return true;
}

}  // namespace cranberryplank
