#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace galenaflow::transport {

using state::ErrorCode;
using state::makeError;

namespace {

constexpr int ListenBacklog = 1024;

/// Receive buffer of accepted connections, in bytes.
constexpr int AcceptedReceiveBufferBytes = 64 << 10;

tl::unexpected<state::Error> invalidAddress(std::string_view text) {
  return makeError(ErrorCode::InvalidArgument,
                   "expected IP:PORT, got \"" + std::string(text) + "\"");
}

} // namespace

std::string SocketAddress::toText() const {
  char buf[INET6_ADDRSTRLEN] = {};
  if (Storage.ss_family == AF_INET) {
    const auto *in = reinterpret_cast<const sockaddr_in *>(&Storage);
    inet_ntop(AF_INET, &in->sin_addr, buf, sizeof(buf));
    std::string text(buf);
    return text.append(":").append(std::to_string(ntohs(in->sin_port)));
  }
  const auto *in6 = reinterpret_cast<const sockaddr_in6 *>(&Storage);
  inet_ntop(AF_INET6, &in6->sin6_addr, buf, sizeof(buf));
  std::string text("[");
  return text.append(buf).append("]:").append(
      std::to_string(ntohs(in6->sin6_port)));
}

state::Result<SocketAddress> parseSocketAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return invalidAddress(text);
  std::string host(text.substr(0, colon));
  const std::string_view portText = text.substr(colon + 1);
  std::uint16_t port = 0;
  const char *end = portText.data() + portText.size();
  const auto [ptr, ec] = std::from_chars(portText.data(), end, port);
  if (ec != std::errc() || ptr != end)
    return invalidAddress(text);

  SocketAddress address;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    auto *in6 = reinterpret_cast<sockaddr_in6 *>(&address.Storage);
    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons(port);
    address.Length = sizeof(*in6);
    if (inet_pton(AF_INET6, host.c_str(), &in6->sin6_addr) != 1)
      return invalidAddress(text);
    return address;
  }
  auto *in = reinterpret_cast<sockaddr_in *>(&address.Storage);
  in->sin_family = AF_INET;
  in->sin_port = htons(port);
  address.Length = sizeof(*in);
  if (inet_pton(AF_INET, host.c_str(), &in->sin_addr) != 1)
    return invalidAddress(text);
  return address;
}

state::Result<int> listenOn(SocketAddress &address) {
  const int fd = socket(address.Storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return makeError(ErrorCode::Unavailable,
                     std::string("socket: ") + std::strerror(errno));
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  // Accepted connections inherit this. h2o reads them until they are empty.
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &AcceptedReceiveBufferBytes,
             sizeof(AcceptedReceiveBufferBytes));
  if (bind(fd, address.data(), address.Length) != 0 ||
      listen(fd, ListenBacklog) != 0) {
    const int ec = errno;
    close(fd);
    return makeError(ErrorCode::Unavailable,
                     address.toText() + ": " + std::strerror(ec));
  }
  address.Length = sizeof(address.Storage);
  getsockname(fd, address.data(), &address.Length);
  return fd;
}

} // namespace galenaflow::transport
