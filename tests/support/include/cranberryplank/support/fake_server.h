#ifndef CRANBERRYPLANK_SUPPORT_FAKE_SERVER_H_
#define CRANBERRYPLANK_SUPPORT_FAKE_SERVER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "cranberryplank/support/fault_plan.h"
#include "cranberryplank/support/http_server.h"
#include "cranberryplank/support/loop_scheduler.h"

namespace cranberryplank {

/// HTTP server with fault injection through `POST /fault` or Inject. Faults of every fake:
///
/// - `refuse`: the request is refused explicitly
/// - `unreachable`: connections are closed and refused for `ms`
/// - `drop_request`: the connection is closed before the request has any effect
/// - `delay_request`: the request takes effect `ms` later
/// - `delay`: the answer is sent `ms` later
/// - `lose_answer`: the connection is closed after the request took effect
/// - `truncate`, `no_length`, `no_last_chunk`: the answer is cut short
/// - `extra_bytes`: more bytes follow the answer
/// - `swap`: two answers are exchanged, so that each reaches the other's caller
/// - `clear`: removes all faults
class FakeServer {
 public:
  explicit FakeServer(event_base* base);
  virtual ~FakeServer() = default;

  /// Listens on 127.0.0.1; port 0 picks a free one. @return false if the port is taken
  bool Listen(std::uint16_t port) { return m_server.Listen(port); }

  std::uint16_t port() const { return m_server.port(); }

  /// @return false if the fault is unknown
  bool Inject(const Fault& fault);

 protected:
  using Exchange = std::shared_ptr<HttpExchange>;

  /// Handles a request to the faked service.
  virtual void Handle(const Exchange& exchange) = 0;

  /// Handles a control request, to which faults do not apply. @return false if it is not one
  virtual bool HandleControl(const Exchange& exchange) = 0;

  /// Returns the answer for the fault `refuse`.
  virtual ServerReply Refusal(const HttpExchange& exchange) const = 0;

  /// Applies a fault specific to this fake. @return false if the fault is unknown
  virtual bool ApplyFault(const Fault& fault) = 0;

  /// Removes the faults that ApplyFault applied.
  virtual void ClearFaults() = 0;

  /// Sends an answer after applying the matching faults.
  void Answer(const Exchange& exchange, const ServerReply& reply);

  void Drop(const Exchange& exchange);

  /// Closes all connections and refuses new ones for `time`.
  void SetUnreachable(Duration time);

  LoopScheduler& scheduler() { return m_scheduler; }
  FaultPlan& plan() { return m_plan; }

 private:
  struct HeldAnswer {
    Exchange exchange;
    ServerReply reply;
  };

  void OnRequest(const Exchange& exchange);
  void HandleFault(const Exchange& exchange);
  void AnswerDamaged(const Exchange& exchange, const ServerReply& reply);
  void Swap(const Exchange& exchange, const ServerReply& reply);

  LoopScheduler m_scheduler;
  FaultPlan m_plan;
  HttpServer m_server;
  std::optional<HeldAnswer> m_held;
  int m_unreachable = 0;  ///< Number of overlapping unreachable periods.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_FAKE_SERVER_H_
