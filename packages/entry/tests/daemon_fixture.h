#ifndef CRANBERRYPLANK_ENTRY_TESTS_DAEMON_FIXTURE_H_
#define CRANBERRYPLANK_ENTRY_TESTS_DAEMON_FIXTURE_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

#include "cranberryplank/entry/job_service.h"
#include "fake_key_value_store.h"
#include "fleet_fixture.h"

namespace cranberryplank {

/// Returns a loopback endpoint whose port is free at the time of the call.
inline Endpoint FreeEndpoint() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  close(socket);
  return {"127.0.0.1", ntohs(address.sin_port)};
}

/// Decodes one queue that is open to all, and every request as a submission to it.
class SubmissionFormat : public WaveFormat {
 public:
  bool IsConfigKey(std::string_view key) const override { return key == "op/config"; }
  std::optional<ClusterConfig> DecodeConfig(const KvItem&) const override {
    ClusterConfig config;
    config.version = 1;
    QueueConfig queue;
    queue.name = "queue";
    queue.pool = "pool";
    queue.host = "x";
    queue.path_prefix = "/";
    queue.open_to_all = true;
    config.queues.push_back(queue);
    return config;
  }
  std::optional<JobRequest> DecodeCall(std::string_view, std::string_view rest) const override {
    return JobRequest{CallKind::kSubmit, std::string(rest)};
  }
};

/// Also decodes every registration as that of a worker in the queue's pool.
class WorkerFormat : public SubmissionFormat {
 public:
  std::optional<WorkerInfo> DecodeWorker(const KvItem& item) const override {
    WorkerInfo info;
    info.id = item.key;
    info.pool = "pool";
    info.capacity = {8'000, 8'000, 0};
    return info;
  }
};

inline JobSettings SettingsOf(const std::string& node) {
  JobSettings settings;
  settings.node = node;
  settings.caller_listen = FreeEndpoint();
  settings.ready_listen = FreeEndpoint();
  settings.daemon_listen = FreeEndpoint();
  settings.metrics_listen = FreeEndpoint();
  return settings;
}

/// A store that has a configuration.
struct ConfiguredStore : FakeKeyValueStore {
  ConfiguredStore() { Put("op/config", "version 1"); }
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_TESTS_DAEMON_FIXTURE_H_
