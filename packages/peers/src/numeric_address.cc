#include "numeric_address.h"

#include <event2/util.h>
#include <netinet/in.h>

#include <string>

namespace cranberryplank {

namespace {

// The port has the same offset in both address families.
static_assert(offsetof(sockaddr_in, sin_port) == offsetof(sockaddr_in6, sin6_port));

in_port_t& Port(sockaddr_storage* storage) {
  return reinterpret_cast<sockaddr_in*>(storage)->sin_port;
}

}  // namespace

std::optional<NumericAddress> NumericAddress::Parse(std::string_view host, std::uint16_t port) {
  NumericAddress address;
  auto* generic = reinterpret_cast<sockaddr*>(&address.m_storage);
  // The parser refuses port 0, so the port is set afterwards.
  if (evutil_parse_sockaddr_port(std::string(host).c_str(), generic, &address.m_size) != 0) {
    return std::nullopt;
  }
  Port(&address.m_storage) = htons(port);
  return address;
}

std::uint16_t NumericAddress::BoundPort(int socket) {
  sockaddr_storage storage{};
  socklen_t size = sizeof storage;
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return 0;
  }
  return ntohs(Port(&storage));
}

}  // namespace cranberryplank
