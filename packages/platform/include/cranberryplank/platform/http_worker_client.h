#ifndef CRANBERRYPLANK_PLATFORM_HTTP_WORKER_CLIENT_H_
#define CRANBERRYPLANK_PLATFORM_HTTP_WORKER_CLIENT_H_

#include <string>

#include "cranberryplank/platform/http_client.h"
#include "cranberryplank/platform/worker_client.h"

namespace cranberryplank {

/// Worker client over the HTTP protocol that docs/API.md describes.
class HttpWorkerClient : public WorkerClient {
 public:
  /// @param client must outlive this object
  /// @param timeout timeout of each call except Start, which has its own parameter
  explicit HttpWorkerClient(HttpClient* client, Duration timeout = Duration(1'000));

  void GetStatus(const WorkerAddress& worker, StatusCallback done) override;
  void Start(const WorkerAddress& worker, const TaskStart& task, Duration timeout,
             TaskCallback done) override;
  void GetTask(const WorkerAddress& worker, std::string_view task_id, ReportCallback done) override;
  void Checkpoint(const WorkerAddress& worker, std::string_view task_id,
                  DoneCallback done) override;
  void SetDraining(const WorkerAddress& worker, bool drain, DoneCallback done) override;
  void Reboot(const WorkerAddress& worker, std::string_view boot_id, DoneCallback done) override;

 private:
  HttpRequest MakeRequest(const WorkerAddress& worker, HttpMethod method, std::string target) const;

  HttpClient* m_client;
  Duration m_timeout;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_HTTP_WORKER_CLIENT_H_
