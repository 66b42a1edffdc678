#ifndef GALENAFLOW_STANDIN_PROXY_ROUTE_H
#define GALENAFLOW_STANDIN_PROXY_ROUTE_H

#include "transport/event_loop.h"
#include "transport/socket_address.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <unordered_set>

struct st_h2o_socket_t;

namespace galenaflow::standin {

/// Faults of one direction. Byte counts are per connection; zero disables a
/// fault.
struct DirectionFaults {
  double DelayMs = 0;
  double JitterMs = 0;             ///< uniform, added to the delay
  double BytesPerSecond = 0;       ///< bandwidth
  bool Drop = false;               ///< discards; the connection stays open
  std::uint32_t TruncateAfter = 0; ///< discards all further bytes
  std::uint32_t CloseAfter = 0;    ///< then closes both sides
  std::uint32_t ResetAfter = 0;    ///< then resets both sides
};

class ProxyLink;

/// Forwards connections from one listen address to one target. Control JSON:
///   "up", "down"        faults from client to target and back, the member
///                       names of DirectionFaults in snake_case
///   "refuse"            closes the listener until false
///   "reset_accepted"    resets every new connection
///   "target"            address for new connections
///   "reset_existing"    true resets all open connections once
///   "silence_existing"  "up", "down" or "both": the open connections discard
///                       all further bytes in this direction; new connections
///                       are not affected
class ProxyRoute {
public:
  ProxyRoute(transport::EventLoop &loop, const nlohmann::json &config,
             std::uint64_t seed);
  ~ProxyRoute();

  state::Result<bool> listen();

  /// Applies the control JSON. Returns an error message if it is invalid, an
  /// empty text on success.
  std::string apply(const nlohmann::json &changes);

  /// While partitioned, no byte is forwarded. Afterwards the open connections
  /// continue without a lost byte, as with TCP retransmission.
  void setPartitioned(bool partitioned);

  nlohmann::json stats() const;
  const std::string &id() const { return Id; }
  const std::string &from() const { return From; }
  const std::string &to() const { return To; }
  std::string address() const { return Address.toText(); }

private:
  friend class ProxyLink;
  static void onAccept(st_h2o_socket_t *listener, const char *err);
  void accept(st_h2o_socket_t *sock);
  void count(std::size_t direction, const char *fault, std::uint64_t n = 1);
  void count(const char *fault) { ++Counts[fault]; }
  void silenceExisting(const std::string &which);

  transport::EventLoop &Loop;
  std::string Id;
  std::string From; ///< name of the client side in partitions
  std::string To;   ///< name of the target side in partitions
  transport::SocketAddress Address;
  transport::SocketAddress Target;
  std::array<DirectionFaults, 2> Faults; ///< up, then down
  bool Refuse = false;
  bool ResetAccepted = false;
  bool Partitioned = false;
  st_h2o_socket_t *Listener = nullptr;
  std::mt19937_64 Random;
  std::unordered_set<std::shared_ptr<ProxyLink>> Links;
  std::map<std::string, std::uint64_t> Counts;
};

} // namespace galenaflow::standin

#endif
