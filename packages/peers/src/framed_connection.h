#ifndef CRANBERRYPLANK_PEERS_FRAMED_CONNECTION_H_
#define CRANBERRYPLANK_PEERS_FRAMED_CONNECTION_H_

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/peer_codec.h"

namespace cranberryplank {

/// TCP connection that carries length-prefixed frames. Signals are emitted only from the event
/// loop, never from within a call of a member function, and never after Close().
class FramedConnection : public std::enable_shared_from_this<FramedConnection> {
 public:
  using OpenedSignal = sigc::signal<void>;
  using PayloadSignal = sigc::signal<void, std::string_view>;
  using ClosedSignal = sigc::signal<void, const std::string& /*reason*/>;

  /// Starts to connect to `host`, a numeric IP address.
  /// @return nullptr, with `last_reason` set, if the address is not valid or no socket can be
  ///   created.
  static std::shared_ptr<FramedConnection> Connect(event_base* base, std::string_view host,
                                                   std::uint16_t port, Duration stall_timeout,
                                                   std::string* last_reason);

  /// Takes over an accepted socket.
  static std::shared_ptr<FramedConnection> Accept(event_base* base, evutil_socket_t socket,
                                                  Duration stall_timeout);

  ~FramedConnection();
  FramedConnection(const FramedConnection&) = delete;
  FramedConnection& operator=(const FramedConnection&) = delete;

  /// Queues a frame. Does nothing once the connection has failed.
  void Write(std::string_view frame);

  /// Bytes queued and not yet handed to the kernel.
  std::size_t pending_output() const;

  /// Sets the largest payload accepted from now on.
  void set_payload_limit(std::size_t bytes);

  /// Ends the connection; the event loop emits `signal_closed()` later.
  void Fail(std::string_view reason);

  /// Ends the connection without a signal.
  void Close();

  /// Returns whether frames can still be written.
  bool usable() const { return m_bufferevent != nullptr && m_failure.empty(); }

  OpenedSignal& signal_opened() { return m_opened; }
  PayloadSignal& signal_payload() { return m_payload; }
  ClosedSignal& signal_closed() { return m_closed; }

 private:
  FramedConnection(event_base* base, evutil_socket_t socket, Duration stall_timeout);

  static void OnRead(bufferevent* bufferevent, void* self);
  static void OnEvent(bufferevent* bufferevent, std::int16_t what, void* self);
  static void OnFailure(evutil_socket_t socket, std::int16_t what, void* self);
  void ReadFrames();
  void ReportFailure();

  bufferevent* m_bufferevent = nullptr;
  event* m_failure_event = nullptr;
  std::string m_failure;  ///< Reason of the failure; empty while the connection is usable.
  std::size_t m_payload_limit = kMaxFramePayloadBytes;
  PeerCodec m_codec;
  OpenedSignal m_opened;
  PayloadSignal m_payload;
  ClosedSignal m_closed;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_FRAMED_CONNECTION_H_
