#ifndef CRANBERRYPLANK_CONTROL_HEAD_WRITER_H_
#define CRANBERRYPLANK_CONTROL_HEAD_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "callback_guard.h"
#include "cranberryplank/control/head_control.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/store.h"
#include "head_reader.h"

namespace cranberryplank {

/// Records changes of the head by compare-and-swap, one at a time in order of submission.
class HeadWriter {
 public:
  /// Changes the registered daemons of `base`, or returns false with `last_reason` set.
  using RegistrationEdit =
      std::function<bool(TimePoint now, const Head& base, std::vector<DaemonRecord>* daemons,
                         std::string* last_reason)>;

  HeadWriter(std::string incarnation, Store& store, HeadReader& reader, RandomSource& random);

  void Tick(TimePoint now);

  void Submit(TimePoint now, HeadControl::FleetEdit edit, HeadControl::ChangeCallback done);
  void SubmitRegistration(TimePoint now, RegistrationEdit edit, HeadControl::ChangeCallback done);

 private:
  enum class Stage {
    kIdle,      ///< Nothing submitted.
    kBase,      ///< Waits for the newest head with its parts.
    kParts,     ///< Writes new parts.
    kSwap,      ///< The head's swap is in progress.
    kReadBack,  ///< The swap's outcome is unknown; reads the head.
    kNoOp,      ///< Swaps a no-op onto the revision that the unknown swap was based on.
  };

  struct Change {
    HeadControl::FleetEdit fleet_edit;
    RegistrationEdit registration_edit;
    HeadControl::ChangeCallback done;
    TimePoint submitted;
    int lost_races = 0;
    std::uint64_t winning_revision = 0;
  };

  /// Head to be swapped in, and what it replaces.
  struct Attempt {
    HeadReader::StoreHead base;
    Head head;
    std::map<std::string, std::string> parts;  ///< New parts by digest.
    int parts_left = 0;
    bool parts_failed = false;
    std::string no_op_nonce;
  };

  void Step(TimePoint now);
  void Fail(TimePoint now, std::string reason);
  void ExpireQueued(TimePoint now);
  bool HasBase() const;
  void ReadBase(TimePoint now);
  void BuildAttempt(TimePoint now);
  bool EditFleet(TimePoint now, Attempt* attempt);
  bool EditRegistration(TimePoint now, Attempt* attempt);
  void Refuse(TimePoint now, const std::string& reason);
  void WriteParts(TimePoint now);
  void OnPartWritten(TimePoint now, const std::string& digest, const StoreWriteReply& reply);
  void FinishPart(TimePoint now, bool written, std::string_view failure);
  void Swap(TimePoint now);
  void OnSwapped(TimePoint now, const StoreWriteReply& reply);
  void ReadBack(TimePoint now);
  void ResolveOutcome(TimePoint now, const HeadReader::StoreHead& read);
  void SwapNoOp(TimePoint now, const HeadReader::StoreHead& read);
  void OnLostRace(TimePoint now, std::uint64_t revision);
  void OnRecorded(TimePoint now, std::uint64_t revision);
  void RetryLater(TimePoint now, Stage stage);
  void Finish(TimePoint now, const ChangeResult& result);
  Head Successor(const Head& base, const std::string& nonce) const;
  std::string NewNonce();

  std::string m_incarnation;
  Store& m_store;
  HeadReader& m_reader;
  RandomSource& m_random;
  std::deque<Change> m_changes;  ///< The first one is in progress.
  Stage m_stage = Stage::kIdle;
  Attempt m_attempt;
  std::uint64_t m_min_base_revision = 0;  ///< Older heads are known to be outdated.
  bool m_read_pending = false;            ///< A read for the current stage is in progress.
  std::string m_failure;                  ///< Error of the last store call, or empty.
  TimePoint m_next_call;
  CallbackGuard m_guard;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_HEAD_WRITER_H_
