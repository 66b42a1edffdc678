#include "transport/client_connections.h"

#include "transport/h2o_api.h"
#include "transport/http_message.h"
#include "transport/socket_input.h"

#include <array>
#include <bit>
#include <charconv>
#include <cstring>
#include <sys/ioctl.h>
#include <sys/socket.h>

// h2o reads a socket until it is empty and keeps the head and the body of an
// HTTP/1.1 request in the socket's input buffer until the request has ended, so
// nothing in it limits the sum over all connections. Plain connections are
// therefore read here: the callback that h2o has set on the socket is replaced
// by one that reads a bounded piece, asks ClientMemory whether it fits, appends
// it to the input buffer and then calls h2o. h2o sets its callback again for
// each request, so it is replaced again after each one and by the sweep. A
// socket with h2o's own callback gets no bytes, since its automatic reads are
// off. h2o does not read while a request is open, which holds up the client.
//
// h2o reads and decrypts TLS connections itself, one socket until it is empty.
// They are counted when it is done with the socket and before it handles the
// bytes, so the limit is exceeded by one read at most. It keeps the buffer of
// the largest read while the connection is open. Bodies of HTTP/2 are counted
// by their frames.
//
// A body with a stated length reserves the buffer for all of it, and the copy
// for the handler, before more of it is read. What is refused has not been
// passed to the handler, so 503 is true.

