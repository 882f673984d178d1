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

/// Kind of a caller's request to a queue.
enum class CallKind { kSubmit, kGetState, kCancel, kCountWaiting };

/// A caller's request, decoded from its method and path.
struct JobRequest {
  CallKind kind = CallKind::kGetState;
  std::string job;  ///< Empty when waiting jobs are counted.
};

/// Names and formats of the platform: keys and values in its store, and requests and replies of
/// callers. Decoding a value that is not valid returns nothing; the calling code logs it.
class PlatformFormat {
 public:
  virtual ~PlatformFormat() = default;

  /// Prefix of all keys that operators write.
  virtual std::string_view OperatorPrefix() const = 0;
  virtual bool IsConfigKey(std::string_view key) const = 0;
  virtual std::optional<ClusterConfig> DecodeConfig(const KvItem& item) const = 0;
  /// Returns whether the key is that of an upkeep wave.
  virtual bool IsWaveKey(std::string_view key) const = 0;
  virtual std::optional<UpkeepWave> DecodeWave(const KvItem& item) const = 0;
  /// Returns whether the key requests the evacuation of an availability zone while it exists.
  virtual bool IsEvacuationKey(std::string_view key) const = 0;
  /// Returns the zone that such a key names. @return nothing if the key is malformed
  virtual std::optional<std::string> EvacuatedZoneOf(std::string_view key) const = 0;
  virtual KvWrite EncodeWaveStatus(std::int64_t wave, bool done) const = 0;

  /// Prefix of the workers' registrations.
  virtual std::string_view WorkerPrefix() const = 0;
  /// Returns the id of a worker from the key of its registration.
  virtual std::string WorkerIdOf(std::string_view key) const = 0;
  virtual std::optional<WorkerInfo> DecodeWorker(const KvItem& item) const = 0;

  /// Decodes the method and path of a caller's request. @param rest path after the queue's prefix
  virtual std::optional<JobRequest> DecodeCall(std::string_view method,
                                               std::string_view rest) const = 0;
  /// Decodes a submission into `spec`. @return the reason why it is not valid, or nothing
  virtual std::optional<std::string> DecodeJob(std::string_view body, JobSpec* spec) const = 0;
  /// Returns the key of a request, or an empty view if it has none.
  virtual std::string_view KeyOf(const ApiRequest& request) const = 0;
  /// Returns how long the caller waits for the reply, or 0 if the request does not specify it.
  virtual Duration CallerTimeoutOf(const ApiRequest& request) const = 0;
  virtual ApiResponse EncodeState(JobState state) const = 0;
  virtual ApiResponse EncodeWaiting(int jobs) const = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_PLATFORM_FORMAT_H_
