#include "crowd/client_crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

// The sizes were chosen so that a process without a limit on the sum holds more
// than the 64 MB that the settings of the tests state, and so that one run
// takes seconds. All bodies are within the published limit of 262,144 bytes.

namespace galenaflow::crowd {

namespace {

constexpr std::size_t MaxBodyBytes = 262'144;
constexpr std::size_t MissingBytes = 1000; ///< of a body that stops short
constexpr std::size_t PieceBytes = 4000;
constexpr std::size_t HeadBytes = 15'000;
constexpr std::size_t BodyClients = 300;

/// More than the descriptors that the settings of the tests leave.
constexpr std::size_t HeadClients = 700;

constexpr std::size_t RefusedClients = 100;
constexpr std::size_t LargeChunkBytes = 64'000;
constexpr int LargeChunks = 4;
constexpr std::size_t SmallChunksBytes = 250'000; ///< decoded
constexpr int UnreadRequests = 8;                 ///< of one connection

std::string lengthBody(const CrowdTarget &target, std::size_t missing) {
  return target.HeadStart + "Content-Length: " + std::to_string(MaxBodyBytes) +
         "\r\n\r\n" + std::string(MaxBodyBytes - missing, 'a');
}

std::string largeChunks(const CrowdTarget &target) {
  std::string bytes = target.HeadStart + "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i != LargeChunks; ++i)
    bytes += "fa00\r\n" + std::string(LargeChunkBytes, 'a') + "\r\n";
  return bytes;
}

std::string smallChunks(const CrowdTarget &target) {
  std::string bytes = target.HeadStart + "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::array<const char *, 3> chunks = {"1\r\na\r\n", "2\r\naa\r\n",
                                                  "3\r\naaa\r\n"};
  std::size_t decoded = 0;
  for (std::size_t i = 0; decoded < SmallChunksBytes; ++i) {
    bytes += chunks[i % chunks.size()];
    decoded += 1 + i % chunks.size();
  }
  return bytes;
}

std::string unendingHead(const CrowdTarget &target) {
  return target.HeadStart + "X-Padding: " + std::string(HeadBytes, 'a');
}

std::string unreadAnswers(const CrowdTarget &target) {
  std::string bytes;
  for (int i = 0; i != UnreadRequests; ++i)
    bytes += target.LargeAnswerRequest;
  return bytes;
}

} // namespace

ClientCrowd::ClientCrowd(const transport::SocketAddress &target,
                         std::vector<ClientScript> scripts)
    : Target(target) {
  for (ClientScript &script : scripts)
    Clients.push_back({std::move(script)});
}

ClientCrowd::~ClientCrowd() {
  for (const Client &client : Clients)
    if (client.Socket != -1)
      close(client.Socket);
}

bool ClientCrowd::connect(Client &client) const {
  if (client.ConnectsLeft-- <= 0)
    return false;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd == -1)
    return false;
  transport::SocketAddress target = Target;
  if (::connect(fd, target.data(), target.Length) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return false;
  }
  client.Socket = fd;
  client.Sent = 0;
  return true;
}

std::size_t ClientCrowd::stepClient(Client &client) {
  const std::string &bytes = client.Script.Bytes;
  if (client.Sent == bytes.size() && client.Script.Repeats)
    client.Sent = 0;
  const std::size_t n =
      std::min(client.Script.PieceBytes, bytes.size() - client.Sent);
  std::size_t sent = 0;
  bool isClosed = false;
  if (n != 0) {
    const ssize_t got = ::send(client.Socket, bytes.data() + client.Sent, n,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (got > 0)
      sent = static_cast<std::size_t>(got);
    else
      isClosed = errno != EAGAIN && errno != ENOTCONN;
  }
  client.Sent += sent;
  std::array<char, 65536> buf{};
  // A client that doesn't read learns from a peek that it was closed.
  const ssize_t got =
      recv(client.Socket, buf.data(), buf.size(),
           client.Script.Reads ? MSG_DONTWAIT : MSG_DONTWAIT | MSG_PEEK);
  isClosed =
      isClosed || got == 0 || (got < 0 && errno != EAGAIN && errno != ENOTCONN);
  if (isClosed) {
    close(client.Socket);
    client.Socket = -1;
  }
  return sent;
}

std::size_t ClientCrowd::step() {
  std::size_t progress = 0;
  for (Client &client : Clients)
    if (client.Socket != -1)
      progress += stepClient(client);
    else
      progress += connect(client) ? 1 : 0;
  return progress;
}

std::size_t ClientCrowd::openConnections() const {
  return static_cast<std::size_t>(
      std::count_if(Clients.begin(), Clients.end(),
                    [](const Client &it) { return it.Socket != -1; }));
}

const std::vector<std::string> &crowdCases() {
  static const std::vector<std::string> Names = {
      "whole_bodies", "pieced_bodies", "large_chunks",   "small_chunks",
      "all_kinds",    "endless_heads", "unread_answers", "refused_bodies"};
  return Names;
}

std::vector<ClientScript> makeCrowd(const std::string &name,
                                    const CrowdTarget &target) {
  std::vector<ClientScript> scripts;
  const auto add = [&scripts](std::size_t n, const ClientScript &script) {
    scripts.insert(scripts.end(), n, script);
  };
  if (name == "whole_bodies")
    add(BodyClients, {lengthBody(target, MissingBytes)});
  if (name == "pieced_bodies")
    add(BodyClients, {lengthBody(target, MissingBytes), PieceBytes});
  if (name == "large_chunks")
    add(BodyClients, {largeChunks(target), LargeChunkBytes});
  if (name == "small_chunks")
    add(BodyClients, {smallChunks(target), LargeChunkBytes});
  if (name == "all_kinds") {
    constexpr std::size_t each = BodyClients / 4;
    add(each, {lengthBody(target, MissingBytes)});
    add(each, {lengthBody(target, MissingBytes), PieceBytes});
    add(each, {largeChunks(target), LargeChunkBytes});
    add(each, {smallChunks(target), LargeChunkBytes});
    add(each, {unendingHead(target)});
    add(each, {unreadAnswers(target)});
    add(each, {""});
  }
  if (name == "endless_heads") {
    add(HeadClients / 2, {unendingHead(target)});
    add(HeadClients / 2, {""});
  }
  if (name == "unread_answers")
    add(BodyClients, {unreadAnswers(target)});
  if (name == "refused_bodies") {
    add(BodyClients, {lengthBody(target, MissingBytes)});
    add(RefusedClients,
        {lengthBody(target, 0), PieceBytes * 10, /*Reads=*/false,
         /*Repeats=*/true});
  }
  return scripts;
}

} // namespace galenaflow::crowd
