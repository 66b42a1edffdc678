#ifndef GALENAFLOW_TRANSPORT_HTTP_CLIENT_H
#define GALENAFLOW_TRANSPORT_HTTP_CLIENT_H

#include "state/error.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"
#include "transport/socket_address.h"

#include <functional>
#include <memory>

namespace galenaflow::transport {

/// How an exchange failed.
struct HttpFailure {
  state::Error Cause;

  /// False only when it is certain that no byte of the request has left.
  bool MaybeSent = false;
};

using HttpResult = tl::expected<HttpResponse, HttpFailure>;
using HttpCallback = std::function<void(HttpResult)>;

/// Asked right before the first byte of a request may leave. When it returns
/// false, nothing is sent and the exchange fails with Cancelled.
using SendPredicate = std::function<bool()>;

/// At most one HTTP/1.1 connection to one address, with one request in flight.
/// The connection is kept open between requests. The number of these objects
/// for an address is therefore a bound on the connections to it.
class HttpConnection {
public:
  HttpConnection(EventLoop &loop, const SocketAddress &address);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends a request and calls `callback` exactly once, never before send()
  /// returns. Must not be called while busy. After `timeout` the exchange
  /// fails with DeadlineExceeded and the connection is closed. A response that
  /// ends before its announced length fails with Unavailable.
  void send(const HttpRequest &request, state::Duration timeout,
            HttpCallback callback, SendPredicate maySend = nullptr);

  /// Fails the exchange in flight with Cancelled and closes the connection,
  /// because the response can no longer be told from that of a later request.
  void cancel();

  /// Connects without sending a request, so that a later one does not pay for
  /// connecting. Does nothing while busy, connecting or connected. A connection
  /// that is not there after `timeout` is given up.
  void open(state::Duration timeout);

  /// Closes an idle connection.
  void closeIdle();

  bool isBusy() const;

  /// Whether an idle connection is kept open.
  bool isConnected() const;

  /// Whether open() has not yet ended.
  bool isOpening() const;

  /// Times that the peer did not keep a connection which open() had begun: it
  /// could not be reached, or it closed the connection at once, as one does
  /// that has too many.
  std::uint64_t refusedConnections() const;

  /// Calls `callback` whenever an idle connection has been opened or lost.
  void onIdleChange(std::function<void()> callback);

  /// Time of the last completed response, or of construction.
  state::TimePoint lastUsed() const;

  /// Largest accepted response body in bytes.
  static constexpr std::size_t MaxResponseBytes = std::size_t{4} << 20;

  struct Impl;

private:
  std::shared_ptr<Impl> Self;
};

} // namespace galenaflow::transport

#endif
