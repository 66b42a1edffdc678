#include "transport/http_client.h"

#include "transport/h2o_api.h"

#include <charconv>

// Each HttpConnection owns an h2o socket pool that holds at most one socket,
// since h2o 2.2 does not enforce a pool's capacity. Cancelling an h2o client
// closes its socket; completing an exchange returns the socket to the pool.
// h2o returns the socket only after the last callback has finished, so results
// are delivered by a posted message, when the connection can be used again.

namespace galenaflow::transport {

using state::ErrorCode;

namespace {

/// h2o needs an I/O timeout; deadlines are enforced by the loop's own timers.
constexpr std::uint64_t IoTimeoutMs = 120'000;

/// h2o closes sockets that were idle in a pool for this long.
constexpr std::uint64_t IdleTimeoutMs = 60'000;

/// The I/O timeout list of h2o is registered with a loop and never removed.
h2o_timeout_t *ioTimeout(h2o_loop_t *loop) {
  thread_local h2o_loop_t *owner = nullptr;
  thread_local h2o_timeout_t *timeout = nullptr;
  if (owner != loop) {
    owner = loop;
    timeout = new h2o_timeout_t{};
    h2o_timeout_init(loop, timeout, IoTimeoutMs);
  }
  return timeout;
}

std::string encodeRequest(const HttpRequest &request,
                          const std::string &authority) {
  std::string text;
  text.reserve(256 + request.Body.size());
  text.append(request.Method).append(" ").append(request.Path);
  text.append(" HTTP/1.1\r\nhost: ").append(authority);
  for (const auto &[name, value] : request.Headers.items())
    text.append("\r\n").append(name).append(": ").append(value);
  if (!request.Body.empty() || request.Method == "POST" ||
      request.Method == "PUT")
    text += "\r\ncontent-length: " + std::to_string(request.Body.size());
  text += "\r\n\r\n";
  text += request.Body;
  return text;
}

} // namespace

struct HttpConnection::Impl : std::enable_shared_from_this<Impl> {
  EventLoop &Loop;
  SocketAddress Address;
  std::string Authority;
  h2o_socketpool_t Pool{};
  h2o_http1client_ctx_t Context{};

  h2o_http1client_t *Client = nullptr;
  bool Busy = false;
  bool MaybeSent = false;
  bool MethodIsHead = false;
  TimerId Deadline = 0;
  std::string Outgoing;
  h2o_iovec_t OutgoingBuf{};
  HttpResponse Response;
  HttpCallback Callback;
  SendGate Gate;
  state::TimePoint LastUsed;

  /// Counts exchanges, so that a posted result cannot reach a later exchange.
  std::uint64_t Exchange = 0;

  Impl(EventLoop &loop, const SocketAddress &address)
      : Loop(loop), Address(address), Authority(address.toText()),
        LastUsed(loop.now()) {
    openPool();
    Context.loop = loop.handle();
    Context.io_timeout = ioTimeout(loop.handle());
  }

  ~Impl() { h2o_socketpool_dispose(&Pool); }

  void openPool() {
    h2o_socketpool_init_by_address(&Pool, Address.data(), Address.Length, 0,
                                   SIZE_MAX);
    h2o_socketpool_set_timeout(&Pool, Loop.handle(), IdleTimeoutMs);
  }

  void finish(HttpResult result);
  void fail(ErrorCode code, const std::string &text);
  void takeBody(h2o_http1client_t *client);

