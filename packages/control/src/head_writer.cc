#include "head_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cranberryplank {

namespace {

/// A change that has not reached the head's swap within this time fails as unavailable.
constexpr Duration kSubmitTimeout{5'000};
constexpr Duration kRetryInterval{300};

/// Swaps lost to other writers before a change is reported as a conflict.
constexpr int kMaxLostRaces = 8;

/// Write records of former daemons kept in the head, newest first. A writer that is removed while
/// the outcome of its write is unknown can find it until this many other former daemons have
/// written.
constexpr std::size_t kMaxFormerWriters = 8;

const WriteRecord* FindWrite(const Head& head, std::string_view incarnation) {
  const auto found =
      std::find_if(head.last_writes.begin(), head.last_writes.end(),
                   [&](const WriteRecord& write) { return write.incarnation == incarnation; });
  return found == head.last_writes.end() ? nullptr : &*found;
}

/// Drops the oldest write records of former daemons.
void TrimWrites(Head* head) {
  std::sort(head->last_writes.begin(), head->last_writes.end(),
            [](const WriteRecord& a, const WriteRecord& b) { return a.revision > b.revision; });
  std::size_t former = 0;
  std::erase_if(head->last_writes, [&](const WriteRecord& write) {
    return head->FindIncarnation(write.incarnation) == nullptr && ++former > kMaxFormerWriters;
  });
}

/// Returns whether the record of a write that made `revision` may have been dropped from `head`.
bool MayBeDropped(const Head& head, std::uint64_t revision) {
  std::size_t newer = 0;
  for (const WriteRecord& write : head.last_writes) {
    if (head.FindIncarnation(write.incarnation) == nullptr && write.revision > revision) {
      ++newer;
    }
  }
  return newer >= kMaxFormerWriters;
}

}  // namespace

HeadWriter::HeadWriter(std::string incarnation, Store& store, HeadReader& reader,
                       RandomSource& random)
    : m_incarnation(std::move(incarnation)), m_store(store), m_reader(reader), m_random(random) {}

void HeadWriter::Tick(TimePoint now) {
  if (m_stage == Stage::kBase && !m_failure.empty()) {
    ExpireQueued(now);
  }
  Step(now);
}

void HeadWriter::Submit(TimePoint now, HeadControl::FleetEdit edit,
                        HeadControl::ChangeCallback done) {
  m_changes.push_back(Change{std::move(edit), nullptr, std::move(done), now});
}

void HeadWriter::SubmitRegistration(TimePoint now, RegistrationEdit edit,
                                    HeadControl::ChangeCallback done) {
  m_changes.push_back(Change{nullptr, std::move(edit), std::move(done), now});
}

void HeadWriter::Step(TimePoint now) {
  if (m_changes.empty() || m_read_pending) {
    return;
  }
  if (m_stage == Stage::kIdle) {
    m_stage = Stage::kBase;
  }
  if (now < m_next_call) {
    return;
  }
  if (m_stage == Stage::kBase) {
    if (HasBase()) {
      BuildAttempt(now);
    } else if (!m_reader.store_head() ||
               m_reader.store_head()->head.revision <
                   std::max(m_min_base_revision, m_reader.newest_revision())) {
      ReadBase(now);
    } else if (now >= m_changes.front().submitted + kSubmitTimeout) {
      Fail(now, m_reader.undecodable().empty() ? "the newest configuration could not be read whole"
                                               : m_reader.undecodable());
    }
  } else if (m_stage == Stage::kReadBack) {
    ReadBack(now);
  }
}

void HeadWriter::ExpireQueued(TimePoint now) {
  // Callbacks may submit again, so the queue is not iterated while they run.
  std::deque<Change> expired;
  std::erase_if(m_changes, [&](Change& change) {
    if (now < change.submitted + kSubmitTimeout) {
      return false;
    }
    expired.push_back(std::move(change));
    return true;
  });
  if (m_changes.empty()) {
    m_stage = Stage::kIdle;
  }
  for (const Change& change : expired) {
    change.done(now, ChangeResult{ChangeOutcome::kUnavailable, 0, m_failure});
  }
}

void HeadWriter::Fail(TimePoint now, std::string reason) {
  Finish(now, ChangeResult{ChangeOutcome::kUnavailable, 0, std::move(reason)});
}

bool HeadWriter::HasBase() const {
  const std::optional<HeadReader::StoreHead>& base = m_reader.store_head();
  return base && base->head.revision >= std::max(m_min_base_revision, m_reader.newest_revision()) &&
         base->head.revision == m_reader.head().revision;
}

void HeadWriter::ReadBase(TimePoint now) {
  m_read_pending = true;
  m_reader.Read(
      now, [this](TimePoint received, const HeadReader::StoreHead* head, std::string_view reason) {
        m_read_pending = false;
        m_failure = head ? std::string() : fmt::format("the store gave no answer: {}", reason);
        if (!head) {
          RetryLater(received, Stage::kBase);
          return;
        }
        Step(received);
      });
}

void HeadWriter::BuildAttempt(TimePoint now) {
  const HeadReader::StoreHead& base = *m_reader.store_head();
  Attempt attempt;
  attempt.base = base;
  attempt.head = Successor(base.head, NewNonce());
  const bool edited =
      m_changes.front().fleet_edit ? EditFleet(now, &attempt) : EditRegistration(now, &attempt);
  if (!edited) {
    return;
  }
  TrimWrites(&attempt.head);
  m_attempt = std::move(attempt);
  WriteParts(now);
}

bool HeadWriter::EditFleet(TimePoint now, Attempt* attempt) {
  const Head& base = attempt->base.head;
  if (base.FindIncarnation(m_incarnation) == nullptr) {
    Fail(now, "this daemon is not registered");
    return false;
  }
  std::string reason;
  const std::optional<Fleet> fleet = m_changes.front().fleet_edit(m_reader.fleet(), &reason);
  if (!fleet) {
    Refuse(now, reason);
    return false;
  }
  attempt->head.parts.clear();
  for (auto& [name, text] : EncodeFleet(*fleet)) {
    if (text.size() > kMostPartBytes) {
      Refuse(now, fmt::format("part {} would have {} bytes; at most {} are allowed", name,
                              text.size(), kMostPartBytes));
      return false;
    }
    const Digest digest = Sha256(text);
    attempt->head.parts[name] = digest;
    const auto held = base.parts.find(name);
    if (held == base.parts.end() || held->second != digest) {
      attempt->parts[digest.hex] = text;
    }
  }
  if (attempt->head.parts == base.parts) {
    Finish(now, ChangeResult{ChangeOutcome::kRecorded, base.revision, ""});
    return false;
  }
  return true;
}

bool HeadWriter::EditRegistration(TimePoint now, Attempt* attempt) {
  std::string reason;
  std::vector<DaemonRecord> daemons = attempt->base.head.daemons;
  if (!m_changes.front().registration_edit(now, attempt->base.head, &daemons, &reason)) {
    Refuse(now, reason);
    return false;
  }
  attempt->head.previous_daemons = attempt->base.head.daemons;
  attempt->head.daemons = std::move(daemons);
  attempt->head.registration_revision = attempt->head.revision;
  return true;
}

void HeadWriter::Refuse(TimePoint now, const std::string& reason) {
  const Change& change = m_changes.front();
  if (change.winning_revision == 0) {
    Finish(now, ChangeResult{ChangeOutcome::kRejected, m_reader.head().revision, reason});
    return;
  }
  Finish(now, ChangeResult{ChangeOutcome::kConflict, change.winning_revision,
                           fmt::format("revision {} was recorded first: {}",
                                       change.winning_revision, reason)});
}

void HeadWriter::WriteParts(TimePoint now) {
  m_stage = Stage::kParts;
  m_attempt.parts_left = static_cast<int>(m_attempt.parts.size());
  if (m_attempt.parts.empty()) {
    Swap(now);
    return;
  }
  for (const auto& [digest, text] : m_attempt.parts) {
    m_store.CompareAndSwap(
        PartKey(Digest{digest}), text, 0,
        m_guard.Wrap([this, part = digest](TimePoint received, const StoreWriteReply& reply) {
          OnPartWritten(received, part, reply);
        }));
  }
}

void HeadWriter::OnPartWritten(TimePoint now, const std::string& digest,
                               const StoreWriteReply& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
    case StoreStatus::kConflict:
      // A conflict means that the part exists with the same content, whose digest is the key.
      FinishPart(now, true, "");
      return;
    case StoreStatus::kRefused:
      FinishPart(now, false, reply.reason);
      return;
    case StoreStatus::kUnknown:
      m_store.Read(PartKey(Digest{digest}),
                   m_guard.Wrap([this](TimePoint received, const StoreReadReply& read) {
                     const bool exists = read.status == StoreStatus::kOk && read.found;
                     FinishPart(received, exists, "the write had no answer");
                   }));
      return;
  }
}

