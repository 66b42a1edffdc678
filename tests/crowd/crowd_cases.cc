#include "crowd/crowd_cases.h"

#include <algorithm>
#include <array>

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

/// Connections of a client that comes back at once whenever it is closed.
constexpr int ManyConnections = 1000;

/// Shards and clients of the crowds that address all shards.
constexpr int BodyShards = 300;
constexpr std::size_t ShardedBodyClients = 30;
constexpr int RequestShards = 225;
constexpr std::size_t ShardedRequestClients = 2000;

/// Shards and bytes of requests that are delegated, and few clients whose
/// requests run until their deadline.
constexpr int DelegatedShards = 20;
constexpr std::size_t DelegatedBytes = 60'000;
constexpr std::size_t LongClients = 4;

/// Clients and descriptors of the crowds with TLS: each connection holds many
/// times the memory of a plain one.
constexpr std::size_t TlsClients = 1700;
constexpr std::size_t TlsMaxFds = 2600;

/// Streams of one HTTP/2 connection, each with a body that stops short.
constexpr int Streams = 8;

/// A few HTTP/2 connections with many streams.
constexpr std::size_t StreamClients = 40;
constexpr int ManyStreams = 50;
constexpr std::size_t Http2FrameBytes = 16'384;

void add(Scripts &scripts, std::size_t n, ClientScript script) {
  scripts.insert(scripts.end(), n,
                 std::make_shared<const ClientScript>(std::move(script)));
}

