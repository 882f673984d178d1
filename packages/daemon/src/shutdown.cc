#include "cranberryplank/daemon/shutdown.h"

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// The balancer polls /readyz; requests that it still sends meanwhile are refused, not lost.
constexpr Duration kShortestFinishing{500};

/// Bound on handing slots over and on leaving the head. While the store is unavailable neither
/// succeeds; the other daemons then take the slots back after this one was removed.
constexpr Duration kHandOverLimit{5'000};
constexpr Duration kLeaveLimit{8'000};

}  // namespace

Shutdown::Shutdown(const ShutdownParts& parts, Duration grace) : m_parts(parts), m_grace(grace) {}

bool Shutdown::Begin(TimePoint now) {
  if (begun()) {
    return false;
  }
  m_stage = Stage::kFinishing;
  m_begun = now;
  m_stage_ends = now + m_grace / 2;
  m_parts.router->BeginShutdown();
  return true;
}

void Shutdown::Tick(TimePoint now) {
  switch (m_stage) {
    case Stage::kServing:
    case Stage::kFinished:
      break;
    case Stage::kFinishing:
      if (m_parts.router->Idle() && now - m_begun >= kShortestFinishing) {
        HandOver(now);
      } else if (now >= m_stage_ends) {
        m_stage = Stage::kCheckpointing;
        m_stage_ends = m_begun + m_grace;
        m_parts.router->RefuseWaitingAndCheckpoint(now);
      }
      break;
    case Stage::kCheckpointing:
      if (m_parts.router->Idle() || now >= m_stage_ends) {
        HandOver(now);
      }
      break;
    case Stage::kHandingOver:
      if (m_parts.slots->HandedOver() || now >= m_stage_ends) {
        Leave(now);
      }
      break;
    case Stage::kLeaving:
      if (m_deregistered || now >= m_stage_ends) {
        m_stage = Stage::kFinished;
      }
      break;
  }
}

void Shutdown::HandOver(TimePoint now) {
  LogLine(LogLevel::kInfo, "shutdown")
      .Field("state", "handing_over")
      .Field("idle", m_parts.router->Idle());
  m_stage = Stage::kHandingOver;
  m_stage_ends = now + kHandOverLimit;
  m_parts.slots->BeginHandOver(now);
}

void Shutdown::Leave(TimePoint now) {
  LogLine(LogLevel::kInfo, "shutdown")
      .Field("state", "leaving")
      .Field("slots_handed_over", m_parts.slots->HandedOver());
  m_stage = Stage::kLeaving;
  m_stage_ends = now + kLeaveLimit;
  m_parts.head->Deregister(now, [this](TimePoint /*at*/) { m_deregistered = true; });
}

}  // namespace cranberryplank