void HeadWriter::FinishPart(TimePoint now, bool written, std::string_view failure) {
  if (!written) {
    m_attempt.parts_failed = true;
    m_failure = fmt::format("a part was not written: {}", failure);
  }
  if (--m_attempt.parts_left > 0) {
    return;
  }
  if (m_attempt.parts_failed) {
    RetryLater(now, Stage::kBase);
    return;
  }
  m_failure.clear();
  Swap(now);
}

void HeadWriter::Swap(TimePoint now) {
  if (m_reader.newest_revision() > m_attempt.base.head.revision) {
    // The swap would fail because of the newer revision, so the call is skipped.
    OnLostRace(now, m_reader.newest_revision());
    return;
  }
  m_stage = Stage::kSwap;
  m_store.CompareAndSwap(kHeadKey, EncodeHead(m_attempt.head), m_attempt.base.index,
                         m_guard.Wrap([this](TimePoint received, const StoreWriteReply& reply) {
                           OnSwapped(received, reply);
                         }));
}

void HeadWriter::OnSwapped(TimePoint now, const StoreWriteReply& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      OnRecorded(now, m_attempt.head.revision);
      return;
    case StoreStatus::kConflict:
      OnLostRace(now, m_attempt.head.revision);
      return;
    case StoreStatus::kRefused:
      m_failure = fmt::format("the store refused the change: {}", reply.reason);
      RetryLater(now, Stage::kBase);
      return;
    case StoreStatus::kUnknown:
      m_stage = Stage::kReadBack;
      ReadBack(now);
      return;
  }
}

