#include "cranberryplank/entry/schedule_hand_over.h"

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

constexpr Duration kTakeOverTimeout{300};
constexpr Duration kHandOverInterval{500};

}  // namespace

void ScheduleHandOver::Tick(TimePoint now, double least_cores, Duration earlier_owners_act_for) {
  if (!m_ownership->owned() || now < m_next_call) {
    return;
  }
  m_peers->ForgetSilent(now);
  const auto successor = m_peers->ChooseSuccessor(now, least_cores);
  if (!successor) {
    m_next_call = now;
    return;
  }
  m_next_call = now + kHandOverInterval;
  // The successor may assume that this daemon grants no leases after this point. So this daemon
  // sends no more orders unless the successor refuses.
  m_ownership->StepDown();
  ++m_not_refused;
  OwnerCall call;
  call.kind = OwnerCallKind::kTakeOver;
  call.sender = m_self;
  call.incarnation = m_ownership->incarnation();
  call.earlier_owners_act_for = earlier_owners_act_for;
  LogLine(LogLevel::kInfo, "hand_over").Field("to", *successor);
  m_owner_client->Call(*successor, call, kTakeOverTimeout,
                       [this, address = *successor](TimePoint at, const OwnerReply& reply) {
                         OnReply(at, address, reply.status);
                       });
}

void ScheduleHandOver::OnReply(TimePoint now, const std::string& address, OwnerStatus status) {
  if (status == OwnerStatus::kOk) {
    return;
  }
  m_next_call = now;
  // While all daemons are being stopped, none takes over for some seconds. A daemon that refused,
  // or that the call did not reach, never acts on it, so this one goes on as the owner.
  const bool refused = status == OwnerStatus::kNotReady || status == OwnerStatus::kNotOwner;
  if (refused && --m_not_refused == 0) {
    m_ownership->Resume();
  }
  if (status == OwnerStatus::kNotReady) {
    m_peers->AskAgainAt(address, now + kHandOverInterval);
  } else {
    m_peers->Forget(address);
  }
}

}  // namespace cranberryplank
