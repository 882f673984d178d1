#include "cranberryplank/entry/schedule_claim.h"

#include <algorithm>

#include "cranberryplank/model/text.h"

namespace cranberryplank {

namespace {

constexpr Duration kClaimJitter{120};
/// An owner that has not answered for this long is watched by what it writes to the store.
constexpr Duration kSilenceBeforeCursor{400};
constexpr Duration kCursorReadInterval{200};

/// Returns the epoch of the owner that wrote the cursor; 0 if a claim wrote it.
std::uint64_t EpochOfCursor(std::string_view value) {
  return ParseNumber<std::uint64_t>(value.substr(0, value.find(kCursorSeparator))).value_or(0);
}

}  // namespace

void ScheduleClaim::Reset() {
  m_claim_at.reset();
  m_asked_to_take_over = false;
}

void ScheduleClaim::ReadCursorOfSilentOwner(TimePoint now, Duration silence) {
  if (silence < kSilenceBeforeCursor) {
    m_cursor_seen.reset();
    m_owner_wrote_at.reset();
    return;
  }
  if (m_reading_cursor || now < m_next_cursor_read) {
    return;
  }
  m_reading_cursor = true;
  m_next_cursor_read = now + kCursorReadInterval;
  m_store->Get(kCursorKey, [this, now](TimePoint, const KvReadReply& reply) {
    m_reading_cursor = false;
    if (reply.status != KvStatus::kOk || reply.items.empty()) {
      return;
    }
    OnCursor(now, reply.items.front());
  });
}

void ScheduleClaim::OnCursor(TimePoint now, const KvItem& cursor) {
  const std::uint64_t epoch = m_ownership->revision();
  if (EpochOfCursor(cursor.value) == epoch) {
    if (m_cursor_seen && *m_cursor_seen != cursor.revision) {
      m_owner_wrote_at = now;
    }
  } else if (cursor.revision > epoch) {
    // Another daemon has claimed since the known record was written.
    m_ownership->Read(now);
  }
  m_cursor_seen = cursor.revision;
}

ClaimInput ScheduleClaim::InputAt(TimePoint now, TimePoint store_answered) {
  ClaimInput input;
  input.owner_known = m_ownership->record().has_value();
  input.own_stale_record = m_ownership->is_own_stale_record();
  input.denies_ownership = m_owner_client->denies_ownership();
  input.refused = m_owner_client->refused();
  input.owner_store_unreachable = m_owner_client->owner_store_unreachable();
  input.silence = m_owner_client->silence(now);
  ReadCursorOfSilentOwner(now, input.silence);
  if (m_owner_wrote_at) {
    input.since_write = std::chrono::duration_cast<Duration>(now - *m_owner_wrote_at);
  }
  input.known_for = std::chrono::duration_cast<Duration>(now - m_ownership->record_changed_at());
  const TimePoint answered = std::max(m_ownership->store_answered(), store_answered);
  input.store_age = std::chrono::duration_cast<Duration>(now - answered);
  return input;
}

void ScheduleClaim::Tick(TimePoint now, double cores, TimePoint store_answered) {
  if (m_ownership->owned() || !m_ownership->known()) {
    return;
  }
  const ClaimInput input = InputAt(now, store_answered);
  if (!m_asked_to_take_over && !ShouldClaim(input)) {
    m_claim_at.reset();
    return;
  }
  if (!m_claim_at) {
    const auto jitter =
        m_asked_to_take_over || input.own_stale_record ? 0 : m_random->Below(kClaimJitter.count());
    const Duration delay =
        ClaimDelay(cores, m_owner_client->strongest_cores(), m_ownership->record().has_value());
    m_claim_at = now + delay + Duration(static_cast<Duration::rep>(jitter));
  }
  if (now >= *m_claim_at) {
    m_claim_at.reset();
    m_asked_to_take_over = false;
    m_ownership->Claim(now);
  }
}

}  // namespace cranberryplank
