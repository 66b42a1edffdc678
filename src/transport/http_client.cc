#include "transport/http_client.h"

#include "state/log.h"
#include "transport/h2o_api.h"
#include "transport/http_response_parser.h"
#include "transport/socket_input.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

// A connection always reads, also while it is idle: bytes that arrive then
// belong to no request, and the end of the connection must be detected before
// the next request is sent on it. A connection that has carried anything but
// complete responses to its own requests is closed, so that no leftover bytes
// can be mistaken for the response to a later request.
//
// A peer may send bytes without end. Everything that is held of a response is
// limited, for the response and for the process, and the connection is closed
// when a limit is exceeded. One turn of the event loop reads at most
// MaxReadBytes.
//
// Results are delivered by a posted task, so that callbacks may destroy the
// connection or send again.

namespace galenaflow::transport {

using state::ErrorCode;

namespace {

/// An idle connection is closed after this time unless the peer states a
/// shorter idle timeout. The peers in this system keep idle connections longer.
constexpr state::Duration DefaultIdleTimeout = std::chrono::seconds(60);

/// Time before the peer's stated idle timeout at which a connection is closed,
/// so that a request does not race with the peer's close.
constexpr state::Duration IdleMargin = std::chrono::milliseconds(700);

/// A new connection that the peer closes within this time counts as refused.
/// Idle timeouts are longer.
constexpr state::Duration RefusalWindow = std::chrono::milliseconds(900);

/// Unused memory of a received body above which it is freed, in bytes.
constexpr std::size_t MaxUnusedBytes = std::size_t{64} << 10;

/// Returns the request without a shared body.
std::string encodeRequest(const HttpRequest &request,
                          const std::string &authority) {
  std::string text;
  text.reserve(512 + (request.SharedBody ? 0 : request.Body.size()));
  text.append(request.Method).append(" ").append(request.Path);
  text.append(" HTTP/1.1\r\nhost: ")
      .append(request.Host.empty() ? authority : request.Host);
  for (const auto &[name, value] : request.Headers.items())
    text.append("\r\n").append(name).append(": ").append(value);
  if (!request.body().empty() || request.Method == "POST" ||
      request.Method == "PUT")
    text += "\r\ncontent-length: " + std::to_string(request.body().size());
  text += "\r\n\r\n";
  if (!request.SharedBody)
    text += request.Body;
  return text;
}

/// The idle timeout that the peer states with "Keep-Alive: timeout=5", in whole
/// seconds.
std::optional<state::Duration>
parseKeepAliveTimeout(const HttpHeaders &headers) {
  constexpr std::string_view key = "timeout=";
  const auto value = headers.find("keep-alive");
  const auto at = value ? value->find(key) : std::string_view::npos;
  if (at == std::string_view::npos)
    return std::nullopt;
  const std::string_view digits = value->substr(at + key.size());
  std::int64_t n = 0;
  if (std::from_chars(digits.data(), digits.data() + digits.size(), n).ec !=
      std::errc())
    return std::nullopt;
  return std::chrono::seconds(std::clamp<std::int64_t>(n, 0, 3600));
}

} // namespace

struct HttpConnection::Impl : std::enable_shared_from_this<Impl> {
  EventLoop &Loop;
  SocketAddress Address;
  std::string Authority;
  h2o_socket_t *Sock = nullptr;
  bool Connecting = false;
  bool Writing = false;

  /// True from send() until the callback runs.
  bool Busy = false;
  bool ResultPosted = false; ///< the callback of the exchange has been posted
  bool MaybeSent = false;
  bool HasReceived = false; ///< any byte since the request was sent
  TimerId DeadlineTimer = 0;
  TimerId OpenTimer = 0;
  TimerId IdleTimer = 0;
  state::Duration IdleTimeout = DefaultIdleTimeout;
  /// The request that is sent next, or is being sent by Sock.
  struct Output {
    std::string Bytes;
    std::shared_ptr<const std::string> SharedBody;
  };
  Output Next;
  std::shared_ptr<Output> InFlight;
  std::shared_ptr<const void> RequestHold; ///< counts the request's bytes
  std::string EchoHeader;
  std::string EchoValue;
  HttpResponseParserOptions ParserOptions;
  std::unique_ptr<HttpResponseParser> Parser;
  std::size_t SkippedResponses = 0;
  std::size_t HeldBytes = 0; ///< counted in EventLoop::receiveLimits()
  HttpCallback Callback;
  SendPredicate MaySend;
  std::function<void()> IdleChangeCallback;
  state::TimePoint LastUsed;

  state::TimePoint ConnectedAt;
  bool HasResponded = false; ///< a response has arrived on this connection
  std::uint64_t RefusedConnections = 0;

