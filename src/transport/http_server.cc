#include "transport/http_server.h"

#include "transport/client_connections.h"
#include "transport/h2o_api.h"

#include <algorithm>
#include <cstring>
#include <openssl/ssl.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_set>
#include <utility>

// One h2o context serves one listener. Every request is copied out of h2o's
// memory and passed to the handler with a responder. An entry in the request's
// memory pool keeps the responder alive: h2o disposes of the pool when the
// response has been written or the connection has ended, and the dispose
// callback is the only reliable notification of either event.
//
// An answer is written in pieces. h2o asks for the next one when the socket has
// taken the last, which tells a caller that reads slowly from one that does not
// read at all. Without that, such callers would hold answers for ever, since
// h2o has no timeout for writing.
//
// h2o closes a connection that is idle for the request timeout, and a caller
// that sends its next request at that moment gets no answer. So each answer
// states how long the caller may keep the connection. h2o applies a changed
// timeout to all connections at once, also to those that were idle before, so a
// shorter one is passed to it only when nobody relies on the longer one.

namespace galenaflow::transport {

using state::ErrorCode;
using state::makeError;

namespace {

class Responder;

/// Time between the one that answers state for idle connections and their
/// close: for the way of the answer and of the next request, and for a loop
/// that is busy.
constexpr state::Duration KeepAliveMargin = std::chrono::seconds(1);

/// Size of a piece of an answer, in bytes.
constexpr std::size_t WritePieceBytes = std::size_t{256} << 10;

/// Receive buffer of a TLS connection, in bytes. h2o keeps a buffer for what it
/// has read from one in one turn, which is this much at least.
constexpr int TlsReceiveBufferBytes = 16 << 10;

/// h2o refuses a chunked body that has reached its limit before the last chunk
/// has arrived, so a body of the largest allowed size needs one byte more.
constexpr std::size_t ChunkedSlack = 1;

struct RoutingHandler {
  h2o_handler_t Super;
  HttpServer::Impl *Server;
};

} // namespace

struct HttpServer::Impl {
  EventLoop &Loop;
  HttpServerOptions Options;
  HttpHandler Handler;
  h2o_globalconf_t Config{};
  h2o_context_t Context{};
  h2o_accept_ctx_t AcceptContext{};
  SSL_CTX *TlsContext = nullptr;
  h2o_socket_t *Listener = nullptr;
  ClientConnections Connections;
  std::size_t Requests = 0;
  bool IsShutdownRequested = false;
  /// The responders that have not sent a response.
  std::unordered_set<Responder *> OpenResponders;
  /// The responders whose response is being written.
  std::unordered_set<Responder *> WritingResponders;
  TimerId DisconnectTimer = 0;
  /// The timeout that h2o applies, at least Options.RequestTimeout.
  state::Duration AppliedTimeout;
  /// Answers that were sent before this timeout was shortened rely on the
  /// longer one until then.
  state::TimePoint LongerTimeoutUntil = state::TimePoint::min();
  TimerId TimeoutTimer = 0;

  Impl(EventLoop &loop, HttpServerOptions options, HttpHandler handler)
      : Loop(loop), Options(std::move(options)), Handler(std::move(handler)),
        Connections(loop), AppliedTimeout(Options.RequestTimeout) {
    Connections.HeadTimeout = Options.HeadTimeout;
    Connections.MaxBodyBytes = Options.MaxBodyBytes;
    Connections.MaxConnections = Options.MaxConnections;
  }

  void configure();
  void applyRequestTimeout();
  std::optional<std::string> keepAlive(const h2o_req_t &req) const;
  void scheduleDisconnectCheck();
  void checkDisconnects();
  static void onAccept(h2o_socket_t *listener, const char *err);
  static int onRequest(h2o_handler_t *handler, h2o_req_t *req);
};

namespace {

class Responder final : public HttpResponder {
public:
  Responder(h2o_req_t *req, HttpServer::Impl *server,
            std::shared_ptr<const void> requestHold)
      : Req(req), Server(server), RequestHold(std::move(requestHold)),
        Connection(server->Connections.onRequest(
            req->conn->callbacks->get_socket(req->conn))) {
    ++Server->Requests;
    Server->OpenResponders.insert(this);
    Server->scheduleDisconnectCheck();
  }

