#ifndef CRANBERRYPLANK_PEERS_NUMERIC_ADDRESS_H_
#define CRANBERRYPLANK_PEERS_NUMERIC_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace cranberryplank {

/// Socket address made from a numeric IPv4 or IPv6 address.
class NumericAddress {
 public:
  /// Returns nothing if `host` is not a numeric address. Port 0 is allowed.
  static std::optional<NumericAddress> Parse(std::string_view host, std::uint16_t port);

  /// Returns the port that `socket` is bound to, or 0.
  static std::uint16_t BoundPort(int socket);

  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&m_storage); }
  int size() const { return m_size; }
  int family() const { return m_storage.ss_family; }

 private:
  sockaddr_storage m_storage{};
  int m_size = sizeof m_storage;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_NUMERIC_ADDRESS_H_
