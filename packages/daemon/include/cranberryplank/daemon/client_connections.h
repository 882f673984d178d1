#ifndef CRANBERRYPLANK_DAEMON_CLIENT_CONNECTIONS_H_
#define CRANBERRYPLANK_DAEMON_CLIENT_CONNECTIONS_H_

#include <cstddef>
#include <functional>
#include <unordered_map>

#include "cranberryplank/model/time.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event;
struct event_base;

namespace cranberryplank {

/// Limits over all connections of a server.
struct ConnectionLimits {
  std::size_t connections = 4'096;  ///< Number of open connections.
  /// Memory of incomplete requests and unread responses, in bytes.
  std::size_t buffered_bytes = std::size_t{1} << 30U;
  /// Memory of the kernel for what one connection has received and the process has not read, in
  /// bytes; 0 for the system's default.
  std::size_t receive_queue_bytes = 0;
  /// Memory of the kernel for what the process has written to one connection and its client has
  /// not received, in bytes; 0 for the system's default.
  std::size_t send_queue_bytes = 0;
};

/// The open connections of one HTTP server. At a limit it closes those that make least progress, so
/// that clients which open many connections, do not complete requests or do not read responses
/// leave room for others. A connection whose request is being handled is not closed.
///
/// A connection counts until its socket and its buffers are released. Closing one for a limit
/// releases both at once.
class ClientConnections {
 public:
  /// Accepts connections, or stops accepting them.
  using SetAccepting = std::function<void(bool accepting)>;

  /// @param set_accepting called with false when no connection can be closed to make room for
  /// another, and with true when there is room again
  ClientConnections(event_base* base, const ConnectionLimits& limits, SetAccepting set_accepting);
  ~ClientConnections();
  ClientConnections(const ClientConnections&) = delete;
  ClientConnections& operator=(const ClientConnections&) = delete;

  /// Returns the stream for a new connection. Closes other connections if there are too many.
  bufferevent* Add(TimePoint now);
  /// Reports that a request was read. Until its response is written, at most one further piece is
  /// read from the connection. Otherwise a client could send requests ahead without a bound.
  void BeginRequest(TimePoint now, bufferevent* stream);
  /// Reports that the response waits to be written.
  void BeginResponse(TimePoint now, bufferevent* stream);
  /// Reports that the response was written, so that the next request is read.
  void EndResponse(TimePoint now, bufferevent* stream);
  /// Returns the number of open connections.
  std::size_t open() const { return m_connections.size(); }
  /// Returns the memory of incomplete requests and unread responses, in bytes.
  std::size_t buffered_bytes() const { return m_buffered; }
  /// Returns the number of connections that were closed because of a limit.
  std::size_t closed() const { return m_closed_for_number + m_closed_for_bytes; }

 private:
  struct Connection {
    ClientConnections* owner = nullptr;
    bufferevent* stream = nullptr;
    TimePoint last_progress{};  ///< When it was accepted, or a request or response was complete.
    std::size_t received = 0;   ///< Bytes of its incomplete request, and of what follows it.
    std::size_t unsent = 0;     ///< Bytes of responses.
    std::size_t counted = 0;    ///< Memory that `m_buffered` includes for it, in bytes.
    bool handling = false;      ///< A request was read and has no response yet.
    bool paused = false;        ///< At most one further piece is read.
  };
  using Table = std::unordered_map<bufferevent*, Connection>;

  static void OnInputChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* connection);
  static void OnOutputChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* connection);

  static void OnSweep(int, short, void* self);      // NOLINT(google-runtime-int): libevent's type
  static void OnByteLimit(int, short, void* self);  // NOLINT(google-runtime-int): libevent's type

  /// Releases the connections that the HTTP library has ended.
  void RemoveEnded();
  void SetState(TimePoint now, bufferevent* stream, bool handling);
  /// Reads nothing more while a request is handled or a response is unread, also one that the HTTP
  /// library gives by itself.
  static void UpdateReading(Connection* connection);
  /// Updates the memory that is counted for a connection.
  void Count(Connection* connection);
  void EnforceByteLimit();
  void UpdateAccepting();
  /// Returns the connection that makes least progress, or the end of the table.
  Table::iterator LeastProgress(TimePoint now);
  Table::iterator MostBuffered();
  /// Closes a connection whose request is not being handled, because of a limit.
  void Close(Table::iterator connection);
  /// Logs the closings since the last call. A line for each would be most of the log in a crowd.
  void LogClosings();
  /// Closes the socket of a connection that the HTTP library has ended, and frees its buffers.
  Table::iterator Release(Table::iterator connection);

  event_base* m_base;
  event* m_sweep;
  event* m_byte_limit;  ///< Runs as soon as the callback that exceeded the limit returns.
  ConnectionLimits m_limits;
  SetAccepting m_set_accepting;
  bool m_accepting = true;
  Table m_connections;
  std::size_t m_buffered = 0;           ///< Sum of `counted`.
  std::size_t m_closed_for_number = 0;  ///< Because there were too many connections.
  std::size_t m_closed_for_bytes = 0;   ///< Because they held too much memory.
  std::size_t m_logged_closings = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_CLIENT_CONNECTIONS_H_
