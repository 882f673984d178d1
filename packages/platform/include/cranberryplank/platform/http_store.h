#ifndef CRANBERRYPLANK_PLATFORM_HTTP_STORE_H_
#define CRANBERRYPLANK_PLATFORM_HTTP_STORE_H_

#include <string>

#include "cranberryplank/platform/http_client.h"
#include "cranberryplank/platform/store.h"

namespace cranberryplank {

/// Store client for Consul's KV HTTP API.
class HttpStore : public Store {
 public:
  /// An overloaded store takes 2 s and more for each call. With a shorter timeout every call would
  /// time out, and no change could be recorded.
  static constexpr Duration kCallTimeout{6'000};

  /// @param client must outlive the store
  /// @param timeout timeout of a read or write; a watch adds it to its wait
  HttpStore(HttpClient* client, std::string host, std::uint16_t port,
            Duration timeout = kCallTimeout);

  void Read(std::string_view key, ReadCallback done) override;
  void Watch(std::string_view key, std::uint64_t watch_index, Duration wait,
             ReadCallback done) override;
  void CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index,
                      WriteCallback done) override;

 private:
  void Get(std::string_view key, std::string_view query, Duration timeout, ReadCallback done);

  HttpClient* m_client;
  std::string m_host;
  std::uint16_t m_port;
  Duration m_timeout;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_HTTP_STORE_H_
