#ifndef CRANBERRYPLANK_SUPPORT_FAKE_VM_LIST_H_
#define CRANBERRYPLANK_SUPPORT_FAKE_VM_LIST_H_

#include "cranberryplank/support/fake_server.h"
#include "cranberryplank/support/vm_table.h"

namespace cranberryplank {

/// Fake VM list that serves Consul's `/v1/health/service/NAME` with blocking queries. Any filter is
/// treated as one that matches nothing. Adds the faults `stale` and `nearly_empty`, which last
/// until `clear`. The list is edited by `POST /vms` with
/// `{"service": NAME, "id": ID, "action": "add" | "leaving" | "staying" | "remove" | "restore"}`.
class FakeVmList : public FakeServer {
 public:
  using FakeServer::FakeServer;

  VmTable& table() { return m_table; }

 protected:
  void Handle(const Exchange& exchange) override;
  bool HandleControl(const Exchange& exchange) override;
  ServerReply Refusal(const HttpExchange& exchange) const override;
  bool ApplyFault(const Fault& fault) override;
  void ClearFaults() override;

 private:
  ServerReply ToReply(const Exchange& exchange, const std::string& service) const;

  /// @return the reason why the edit was rejected, or an empty string on success
  std::string Edit(const std::string& body);

  VmTable m_table;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_FAKE_VM_LIST_H_
