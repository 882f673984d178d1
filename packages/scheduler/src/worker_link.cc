#include "cranberryplank/scheduler/worker_link.h"

namespace cranberryplank {

bool HadNoEffect(CallOutcome outcome) {
  return outcome != CallOutcome::kOk && outcome != CallOutcome::kUnknown;
}

std::string_view ToString(RunEndKind kind) {
  switch (kind) {
    case RunEndKind::kDone:
      return "done";
    case RunEndKind::kFailed:
      return "failed";
    case RunEndKind::kStopped:
      return "stopped";
    case RunEndKind::kLeaseExpired:
      return "lease_expired";
    case RunEndKind::kGangBroken:
      return "gang_broken";
    case RunEndKind::kGangIncomplete:
      return "gang_incomplete";
  }
  return "unknown";
}

std::string_view ToString(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kOk:
      return "ok";
    case CallOutcome::kFenced:
      return "fenced";
    case CallOutcome::kStaleRun:
      return "stale_run";
    case CallOutcome::kLate:
      return "late";
    case CallOutcome::kNoRoom:
      return "no_room";
    case CallOutcome::kBadTicket:
      return "bad_ticket";
    case CallOutcome::kUnhealthy:
      return "unhealthy";
    case CallOutcome::kBadRequest:
      return "bad_request";
    case CallOutcome::kWrongWorker:
      return "wrong_worker";
    case CallOutcome::kNotSent:
      return "not_sent";
    case CallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace cranberryplank
