#ifndef CRANBERRYPLANK_SUPPORT_FAKE_WORKER_H_
#define CRANBERRYPLANK_SUPPORT_FAKE_WORKER_H_

#include "cranberryplank/support/fake_server.h"
#include "cranberryplank/support/simulated_worker.h"

namespace cranberryplank {

/// Fake worker that serves the protocol of docs/API.md. Adds the faults `fail_all` (until
/// `clear`), `pause` (for `ms`) and `crash`. `GET /log` returns `{"tasks": {ID: {"queue": NAME,
/// "reply": TEXT, "starts": N, "completions": N}}, "max_running": N}`.
class FakeWorker : public FakeServer {
 public:
  /// @param name prefix of the boot ids; must differ between processes
  FakeWorker(event_base* base, const std::string& name, const WorkerSettings& settings);

  SimulatedWorker& worker() { return m_worker; }

 protected:
  void Handle(const Exchange& exchange) override;
  bool HandleControl(const Exchange& exchange) override;
  ServerReply Refusal(const HttpExchange& exchange) const override;
  bool ApplyFault(const Fault& fault) override;
  void ClearFaults() override;

 private:
  void Route(const Exchange& exchange);
  void Start(const Exchange& exchange);
  void HandleTask(const Exchange& exchange, std::string_view rest);
  void Reboot(const Exchange& exchange);

  WorkerSettings m_settings;
  SimulatedWorker m_worker;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_FAKE_WORKER_H_
