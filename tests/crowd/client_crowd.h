#ifndef GALENAFLOW_CROWD_CLIENT_CROWD_H
#define GALENAFLOW_CROWD_CLIENT_CROWD_H

#include "crowd/client_channel.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace galenaflow::crowd {

/// What one client of a crowd sends, and how.
struct ClientScript {
  std::string Bytes; ///< sent once on each connection
  /// Bytes that one step sends; the rest is sent in later steps.
  std::size_t PieceBytes = std::size_t{1} << 20;
  bool Reads = false;   ///< reads and discards what the server sends
  bool Repeats = false; ///< sends the bytes again and again
  std::string Tail{};   ///< sent after Bytes once the crowd is released
  ChannelKind Channel = ChannelKind::Plain;
  int Connections = 3; ///< that it makes in all when the server closes them
};

using Scripts = std::vector<std::shared_ptr<const ClientScript>>;

/// Clients that keep their connections open for as long as the server does.
/// A client whose connection the server has closed connects again at once, a
/// limited number of times.
class ClientCrowd {
public:
  ClientCrowd(const transport::SocketAddress &target, const Scripts &scripts);

  /// Sends and reads as much as the sockets take, without blocking. Returns
  /// the number of bytes that were sent, plus the connections that were made.
  std::size_t step();

  /// Lets all clients send their tails in the next step.
  void release() { IsReleased = true; }

  std::size_t openConnections() const;

private:
  struct Client {
    std::shared_ptr<const ClientScript> Script;
    std::unique_ptr<ClientChannel> Channel;
    std::size_t Sent = 0;
    int ConnectionsLeft = 0;
  };

  bool connect(Client &client) const;
  std::size_t stepClient(Client &client) const;

  transport::SocketAddress Target;
  std::vector<Client> Clients;
  bool IsReleased = false;
};

} // namespace galenaflow::crowd

#endif
