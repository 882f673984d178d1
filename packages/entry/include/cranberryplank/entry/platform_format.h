#ifndef CRANBERRYPLANK_ENTRY_PLATFORM_FORMAT_H_
#define CRANBERRYPLANK_ENTRY_PLATFORM_FORMAT_H_

#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/daemon/api_server.h"
#include "cranberryplank/entry/key_value_store.h"
#include "cranberryplank/entry/owner_messages.h"
#include "cranberryplank/entry/vm_control.h"
#include "cranberryplank/scheduler/cluster_config.h"
#include "cranberryplank/scheduler/worker_link.h"

namespace cranberryplank {

/// What a caller asks for on the path of a queue.
enum class CallKind { kSubmit, kGetState, kCancel, kCountWaiting };

/// A caller's request, decoded as far as its headers go.
struct CallerRequest {
  CallKind kind = CallKind::kGetState;
  std::string job;  ///< Empty when waiting jobs are counted.
};

/// Names and formats of the platform: keys and values that it keeps in the store, and the calls
/// and answers of callers. A value that can not be read gives nothing; it is the caller's to log.
class PlatformFormat {
 public:
  virtual ~PlatformFormat() = default;

  /// Prefix of all that operators write.
  virtual std::string_view OperatorPrefix() const = 0;
  virtual bool IsConfigKey(std::string_view key) const = 0;
  virtual std::optional<ClusterConfig> DecodeConfig(const KvItem& item) const = 0;
  /// Returns a wave of upkeep if the key is that of one.
  virtual bool IsWaveKey(std::string_view key) const = 0;
  virtual std::optional<UpkeepWave> DecodeWave(const KvItem& item) const = 0;
  virtual KvWrite EncodeWaveStatus(std::int64_t wave, bool done) const = 0;

  /// Prefix of the workers' registrations.
  virtual std::string_view WorkerPrefix() const = 0;
  /// Returns the id of a worker from the key of its registration.
  virtual std::string WorkerIdOf(std::string_view key) const = 0;
  virtual std::optional<WorkerInfo> DecodeWorker(const KvItem& item) const = 0;

  /// Tells what a caller asks for. @param rest path after the queue's prefix
  virtual std::optional<CallerRequest> DecodeCall(std::string_view method,
                                                  std::string_view rest) const = 0;
  /// Reads a submission into `spec`. @return the reason why it can not be read, or nothing
  virtual std::optional<std::string> DecodeJob(std::string_view body, JobSpec* spec) const = 0;
  /// Key that came with a request, or an empty view.
  virtual std::string_view KeyOf(const ApiRequest& request) const = 0;
  /// How long the caller waits for the answer; 0 if it does not say.
  virtual Duration CallerTimeoutOf(const ApiRequest& request) const = 0;
  virtual ApiResponse EncodeState(JobState state) const = 0;
  virtual ApiResponse EncodeWaiting(int jobs) const = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_PLATFORM_FORMAT_H_
