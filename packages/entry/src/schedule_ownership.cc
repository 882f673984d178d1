#include "cranberryplank/entry/schedule_ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr Duration kReadRetry{150};
/// An owner reads the record when no transaction has confirmed its ownership for this long.
constexpr Duration kConfirmInterval{700};
/// A read that was sent in an outage, or on a connection that went silent, stays unanswered until
/// its timeout. After this time another one is sent beside it.
constexpr Duration kHangingRead{300};
constexpr int kMaxReads = 2;
/// Minimum time between two reads for decisions that wait for a confirmation.
constexpr Duration kRequestedReadInterval{50};

}  // namespace

std::string EncodeOwnership(const OwnershipRecord& record) {
  json earlier = json::array();
  for (const EarlierOwner& owner : record.earlier) {
    earlier.push_back({owner.vm, owner.address, owner.incarnation, owner.epoch});
  }
  return json{{"owner", record.owner},
              {"address", record.address},
              {"incarnation", record.incarnation},
              {"generation", record.generation},
              {"earlier", earlier}}
      .dump();
}

std::optional<OwnershipRecord> DecodeOwnership(std::string_view value) {
  const json fields = json::parse(value, nullptr, false);
  try {
    OwnershipRecord record{fields.at("owner"),
                           fields.at("address"),
                           fields.at("incarnation"),
                           fields.at("generation"),
                           {}};
    if (!fields.contains("earlier")) {
      record.earlier.push_back(UnknownOwner(0));
      return record;
    }
    for (const json& row : fields.at("earlier")) {
      record.earlier.push_back({row.at(0), row.at(1), row.at(2), row.at(3)});
    }
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

ScheduleOwnership::ScheduleOwnership(KeyValueStore* store, std::string key, OwnershipRecord self)
    : m_store(store), m_key(std::move(key)), m_self(std::move(self)) {}

bool ScheduleOwnership::is_own_stale_record() const {
  return m_record && m_record->owner == m_self.owner && !m_owned;
}

void ScheduleOwnership::Tick(TimePoint now) {
  const bool unconfirmed = m_owned && now - m_confirmed > kConfirmInterval;
  if ((!m_known || unconfirmed) && now >= m_next_read) {
    Read(now);
  }
  if (m_owned && !m_stepped_down && now >= authority_until()) {
    Lose(now, "the store has not confirmed the ownership in time");
  }
}

void ScheduleOwnership::RequestConfirmation(TimePoint now) {
  if (now >= m_next_requested_read) {
    m_next_requested_read = now + kRequestedReadInterval;
    Read(now);
  }
}

void ScheduleOwnership::Read(TimePoint now) {
  const bool hangs = now - m_read_sent >= kHangingRead;
  if (m_reads_in_flight >= kMaxReads || (m_reads_in_flight > 0 && !hangs)) {
    return;
  }
  ++m_reads_in_flight;
  m_read_sent = m_next_read = now;
  m_next_read += kReadRetry;
  m_store->Get(m_key, [this, now](TimePoint at, const KvReadReply& reply) {
    --m_reads_in_flight;
    if (reply.status != KvStatus::kOk || now < m_read_answered) {
      return;
    }
    m_read_answered = now;
    m_store_answered = std::max(m_store_answered, now);
    OnRecord(at, now, reply.items.empty() ? KvItem{} : reply.items.front());
  });
}

void ScheduleOwnership::OnRecord(TimePoint now, TimePoint sent, const KvItem& item) {
  if (m_known && item.revision < m_revision) {
    return;  // The reply to a claim arrived before this older one.
  }
  const bool changed = !m_known || item.revision != m_revision;
  m_known = true;
  m_revision = item.revision;
  m_record = item.revision == 0 ? std::nullopt : DecodeOwnership(item.value);
  if (changed) {
    m_record_changed_at = now;
    LogLine(LogLevel::kInfo, "owner_known")
        .Field("owner", m_record ? m_record->owner : "")
        .Field("revision", m_revision);
  }
  const bool mine = m_record && m_record->incarnation == m_self.incarnation;
  if (mine && !m_owned && changed && m_revision > m_lost_revision) {
    Acquire(now, sent);
  } else if (mine && m_owned) {
    Confirm(sent);
  } else if (!mine && m_owned) {
    Lose(now, "the record names another owner");
  }
}

void ScheduleOwnership::Claim(TimePoint now) {
  if (m_claiming || m_owned || !m_known) {
    return;
  }
  m_claiming = true;
  OwnershipRecord claim = m_self;
  claim.earlier = OwnersBefore(now);
  claim.generation = m_record ? m_record->generation + 1 : 0;
  KvTransaction transaction;
  transaction.preconditions.push_back({m_key, m_revision});
  transaction.writes.push_back({m_key, EncodeOwnership(claim)});
  transaction.writes.push_back({std::string(kCursorKey), "0"});
  LogLine(LogLevel::kInfo, "claim")
      .Field("generation", claim.generation)
      .Field("revision", m_revision)
      .Field("from", m_record ? m_record->owner : "");
  m_store->Commit(transaction, [this, now, claim](TimePoint at, const KvCommitReply& reply) {
    m_claiming = false;
    OnClaimReply(at, now, claim, reply);
  });
}

std::vector<EarlierOwner> ScheduleOwnership::OwnersBefore(TimePoint now) const {
  if (m_revision == 0) {
    return {};
  }
  if (!m_record) {
    return {UnknownOwner(m_revision)};  // The record could not be read.
  }
  return OwnersBeforeClaim(
      {m_record->owner, m_record->address, m_record->incarnation, m_revision}, m_record->earlier,
      std::chrono::duration_cast<Duration>(now - m_record_changed_at), kAuthority);
}

void ScheduleOwnership::OnClaimReply(TimePoint now, TimePoint sent, const OwnershipRecord& claim,
                                     const KvCommitReply& reply) {
  LogLine(LogLevel::kInfo, "claim_answered").Field("status", ToString(reply.status));
  if (reply.status == KvStatus::kOk) {
    m_store_answered = std::max(m_store_answered, sent);
    OnClaimSucceeded(now, sent, claim, reply.revision);
  } else if (reply.status == KvStatus::kConflict && !reply.current.empty()) {
    m_store_answered = std::max(m_store_answered, sent);
    OnRecord(now, sent, reply.current.front());
  } else {
    m_known = false;  // A claim without an answer may still succeed, so the record is read again.
    m_next_read = now + kReadRetry;
  }
}

void ScheduleOwnership::OnClaimSucceeded(TimePoint now, TimePoint sent,
                                         const OwnershipRecord& claim, std::uint64_t revision) {
  if (m_owned) {
    Confirm(sent);  // A read returned the claim before this reply arrived.
    return;
  }
  if (revision <= m_lost_revision) {
    return;  // A read returned the claim earlier, and the ownership was lost since.
  }
  m_revision = revision;
  m_record = claim;
  m_record_changed_at = now;
  Acquire(now, sent);
}

void ScheduleOwnership::Acquire(TimePoint now, TimePoint sent) {
  m_owned = true;
  m_stepped_down = false;
  m_confirmed = sent;
  LogLine(LogLevel::kInfo, "duty_acquired")
      .Field("epoch", m_revision)
      .Field("generation", m_record->generation);
  m_acquired.emit(now);
}

void ScheduleOwnership::Confirm(TimePoint sent) {
  m_confirmed = std::max(m_confirmed, sent);
  m_store_answered = std::max(m_store_answered, sent);
}

void ScheduleOwnership::Lose(TimePoint now, std::string_view reason) {
  if (!m_owned) {
    return;
  }
  m_owned = false;
  m_lost_revision = m_revision;
  m_known = false;
  m_next_read = now;
  LogLine(LogLevel::kWarning, "duty_lost").Field("reason", reason).Field("epoch", m_revision);
  m_lost.emit(now);
}

}  // namespace cranberryplank
