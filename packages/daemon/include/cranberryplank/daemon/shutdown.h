#ifndef CRANBERRYPLANK_DAEMON_SHUTDOWN_H_
#define CRANBERRYPLANK_DAEMON_SHUTDOWN_H_

#include <optional>

#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/control/slot_ledger.h"
#include "cranberryplank/daemon/request_router.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Components that take part in a planned shutdown. All must outlive it.
struct ShutdownParts {
  HeadReplica* head = nullptr;
  SlotLedger* slots = nullptr;
  RequestRouter* router = nullptr;
};

/// Runs the stages of a planned shutdown: rejects new requests, finishes or checkpoints accepted
/// tasks, hands over slots, deregisters the daemon and finishes.
class Shutdown {
 public:
  /// @param grace time limit for accepted requests; after half of it, waiting requests are rejected
  ///   and running tasks are asked to checkpoint
  Shutdown(const ShutdownParts& parts, Duration grace);

  /// Starts the shutdown.
  /// @return false if it was already started
  bool Begin(TimePoint now);

  void Tick(TimePoint now);

  bool started() const { return m_stage != Stage::kServing; }

  /// Returns whether new connections must no longer be accepted.
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
