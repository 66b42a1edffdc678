#ifndef GALENAFLOW_CROWD_CLIENT_CROWD_H
#define GALENAFLOW_CROWD_CLIENT_CROWD_H

#include "transport/socket_address.h"

#include <cstddef>
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
};

/// Clients that keep their connections open for as long as the server does.
/// A client whose connection the server has closed connects again, a limited
/// number of times.
class ClientCrowd {
public:
  ClientCrowd(const transport::SocketAddress &target,
              std::vector<ClientScript> scripts);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;

  /// Sends and reads as much as the sockets take, without blocking. Returns
  /// the number of bytes that were sent, plus the connections that were made.
  std::size_t step();

  std::size_t openConnections() const;

private:
  struct Client {
    ClientScript Script;
    int Socket = -1;
    std::size_t Sent = 0;
    int ConnectsLeft = 3;
  };

  bool connect(Client &client) const;
  static std::size_t stepClient(Client &client);

  transport::SocketAddress Target;
  std::vector<Client> Clients;
};

/// The names of the cases, each a crowd.
const std::vector<std::string> &crowdCases();

/// What the clients of a crowd send depends on the program.
struct CrowdTarget {
  std::string HeadStart; ///< request line and headers without the framing
  /// Complete requests whose answers are large.
  std::string LargeAnswerRequest;
};

/// Returns the scripts of a case.
std::vector<ClientScript> makeCrowd(const std::string &name,
                                    const CrowdTarget &target);

} // namespace galenaflow::crowd

#endif
