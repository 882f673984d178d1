#ifndef CRANBERRYPLANK_SUPPORT_FAKE_STORE_H_
#define CRANBERRYPLANK_SUPPORT_FAKE_STORE_H_

#include "cranberryplank/support/fake_server.h"
#include "cranberryplank/support/key_table.h"

namespace cranberryplank {

/// Fake store that serves the part of Consul's KV HTTP API that cranberryplank uses. Adds the fault
/// `late_write`: a write takes effect after `ms`, when its caller has already timed out.
class FakeStore : public FakeServer {
 public:
  using FakeServer::FakeServer;

  KeyTable& table() { return m_table; }

 protected:
  void Handle(const Exchange& exchange) override;
  bool HandleControl(const Exchange&) override { return false; }
  ServerReply Refusal(const HttpExchange& exchange) const override;
  bool ApplyFault(const Fault& fault) override;
  void ClearFaults() override {}

 private:
  void Read(const Exchange& exchange, const std::string& key);
  void Write(const Exchange& exchange, const std::string& key);

  KeyTable m_table;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_FAKE_STORE_H_
