#include "cranberryplank/support/fake_server.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace cranberryplank {

namespace {

constexpr std::array<std::string_view, 9> kPlannedFaults{
    "refuse",   "drop_request", "delay_request", "delay",      "lose_answer",
    "truncate", "no_length",    "no_last_chunk", "extra_bytes"};

/// Gives the answer to the control request time to be sent before the server stops.
constexpr Duration kStopDelay{20};

}  // namespace

FakeServer::FakeServer(event_base* base)
    : m_scheduler(base),
      m_server(base, [this](const Exchange& exchange) { OnRequest(exchange); }) {}

bool FakeServer::Inject(const Fault& fault) {
  if (fault.name == "clear") {
    m_plan.Clear();
    ClearFaults();
    return true;
  }
  if (fault.name == "unreachable") {
    SetUnreachable(fault.time);
    return true;
  }
  if (fault.name == "swap" ||
      std::find(kPlannedFaults.begin(), kPlannedFaults.end(), fault.name) != kPlannedFaults.end()) {
    m_plan.Add(fault);
    return true;
  }
  return ApplyFault(fault);
}

void FakeServer::OnRequest(const Exchange& exchange) {
  if (exchange->path() == "/fault") {
    HandleFault(exchange);
    return;
  }
  if (HandleControl(exchange)) {
    return;
  }
  const std::string& method = exchange->method();
  const std::string& path = exchange->path();
  if (m_plan.Take("drop_request", method, path)) {
    Drop(exchange);
    return;
  }
  if (m_plan.Take("refuse", method, path)) {
    Answer(exchange, Refusal(*exchange));
    return;
  }
  if (const std::optional<Fault> fault = m_plan.Take("delay_request", method, path)) {
    m_scheduler.Schedule(m_scheduler.Now() + fault->time,
                         [this, exchange](TimePoint) { Handle(exchange); });
    return;
  }
  Handle(exchange);
}

void FakeServer::HandleFault(const Exchange& exchange) {
  std::string reason = "unknown fault";
  const std::optional<Fault> fault = DecodeFault(exchange->body(), &reason);
  if (!fault || !Inject(*fault)) {
    exchange->Reply({400, reason + "\n", {}});
    return;
  }
  exchange->Reply({200, "ok\n", {}});
}

void FakeServer::Answer(const Exchange& exchange, const ServerReply& reply) {
  const std::string& method = exchange->method();
  const std::string& path = exchange->path();
  if (m_plan.Take("lose_answer", method, path)) {
    Drop(exchange);
    return;
  }
  if (m_plan.Take("swap", method, path)) {
    Swap(exchange, reply);
    return;
  }
  Duration wait(0);
  if (const std::optional<Fault> fault = m_plan.Take("delay", method, path)) {
    wait = fault->time;
  }
  // Deferred, because a damaged answer closes the connection, which the server's handler must not
  // do.
  m_scheduler.Schedule(m_scheduler.Now() + wait,
                       [this, exchange, reply](TimePoint) { AnswerDamaged(exchange, reply); });
}

void FakeServer::AnswerDamaged(const Exchange& exchange, const ServerReply& reply) {
  const std::string& method = exchange->method();
  const std::string& path = exchange->path();
  if (m_plan.Take("truncate", method, path)) {
    exchange->ReplyTruncated(reply);
  } else if (m_plan.Take("no_length", method, path)) {
    exchange->ReplyWithoutLength(reply);
  } else if (m_plan.Take("no_last_chunk", method, path)) {
    exchange->ReplyWithoutLastChunk(reply);
  } else if (m_plan.Take("extra_bytes", method, path)) {
    exchange->ReplyWithExtraBytes(reply);
  } else {
    exchange->Reply(reply);
  }
}

void FakeServer::Swap(const Exchange& exchange, const ServerReply& reply) {
  if (!m_held) {
    m_held = HeldAnswer{exchange, reply};
    return;
  }
  const HeldAnswer held = *std::exchange(m_held, std::nullopt);
  held.exchange->Reply(reply);
  exchange->Reply(held.reply);
}

void FakeServer::Drop(const Exchange& exchange) {
  m_scheduler.Schedule(m_scheduler.Now(), [exchange](TimePoint) { exchange->Drop(); });
}

void FakeServer::SetUnreachable(Duration time) {
  ++m_unreachable;
  m_scheduler.Schedule(m_scheduler.Now() + std::min(kStopDelay, time),
                       [this](TimePoint) { m_server.Stop(); });
  m_scheduler.Schedule(m_scheduler.Now() + time, [this](TimePoint) {
    if (--m_unreachable == 0) {
      m_server.Listen(m_server.port());
    }
  });
}

}  // namespace cranberryplank
