#include "transport/socket_input.h"

#include "transport/h2o_api.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>

// h2o reads a socket until it is empty, into a buffer that it doubles. A peer
// that sends faster than the process reads keeps it reading, so that one read
// can return tens of megabytes before any limit sees them. Sockets are
// therefore read here, a bounded piece at a time. The rest waits in the receive
// buffer of the socket, which in turn holds up the peer.

namespace galenaflow::transport {

void startReading(h2o_socket_t *sock, h2o_socket_cb callback) {
  h2o_socket_dont_read(sock, 1);
  h2o_socket_read_start(sock, callback);
}

SocketInput readInput(h2o_socket_t *sock) {
  static thread_local std::array<char, MaxReadBytes> buf;
  const ssize_t n =
      recv(h2o_socket_get_fd(sock), buf.data(), buf.size(), MSG_DONTWAIT);
  SocketInput input;
  if (n > 0)
    input.Bytes = {buf.data(), static_cast<std::size_t>(n)};
  else if (n == 0)
    input.IsClosed = true;
  else
    input.IsBroken = errno != EAGAIN && errno != EINTR;
  return input;
}

} // namespace galenaflow::transport
