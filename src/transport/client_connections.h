#ifndef GALENAFLOW_TRANSPORT_CLIENT_CONNECTIONS_H
#define GALENAFLOW_TRANSPORT_CLIENT_CONNECTIONS_H

#include "transport/client_memory.h"
#include "transport/client_memory_policy.h"
#include "transport/event_loop.h"
#include "transport/http2_body_counter.h"

#include <list>
#include <map>

namespace galenaflow::transport {

class ClientConnections;

/// One accepted connection and the bytes that are held for it.
struct ClientConnection : std::enable_shared_from_this<ClientConnection> {
  ClientConnections *Owner = nullptr;
  std::uint64_t Id = 0;
  st_h2o_socket_t *Sock = nullptr; ///< null once it is closed
  /// The callback of h2o, which gets the bytes that were accepted.
  void (*Read)(st_h2o_socket_t *, const char *) = nullptr;
  bool IsTls = false;
  std::size_t LargestRead = 0; ///< bytes of TLS that were decrypted in one turn
  std::optional<Http2BodyCounter> Http2;
  bool IsHeadAccepted = false; ///< of the request that is being received
  bool IsLingering = false;
  bool IsClosing = false;        ///< the socket was shut down
  std::size_t OpenRequests = 0;  ///< complete ones without a written answer
  std::size_t ReservedBytes = 0; ///< for the request that is being received
  std::size_t AnswerBytes = 0;   ///< that have not been taken by the client
  std::size_t CountedBytes = 0;  ///< in ClientMemory
  std::size_t DiscardedBytes = 0;
  state::TimePoint LastProgress;
  state::TimePoint HeadSince; ///< arrival of the first byte of a request
  state::TimePoint LingerUntil;
  std::list<ClientConnection *>::iterator Place; ///< by last progress
};
using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// The connections of one server. Reads them in bounded pieces, counts what
/// they hold in EventLoop::clientMemory(), refuses bodies that do not fit and
/// closes those that give way.
class ClientConnections {
public:
  /// A part of a head may wait this long for the rest; no limit by default.
  state::Duration HeadTimeout = state::Duration::max();
  std::size_t MaxBodyBytes = 0;
  /// Also limited so that connections alone take at most half of the limit of
  /// EventLoop::clientMemory().
  std::size_t MaxConnections = 0;
  bool HasTls = false; ///< whether connections will use TLS

  explicit ClientConnections(EventLoop &loop) : Loop(loop) {}
  ~ClientConnections() { stop(); }
  ClientConnections(const ClientConnections &) = delete;
  ClientConnections &operator=(const ClientConnections &) = delete;

  /// Closes the connection that has been idle for the longest time if there are
  /// as many as allowed. Returns false if none may be closed.
  bool makeRoomForConnection();

  /// Takes over an accepted socket. Call before h2o gets it.
  void add(st_h2o_socket_t *sock, bool isTls);

  /// Reads the socket from now on. Call after h2o got it.
  void startReading(st_h2o_socket_t *sock);

  /// A complete request was copied. Returns its connection.
  ClientConnectionPtr onRequest(st_h2o_socket_t *sock);
  void onAnswer(ClientConnection &connection, std::size_t bytes);
  void onAnswerProgress(ClientConnection &connection);
  void onRequestEnd(const ClientConnectionPtr &connection,
                    std::size_t answerBytes);

  std::size_t size() const { return Connections.size(); }

  /// Ends the timer.
  void stop();

private:
  static constexpr state::Duration SweepInterval =
      std::chrono::milliseconds(100);
  /// A refused client gets this time and so many bytes to see the answer, since
  /// a close with unread input destroys it on the way.
  static constexpr state::Duration LingerTime = std::chrono::seconds(1);
  static constexpr std::size_t MaxLingerBytes = std::size_t{4} << 20;
  static constexpr std::size_t MaxLingering = 100;
  /// A request up to this size may use the reserve.
  static constexpr std::size_t SmallRequestBytes = std::size_t{32} << 10;
  /// Counted for each connection: h2o's state of it, and the first block of the
  /// memory of a request.
  static constexpr std::size_t ConnectionBytes = std::size_t{4} << 10;
  /// Counted for a TLS connection in addition: the session and its handshake.
  static constexpr std::size_t TlsBytes = std::size_t{28} << 10;

  static void onReadable(st_h2o_socket_t *sock, const char *err);
  static void onClosed(void *data);

  std::size_t connectionLimit() const;
  ClientPhase phase(const ClientConnection &connection) const;
  void intercept(ClientConnection &connection);
  void interceptSoon(const ClientConnectionPtr &connection, int attempts);
  void read(const ClientConnectionPtr &connection, const char *err);
  void readTls(const ClientConnectionPtr &connection, const char *err);
  void deliver(const ClientConnectionPtr &connection, const char *err);
  bool append(const ClientConnectionPtr &connection, std::string_view bytes);
  bool acceptHead(const ClientConnectionPtr &connection);
  bool makeRoom(const ClientConnection *asking, std::size_t bytes,
                ClientDemand demand);
  bool evictFor(const ClientConnection *asking, std::size_t missing,
                ClientDemand demand);
  std::vector<ClientLoad> loads(const ClientConnection *without) const;
  void count(ClientConnection &connection);
  void touch(ClientConnection &connection);
  void refuse(const ClientConnectionPtr &connection);
  void evict(ClientConnection &connection);
  void sendRefusal(const ClientConnection &connection);
  void close(ClientConnection &connection);
  void discard(const ClientConnectionPtr &connection);
  void scheduleSweep();
  void sweep();

  EventLoop &Loop;
  std::map<std::uint64_t, ClientConnectionPtr> Connections;
  std::list<ClientConnection *> ByProgress; ///< the longest idle first
  std::uint64_t LastId = 0;
  std::size_t Lingering = 0;
  TimerId SweepTimer = 0;
};

} // namespace galenaflow::transport

#endif
