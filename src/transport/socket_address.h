#ifndef GALENAFLOW_TRANSPORT_SOCKET_ADDRESS_H
#define GALENAFLOW_TRANSPORT_SOCKET_ADDRESS_H

#include "state/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <sys/socket.h>

namespace galenaflow::transport {

/// Holds an IP address and a port. Host names are not resolved: processes
/// address each other by IP address only.
struct SocketAddress {
  sockaddr_storage Storage{};
  socklen_t Length = 0;

  const sockaddr *data() const {
    return reinterpret_cast<const sockaddr *>(&Storage);
  }
  sockaddr *data() { return reinterpret_cast<sockaddr *>(&Storage); }

  /// "127.0.0.1:80" or "[::1]:80".
  std::string toText() const;
};

/// Parses "127.0.0.1:80" or "[::1]:80". Error: InvalidArgument.
state::Result<SocketAddress> parseSocketAddress(std::string_view text);

/// Opens a non-blocking listening socket. Port 0 selects a free port, which is
/// then stored in `address`. Error: Unavailable.
state::Result<int> listenOn(SocketAddress &address);

} // namespace galenaflow::transport

#endif
