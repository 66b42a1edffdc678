#include "transport/event_loop.h"
#include "transport/h2o_api.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

/// Small, so that a write of a few packets fills the send buffer.
constexpr std::size_t SendBufferBytes = 16UL * 1024;

constexpr auto TestLimit = 5s;

/// A socket of the loop with a small send buffer. The test reads its other end.
class SmallBufferSocket {
public:
  explicit SmallBufferSocket(EventLoop &loop) {
    int ends[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    Reader = ends[1];
    const auto n = static_cast<int>(SendBufferBytes);
    setsockopt(ends[0], SOL_SOCKET, SO_SNDBUF, &n, sizeof(n));
    for (const int end : ends)
      fcntl(end, F_SETFL, O_NONBLOCK);
    Socket = h2o_evloop_socket_create(loop.handle(), ends[0], 0);
    Socket->data = this;
  }
  ~SmallBufferSocket() {
    h2o_socket_close(Socket);
    close(Reader);
  }
  SmallBufferSocket(const SmallBufferSocket &) = delete;
  SmallBufferSocket &operator=(const SmallBufferSocket &) = delete;

  void write(std::size_t n, std::function<void()> onWritten) {
    Bytes.assign(n, 'x');
    OnWritten = std::move(onWritten);
    h2o_iovec_t buf = h2o_iovec_init(Bytes.data(), Bytes.size());
    h2o_socket_write(Socket, &buf, 1, [](h2o_socket_t *sock, const char *) {
      static_cast<SmallBufferSocket *>(sock->data)->OnWritten();
    });
  }

  void drain() {
    char buf[4096];
    while (read(Reader, buf, sizeof(buf)) > 0) {
    }
  }

private:
  h2o_socket_t *Socket = nullptr;
  int Reader = -1;
  std::string Bytes;
  std::function<void()> OnWritten;
};

} // namespace

// Guards against an assertion of h2o that ended a daemon. A write that was
// started by a message was completed only in the next iteration of the loop,
// after the socket had been registered for output once more. The peer's next
// read then caused an output event for a socket without a write. Seen with 300
// daemons, whose relays fill the sockets to slow peers.
TEST_CASE("a write that follows a blocked one in the same iteration does not "
          "end the process") {
  EventLoop loop;
  bool isTimer = false;
  SECTION("from a posted task") {}
  SECTION("from a timer") { isTimer = true; }
  for (std::size_t second = 1024; second <= 2 * SendBufferBytes;
       second += 1024) {
    SmallBufferSocket socket(loop);
    bool started = false;
    bool ended = false;
    socket.write(8 * SendBufferBytes, [&] {
      const auto next = [&] {
        started = true;
        socket.write(second, [&] { ended = true; });
      };
      if (isTimer)
        loop.schedule(0ms, next);
      else
        loop.post(next);
    });
    REQUIRE(loop.runUntil(
        [&] {
          if (!started)
            socket.drain();
          return started;
        },
        TestLimit));
    // The loop runs before and after the peer frees receive space.
    loop.runUntil([] { return false; }, 1ms);
    const bool drained = loop.runUntil(
        [&] {
          socket.drain();
          return ended;
        },
        TestLimit);
    CHECK(drained);
    loop.runUntil([] { return false; }, 1ms);
  }
}
