#ifndef GALENAFLOW_TRANSPORT_SOCKET_INPUT_H
#define GALENAFLOW_TRANSPORT_SOCKET_INPUT_H

#include <cstddef>
#include <string_view>

struct st_h2o_socket_t;

namespace galenaflow::transport {

/// One turn of the event loop reads at most this from a connection, in bytes.
constexpr std::size_t MaxReadBytes = std::size_t{64} << 10;

/// What a connection has received since the last read.
struct SocketInput {
  std::string_view Bytes; ///< valid until the next read of any connection
  bool IsClosed = false;  ///< the peer has ended the connection in order
  bool IsBroken = false;  ///< the connection was reset or has failed
};

/// Calls `callback` in each turn of the event loop in which the socket has
/// input. The callback reads it with readInput().
void startReading(st_h2o_socket_t *sock,
                  void (*callback)(st_h2o_socket_t *, const char *));

/// Returns the next bytes, or nothing when there are none.
SocketInput readInput(st_h2o_socket_t *sock);

} // namespace galenaflow::transport

#endif
