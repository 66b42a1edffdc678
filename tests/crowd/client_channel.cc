#include "crowd/client_channel.h"

#include <array>
#include <cerrno>
#include <openssl/ssl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace galenaflow::crowd {

namespace {

using ReadBuffer = std::array<char, 65'536>;

ReadBuffer &readBuffer() {
  static ReadBuffer buf;
  return buf;
}

/// Whether a call on a socket failed because it would block, or because the
/// connection is not yet established.
bool isPending(int error) { return error == EAGAIN || error == ENOTCONN; }

class PlainChannel : public ClientChannel {
public:
  explicit PlainChannel(int socket) : Socket(socket) {}
  ~PlainChannel() override { close(Socket); }

  std::size_t send(std::string_view bytes) override {
    const ssize_t n =
        ::send(Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0)
      return static_cast<std::size_t>(n);
    IsClosed = IsClosed || !isPending(errno);
    return 0;
  }

  std::string_view receive(bool takes) override {
    ReadBuffer &buf = readBuffer();
    const ssize_t n = recv(Socket, buf.data(), buf.size(),
                           takes ? MSG_DONTWAIT : MSG_DONTWAIT | MSG_PEEK);
    IsClosed = IsClosed || n == 0 || (n < 0 && !isPending(errno));
    return {buf.data(), takes && n > 0 ? static_cast<std::size_t>(n) : 0};
  }

  bool isClosed() const override { return IsClosed; }

private:
  int Socket;
  bool IsClosed = false;
};

/// Does not verify the certificate.
SSL_CTX *tlsContext(ChannelKind kind) {
  static SSL_CTX *const Context = [] {
    SSL_CTX *it = SSL_CTX_new(TLS_client_method());
    SSL_CTX_set_mode(it, SSL_MODE_ENABLE_PARTIAL_WRITE |
                             SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
                             SSL_MODE_RELEASE_BUFFERS);
    return it;
  }();
  static SSL_CTX *const Http2Context = [] {
    SSL_CTX *it = SSL_CTX_new(TLS_client_method());
    SSL_CTX_set_mode(it, SSL_MODE_ENABLE_PARTIAL_WRITE |
                             SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
                             SSL_MODE_RELEASE_BUFFERS);
    constexpr std::array<unsigned char, 3> protocols = {2, 'h', '2'};
    SSL_CTX_set_alpn_protos(it, protocols.data(), protocols.size());
    return it;
  }();
  return kind == ChannelKind::Http2 ? Http2Context : Context;
}

class TlsChannel : public ClientChannel {
public:
  TlsChannel(int socket, ChannelKind kind)
      : Socket(socket), Session(SSL_new(tlsContext(kind))) {
    SSL_set_fd(Session, socket);
    SSL_set_connect_state(Session);
  }
  ~TlsChannel() override {
    SSL_free(Session);
    close(Socket);
  }

  std::size_t send(std::string_view bytes) override {
    if (!isConnected())
      return 0;
    if (SSL_is_init_finished(Session) == 0) {
      check(SSL_do_handshake(Session));
      return 0;
    }
    std::size_t n = 0;
    check(SSL_write_ex(Session, bytes.data(), bytes.size(), &n));
    return n;
  }

  // A peek would not read the records that keep the session going.
  std::string_view receive(bool) override {
    if (!isConnected())
      return {};
    ReadBuffer &buf = readBuffer();
    std::size_t n = 0;
    check(SSL_read_ex(Session, buf.data(), buf.size(), &n));
    return {buf.data(), n};
  }

  bool isClosed() const override { return IsClosed; }

private:
  bool isConnected() {
    char ignored = 0;
    return !IsClosed &&
           (recv(Socket, &ignored, 1, MSG_DONTWAIT | MSG_PEEK) >= 0 ||
            errno != ENOTCONN);
  }

  void check(int result) {
    if (result > 0)
      return;
    const int error = SSL_get_error(Session, result);
    IsClosed =
        IsClosed || (error != SSL_ERROR_WANT_READ &&
                     error != SSL_ERROR_WANT_WRITE && error != SSL_ERROR_NONE);
  }

  int Socket;
  SSL *Session;
  bool IsClosed = false;
};

} // namespace

std::unique_ptr<ClientChannel> connectChannel(ChannelKind kind,
                                              transport::SocketAddress target) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd == -1)
    return nullptr;
  if (connect(fd, target.data(), target.Length) != 0 && errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  if (kind == ChannelKind::Plain)
    return std::make_unique<PlainChannel>(fd);
  return std::make_unique<TlsChannel>(fd, kind);
}

} // namespace galenaflow::crowd
