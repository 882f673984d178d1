#ifndef CRANBERRYPLANK_PLATFORM_HTTP_VM_DIRECTORY_H_
#define CRANBERRYPLANK_PLATFORM_HTTP_VM_DIRECTORY_H_

#include <string>

#include "cranberryplank/platform/http_client.h"
#include "cranberryplank/platform/vm_directory.h"

namespace cranberryplank {

/// VM list from Consul's health API. A VM's id is its node name. A VM is leaving if its service has
/// the tag `leaving`, and it is not listed if the node's `serfHealth` check is critical. The index
/// is watched by a blocking query with a filter that matches no node, because Consul answers when
/// the service's index changes, regardless of the filter, and the answer has no entries.
class HttpVmDirectory : public VmDirectory {
 public:
  /// @param client must outlive the directory
  HttpVmDirectory(HttpClient* client, std::string host, std::uint16_t port,
                  Duration timeout = Duration(1'000));

  void List(std::string_view service, ListCallback done) override;
  void WatchIndex(std::string_view service, std::uint64_t index, Duration wait,
                  IndexCallback done) override;

 private:
  void Get(std::string_view service, std::string_view query, Duration timeout,
           std::function<void(TimePoint now, const HttpReply& reply)> done);

  HttpClient* m_client;
  std::string m_host;
  std::uint16_t m_port;
  Duration m_timeout;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_HTTP_VM_DIRECTORY_H_
