#include "transport/event_loop.h"
#include "transport/h2o_api.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

/// Small, so that a write of a few packets fills the socket.
constexpr std::size_t SendBufferBytes = 16UL * 1024;

constexpr auto TestLimit = 5s;

/// A socket of the loop whose other end the test reads.
class FilledSocket {
public:
  explicit FilledSocket(EventLoop &loop) {
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
  ~FilledSocket() {
    h2o_socket_close(Socket);
    close(Reader);
  }
  FilledSocket(const FilledSocket &) = delete;
  FilledSocket &operator=(const FilledSocket &) = delete;

  void write(std::size_t n, std::function<void()> written) {
    Bytes.assign(n, 'x');
    Written = std::move(written);
    h2o_iovec_t buf = h2o_iovec_init(Bytes.data(), Bytes.size());
    h2o_socket_write(Socket, &buf, 1, [](h2o_socket_t *sock, const char *) {
      static_cast<FilledSocket *>(sock->data)->Written();
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
  std::function<void()> Written;
};

} // namespace

// Guards against a daemon that ends with an assertion of h2o: a write that a
// message made was completed only in the next turn, after the socket had been
// registered for output once more, and the peer's next read then reported
// output for a socket without a write. Seen with 300 daemons, whose relays fill
// the sockets to slow peers.
TEST_CASE("a write that follows a blocked one in the same turn does not end "
          "the process") {
  EventLoop loop;
  bool isTimer = false;
  SECTION("from a message") {}
  SECTION("from a timer") { isTimer = true; }
  for (std::size_t second = 1024; second <= 2 * SendBufferBytes;
       second += 1024) {
    FilledSocket socket(loop);
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
    // The loop runs before and after the peer makes room.
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
