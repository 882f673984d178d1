#ifndef TESTS_PROCESS_CLIENT_CROWD_H_
#define TESTS_PROCESS_CLIENT_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryplank {

/// Many connections to a daemon that send without reading. One thread drives all of them, and their
/// own socket buffers are small, so that what is not read stays with the daemon.
class ClientCrowd {
 public:
  /// What a client does when the daemon closes its connection.
  enum class WhenClosed { kStay, kReconnect };

  ClientCrowd(std::uint16_t port, int count, WhenClosed when_closed = WhenClosed::kStay);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Sends on all connections in turn until each has sent `bytes_each`, or until the daemon has
  /// taken nothing from any of them for a while.
  /// @param text repeated as often as needed
  /// @param observe called after each round over the connections
  void Send(std::string_view text, std::size_t bytes_each, const std::function<void()>& observe);

  /// Reads up to `bytes` bytes on each connection.
  void ReadFromEach(std::size_t bytes);

 private:
  struct Client {
    int socket = -1;
    std::size_t sent = 0;
    bool open = false;
    int reconnects = 0;
  };

  void Connect(Client* client) const;
  /// Returns whether bytes were sent.
  bool SendPiece(Client* client, std::string_view text, std::size_t bytes_each);
  void HandleClosed(Client* client) const;

  std::uint16_t m_port;
  WhenClosed m_when_closed;
  std::vector<Client> m_clients;
};

/// Returns `request` repeated until the text has at least `bytes` bytes.
std::string Repeated(std::string_view request, std::size_t bytes);

/// Sends one request on a connection of its own and returns the response, up to the end of the
/// connection; empty if the connection ends before a response.
std::string Call(std::uint16_t port, std::string_view request);

}  // namespace cranberryplank

#endif  // TESTS_PROCESS_CLIENT_CROWD_H_
