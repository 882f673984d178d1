#include "cranberryplank/daemon/shutdown.h"

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// Allows the load balancer to see the changed state at its next poll of /readyz. Requests that it
/// sends until then are rejected rather than lost.
constexpr Duration kMinFinishingTime{500};

/// Time limits for handing over slots and for deregistering. Both fail while the store is
/// unavailable; the other daemons then reclaim the slots after this daemon was removed.
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
        m_parts.router->RefuseWaitingAndCheckpoint(now);
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