  /// Whether the peer has closed an HTTP/1.1 connection. False for HTTP/2,
  /// because h2o always reads from those connections and detects the close.
  bool hasPeerClosed() const {
    if (!isOpen() || Req->version >= 0x200)
      return false;
    h2o_socket_t *sock = Req->conn->callbacks->get_socket(Req->conn);
    pollfd query{h2o_socket_get_fd(sock), POLLRDHUP, 0};
    return poll(&query, 1, 0) == 1 &&
           (query.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  /// Reports the disconnect and lets h2o free the request.
  void onPeerClosed() {
    if (DisconnectCallback)
      Server->Loop.post(std::exchange(DisconnectCallback, nullptr));
    abort();
  }

  void send(HttpResponse response) override {
    if (!isOpen())
      return;
    markSent();
    Body = std::move(response.Body);
    AnswerBytes = Body.size();
    Server->Connections.onAnswer(*Connection, AnswerBytes);
    Req->res.status = response.Status;
    Req->res.reason = "";
    Req->res.content_length = Body.size();
    Hold = std::move(response.Hold);
    for (const auto &[name, value] : response.Headers.items())
      addHeader(name, value);
    if (const auto keepAlive = Server->keepAlive(*Req))
      addHeader("keep-alive", *keepAlive);
    Generator.Super.proceed = [](h2o_generator_t *it, h2o_req_t *) {
      reinterpret_cast<ResponseGenerator *>(it)->Owner->sendPiece();
    };
    Generator.Super.stop = [](h2o_generator_t *, h2o_req_t *) {};
    Server->WritingResponders.insert(this);
    Server->scheduleDisconnectCheck();
    h2o_start_response(Req, &Generator.Super);
    sendPiece();
  }

  /// Whether the peer has taken nothing of the response for `timeout`.
  bool isStalled(state::Duration timeout) const {
    return Req != nullptr && Req->version < 0x200 &&
           Server->Loop.now() - LastProgress >= timeout;
  }

  /// Ends the connection; h2o then frees the request.
  void shutDown() {
    h2o_socket_t *sock = Req->conn->callbacks->get_socket(Req->conn);
    shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
  }

  bool isOpen() const override { return Req != nullptr && !Sent; }

  void onDisconnect(std::function<void()> callback) override {
    DisconnectCallback = std::move(callback);
  }

  void abort() override {
    if (!isOpen())
      return;
    markSent();
    Req->res.status = 500;
    Req->res.reason = "";
    Req->res.content_length = SIZE_MAX;
    Req->http1_is_persistent = 0;
    Generator.Super.proceed = [](h2o_generator_t *, h2o_req_t *) {};
    Generator.Super.stop = [](h2o_generator_t *, h2o_req_t *) {};
    h2o_start_response(Req, &Generator.Super);
    h2o_send(Req, nullptr, 0, H2O_SEND_STATE_ERROR);
  }

  /// Called when h2o frees the request.
  void detach() {
    --Server->Requests;
    Server->OpenResponders.erase(this);
    Server->WritingResponders.erase(this);
    Req = nullptr;
    Body = {};
    Hold = nullptr;
    RequestHold = nullptr;
    Server->Connections.onRequestEnd(Connection, AnswerBytes);
    if (!Sent && DisconnectCallback)
      Server->Loop.post(std::move(DisconnectCallback));
  }

private:
  struct ResponseGenerator {
    h2o_generator_t Super;
    Responder *Owner;
  };

  void sendPiece() {
    LastProgress = Server->Loop.now();
    Server->Connections.onAnswerProgress(*Connection);
    const std::size_t n = std::min(WritePieceBytes, Body.size() - Written);
    h2o_iovec_t buf = h2o_iovec_init(Body.data() + Written, n);
    Written += n;
    h2o_send(Req, &buf, 1,
             Written == Body.size() ? H2O_SEND_STATE_FINAL
                                    : H2O_SEND_STATE_IN_PROGRESS);
  }

  void markSent() {
    Sent = true;
    Server->OpenResponders.erase(this);
  }

  void addHeader(const std::string &name, const std::string &value) {
    const h2o_iovec_t n = h2o_strdup(&Req->pool, name.data(), name.size());
    const h2o_iovec_t v = h2o_strdup(&Req->pool, value.data(), value.size());
    h2o_add_header_by_str(&Req->pool, &Req->res.headers, n.base, n.len, 1,
                          nullptr, v.base, v.len);
  }

  h2o_req_t *Req;
  HttpServer::Impl *Server;
  /// A handler may keep parts of the request until it has the answer.
  std::shared_ptr<const void> RequestHold;
  std::size_t AnswerBytes = 0; ///< counted with the connection
  ClientConnectionPtr Connection;
  ResponseGenerator Generator{{}, this};
  bool Sent = false;
  std::string Body;
  std::size_t Written = 0; ///< bytes of Body that were passed to h2o
  state::TimePoint LastProgress;
  std::shared_ptr<const void> Hold; ///< of the response
  std::function<void()> DisconnectCallback;
};

void disposeResponder(void *slot) {
  auto *responder = static_cast<std::shared_ptr<Responder> *>(slot);
  (*responder)->detach();
  responder->~shared_ptr<Responder>();
}

/// The memory of a copy of the request: texts of its head have an allocation
/// each.
std::size_t copyBytes(const HttpRequest &request) {
  std::size_t n = request.Path.size() + request.Body.size();
  for (const auto &[name, value] : request.Headers.items())
    n += sizeof(std::string) * 2 + name.size() + value.size();
  return n;
}

std::string toString(h2o_iovec_t v) { return {v.base, v.len}; }

HttpRequest copyRequest(h2o_req_t *req) {
  HttpRequest request;
  request.Method = toString(req->method);
  request.Path = toString(req->path);
  request.Host = toString(req->authority);
  for (std::size_t i = 0; i != req->headers.size; ++i) {
    const h2o_header_t &header = req->headers.entries[i];
    request.Headers.add(toString(*header.name), toString(header.value));
  }
  if (req->entity.base != nullptr)
    request.Body = toString(req->entity);
  return request;
}

state::Result<SSL_CTX *> createTlsContext(const HttpServerOptions &options) {
  SSL_CTX *tls = SSL_CTX_new(TLS_server_method());
  SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file(
          tls, options.CertificateFile.c_str()) != 1) {
    SSL_CTX_free(tls);
    return makeError(ErrorCode::InvalidArgument,
                     "cannot load certificate " + options.CertificateFile);
  }
  if (SSL_CTX_use_PrivateKey_file(tls, options.KeyFile.c_str(),
                                  SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(tls) != 1) {
    SSL_CTX_free(tls);
    return makeError(ErrorCode::InvalidArgument,
                     "cannot load key " + options.KeyFile);
  }
  // The buffers of a connection that is idle would take 34 KB.
  SSL_CTX_set_mode(tls, SSL_MODE_RELEASE_BUFFERS);
  h2o_ssl_register_alpn_protocols(tls, h2o_http2_alpn_protocols);
  return tls;
}

} // namespace

/// Returns the value of the Keep-Alive header of an answer. Nothing when its
/// connection closes after it, or sooner than in whole seconds.
std::optional<std::string>
HttpServer::Impl::keepAlive(const h2o_req_t &req) const {
  const auto time = std::chrono::duration_cast<std::chrono::seconds>(
      Options.RequestTimeout - KeepAliveMargin);
  if (req.version >= 0x200 || req.http1_is_persistent == 0 ||
      IsShutdownRequested || time.count() <= 0)
    return std::nullopt;
  return "timeout=" + std::to_string(time.count());
}

void HttpServer::Impl::applyRequestTimeout() {
  Loop.cancel(std::exchange(TimeoutTimer, 0));
  const state::TimePoint now = Loop.now();
  if (Options.RequestTimeout < AppliedTimeout && LongerTimeoutUntil > now) {
    TimeoutTimer = Loop.schedule(LongerTimeoutUntil - now, [this] {
      TimeoutTimer = 0;
      applyRequestTimeout();
    });
    return;
  }
  AppliedTimeout = Options.RequestTimeout;
  // The timeout list of the context holds the timeout of all entries.
  Context.http1.req_timeout.timeout = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(AppliedTimeout)
          .count());
}

void HttpServer::Impl::configure() {
  h2o_config_init(&Config);
  Config.max_request_entity_size = Options.MaxBodyBytes + ChunkedSlack;
  // Bodies of HTTP/2 without TLS could not be counted.
  Config.http1.upgrade_to_http2 = 0;
  Config.server_name = h2o_iovec_init(H2O_STRLIT("galenaflow"));
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      Options.RequestTimeout);
  Config.http1.req_timeout = static_cast<std::uint64_t>(timeout.count());
  h2o_hostconf_t *host = h2o_config_register_host(
      &Config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
  auto *handler = reinterpret_cast<RoutingHandler *>(
      h2o_create_handler(path, sizeof(RoutingHandler)));
  handler->Super.on_req = &Impl::onRequest;
  handler->Server = this;
  h2o_context_init(&Context, Loop.handle(), &Config);
  AcceptContext.ctx = &Context;
  AcceptContext.hosts = Config.hosts;
}

void HttpServer::Impl::onAccept(h2o_socket_t *listener, const char *err) {
  if (err != nullptr)
    return;
  auto *self = static_cast<Impl *>(listener->data);
  h2o_socket_t *sock = h2o_evloop_socket_accept(listener);
  if (sock == nullptr)
    return;
  if (!self->Connections.makeRoomForConnection()) {
    h2o_socket_close(sock);
    return;
  }
  self->Connections.add(sock, self->TlsContext != nullptr);
  h2o_accept(&self->AcceptContext, sock);
  self->Connections.startReading(sock);
}

void HttpServer::Impl::scheduleDisconnectCheck() {
  if (DisconnectTimer == 0)
    DisconnectTimer = Loop.schedule(DisconnectCheckPeriod, [this] {
      DisconnectTimer = 0;
      checkDisconnects();
    });
}

void HttpServer::Impl::checkDisconnects() {
  std::vector<Responder *> disconnected;
  for (Responder *responder : OpenResponders)
    if (responder->hasPeerClosed())
      disconnected.push_back(responder);
  for (Responder *responder : disconnected)
    if (OpenResponders.contains(responder))
      responder->onPeerClosed();
  for (Responder *responder : WritingResponders)
    if (responder->isStalled(Options.RequestTimeout))
      responder->shutDown();
  if (!OpenResponders.empty() || !WritingResponders.empty())
    scheduleDisconnectCheck();
}

int HttpServer::Impl::onRequest(h2o_handler_t *handler, h2o_req_t *req) {
  Impl *self = reinterpret_cast<RoutingHandler *>(handler)->Server;
  if (req->entity.len > self->Options.MaxBodyBytes) {
    h2o_send_error_generic(req, 413, "Request Entity Too Large",
                           "request entity is too large",
                           H2O_SEND_ERROR_HTTP1_CLOSE_CONNECTION);
    return 0;
  }
  HttpRequest request = copyRequest(req);
  request.Hold = self->Loop.clientMemory().makeHold(copyBytes(request));
  auto responder = std::make_shared<Responder>(req, self, request.Hold);
  void *slot = h2o_mem_alloc_shared(
      &req->pool, sizeof(std::shared_ptr<Responder>), &disposeResponder);
  new (slot) std::shared_ptr<Responder>(responder);
  self->Handler(std::move(request), std::move(responder));
  return 0;
}

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options,
                       HttpHandler handler)
    : Self(std::make_unique<Impl>(loop, std::move(options),
                                  std::move(handler))) {
  Self->configure();
}

// The loop holds pointers into the context, which h2o_context_dispose()
// removes. h2o cannot dispose of a context with open connections, nor of one
// whose shutdown was requested, because its timers are still linked. The memory
// of such a server is not freed; this happens only at the end of a process or
// test.
HttpServer::~HttpServer() {
  Self->Loop.cancel(Self->DisconnectTimer);
  Self->Loop.cancel(Self->TimeoutTimer);
  if (Self->Listener != nullptr)
    h2o_socket_close(Self->Listener);
  Self->Connections.stop();
  if (Self->Connections.size() != 0 || Self->IsShutdownRequested) {
    static_cast<void>(Self.release());
    return;
  }
  h2o_context_dispose(&Self->Context);
  h2o_config_dispose(&Self->Config);
}

state::Result<SocketAddress> HttpServer::listen(SocketAddress address) {
  if (!Self->Options.CertificateFile.empty()) {
    auto tls = createTlsContext(Self->Options);
    if (!tls)
      return tl::unexpected(tls.error());
    Self->TlsContext = *tls;
    Self->AcceptContext.ssl_ctx = *tls;
    Self->Connections.HasTls = true;
  }
  const auto fd = listenOn(address);
  if (!fd)
    return tl::unexpected(fd.error());
  if (Self->TlsContext != nullptr) // accepted connections inherit this
    setsockopt(*fd, SOL_SOCKET, SO_RCVBUF, &TlsReceiveBufferBytes,
               sizeof(TlsReceiveBufferBytes));
  Self->Listener = h2o_evloop_socket_create(Self->Loop.handle(), *fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
  Self->Listener->data = Self.get();
  h2o_socket_read_start(Self->Listener, &Impl::onAccept);
  return address;
}

state::Result<bool> HttpServer::reloadCertificate() {
  if (Self->Options.CertificateFile.empty())
    return false;
  auto tls = createTlsContext(Self->Options);
  if (!tls)
    return tl::unexpected(tls.error());
  // Open connections hold references to the old context.
  SSL_CTX_free(Self->TlsContext);
  Self->TlsContext = *tls;
  Self->AcceptContext.ssl_ctx = *tls;
  return true;
}

void HttpServer::drain() {
  if (Self->Listener == nullptr)
    return;
  h2o_socket_close(Self->Listener);
  Self->Listener = nullptr;
  closeAfterResponses();
}

void HttpServer::closeAfterResponses() {
  if (Self->IsShutdownRequested)
    return;
  Self->IsShutdownRequested = true;
  h2o_context_request_shutdown(&Self->Context);
}

void HttpServer::setMaxBodyBytes(std::size_t n) {
  Self->Options.MaxBodyBytes = n;
  Self->Config.max_request_entity_size = n + ChunkedSlack;
  Self->Connections.MaxBodyBytes = n;
}

void HttpServer::setHeadTimeout(state::Duration timeout) {
  Self->Connections.HeadTimeout = timeout;
}

void HttpServer::setRequestTimeout(state::Duration timeout) {
  const state::Duration before =
      std::exchange(Self->Options.RequestTimeout, timeout);
  if (timeout < before)
    Self->LongerTimeoutUntil =
        std::max(Self->LongerTimeoutUntil, Self->Loop.now() + before);
  Self->applyRequestTimeout();
}

std::size_t HttpServer::openConnections() const {
  return Self->Connections.size();
}

std::size_t HttpServer::openRequests() const { return Self->Requests; }

} // namespace galenaflow::transport