std::string lengthBody(const std::string &headStart, std::size_t missing) {
  return headStart + "Content-Length: " + std::to_string(MaxBodyBytes) +
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

/// A frame of HTTP/2.
std::string http2Frame(char type, char flags, int stream,
                       const std::string &payload) {
  const std::size_t n = payload.size();
  std::string frame;
  for (const int shift : {16, 8, 0})
    frame.push_back(static_cast<char>(n >> shift & 0xff));
  frame += {type, flags};
  for (const int shift : {24, 16, 8, 0})
    frame.push_back(static_cast<char>(stream >> shift & 0xff));
  return frame + payload;
}

/// A field of HPACK without an index and without compression.
std::string http2Field(const std::string &name, const std::string &value) {
  return std::string(1, '\0') + static_cast<char>(name.size()) + name +
         static_cast<char>(value.size()) + value;
}

/// Several streams with a body each that stops short of its end.
std::string http2Bodies(const CrowdTarget &target, int streams) {
  constexpr char data = 0;
  constexpr char headers = 1;
  constexpr char settings = 4;
  constexpr char endOfHeaders = 4;
  std::string bytes = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  bytes += http2Frame(settings, 0, 0, "");
  const std::string fields =
      http2Field(":method", "POST") + http2Field(":scheme", "https") +
      http2Field(":path", target.Http2Path) + http2Field(":authority", "h") +
      http2Field("authorization", target.Http2Authorization);
  for (int stream = 1; stream < 2 * streams; stream += 2) {
    bytes += http2Frame(headers, endOfHeaders, stream, fields);
    for (std::size_t left = MaxBodyBytes - MissingBytes; left != 0;) {
      const std::size_t n = std::min(left, Http2FrameBytes);
      bytes += http2Frame(data, 0, stream, std::string(n, 'a'));
      left -= n;
    }
  }
  return bytes;
}

Scripts wholeBodies(const CrowdTarget &target) {
  Scripts scripts;
  add(scripts, BodyClients, {lengthBody(target.HeadStart, MissingBytes)});
  return scripts;
}

Scripts piecedBodies(const CrowdTarget &target) {
  Scripts scripts;
  add(scripts, BodyClients,
      {lengthBody(target.HeadStart, MissingBytes), PieceBytes});
  return scripts;
}

Scripts largeChunkBodies(const CrowdTarget &target) {
  Scripts scripts;
  add(scripts, BodyClients, {largeChunks(target), LargeChunkBytes});
  return scripts;
}

Scripts smallChunkBodies(const CrowdTarget &target) {
  Scripts scripts;
  add(scripts, BodyClients, {smallChunks(target), LargeChunkBytes});
  return scripts;
}

Scripts allKinds(const CrowdTarget &target) {
  constexpr std::size_t each = BodyClients / 4;
  Scripts scripts;
  add(scripts, each, {lengthBody(target.HeadStart, MissingBytes)});
  add(scripts, each, {lengthBody(target.HeadStart, MissingBytes), PieceBytes});
  add(scripts, each, {largeChunks(target), LargeChunkBytes});
  add(scripts, each, {smallChunks(target), LargeChunkBytes});
  add(scripts, each, {unendingHead(target)});
  add(scripts, each, {unreadAnswers(target)});
  add(scripts, each, {""});
  return scripts;
}

Scripts endlessHeads(const CrowdTarget &target) {
  Scripts scripts;
  add(scripts, HeadClients / 2, {unendingHead(target)});
  add(scripts, HeadClients / 2, {""});
  return scripts;
}

Scripts unreadAnswerClients(const CrowdTarget &target) {
  Scripts scripts;
  add(scripts, BodyClients, {unreadAnswers(target)});
  return scripts;
}

Scripts refusedBodies(const CrowdTarget &target) {
  Scripts scripts;
  add(scripts, BodyClients, {lengthBody(target.HeadStart, MissingBytes)});
  add(scripts, RefusedClients,
      {lengthBody(target.HeadStart, 0), PieceBytes * 10, /*Reads=*/false,
       /*Repeats=*/true});
  return scripts;
}

Scripts lastBytes(const CrowdTarget &target) {
  ClientScript script{lengthBody(target.HeadStart, 1)};
  script.Tail = "a";
  script.Reads = true;
  Scripts scripts;
  add(scripts, BodyClients, script);
  return scripts;
}

Scripts returningBodies(const CrowdTarget &target) {
  ClientScript script{lengthBody(target.HeadStart, MissingBytes)};
  script.Connections = ManyConnections;
  Scripts scripts;
  add(scripts, BodyClients, script);
  return scripts;
}

Scripts returningKinds(const CrowdTarget &target) {
  Scripts scripts;
  for (const auto &it : allKinds(target)) {
    ClientScript script = *it;
    script.Connections = ManyConnections;
    add(scripts, 1, std::move(script));
  }
  return scripts;
}

Scripts delegatedBodies(const CrowdTarget &target) {
  ClientScript script{target.ShardedHeadStart +
                      "Content-Length: " + std::to_string(DelegatedBytes) +
                      "\r\n\r\n" + std::string(DelegatedBytes, 'a')};
  script.Reads = true;
  script.Repeats = true;
  Scripts scripts;
  add(scripts, BodyClients, script);
  return scripts;
}

Scripts longRequests(const CrowdTarget &target) {
  ClientScript script{target.EndlessRequest};
  script.Connections = ManyConnections;
  Scripts scripts;
  add(scripts, LongClients, script);
  return scripts;
}

Scripts shardedBodies(const CrowdTarget &target) {
  Scripts scripts;
  add(scripts, ShardedBodyClients, {lengthBody(target.ShardedHeadStart, 0)});
  return scripts;
}

Scripts shardedRequests(const CrowdTarget &target) {
  Scripts scripts;
  add(scripts, ShardedRequestClients,
      {target.ShardedHeadStart + "Content-Length: 0\r\n\r\n"});
  return scripts;
}

Scripts silentConnections(const CrowdTarget &) {
  Scripts scripts;
  add(scripts, HeadClients, {""});
  return scripts;
}

Scripts tlsConnections(const CrowdTarget &target) {
  ClientScript script{target.HeadStart};
  script.Channel = ChannelKind::Tls;
  Scripts scripts;
  add(scripts, TlsClients, script);
  return scripts;
}

Scripts tlsBodies(const CrowdTarget &target) {
  ClientScript script{lengthBody(target.HeadStart, MissingBytes)};
  script.Channel = ChannelKind::Tls;
  Scripts scripts;
  add(scripts, TlsClients, script);
  return scripts;
}

Scripts http2Clients(const CrowdTarget &target, std::size_t n, int streams) {
  ClientScript script{http2Bodies(target, streams), Http2FrameBytes};
  script.Channel = ChannelKind::Http2;
  Scripts scripts;
  add(scripts, n, script);
  return scripts;
}

Scripts http2BodyClients(const CrowdTarget &target) {
  return http2Clients(target, BodyClients, Streams);
}

Scripts http2StreamClients(const CrowdTarget &target) {
  return http2Clients(target, StreamClients, ManyStreams);
}

std::vector<CrowdCase> makeCases() {
  std::vector<CrowdCase> cases = {
      {"whole_bodies", &wholeBodies},
      {"pieced_bodies", &piecedBodies},
      {"large_chunks", &largeChunkBodies},
      {"small_chunks", &smallChunkBodies},
      {"all_kinds", &allKinds},
      {"endless_heads", &endlessHeads},
      {"unread_answers", &unreadAnswerClients},
      {"refused_bodies", &refusedBodies},
      {"last_bytes", &lastBytes},
      {"returning_bodies", &returningBodies},
      {"ten_crowds", &allKinds},
      {"reload", &returningKinds},
      {"restart", &returningKinds},
      {"store_away", &returningKinds},
      {"delegated_bodies", &delegatedBodies},
      {"executor_paused", &delegatedBodies},
      {"long_requests", &longRequests},
      {"sharded_bodies", &shardedBodies},
      {"sharded_requests", &shardedRequests},
      {"health_connections", &silentConnections},
      {"tls_connections", &tlsConnections},
      {"tls_bodies", &tlsBodies},
      {"http2_bodies", &http2BodyClients},
      {"http2_streams", &http2StreamClients},
  };
  const auto find = [&cases](std::string_view name) -> CrowdCase & {
    return *std::find_if(cases.begin(), cases.end(),
                         [name](const auto &it) { return it.Name == name; });
  };
  find("all_kinds").HasOrdinaryRequests = true;
  find("last_bytes").Event = CrowdEvent::Release;
  find("reload").Event = CrowdEvent::Reload;
  find("restart").Event = CrowdEvent::Restart;
  find("store_away").Event = CrowdEvent::StoreAway;
  find("ten_crowds").Rounds = 10;
  for (const char *name : {"delegated_bodies", "executor_paused"}) {
    find(name).Program = PlatformProgram;
    find(name).Site.Shards = DelegatedShards;
    find(name).Site.HasExecutor = true;
  }
  find("executor_paused").Event = CrowdEvent::PauseExecutor;
  find("long_requests").Program = PlatformProgram;
  CrowdCase &bodies = find("sharded_bodies");
  bodies.Program = PlatformProgram;
  bodies.Site.Shards = BodyShards;
  bodies.Site.MaxFds = 1600;
  bodies.Site.DoShardsRead = false;
  CrowdCase &requests = find("sharded_requests");
  requests.Program = PlatformProgram;
  requests.Site.Shards = RequestShards;
  requests.Site.MaxFds = 3600;
  find("health_connections").Target = Listener::Health;
  for (const char *name :
       {"tls_connections", "tls_bodies", "http2_bodies", "http2_streams"}) {
    find(name).Program = DaemonProgram;
    find(name).Site.HasTls = true;
    find(name).Site.MaxFds = TlsMaxFds;
  }
  return cases;
}

} // namespace

std::span<const CrowdCase> crowdCases() {
  static const std::vector<CrowdCase> Cases = makeCases();
  return Cases;
}

} // namespace galenaflow::crowd
