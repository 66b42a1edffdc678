#ifndef GALENAFLOW_STANDIN_RAW_HTTP_SERVER_H
#define GALENAFLOW_STANDIN_RAW_HTTP_SERVER_H

#include "transport/event_loop.h"
#include "transport/http_message.h"
#include "transport/socket_address.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

struct st_h2o_socket_t;

namespace galenaflow::standin {

class RawHttpServer;

/// One accepted connection. Its requests are handled one after the other. Calls
/// have no effect after the connection is closed.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
public:
  RawConnection(RawHttpServer &server, st_h2o_socket_t *sock)
      : Server(server), Sock(sock) {}

  /// Sends the response to the current request and then reads the next request.
  void respond(const transport::HttpResponse &response);

  /// Sends a content-length of the whole body, but only the first `bytes` of
  /// it, and closes the connection.
  void respondTruncated(const transport::HttpResponse &response,
                        std::size_t bytes);

  /// Sends these bytes and then reads the next request.
  void respondRaw(std::string bytes) { write(std::move(bytes), false); }

  /// Sends these bytes and closes the connection.
  void respondCut(std::string bytes) { write(std::move(bytes), true); }

  /// Sends `start` and then `repeated` without end, until the peer closes.
  void respondEndlessly(std::string start, std::string repeated);

  /// Closes with a TCP reset.
  void reset();

  bool isOpen() const { return Sock != nullptr; }

private:
  friend class RawHttpServer;
  static void onRead(st_h2o_socket_t *sock, const char *err);
  static void onWritten(st_h2o_socket_t *sock, const char *err);
  void start();
  void parse();
  void write(std::string text, bool closeAfter);
  void close();

  RawHttpServer &Server;
  st_h2o_socket_t *Sock;
  std::string Input;
  std::string Output;
  std::string Repeated; ///< sent after each write, if not empty
  bool IsHandling = false;
  bool IsWriting = false;
  bool CloseAfterWrite = false;
};

using RawConnectionPtr = std::shared_ptr<RawConnection>;

struct RawServerOptions {
  /// Connections above this number are reset when accepted.
  std::size_t ConnectionLimit = SIZE_MAX;

  /// Delay until a new connection is read.
  state::Duration ConnectionCost{0};
};

struct RawServerStats {
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
  std::size_t Peak = 0;
};

/// Serves HTTP/1.1 for stand-ins. Unlike transport::HttpServer it can violate
/// the protocol on purpose, delay new connections and count refused ones.
class RawHttpServer {
public:
  using Handler =
      std::function<void(transport::HttpRequest, const RawConnectionPtr &)>;

  RawHttpServer(transport::EventLoop &loop, Handler handler);
  ~RawHttpServer();
  RawHttpServer(const RawHttpServer &) = delete;
  RawHttpServer &operator=(const RawHttpServer &) = delete;

  /// Opens the listener; port 0 stands for a free port. Returns the bound
  /// address.
  state::Result<transport::SocketAddress>
  listen(transport::SocketAddress address);

  /// Closes the listener and resets all connections.
  void shutDown();

  bool isListening() const { return Listener != nullptr; }
  std::size_t openConnections() const { return Connections.size(); }
  const RawServerStats &stats() const { return Stats; }
  RawServerOptions &options() { return Options; }

private:
  friend class RawConnection;
  static void onAccept(st_h2o_socket_t *listener, const char *err);

  transport::EventLoop &Loop;
  Handler OnRequest;
  RawServerOptions Options;
  RawServerStats Stats;
  st_h2o_socket_t *Listener = nullptr;
  std::unordered_set<RawConnectionPtr> Connections;
};

} // namespace galenaflow::standin

#endif
