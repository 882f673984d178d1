#include "client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>

namespace cranberryplank {

namespace {

/// Of the clients' own sockets. Little is received, so that unread responses stay with the daemon.
constexpr int kReceiveBufferBytes = 4 << 10;
constexpr int kSendBufferBytes = 64 << 10;
constexpr std::size_t kPieceBytes = 32 << 10;
/// A crowd stops sending after this many rounds in which the daemon took nothing.
constexpr int kIdleRounds = 60;
constexpr int kRoundMs = 50;
/// Times that a client connects again after the daemon has closed its connection.
constexpr int kMaxReconnects = 20;

int OpenSocket(std::uint16_t port, bool small_buffers) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(socket >= 0);
  if (small_buffers) {
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (small_buffers) {
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
  }
  // A refused connection shows when something is sent.
  static_cast<void>(connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address));
  return socket;
}

}  // namespace

ClientCrowd::ClientCrowd(std::uint16_t port, int count, WhenClosed when_closed)
    : m_port(port), m_when_closed(when_closed), m_clients(static_cast<std::size_t>(count)) {
  for (Client& client : m_clients) {
    Connect(&client);
  }
}

ClientCrowd::~ClientCrowd() {
  for (const Client& client : m_clients) {
    close(client.socket);
  }
}

void ClientCrowd::Connect(Client* client) const {
  client->socket = OpenSocket(m_port, true);
  client->open = true;
  client->sent = 0;
}

bool ClientCrowd::SendPiece(Client* client, std::string_view text, std::size_t bytes_each) {
  const std::size_t left = bytes_each - client->sent;
  const std::string_view piece =
      text.substr(client->sent % text.size(), std::min(left, kPieceBytes));
  const ssize_t sent = send(client->socket, piece.data(), piece.size(), MSG_NOSIGNAL);
  if (sent > 0) {
    client->sent += static_cast<std::size_t>(sent);
    return true;
  }
  if (errno != EAGAIN) {
    HandleClosed(client);
  }
  return false;
}

void ClientCrowd::HandleClosed(Client* client) const {
  client->open = false;
  if (m_when_closed == WhenClosed::kReconnect && client->reconnects < kMaxReconnects) {
    close(client->socket);
    ++client->reconnects;
    Connect(client);
  }
}

void ClientCrowd::Send(std::string_view text, std::size_t bytes_each,
                       const std::function<void()>& observe) {
  std::vector<pollfd> polled;
  std::vector<Client*> clients;
  for (int idle = 0; idle < kIdleRounds;) {
    polled.clear();
    clients.clear();
    for (Client& client : m_clients) {
      if (client.open && client.sent < bytes_each) {
        polled.push_back({client.socket, POLLOUT, 0});
        clients.push_back(&client);
      }
    }
    if (polled.empty()) {
      break;
    }
    bool progress = false;
    poll(polled.data(), polled.size(), kRoundMs);
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if (polled[i].revents != 0) {
        progress = SendPiece(clients[i], text, bytes_each) || progress;
      }
    }
    idle = progress ? 0 : idle + 1;
    observe();
  }
}

void ClientCrowd::ReadFromEach(std::size_t bytes) {
  std::string text(bytes, '\0');
  for (const Client& client : m_clients) {
    recv(client.socket, text.data(), text.size(), MSG_DONTWAIT);
  }
}

std::string Repeated(std::string_view request, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += request;
  }
  return text;
}

std::string Call(std::uint16_t port, std::string_view request) {
  const int socket = OpenSocket(port, false);
  std::string response;
  if (send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(request.size())) {
    std::array<char, 4'096> piece{};
    ssize_t size = 0;
    while ((size = recv(socket, piece.data(), piece.size(), 0)) > 0) {
      response.append(piece.data(), static_cast<std::size_t>(size));
    }
  }
  close(socket);
  return response;
}

}  // namespace cranberryplank
