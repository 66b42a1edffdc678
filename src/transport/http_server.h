#ifndef GALENAFLOW_TRANSPORT_HTTP_SERVER_H
#define GALENAFLOW_TRANSPORT_HTTP_SERVER_H

#include "state/error.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"
#include "transport/socket_address.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace galenaflow::transport {

/// Sends the answer to one request. The code that computes the answer holds the
/// responder. When the caller disconnects first, send() has no effect.
class HttpResponder {
public:
  virtual ~HttpResponder() = default;

  /// Sends the response. Only the first call has an effect.
  virtual void send(HttpResponse response) = 0;

  /// Whether the caller is still connected and no response has been sent.
  virtual bool isOpen() const = 0;

  /// Calls `callback` once if the caller disconnects before the response. A
  /// disconnect is detected within HttpServer::DisconnectCheckPeriod.
  virtual void onDisconnect(std::function<void()> callback) = 0;

  /// Closes the connection without a response.
  virtual void abort() = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

struct HttpServerOptions {
  /// Largest request body in bytes; a larger body is answered with status 413.
  std::size_t MaxBodyBytes = std::size_t{64} * 1024;

  /// Largest number of open connections. Above it, the one that has been idle
  /// for the longest time is closed, or the new one if none is idle.
  std::size_t MaxConnections = 10000;

  /// A connection with a part of a request head is closed after this time. No
  /// limit but RequestTimeout by default.
  state::Duration HeadTimeout = state::Duration::max();

  /// A connection that sends no complete request within this time is closed,
  /// and an HTTP/1.1 connection that takes nothing of an answer for so long.
  /// Answers on HTTP/1.1 connections that stay open state a shorter time in
  /// Keep-Alive, in whole seconds: a caller that doesn't use its connection for
  /// longer than that sends no request that crosses the close. Nothing is
  /// stated with a timeout below 2 s.
  state::Duration RequestTimeout = std::chrono::seconds(10);

  /// PEM files of the certificate chain and the key. Both are empty for plain
  /// text. With TLS, HTTP/2 is offered by ALPN.
  std::string CertificateFile;
  std::string KeyFile;
};

/// Serves HTTP/1.1, and HTTP/2 with TLS, with h2o. All requests go to one
/// handler. What it holds for clients is counted in EventLoop::clientMemory():
/// bodies that do not fit are answered with 503 and Retry-After before they are
/// read, and connections without a complete request give way to others.
class HttpServer {
public:
  /// h2o does not read from an HTTP/1.1 connection while a request is open, so
  /// the sockets of open requests are polled for a disconnect with this period,
  /// and answers that are being written are checked for progress.
  static constexpr state::Duration DisconnectCheckPeriod =
      std::chrono::milliseconds(100);

  HttpServer(EventLoop &loop, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts to accept connections. Port 0 selects a free port. Returns the
  /// bound address.
  state::Result<SocketAddress> listen(SocketAddress address);

  /// Reads the certificate and key files again; open connections keep the old
  /// certificate. Returns false without TLS. Error: InvalidArgument; the old
  /// certificate then stays in use.
  state::Result<bool> reloadCertificate();

  /// Stops accepting connections. Open connections are closed once their
  /// requests have been answered.
  void drain();

  /// Answers on HTTP/1.1 connections carry "Connection: close" from now on. New
  /// connections are still accepted.
  void closeAfterResponses();

  /// Replaces HttpServerOptions::MaxBodyBytes for new requests.
  void setMaxBodyBytes(std::size_t n);

  /// Replaces HttpServerOptions::RequestTimeout for all connections. No
  /// connection closes sooner than its last answer stated: a shorter timeout is
  /// stated at once and applied when the time of the longer one has passed.
  void setRequestTimeout(state::Duration timeout);

  /// Replaces HttpServerOptions::HeadTimeout for all connections.
  void setHeadTimeout(state::Duration timeout);

  std::size_t openConnections() const;
  std::size_t openRequests() const;

  struct Impl;

private:
  std::unique_ptr<Impl> Self;
};

} // namespace galenaflow::transport

#endif
