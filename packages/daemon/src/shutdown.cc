#include "cranberryplank/daemon/shutdown.h"

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// The balancer polls /readyz; requests that it still sends meanwhile are refused, not lost.
constexpr Duration kMinFinishingTime{500};

/// Bound on handing slots over and on leaving the head. While the store is unavailable neither
/// succeeds; the other daemons then take the slots back after this one was removed.
constexpr Duration kHandOverTimeout{5'000};
constexpr Duration kDeregisterTimeout{8'000};

}  // namespace

Shutdown::Shutdown(const ShutdownParts& parts, Duration grace) : m_parts(parts), m_grace(grace) {}

bool Shutdown::Begin(TimePoint now) {
  if (started()) {
    return false;
  }
  m_stage = Stage::kFinishing;
  m_start_time = now;
  m_stage_deadline = now + m_grace / 2;
  m_parts.router->BeginShutdown();
  return true;
}

void Shutdown::Tick(TimePoint now) {
  switch (m_stage) {
    case Stage::kServing:
    case Stage::kFinished:
      break;
    case Stage::kFinishing:
      if (m_parts.router->Idle() && now - m_start_time >= kMinFinishingTime) {
        HandOver(now);
      } else if (now >= m_stage_deadline) {
        m_stage = Stage::kCheckpointing;
        m_stage_deadline = m_start_time + m_grace;
        m_parts.router->EndWaiting(now);
      }
      break;
    case Stage::kCheckpointing:
      if (m_parts.router->Idle() || now >= m_stage_deadline) {
        HandOver(now);
      }
      break;
    case Stage::kHandingOver:
      if (m_parts.slots->HandedOver() || now >= m_stage_deadline) {
        Deregister(now);
      }
      break;
    case Stage::kDeregistering:
      if (m_deregistered || now >= m_stage_deadline) {
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
  m_stage_deadline = now + kHandOverTimeout;
  m_parts.slots->BeginHandOver(now);
}

void Shutdown::Deregister(TimePoint now) {
  LogLine(LogLevel::kInfo, "shutdown")
      .Field("state", "leaving")
      .Field("slots_handed_over", m_parts.slots->HandedOver());
  m_stage = Stage::kDeregistering;
  m_stage_deadline = now + kDeregisterTimeout;
  m_parts.head->Deregister(now, [this](TimePoint /*at*/) { m_deregistered = true; });
}

}  // namespace cranberryplank