  static h2o_http1client_head_cb onConnect(h2o_http1client_t *client,
                                           const char *err, h2o_iovec_t **bufs,
                                           std::size_t *bufCount,
                                           int *methodIsHead);
  static h2o_http1client_body_cb onHead(h2o_http1client_t *client,
                                        const char *err, int minorVersion,
                                        int status, h2o_iovec_t message,
                                        h2o_header_t *headers,
                                        std::size_t headerCount, int rlen);
  static int onBody(h2o_http1client_t *client, const char *err);
};

void HttpConnection::Impl::finish(HttpResult result) {
  Client = nullptr;
  Loop.cancel(Deadline);
  Deadline = 0;
  const std::uint64_t exchange = Exchange;
  Loop.post([self = shared_from_this(), exchange,
             result = std::move(result)]() mutable {
    if (!self->Busy || self->Exchange != exchange)
      return;
    self->Busy = false;
    self->LastUsed = self->Loop.now();
    const HttpCallback callback = std::move(self->Callback);
    self->Callback = nullptr;
    callback(std::move(result));
  });
}

void HttpConnection::Impl::fail(ErrorCode code, const std::string &text) {
  finish(
      tl::unexpected(HttpFailure{{code, Authority + ": " + text}, MaybeSent}));
}

void HttpConnection::Impl::takeBody(h2o_http1client_t *client) {
  h2o_buffer_t *&input = client->sock->input;
  Response.Body.append(input->bytes, input->size);
  h2o_buffer_consume(&input, input->size);
}

h2o_http1client_head_cb
HttpConnection::Impl::onConnect(h2o_http1client_t *client, const char *err,
                                h2o_iovec_t **bufs, std::size_t *bufCount,
                                int *methodIsHead) {
  auto *self = static_cast<Impl *>(client->data);
  if (err != nullptr) {
    self->fail(ErrorCode::Unavailable, std::string("connect: ") + err);
    return nullptr;
  }
  if (self->Gate && !self->Gate()) {
    self->fail(ErrorCode::Cancelled, "not sent");
    return nullptr;
  }
  self->MaybeSent = true;
  self->OutgoingBuf =
      h2o_iovec_init(self->Outgoing.data(), self->Outgoing.size());
  *bufs = &self->OutgoingBuf;
  *bufCount = 1;
  *methodIsHead = self->MethodIsHead ? 1 : 0;
  return &Impl::onHead;
}

h2o_http1client_body_cb
HttpConnection::Impl::onHead(h2o_http1client_t *client, const char *err, int,
                             int status, h2o_iovec_t, h2o_header_t *headers,
                             std::size_t headerCount, int) {
  auto *self = static_cast<Impl *>(client->data);
  if (err != nullptr && err != h2o_http1client_error_is_eos) {
    self->fail(ErrorCode::Unavailable, err);
    return nullptr;
  }
  self->Response.Status = status;
  bool hasLength = false;
  for (std::size_t i = 0; i != headerCount; ++i) {
    const std::string_view name(headers[i].name->base, headers[i].name->len);
    const std::string_view value(headers[i].value.base, headers[i].value.len);
    self->Response.Headers.add(name, value);
    hasLength |= name == "content-length" || name == "transfer-encoding";
  }
  if (err == h2o_http1client_error_is_eos) {
    self->finish(std::move(self->Response));
    return nullptr;
  }
  if (!hasLength) {
    // Without a length, a body that was cut off looks like a whole one.
    self->fail(ErrorCode::Unavailable, "response has no length");
    return nullptr;
  }
  return &Impl::onBody;
}

int HttpConnection::Impl::onBody(h2o_http1client_t *client, const char *err) {
  auto *self = static_cast<Impl *>(client->data);
  if (err != nullptr && err != h2o_http1client_error_is_eos) {
    self->fail(ErrorCode::Unavailable, err);
    return -1;
  }
  self->takeBody(client);
  if (self->Response.Body.size() > MaxResponseBytes) {
    self->fail(ErrorCode::Unavailable, "response is too large");
    return -1;
  }
  if (err == h2o_http1client_error_is_eos)
    self->finish(std::move(self->Response));
  return 0;
}

HttpConnection::HttpConnection(EventLoop &loop, const SocketAddress &address)
    : Self(std::make_shared<Impl>(loop, address)) {}

HttpConnection::~HttpConnection() {
  if (Self->Client != nullptr) {
    h2o_http1client_cancel(Self->Client);
    Self->Client = nullptr;
  }
  Self->Loop.cancel(Self->Deadline);
  Self->Busy = false;
  Self->Callback = nullptr;
  closeIdle();
}

void HttpConnection::send(const HttpRequest &request, state::Duration timeout,
                          HttpCallback callback, SendGate gate) {
  Impl &self = *Self;
  self.Busy = true;
  ++self.Exchange;
  self.MaybeSent = false;
  self.MethodIsHead = request.Method == "HEAD";
  self.Response = HttpResponse{};
  self.Outgoing = encodeRequest(request, self.Authority);
  self.Callback = std::move(callback);
  self.Gate = std::move(gate);
  self.Deadline = self.Loop.schedule(timeout, [impl = Self.get()] {
    impl->Deadline = 0;
    if (impl->Client != nullptr)
      h2o_http1client_cancel(impl->Client);
    impl->fail(ErrorCode::DeadlineExceeded, "no response in time");
  });
  h2o_http1client_connect_with_pool(&self.Client, &self, &self.Context,
                                    &self.Pool, &Impl::onConnect);
}

void HttpConnection::cancel() {
  Impl &self = *Self;
  if (self.Client == nullptr)
    return;
  h2o_http1client_cancel(self.Client);
  self.fail(ErrorCode::Cancelled, "cancelled");
}

void HttpConnection::closeIdle() {
  Impl &self = *Self;
  if (self.Busy || self.Pool._shared.count == 0)
    return;
  h2o_socketpool_dispose(&self.Pool);
  self.Pool = h2o_socketpool_t{};
  self.openPool();
}

bool HttpConnection::isBusy() const { return Self->Busy; }

bool HttpConnection::isConnected() const {
  return !Self->Busy && Self->Pool._shared.count != 0;
}

state::TimePoint HttpConnection::lastUsed() const { return Self->LastUsed; }

} // namespace galenaflow::transport