namespace galenaflow::transport {

namespace {

constexpr std::size_t MaxHeaders = 100; ///< h2o's limit

/// What a request head states about its body.
struct BodyFraming {
  std::size_t HeadBytes = 0; ///< zero while the head is incomplete
  std::size_t BodyBytes = 0;
};

BodyFraming parseFraming(std::string_view input) {
  std::array<phr_header, MaxHeaders> headers{};
  std::size_t count = headers.size();
  const char *method = nullptr;
  const char *path = nullptr;
  std::size_t methodLength = 0;
  std::size_t pathLength = 0;
  int minorVersion = 0;
  BodyFraming framing;
  const int n = phr_parse_request(input.data(), input.size(), &method,
                                  &methodLength, &path, &pathLength,
                                  &minorVersion, headers.data(), &count, 0);
  if (n <= 0)
    return framing;
  framing.HeadBytes = static_cast<std::size_t>(n);
  for (std::size_t i = 0; i != count; ++i) {
    const phr_header &header = headers[i];
    if (header.name == nullptr ||
        !equalIgnoringCase({header.name, header.name_len}, "content-length"))
      continue;
    // A malformed length is left to h2o, which rejects it.
    static_cast<void>(std::from_chars(
        header.value, header.value + header.value_len, framing.BodyBytes));
  }
  return framing;
}

std::size_t capacity(const h2o_socket_t *sock) {
  return sock->input->bytes == nullptr ? 0 : sock->input->capacity;
}

/// The capacity of the input buffer once it holds `bytes`; it is doubled.
std::size_t grownCapacity(const h2o_socket_t *sock, std::size_t bytes) {
  std::size_t n = sock->input->capacity;
  while (n < bytes)
    n *= 2;
  return n;
}

/// What h2o holds for a TLS connection in buffers that it does not show: the
/// encrypted bytes of the largest read, and the bodies of HTTP/2.
std::size_t tlsBufferBytes(const ClientConnection &it) {
  return (it.LargestRead == 0 ? 0 : std::bit_ceil(it.LargestRead)) +
         (it.Http2 ? it.Http2->heldBytes() : 0);
}

} // namespace

std::size_t ClientConnections::connectionLimit() const {
  const std::size_t bytes = ConnectionBytes + (HasTls ? TlsBytes : 0);
  return std::min(MaxConnections, Loop.clientMemory().limit() / 2 / bytes);
}

bool ClientConnections::makeRoomForConnection() {
  if (Connections.size() < connectionLimit())
    return true;
  for (ClientConnection *it : ByProgress) {
    const ClientPhase current = phase(*it);
    const bool isIdle =
        current == ClientPhase::Idle || current == ClientPhase::Lingering ||
        current == ClientPhase::Head || current == ClientPhase::Body;
    int unread = 0;
    if (!isIdle || it->IsClosing ||
        (current == ClientPhase::Idle &&
         ioctl(h2o_socket_get_fd(it->Sock), FIONREAD, &unread) == 0 &&
         unread != 0))
      continue;
    Loop.clientMemory().countRefusal(ClientRefusal::ConnectionLimit,
                                     it->CountedBytes, Loop.now());
    close(*it);
    return Connections.size() < connectionLimit();
  }
  Loop.clientMemory().countRefusal(ClientRefusal::ConnectionLimit, 0,
                                   Loop.now());
  return false;
}

void ClientConnections::add(h2o_socket_t *sock, bool isTls) {
  const auto connection = std::make_shared<ClientConnection>();
  connection->Owner = this;
  connection->Id = ++LastId;
  connection->Sock = sock;
  connection->IsTls = isTls;
  connection->LastProgress = Loop.now();
  connection->Place = ByProgress.insert(ByProgress.end(), connection.get());
  sock->on_close.cb = &ClientConnections::onClosed;
  sock->on_close.data = connection.get();
  if (!isTls)
    h2o_socket_dont_read(sock, 1);
  Connections.emplace(connection->Id, connection);
  Loop.clientMemory().addConnections(1);
  count(*connection);
  scheduleSweep();
}

void ClientConnections::startReading(h2o_socket_t *sock) {
  intercept(*static_cast<ClientConnection *>(sock->on_close.data));
}

void ClientConnections::onClosed(void *data) {
  auto *connection = static_cast<ClientConnection *>(data);
  ClientConnections &self = *connection->Owner;
  connection->Sock = nullptr;
  self.Loop.clientMemory().release(std::exchange(connection->CountedBytes, 0));
  self.Loop.clientMemory().addConnections(-1);
  self.Lingering -= connection->IsLingering ? 1 : 0;
  self.ByProgress.erase(connection->Place);
  const std::uint64_t id = connection->Id;
  self.Connections.erase(id); // may destroy the connection
}

ClientPhase ClientConnections::phase(const ClientConnection &it) const {
  if (it.IsLingering)
    return ClientPhase::Lingering;
  // Its other streams may have complete requests, but it is the client that
  // chose to mix them.
  if (it.Http2 && it.Http2->heldBytes() != 0)
    return ClientPhase::Body;
  if (it.AnswerBytes != 0)
    return ClientPhase::Answer;
  if (it.OpenRequests != 0)
    return ClientPhase::Request;
  if (it.Sock->input->size == 0)
    return ClientPhase::Idle;
  return it.IsHeadAccepted ? ClientPhase::Body : ClientPhase::Head;
}

void ClientConnections::intercept(ClientConnection &connection) {
  h2o_socket_t *sock = connection.Sock;
  if (sock->_cb.read == nullptr ||
      sock->_cb.read == &ClientConnections::onReadable)
    return;
  connection.Read = sock->_cb.read;
  sock->_cb.read = &ClientConnections::onReadable;
}

/// Intercepts the reads once h2o has started them. It does so in this iteration
/// of the loop or, when it writes before, after a few.
void ClientConnections::interceptSoon(const ClientConnectionPtr &connection,
                                      int attempts) {
  Loop.post([this, connection, attempts] {
    if (connection->Sock == nullptr ||
        (connection->OpenRequests != 0 && !connection->Http2))
      return;
    if (connection->Sock->_cb.read == nullptr) {
      if (attempts > 1)
        interceptSoon(connection, attempts - 1);
      return;
    }
    intercept(*connection);
    // A client may send its next request before it has the answer.
    if (connection->Sock->input->size != 0 && !connection->IsHeadAccepted &&
        !connection->IsTls) {
      connection->HeadSince = Loop.now();
      static_cast<void>(acceptHead(connection));
    }
  });
}

void ClientConnections::count(ClientConnection &it) {
  if (it.Sock == nullptr || it.IsClosing)
    return;
  const std::size_t bytes = std::max(capacity(it.Sock), it.ReservedBytes) +
                            it.AnswerBytes + ConnectionBytes +
                            (it.IsTls ? TlsBytes + tlsBufferBytes(it) : 0);
  Loop.clientMemory().add(bytes);
  Loop.clientMemory().release(std::exchange(it.CountedBytes, bytes));
}

void ClientConnections::touch(ClientConnection &connection) {
  connection.LastProgress = Loop.now();
  ByProgress.splice(ByProgress.end(), ByProgress, connection.Place);
}

void ClientConnections::onReadable(h2o_socket_t *sock, const char *err) {
  auto *connection = static_cast<ClientConnection *>(sock->on_close.data);
  connection->Owner->read(connection->shared_from_this(), err);
}

void ClientConnections::read(const ClientConnectionPtr &connection,
                             const char *err) {
  h2o_socket_t *sock = connection->Sock;
  if (connection->IsTls) {
    readTls(connection, err);
    return;
  }
  if (connection->IsLingering) {
    discard(connection);
    return;
  }
  if (err != nullptr) {
    connection->Read(sock, err);
    return;
  }
  const SocketInput input = readInput(sock);
  if (input.IsClosed || input.IsBroken) {
    connection->Read(sock, input.IsClosed ? h2o_socket_error_closed
                                          : h2o_socket_error_io);
    return;
  }
  if (input.Bytes.empty())
    return;
  if (phase(*connection) == ClientPhase::Idle) {
    connection->HeadSince = Loop.now();
    // HTTP/2 is offered with TLS only; its bodies cannot be counted.
    if (input.Bytes.starts_with("PRI * HTTP/2")) {
      close(*connection);
      return;
    }
  }
  touch(*connection);
  if (!append(connection, input.Bytes))
    return;
  sock->bytes_read = input.Bytes.size();
  if (!connection->IsHeadAccepted && !acceptHead(connection))
    return;
  count(*connection);
  deliver(connection, nullptr);
}

/// Passes what was read to h2o, which sets the callback for the next read.
void ClientConnections::deliver(const ClientConnectionPtr &connection,
                                const char *err) {
  h2o_socket_t *sock = connection->Sock;
  connection->Read(sock, err);
  if (connection->Sock == nullptr)
    return;
  count(*connection);
  if (sock->_cb.read != nullptr)
    intercept(*connection);
  else
    interceptSoon(connection, /*attempts=*/100);
}

/// h2o has read and decrypted what the socket had, and calls before it handles
/// the bytes; there are none during the handshake.
void ClientConnections::readTls(const ClientConnectionPtr &connection,
                                const char *err) {
  h2o_socket_t *sock = connection->Sock;
  const std::size_t n = err == nullptr ? sock->bytes_read : 0;
  if (n == 0 || connection->IsClosing) {
    deliver(connection, err);
    return;
  }
  const std::string_view bytes(sock->input->bytes + sock->input->size - n, n);
  if (connection->LargestRead == 0 && bytes.starts_with("PRI"))
    connection->Http2.emplace();
  if (sock->input->size == n)
    connection->HeadSince = Loop.now();
  connection->LargestRead = std::max(connection->LargestRead, n);
  touch(*connection);
  ClientDemand demand = ClientDemand::Small;
  if (connection->Http2) {
    connection->Http2->feed(bytes);
    if (connection->Http2->heldBytes() > SmallRequestBytes)
      demand = ClientDemand::BodyGrows;
  } else if (sock->input->size > SmallRequestBytes) {
    demand = connection->IsHeadAccepted ? ClientDemand::BodyGrows
                                        : ClientDemand::NewBody;
  }
  count(*connection);
  const bool mayUseReserve = demand == ClientDemand::Small;
  if (!evictFor(connection.get(), Loop.clientMemory().missing(0, mayUseReserve),
                demand)) {
    refuse(connection);
    return;
  }
  if (connection->Sock == nullptr || connection->IsClosing)
    return; // it gave way itself
  if (!connection->Http2 && !connection->IsHeadAccepted)
    connection->IsHeadAccepted =
        parseFraming({sock->input->bytes, sock->input->size}).HeadBytes != 0;
  deliver(connection, nullptr);
}

/// Appends to the input buffer. Returns false if the connection was refused.
bool ClientConnections::append(const ClientConnectionPtr &connection,
                               std::string_view bytes) {
  h2o_socket_t *sock = connection->Sock;
  const std::size_t size = sock->input->size + bytes.size();
  const std::size_t before =
      std::max(capacity(sock), connection->ReservedBytes);
  const std::size_t after = std::max(before, grownCapacity(sock, size));
  ClientDemand demand = ClientDemand::Small;
  if (size > SmallRequestBytes)
    demand = connection->IsHeadAccepted ? ClientDemand::BodyGrows
                                        : ClientDemand::NewBody;
  if (!makeRoom(connection.get(), after - before, demand)) {
    refuse(connection);
    return false;
  }
  if (connection->Sock == nullptr || connection->IsClosing)
    return false; // it gave way itself
  const h2o_iovec_t space = h2o_buffer_reserve(&sock->input, bytes.size());
  std::memcpy(space.base, bytes.data(), bytes.size());
  sock->input->size += bytes.size();
  count(*connection);
  return true;
}

/// Reserves the memory for a body whose length the head states. Returns false
/// if the connection was refused.
bool ClientConnections::acceptHead(const ClientConnectionPtr &connection) {
  h2o_socket_t *sock = connection->Sock;
  const BodyFraming framing =
      parseFraming({sock->input->bytes, sock->input->size});
  if (framing.HeadBytes == 0)
    return true;
  connection->IsHeadAccepted = true;
  // h2o refuses longer bodies with 413.
  if (framing.BodyBytes == 0 || framing.BodyBytes > MaxBodyBytes)
    return true;
  const std::size_t total = framing.HeadBytes + framing.BodyBytes;
  // The buffer, and the copy for the handler.
  const std::size_t reserved = grownCapacity(sock, total) + framing.BodyBytes;
  const std::size_t before =
      std::max(capacity(sock), connection->ReservedBytes);
  if (!makeRoom(connection.get(), reserved - before,
                total > SmallRequestBytes ? ClientDemand::NewBody
                                          : ClientDemand::Small)) {
    refuse(connection);
    return false;
  }
  connection->ReservedBytes = reserved;
  count(*connection);
  return true;
}

std::vector<ClientLoad>
ClientConnections::loads(const ClientConnection *without) const {
  std::vector<ClientLoad> result;
  const state::TimePoint now = Loop.now();
  for (const auto &[id, it] : Connections)
    if (it.get() != without && !it->IsClosing)
      result.push_back(
          {id, phase(*it), it->CountedBytes, now - it->LastProgress});
  return result;
}

/// Evicts what gives way until `bytes` more fit. Returns false if they don't.
/// A body that grows may itself be evicted, which leaves `asking` closed.
bool ClientConnections::makeRoom(const ClientConnection *asking,
                                 std::size_t bytes, ClientDemand demand) {
  const bool mayUseReserve = demand == ClientDemand::Small;
  return bytes == 0 ||
         evictFor(asking, Loop.clientMemory().missing(bytes, mayUseReserve),
                  demand);
}

bool ClientConnections::evictFor(const ClientConnection *asking,
                                 std::size_t missing, ClientDemand demand) {
  if (missing == 0)
    return true;
  const auto evicted = selectEvictions(
      loads(demand == ClientDemand::BodyGrows ? nullptr : asking), demand,
      missing, {});
  if (!evicted)
    return false;
  for (const std::uint64_t id : *evicted)
    if (const auto it = Connections.find(id); it != Connections.end())
      evict(*it->second);
  return true;
}

void ClientConnections::sendRefusal(const ClientConnection &connection) {
  if (connection.IsTls)
    return;
  // Spreads the clients, who would all return at the same time.
  const std::string text =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0." +
      std::to_string(100 + connection.Id * 37 % 400) +
      "\r\nConnection: close\r\nContent-Type: text/plain\r\n"
      "Content-Length: 12\r\n\r\nclient load\n";
  // The socket has sent the answers to all requests before, so its buffer has
  // room for this one.
  static_cast<void>(::send(h2o_socket_get_fd(connection.Sock), text.data(),
                           text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

/// Answers with 503 and discards what the client still sends.
void ClientConnections::refuse(const ClientConnectionPtr &connection) {
  if (connection->Sock == nullptr || connection->IsLingering)
    return;
  Loop.clientMemory().countRefusal(ClientRefusal::BodyDoesNotFit,
                                   connection->CountedBytes, Loop.now());
  sendRefusal(*connection);
  if (connection->IsTls || Lingering >= MaxLingering) {
    close(*connection);
    return;
  }
  h2o_socket_t *sock = connection->Sock;
  shutdown(h2o_socket_get_fd(sock), SHUT_WR);
  h2o_buffer_dispose(&sock->input);
  h2o_buffer_init(&sock->input, &h2o_socket_buffer_prototype);
  connection->IsLingering = true;
  connection->ReservedBytes = 0;
  connection->LingerUntil = Loop.now() + LingerTime;
  ++Lingering;
  count(*connection);
}

void ClientConnections::discard(const ClientConnectionPtr &connection) {
  const SocketInput input = readInput(connection->Sock);
  connection->DiscardedBytes += input.Bytes.size();
  if (input.IsClosed || input.IsBroken ||
      connection->DiscardedBytes > MaxLingerBytes)
    close(*connection);
}

void ClientConnections::evict(ClientConnection &connection) {
  Loop.clientMemory().countRefusal(ClientRefusal::Evicted,
                                   connection.CountedBytes, Loop.now());
  if (phase(connection) == ClientPhase::Body)
    sendRefusal(connection);
  close(connection);
}

/// Closes a connection without an open request at once. h2o frees one that it
/// writes to, or decrypts, in the next iteration.
void ClientConnections::close(ClientConnection &connection) {
  if (connection.Sock == nullptr)
    return;
  const ClientPhase current = phase(connection);
  if (connection.IsTls || connection.Read == nullptr ||
      h2o_socket_is_writing(connection.Sock) != 0 ||
      current == ClientPhase::Answer || current == ClientPhase::Request) {
    connection.IsClosing = true;
    shutdown(h2o_socket_get_fd(connection.Sock), SHUT_RDWR);
    Loop.clientMemory().release(std::exchange(connection.CountedBytes, 0));
    return;
  }
  connection.Read(connection.Sock, h2o_socket_error_closed);
}

ClientConnectionPtr ClientConnections::onRequest(h2o_socket_t *sock) {
  auto *connection = static_cast<ClientConnection *>(sock->on_close.data);
  ++connection->OpenRequests;
  connection->IsHeadAccepted = false;
  connection->ReservedBytes = 0;
  count(*connection);
  return connection->shared_from_this();
}

void ClientConnections::onAnswer(ClientConnection &connection,
                                 std::size_t bytes) {
  connection.AnswerBytes += bytes;
  connection.LastProgress = Loop.now();
  count(connection);
}

void ClientConnections::onAnswerProgress(ClientConnection &connection) {
  touch(connection);
}

void ClientConnections::onRequestEnd(const ClientConnectionPtr &connection,
                                     std::size_t answerBytes) {
  --connection->OpenRequests;
  connection->AnswerBytes -= answerBytes;
  if (connection->Sock == nullptr)
    return;
  touch(*connection);
  count(*connection);
  interceptSoon(connection, /*attempts=*/100);
}

void ClientConnections::scheduleSweep() {
  if (SweepTimer == 0)
    SweepTimer = Loop.schedule(SweepInterval, [this] {
      SweepTimer = 0;
      sweep();
    });
}

void ClientConnections::sweep() {
  const state::TimePoint now = Loop.now();
  std::vector<ClientConnectionPtr> all;
  for (const auto &[id, it] : Connections)
    all.push_back(it);
  for (const ClientConnectionPtr &it : all) {
    if (it->Sock == nullptr || it->IsClosing)
      continue;
    const ClientPhase current = phase(*it);
    if (current == ClientPhase::Lingering && now >= it->LingerUntil) {
      close(*it);
      continue;
    }
    if (current == ClientPhase::Head && now - it->HeadSince >= HeadTimeout) {
      Loop.clientMemory().countRefusal(ClientRefusal::NoProgress,
                                       it->CountedBytes, now);
      close(*it);
      continue;
    }
    if (current != ClientPhase::Request && current != ClientPhase::Answer)
      intercept(*it);
    count(*it);
  }
  // Answers and copies are counted after the fact.
  if (Loop.clientMemory().missing(1, /*mayUseReserve=*/true) != 0)
    static_cast<void>(makeRoom(nullptr, 1, ClientDemand::Small));
  Loop.clientMemory().trim(now);
  if (!Connections.empty() || Loop.clientMemory().mayNeedTrim())
    scheduleSweep();
}

void ClientConnections::stop() { Loop.cancel(std::exchange(SweepTimer, 0)); }

} // namespace galenaflow::transport