void HeadWriter::ReadBack(TimePoint now) {
  m_read_pending = true;
  m_reader.Read(now,
                [this](TimePoint received, const HeadReader::StoreHead* read, std::string_view) {
                  m_read_pending = false;
                  if (!read || read->head.revision < m_attempt.base.head.revision) {
                    RetryLater(received, Stage::kReadBack);
                    return;
                  }
                  ResolveOutcome(received, *read);
                });
}

void HeadWriter::ResolveOutcome(TimePoint now, const HeadReader::StoreHead& read) {
  const std::uint64_t base = m_attempt.base.head.revision;
  if (read.head.revision == base) {
    // The write may still reach the store, so it has not failed yet.
    SwapNoOp(now, read);
    return;
  }
  const WriteRecord* write = FindWrite(read.head, m_incarnation);
  if (write != nullptr && write->nonce == m_attempt.head.writer) {
    OnRecorded(now, write->revision);
    return;
  }
  if (write == nullptr && MayBeDropped(read.head, base + 1)) {
    Finish(now, ChangeResult{ChangeOutcome::kUnknown, read.head.revision,
                             "this daemon was removed before it learned the outcome"});
    return;
  }
  OnLostRace(now, read.head.revision);
}

void HeadWriter::SwapNoOp(TimePoint now, const HeadReader::StoreHead& read) {
  m_stage = Stage::kNoOp;
  if (m_attempt.no_op_nonce.empty()) {
    m_attempt.no_op_nonce = NewNonce();
  }
  Head head = Successor(read.head, m_attempt.no_op_nonce);
  TrimWrites(&head);
  m_store.CompareAndSwap(
      kHeadKey, EncodeHead(head), read.index,
      m_guard.Wrap([this, head](TimePoint received, const StoreWriteReply& reply) {
        if (reply.status == StoreStatus::kOk) {
          m_reader.AddRecordedHead(received, head, {});
          OnLostRace(received, head.revision);
          return;
        }
        RetryLater(received, Stage::kReadBack);
      }));
  static_cast<void>(now);
}

void HeadWriter::OnLostRace(TimePoint now, std::uint64_t revision) {
  Change& change = m_changes.front();
  ++change.lost_races;
  change.winning_revision = revision;
  m_min_base_revision = std::max(m_min_base_revision, m_attempt.base.head.revision + 1);
  if (change.lost_races >= kMaxLostRaces) {
    Finish(now, ChangeResult{ChangeOutcome::kConflict, revision,
                             fmt::format("revision {} was recorded first", revision)});
    return;
  }
  m_stage = Stage::kBase;
  Step(now);
}

void HeadWriter::OnRecorded(TimePoint now, std::uint64_t revision) {
  m_min_base_revision = std::max(m_min_base_revision, revision);
  if (revision == m_attempt.head.revision) {
    m_reader.AddRecordedHead(now, m_attempt.head, m_attempt.parts);
  }
  Finish(now, ChangeResult{ChangeOutcome::kRecorded, revision, ""});
}

void HeadWriter::RetryLater(TimePoint now, Stage stage) {
  m_stage = stage;
  m_next_call = now + kRetryInterval;
}

void HeadWriter::Finish(TimePoint now, const ChangeResult& result) {
  m_stage = Stage::kIdle;
  m_attempt = Attempt();
  const Change change = std::move(m_changes.front());
  m_changes.pop_front();
  change.done(now, result);
}

Head HeadWriter::Successor(const Head& base, const std::string& nonce) const {
  Head head = base;
  ++head.revision;
  head.writer = nonce;
  std::erase_if(head.last_writes,
                [&](const WriteRecord& write) { return write.incarnation == m_incarnation; });
  head.last_writes.push_back(WriteRecord{m_incarnation, nonce, head.revision});
  return head;
}

std::string HeadWriter::NewNonce() {
  // 64 bits suffice, since a nonce is only compared with others of the same incarnation.
  return fmt::format("{:016x}", m_random.Next());
}

}  // namespace cranberryplank
