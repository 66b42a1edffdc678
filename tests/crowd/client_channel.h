#ifndef GALENAFLOW_CROWD_CLIENT_CHANNEL_H
#define GALENAFLOW_CROWD_CLIENT_CHANNEL_H

#include "transport/socket_address.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace galenaflow::crowd {

/// How a client speaks to the server.
enum class ChannelKind {
  Plain,
  Tls,   ///< TLS, with HTTP/1.1
  Http2, ///< TLS, with HTTP/2 by ALPN
};

/// One connection of a client. No call blocks.
class ClientChannel {
public:
  virtual ~ClientChannel() = default;

  /// Sends a part of `bytes` and returns its size, zero if none can be sent
  /// now.
  virtual std::size_t send(std::string_view bytes) = 0;

  /// Returns bytes that the server has sent, valid until the next call. Without
  /// `takes`, it leaves them in the socket where the protocol allows it, and
  /// only finds out whether the connection has ended.
  virtual std::string_view receive(bool takes) = 0;

  /// Whether the server has ended the connection.
  virtual bool isClosed() const = 0;
};

/// Starts to connect. Returns null if there is no socket.
std::unique_ptr<ClientChannel> connectChannel(ChannelKind kind,
                                              transport::SocketAddress target);

} // namespace galenaflow::crowd

#endif
