#ifndef GALENAFLOW_TRANSPORT_HTTP_CLIENT_H
#define GALENAFLOW_TRANSPORT_HTTP_CLIENT_H

#include "state/error.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"
#include "transport/receive_limits.h"
#include "transport/socket_address.h"

#include <functional>
#include <memory>

namespace galenaflow::transport {

/// Describes a failed exchange.
struct HttpFailure {
  state::Error Cause;

  /// False only when it is certain that no byte of the request has been sent.
  bool MaybeSent = false;

  /// Whether the peer ended the connection before any byte of a response.
  bool EndedByPeer = false;

  /// The limit that the response exceeded, if any.
  ResponseLimit Limit = ResponseLimit::None;
};

using HttpResult = tl::expected<HttpResponse, HttpFailure>;
using HttpCallback = std::function<void(HttpResult)>;

/// Called immediately before the first byte of a request is sent. When it
/// returns false, nothing is sent and the exchange fails with Cancelled.
using SendPredicate = std::function<bool()>;

/// Sends requests to one address over at most one HTTP/1.1 connection, one
/// request at a time. The connection is kept open between requests. The number
/// of these objects for an address is therefore an upper bound on the
/// connections to it.
class HttpConnection {
public:
  HttpConnection(EventLoop &loop, const SocketAddress &address);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends a request and calls `callback` exactly once, never before send()
  /// returns. Must not be called while busy. After `timeout` the exchange
  /// fails with DeadlineExceeded and the connection is closed. A response that
  /// ends before its announced length fails with Unavailable. So does one that
  /// exceeds a ResponseLimit, which is logged and counted, and closes the
  /// connection.
  void send(const HttpRequest &request, state::Duration timeout,
            HttpCallback callback, SendPredicate maySend = nullptr);

  /// Fails the exchange in flight with Cancelled and closes the connection,
  /// because its response could not be distinguished from that of a later
  /// request.
  void cancel();

  /// Connects without sending a request, so that a later request does not wait
  /// for the connection to be set up. Does nothing while busy, connecting or
  /// connected. The attempt is abandoned after `timeout`.
  void open(state::Duration timeout);

  /// Closes the connection when it is idle.
  void closeIdle();

  bool isBusy() const;

  /// Whether the connection is open and idle.
  bool isConnected() const;

  /// Whether a connection attempt of open() is in progress.
  bool isOpening() const;

  /// Number of connections that the peer refused: it could not be reached by
  /// open(), or it closed a new connection at once without a response, as a
  /// replica does above its connection limit.
  std::uint64_t refusedConnections() const;

  /// Calls `callback` whenever an idle connection has been opened or closed, or
  /// could not be opened.
  void onIdleChange(std::function<void()> callback);

  /// Time of the last completed response, or of construction.
  state::TimePoint lastUsed() const;

  /// Largest accepted response body in bytes.
  static constexpr std::size_t MaxResponseBytes = std::size_t{4} << 20;

  /// Most responses to earlier requests that are skipped before the response
  /// to a request.
  static constexpr std::size_t MaxSkippedResponses = 4;

  struct Impl;

private:
  std::shared_ptr<Impl> Self;
};

} // namespace galenaflow::transport

#endif