  /// Number of the current exchange. A posted result is dropped when a later
  /// exchange has started since.
  std::uint64_t ExchangeNumber = 0;

  Impl(EventLoop &loop, const SocketAddress &address)
      : Loop(loop), Address(address), Authority(address.toText()),
        LastUsed(loop.now()) {}
  ~Impl() {
    closeSocket();
    releaseHeldBytes();
  }

  void connect();
  void closeSocket();
  void write();
  void finish(HttpResult result);
  void fail(ErrorCode code, const std::string &text,
            ResponseLimit limit = ResponseLimit::None);
  void onInputEnded(bool isClosedInOrder);
  void consumeInput(std::string_view bytes);
  void onParsed(HttpResponseParser::State state);
  bool holdParsedBytes();
  void releaseHeldBytes();
  void rejectResponse(ResponseLimit limit, const std::string &reason);
  bool hasMismatchedEcho(const HttpResponse &response) const;
  void completeExchange();
  void armIdleTimer();
  void notifyIdleChange();

  static void onConnect(h2o_socket_t *sock, const char *err);
  static void onWritten(h2o_socket_t *sock, const char *err);
  static void onRead(h2o_socket_t *sock, const char *err);
};

void HttpConnection::Impl::connect() {
  Sock = h2o_socket_connect(Loop.handle(), Address.data(), Address.Length,
                            &Impl::onConnect);
  if (Sock == nullptr) {
    if (Busy)
      fail(ErrorCode::Unavailable, "connect: no socket");
    return;
  }
  Connecting = true;
  Sock->data = this;
}

void HttpConnection::Impl::closeSocket() {
  Loop.cancel(IdleTimer);
  IdleTimer = 0;
  Loop.cancel(OpenTimer);
  OpenTimer = 0;
  Connecting = false;
  if (Sock == nullptr)
    return;
  Loop.closeSocket(Sock, std::exchange(InFlight, nullptr));
  RequestHold = nullptr;
  Sock = nullptr;
  Writing = false;
}

void HttpConnection::Impl::onConnect(h2o_socket_t *sock, const char *err) {
  auto *impl = static_cast<Impl *>(sock->data);
  if (impl == nullptr)
    return;
  const auto self = impl->shared_from_this();
  self->Connecting = false;
  self->Loop.cancel(self->OpenTimer);
  self->OpenTimer = 0;
  if (err != nullptr) {
    self->closeSocket();
    if (self->Busy) {
      self->fail(ErrorCode::Unavailable, std::string("connect: ") + err);
    } else {
      ++self->RefusedConnections;
      self->notifyIdleChange();
    }
    return;
  }
  self->IdleTimeout = DefaultIdleTimeout;
  self->ConnectedAt = self->Loop.now();
  self->HasResponded = false;
  startReading(sock, &Impl::onRead);
  if (self->Busy) {
    self->write();
    return;
  }
  self->LastUsed = self->Loop.now();
  self->armIdleTimer();
  self->notifyIdleChange();
}

void HttpConnection::Impl::write() {
  if (MaySend && !MaySend()) {
    fail(ErrorCode::Cancelled, "not sent");
    armIdleTimer();
    return;
  }
  MaybeSent = true;
  Writing = true;
  InFlight = std::make_shared<Output>(std::exchange(Next, {}));
  const std::string &bytes = InFlight->Bytes;
  std::array<h2o_iovec_t, 2> bufs{h2o_iovec_init(bytes.data(), bytes.size())};
  std::size_t n = 1;
  if (InFlight->SharedBody && !InFlight->SharedBody->empty())
    bufs[n++] = h2o_iovec_init(InFlight->SharedBody->data(),
                               InFlight->SharedBody->size());
  h2o_socket_write(Sock, bufs.data(), n, &Impl::onWritten);
}

void HttpConnection::Impl::onWritten(h2o_socket_t *sock, const char *err) {
  auto *impl = static_cast<Impl *>(sock->data);
  if (impl == nullptr)
    return;
  // onRead() handles a failed write, because the peer may have sent a response
  // before it closed the connection.
  static_cast<void>(err);
  impl->Writing = false;
  impl->InFlight = nullptr;
  impl->RequestHold = nullptr;
}

void HttpConnection::Impl::onRead(h2o_socket_t *sock, const char *) {
  auto *impl = static_cast<Impl *>(sock->data);
  if (impl == nullptr)
    return;
  const auto self = impl->shared_from_this();
  const SocketInput input = readInput(sock);
  if (!input.Bytes.empty())
    self->consumeInput(input.Bytes);
  else if (input.IsClosed || input.IsBroken)
    self->onInputEnded(input.IsClosed);
}

void HttpConnection::Impl::onInputEnded(bool isClosedInOrder) {
  if (Busy && !ResultPosted) {
    if (isClosedInOrder &&
        Parser->finish() == HttpResponseParser::State::Complete) {
      onParsed(HttpResponseParser::State::Complete);
      return;
    }
    const std::string text =
        isClosedInOrder ? Parser->error() : std::string("connection broken");
    closeSocket();
    finish(tl::unexpected(
        HttpFailure{{ErrorCode::Unavailable, Authority + ": " + text},
                    MaybeSent,
                    !HasReceived}));
    return;
  }
  const bool isNew = Loop.now() - ConnectedAt < RefusalWindow;
  if (!HasResponded && isNew)
    ++RefusedConnections;
  closeSocket();
  notifyIdleChange();
}

void HttpConnection::Impl::consumeInput(std::string_view bytes) {
  if (!Busy || ResultPosted) {
    // No exchange is waiting for a response, so the bytes belong to none.
    closeSocket();
    notifyIdleChange();
    return;
  }
  HasReceived = true;
  onParsed(Parser->feed(bytes));
}

bool HttpConnection::Impl::hasMismatchedEcho(
    const HttpResponse &response) const {
  if (EchoHeader.empty())
    return false;
  const auto echoed = response.Headers.find(EchoHeader);
  return echoed && *echoed != EchoValue;
}

void HttpConnection::Impl::onParsed(HttpResponseParser::State state) {
  while (state == HttpResponseParser::State::Complete &&
         hasMismatchedEcho(Parser->response())) {
    // This is a duplicate or late response to an earlier request. The response
    // to this request follows.
    if (++SkippedResponses > MaxSkippedResponses) {
      rejectResponse(ResponseLimit::SkippedResponses,
                     "got " + std::to_string(SkippedResponses) +
                         " responses to other requests, expected at most " +
                         std::to_string(MaxSkippedResponses));
      return;
    }
    const auto skipped = std::exchange(
        Parser, std::make_unique<HttpResponseParser>(ParserOptions));
    state = Parser->feed(skipped->excess());
  }
  if (state == HttpResponseParser::State::Invalid) {
    rejectResponse(Parser->exceededLimit(), Parser->error());
    return;
  }
  if (!holdParsedBytes()) {
    rejectResponse(ResponseLimit::ProcessBytes,
                   "got " + std::to_string(Parser->heldBytes()) +
                       " bytes of a response beside " +
                       std::to_string(Loop.receiveLimits().heldBytes()) +
                       " of all open ones, expected at most " +
                       std::to_string(Loop.receiveLimits().processBytes()));
    return;
  }
  if (state == HttpResponseParser::State::Complete)
    completeExchange();
}

bool HttpConnection::Impl::holdParsedBytes() {
  const std::size_t n = Parser->heldBytes();
  if (!Loop.receiveLimits().tryGrow(HeldBytes, n))
    return false;
  HeldBytes = n;
  return true;
}

void HttpConnection::Impl::releaseHeldBytes() {
  Loop.receiveLimits().release(std::exchange(HeldBytes, 0));
}

// `limit` is None when the response is invalid without exceeding one.
void HttpConnection::Impl::rejectResponse(ResponseLimit limit,
                                          const std::string &reason) {
  if (limit != ResponseLimit::None) {
    Loop.receiveLimits().countExceeded(limit);
    state::log::warning("response_limit_exceeded",
                        {{"peer", Authority},
                         {"limit", responseLimitName(limit)},
                         {"reason", reason}});
  }
  closeSocket();
  fail(ErrorCode::Unavailable, reason, limit);
}

void HttpConnection::Impl::completeExchange() {
  // After a response that precedes the end of the request, the peer still waits
  // for the rest of the request, so the connection cannot be reused.
  const bool reusable =
      Parser->isPersistent() && !Writing && Parser->excess().empty();
  HasResponded = true;
  if (const auto limit = parseKeepAliveTimeout(Parser->response().Headers))
    IdleTimeout = std::max(*limit - IdleMargin, state::Duration(0));
  if (!reusable)
    closeSocket();
  HttpResponse &response = Parser->response();
  if (response.Body.capacity() - response.Body.size() > MaxUnusedBytes)
    response.Body.shrink_to_fit();
  response.Hold = Loop.receiveLimits().makeHold(std::exchange(HeldBytes, 0));
  finish(std::move(response));
}

void HttpConnection::Impl::finish(HttpResult result) {
  ResultPosted = true;
  Next = {}; // not sent
  Parser.reset();
  Loop.cancel(DeadlineTimer);
  DeadlineTimer = 0;
  const std::uint64_t exchange = ExchangeNumber;
  Loop.post([self = shared_from_this(), exchange,
             result = std::move(result)]() mutable {
    if (!self->Busy || self->ExchangeNumber != exchange)
      return;
    self->Busy = false;
    self->ResultPosted = false;
    self->MaySend = nullptr;
    self->releaseHeldBytes();
    self->LastUsed = self->Loop.now();
    self->armIdleTimer();
    const HttpCallback callback = std::move(self->Callback);
    self->Callback = nullptr;
    callback(std::move(result));
  });
}

void HttpConnection::Impl::fail(ErrorCode code, const std::string &text,
                                ResponseLimit limit) {
  finish(tl::unexpected(
      HttpFailure{{code, Authority + ": " + text}, MaybeSent, false, limit}));
}

void HttpConnection::Impl::armIdleTimer() {
  if (Sock == nullptr || Busy)
    return;
  Loop.cancel(IdleTimer);
  IdleTimer = Loop.schedule(IdleTimeout, [this] {
    IdleTimer = 0;
    if (Busy)
      return;
    const auto self = shared_from_this();
    closeSocket();
    notifyIdleChange();
  });
}

void HttpConnection::Impl::notifyIdleChange() {
  if (!Busy && IdleChangeCallback)
    Loop.post([self = shared_from_this()] {
      if (!self->Busy && self->IdleChangeCallback)
        self->IdleChangeCallback();
    });
}

HttpConnection::HttpConnection(EventLoop &loop, const SocketAddress &address)
    : Self(std::make_shared<Impl>(loop, address)) {}

HttpConnection::~HttpConnection() {
  Self->Loop.cancel(Self->DeadlineTimer);
  Self->Busy = false;
  Self->Callback = nullptr;
  Self->IdleChangeCallback = nullptr;
  Self->closeSocket();
}

void HttpConnection::send(const HttpRequest &request, state::Duration timeout,
                          HttpCallback callback, SendPredicate maySend) {
  Impl &self = *Self;
  self.Loop.cancel(self.IdleTimer);
  self.IdleTimer = 0;
  self.Busy = true;
  self.ResultPosted = false;
  ++self.ExchangeNumber;
  self.MaybeSent = false;
  self.HasReceived = false;
  self.Next = {encodeRequest(request, self.Authority), request.SharedBody};
  self.RequestHold = self.Loop.clientMemory().makeHold(self.Next.Bytes.size());
  self.EchoHeader = request.Rules.EchoHeader;
  self.EchoValue = request.Headers.find(self.EchoHeader).value_or("");
  self.ParserOptions = {};
  self.ParserOptions.IsHead = request.Method == "HEAD";
  self.ParserOptions.AcceptUnframed = request.Rules.AcceptUnframed;
  self.ParserOptions.MaxBodyBytes = MaxResponseBytes;
  self.Parser = std::make_unique<HttpResponseParser>(self.ParserOptions);
  self.SkippedResponses = 0;
  self.Callback = std::move(callback);
  self.MaySend = std::move(maySend);
  self.DeadlineTimer = self.Loop.schedule(timeout, [impl = Self.get()] {
    impl->DeadlineTimer = 0;
    impl->closeSocket();
    impl->fail(ErrorCode::DeadlineExceeded, "no response in time");
  });
  if (self.Connecting)
    return;
  if (self.Sock != nullptr)
    self.write();
  else
    self.connect();
}

void HttpConnection::cancel() {
  Impl &self = *Self;
  if (!self.Busy || self.ResultPosted)
    return;
  self.closeSocket();
  self.fail(ErrorCode::Cancelled, "cancelled");
}

void HttpConnection::open(state::Duration timeout) {
  Impl &self = *Self;
  if (self.Busy || self.Sock != nullptr)
    return;
  self.connect();
  if (self.Connecting)
    self.OpenTimer = self.Loop.schedule(timeout, [impl = Self.get()] {
      impl->OpenTimer = 0;
      if (impl->Busy || !impl->Connecting)
        return;
      ++impl->RefusedConnections;
      impl->closeSocket();
      impl->notifyIdleChange();
    });
}

void HttpConnection::closeIdle() {
  if (!Self->Busy)
    Self->closeSocket();
}

bool HttpConnection::isBusy() const { return Self->Busy; }

bool HttpConnection::isConnected() const {
  return !Self->Busy && Self->Sock != nullptr && !Self->Connecting;
}

bool HttpConnection::isOpening() const {
  return !Self->Busy && Self->Connecting;
}

std::uint64_t HttpConnection::refusedConnections() const {
  return Self->RefusedConnections;
}

void HttpConnection::onIdleChange(std::function<void()> callback) {
  Self->IdleChangeCallback = std::move(callback);
}

state::TimePoint HttpConnection::lastUsed() const { return Self->LastUsed; }

} // namespace galenaflow::transport
