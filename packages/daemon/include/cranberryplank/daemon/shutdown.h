#ifndef CRANBERRYPLANK_DAEMON_SHUTDOWN_H_
#define CRANBERRYPLANK_DAEMON_SHUTDOWN_H_

#include <optional>

#include "cranberryplank/control/head_keeper.h"
#include "cranberryplank/control/slot_ledger.h"
#include "cranberryplank/daemon/request_router.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Objects that a planned stop brings to an end. All must outlive it.
struct ShutdownParts {
  HeadKeeper* head = nullptr;
  SlotLedger* slots = nullptr;
  RequestRouter* router = nullptr;
};

/// Takes a daemon through a planned stop: it refuses new requests, finishes or checkpoints what it
/// accepted, hands its slots over, deregisters and ends.
class Shutdown {
 public:
  /// @param grace time for accepted requests; after half of it what waits is refused and what runs
  ///   is asked to checkpoint
  Shutdown(const ShutdownParts& parts, Duration grace);

  /// Starts the stop. @return false if it had been started before
  bool Begin(TimePoint now);

  void Tick(TimePoint now);

  bool started() const { return m_stage != Stage::kServing; }

  /// True once no new connections are to be accepted.
  bool accepting_ended() const { return m_stage >= Stage::kHandingOver; }

  bool finished() const { return m_stage == Stage::kFinished; }

 private:
  enum class Stage {
    kServing,
    kFinishing,
    kCheckpointing,
    kHandingOver,
    kDeregistering,
    kFinished
  };

  void HandOver(TimePoint now);
  void Deregister(TimePoint now);

  ShutdownParts m_parts;
  Duration m_grace;
  Stage m_stage = Stage::kServing;
  TimePoint m_start_time;
  TimePoint m_stage_deadline;
  bool m_deregistered = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_SHUTDOWN_H_
