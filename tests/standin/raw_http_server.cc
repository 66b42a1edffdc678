#include "standin/raw_http_server.h"

#include "transport/h2o_api.h"

#include <charconv>
#include <string_view>
#include <sys/socket.h>

// The parser accepts the form of request that transport::HttpConnection sends:
// a request line, header lines and a body with a content-length. Any other
// input closes the connection.

namespace galenaflow::standin {

namespace {

constexpr std::size_t MaxInputBytes = std::size_t{1} << 20;
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";

std::string encodeHead(const transport::HttpResponse &response) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.Status) + " -\r\ncontent-length: ";
  text += std::to_string(response.Body.size());
  for (const auto &[name, value] : response.Headers.items())
    text.append(LineEnd).append(name).append(": ").append(value);
  text += HeadEnd;
  return text;
}

void setReset(h2o_socket_t *sock) {
  const linger option{1, 0};
  setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_LINGER, &option,
             sizeof(option));
}

bool parseHead(std::string_view head, transport::HttpRequest &request) {
  const auto lineEnd = head.find(LineEnd);
  const std::string_view line = head.substr(0, lineEnd);
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last)
    return false;
  request.Method = line.substr(0, first);
  request.Path = line.substr(first + 1, last - first - 1);
  head.remove_prefix(lineEnd == std::string_view::npos ? head.size()
                                                       : lineEnd + 2);
  while (!head.empty()) {
    const auto end = std::min(head.find(LineEnd), head.size());
    const std::string_view field = head.substr(0, end);
    const auto colon = field.find(':');
    if (colon == std::string_view::npos)
      return false;
    std::string_view value = field.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
      value.remove_prefix(1);
    request.Headers.add(field.substr(0, colon), value);
    head.remove_prefix(std::min(end + 2, head.size()));
  }
  return true;
}

std::size_t bodyLength(const transport::HttpRequest &request) {
  const auto text = request.Headers.find("content-length").value_or("0");
  std::size_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

} // namespace

void RawConnection::start() {
  if (Sock != nullptr)
    h2o_socket_read_start(Sock, &RawConnection::onRead);
}

void RawConnection::onRead(h2o_socket_t *sock, const char *err) {
  const auto self =
      static_cast<RawConnection *>(sock->data)->shared_from_this();
  if (err != nullptr) {
    self->close();
    return;
  }
  self->Input.append(sock->input->bytes, sock->input->size);
  h2o_buffer_consume(&sock->input, sock->input->size);
  self->parse();
}

void RawConnection::parse() {
  if (IsHandling || Sock == nullptr)
    return;
  const auto headEnd = Input.find(HeadEnd);
  if (headEnd == std::string::npos) {
    if (Input.size() > MaxInputBytes)
      close();
    return;
  }
  transport::HttpRequest request;
  if (!parseHead(std::string_view(Input).substr(0, headEnd), request)) {
    close();
    return;
  }
  const std::size_t start = headEnd + HeadEnd.size();
  const std::size_t n = bodyLength(request);
  if (n > MaxInputBytes) {
    close();
    return;
  }
  if (Input.size() - start < n)
    return;
  request.Body = Input.substr(start, n);
  Input.erase(0, start + n);
  IsHandling = true;
  Server.OnRequest(std::move(request), shared_from_this());
}

void RawConnection::respond(const transport::HttpResponse &response) {
  write(encodeHead(response) + response.Body, false);
}

void RawConnection::respondTruncated(const transport::HttpResponse &response,
                                     std::size_t bytes) {
  write(encodeHead(response) + response.Body.substr(0, bytes), true);
}

void RawConnection::respondEndlessly(std::string start, std::string repeated) {
  Repeated = std::move(repeated);
  write(std::move(start), false);
}

void RawConnection::write(std::string text, bool closeAfter) {
  if (Sock == nullptr || !IsHandling || IsWriting)
    return;
  IsWriting = true;
  CloseAfterWrite = closeAfter;
  Output = std::move(text);
  h2o_iovec_t buf = h2o_iovec_init(Output.data(), Output.size());
  h2o_socket_write(Sock, &buf, 1, &RawConnection::onWritten);
}

void RawConnection::onWritten(h2o_socket_t *sock, const char *err) {
  const auto self =
      static_cast<RawConnection *>(sock->data)->shared_from_this();
  self->IsWriting = false;
  if (err == nullptr && !self->Repeated.empty()) {
    self->write(self->Repeated, false);
    return;
  }
  self->IsHandling = false;
  if (err != nullptr || self->CloseAfterWrite) {
    self->close();
    return;
  }
  self->parse();
}

void RawConnection::reset() {
  if (Sock == nullptr)
    return;
  setReset(Sock);
  close();
}

void RawConnection::close() {
  if (Sock == nullptr)
    return;
  h2o_socket_close(Sock);
  Sock = nullptr;
  Server.Connections.erase(shared_from_this());
}

RawHttpServer::RawHttpServer(transport::EventLoop &loop, Handler handler)
    : Loop(loop), OnRequest(std::move(handler)) {}

RawHttpServer::~RawHttpServer() { shutDown(); }

state::Result<transport::SocketAddress>
RawHttpServer::listen(transport::SocketAddress address) {
  const auto fd = transport::listenOn(address);
  if (!fd)
    return tl::unexpected(fd.error());
  Listener =
      h2o_evloop_socket_create(Loop.handle(), *fd, H2O_SOCKET_FLAG_DONT_READ);
  Listener->data = this;
  h2o_socket_read_start(Listener, &RawHttpServer::onAccept);
  return address;
}

void RawHttpServer::shutDown() {
  if (Listener != nullptr)
    h2o_socket_close(Listener);
  Listener = nullptr;
  while (!Connections.empty()) {
    const RawConnectionPtr connection = *Connections.begin();
    connection->reset();
  }
}

void RawHttpServer::onAccept(h2o_socket_t *listener, const char *err) {
  if (err != nullptr)
    return;
  auto *self = static_cast<RawHttpServer *>(listener->data);
  h2o_socket_t *sock = h2o_evloop_socket_accept(listener);
  if (sock == nullptr)
    return;
  if (self->Connections.size() >= self->Options.ConnectionLimit) {
    ++self->Stats.Refused;
    setReset(sock);
    h2o_socket_close(sock);
    return;
  }
  ++self->Stats.Accepted;
  auto connection = std::make_shared<RawConnection>(*self, sock);
  sock->data = connection.get();
  self->Connections.insert(connection);
  self->Stats.Peak = std::max(self->Stats.Peak, self->Connections.size());
  if (self->Options.ConnectionCost.count() == 0) {
    connection->start();
    return;
  }
  self->Loop.schedule(self->Options.ConnectionCost,
                      [connection] { connection->start(); });
}

} // namespace galenaflow::standin
