#include "standin/proxy_route.h"

#include "standin/listing_data.h"
#include "standin/settings_reader.h"
#include "transport/h2o_api.h"

#include <algorithm>
#include <sys/socket.h>
#include <vector>

// A link is a pair of sockets with one pipe for each direction. Bytes that a
// pipe reads get a due time and wait in a queue, from which one write at a time
// is made. A pipe that has discarded a byte never forwards another one, because
// the stream would have a gap that TCP cannot produce. A partition therefore
// discards nothing: it stops reading and writing until it heals. The end of one
// stream closes both sockets once the pipe is empty; half-closed connections
// are not modelled.

namespace galenaflow::standin {

using nlohmann::json;

namespace {

constexpr std::size_t Up = 0;
constexpr std::size_t Down = 1;
constexpr std::size_t MaxQueuedBytes = std::size_t{1} << 20;

void setReset(h2o_socket_t *sock) {
  const linger option{1, 0};
  setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_LINGER, &option,
             sizeof(option));
}

void readDirection(const json &changes, DirectionFaults &faults,
                   std::string &fault) {
  if (!changes.is_object()) {
    fault = "up and down must be objects";
    return;
  }
  SettingsReader in{changes, {}, 0};
  in.read("delay_ms", faults.DelayMs);
  in.read("jitter_ms", faults.JitterMs);
  in.read("bytes_per_second", faults.BytesPerSecond);
  in.read("drop", faults.Drop);
  in.read("truncate_after", faults.TruncateAfter);
  in.read("close_after", faults.CloseAfter);
  in.read("reset_after", faults.ResetAfter);
  if (!in.Fault.empty())
    fault = in.Fault;
  else if (in.Used != changes.size())
    fault = "unknown fault";
}

} // namespace

class ProxyLink : public std::enable_shared_from_this<ProxyLink> {
public:
  ProxyLink(ProxyRoute &route, h2o_socket_t *client) : Route(route) {
    Pipes[Up].Source = client;
    client->data = this;
  }

  void connect() {
    Connecting = h2o_socket_connect(Route.Loop.handle(), Route.Target.data(),
                                    Route.Target.Length, &onConnect);
    if (Connecting == nullptr) {
      Route.count("target_refused");
      close(true);
      return;
    }
    Connecting->data = this;
  }

  void close(bool reset);
  void silence(std::size_t direction) { Pipes[direction].Silent = true; }
  void update();

private:
  struct Chunk {
    state::TimePoint Due;
    std::string Bytes;
  };
  struct Pipe {
    h2o_socket_t *Source = nullptr;
    std::deque<Chunk> Queue;
    std::size_t QueuedBytes = 0;
    std::uint64_t Forwarded = 0; ///< bytes read and queued so far
    state::TimePoint LastDue{};
    transport::TimerId Timer = 0;
    std::string Writing;
    bool IsWriting = false;
    bool Silent = false; ///< discards all further bytes
    bool SourceEnded = false;
    bool CloseWhenEmpty = false;
    bool ResetWhenEmpty = false;
  };

  static void onConnect(h2o_socket_t *sock, const char *err);
  static void onRead(h2o_socket_t *sock, const char *err);
  static void onWritten(h2o_socket_t *sock, const char *err);
  void enqueue(std::size_t direction, std::string bytes);
  std::size_t admittedBytes(std::size_t direction, std::size_t n);
  void discard(std::size_t direction, std::size_t n, const char *fault);
  state::TimePoint dueTime(std::size_t direction, std::size_t n);
  void writeNext(std::size_t direction);
  void updateReading(std::size_t direction);
  h2o_socket_t *sink(std::size_t direction) {
    return Pipes[1 - direction].Source;
  }
  std::size_t directionOf(const h2o_socket_t *sock) const {
    return Pipes[Up].Source == sock ? Up : Down;
  }

  ProxyRoute &Route;
  std::array<Pipe, 2> Pipes; ///< by direction; Up reads from the client
  h2o_socket_t *Connecting = nullptr;
  bool IsClosed = false;
};

void ProxyLink::close(bool reset) {
  if (IsClosed)
    return;
  IsClosed = true;
  const auto self = shared_from_this();
  if (Connecting != nullptr)
    h2o_socket_close(Connecting);
  Connecting = nullptr;
  for (Pipe &pipe : Pipes) {
    Route.Loop.cancel(pipe.Timer);
    if (pipe.Source == nullptr)
      continue;
    if (reset)
      setReset(pipe.Source);
    h2o_socket_close(pipe.Source);
    pipe.Source = nullptr;
  }
  Route.Links.erase(self);
}

void ProxyLink::onConnect(h2o_socket_t *sock, const char *err) {
  const auto self = static_cast<ProxyLink *>(sock->data)->shared_from_this();
  if (err != nullptr) {
    self->Route.count("target_refused");
    self->close(true);
    return;
  }
  self->Connecting = nullptr;
  self->Pipes[Down].Source = sock;
  self->update();
}

void ProxyLink::update() {
  for (const std::size_t direction : {Up, Down}) {
    updateReading(direction);
    writeNext(direction);
  }
}

void ProxyLink::updateReading(std::size_t direction) {
  Pipe &pipe = Pipes[direction];
  if (IsClosed || pipe.Source == nullptr || sink(direction) == nullptr)
    return;
  const bool shouldRead = !Route.Partitioned && !pipe.SourceEnded &&
                          pipe.QueuedBytes < MaxQueuedBytes;
  if (shouldRead && !h2o_socket_is_reading(pipe.Source))
    h2o_socket_read_start(pipe.Source, &onRead);
  else if (!shouldRead && h2o_socket_is_reading(pipe.Source))
    h2o_socket_read_stop(pipe.Source);
}

void ProxyLink::onRead(h2o_socket_t *sock, const char *err) {
  const auto self = static_cast<ProxyLink *>(sock->data)->shared_from_this();
  const std::size_t direction = self->directionOf(sock);
  Pipe &pipe = self->Pipes[direction];
  if (err != nullptr) {
    pipe.SourceEnded = true;
    pipe.CloseWhenEmpty = true;
    h2o_socket_read_stop(sock);
    self->writeNext(direction);
    return;
  }
  std::string bytes(sock->input->bytes, sock->input->size);
  h2o_buffer_consume(&sock->input, sock->input->size);
  self->enqueue(direction, std::move(bytes));
}

void ProxyLink::enqueue(std::size_t direction, std::string bytes) {
  Pipe &pipe = Pipes[direction];
  bytes.resize(admittedBytes(direction, bytes.size()));
  if (!bytes.empty()) {
    pipe.Forwarded += bytes.size();
    pipe.QueuedBytes += bytes.size();
    Route.count(direction, "bytes", bytes.size());
    const state::TimePoint due = dueTime(direction, bytes.size());
    pipe.Queue.push_back({due, std::move(bytes)});
  }
  updateReading(direction);
  writeNext(direction);
}

/// Returns how many of the next `n` bytes are forwarded, and records what
/// happens to the rest.
std::size_t ProxyLink::admittedBytes(std::size_t direction, std::size_t n) {
  Pipe &pipe = Pipes[direction];
  const DirectionFaults &faults = Route.Faults[direction];
  if (faults.Drop)
    pipe.Silent = true;
  if (pipe.Silent || pipe.CloseWhenEmpty || pipe.ResetWhenEmpty) {
    discard(direction, n, "dropped_bytes");
    return 0;
  }
  const std::uint64_t total = pipe.Forwarded + n;
  const auto allowed = [&](std::uint32_t limit) {
    return static_cast<std::size_t>(
        limit - std::min<std::uint64_t>(pipe.Forwarded, limit));
  };
  if (faults.ResetAfter != 0 && total >= faults.ResetAfter) {
    pipe.ResetWhenEmpty = true;
    return std::min(n, allowed(faults.ResetAfter));
  }
  if (faults.CloseAfter != 0 && total >= faults.CloseAfter) {
    pipe.CloseWhenEmpty = true;
    return std::min(n, allowed(faults.CloseAfter));
  }
  if (faults.TruncateAfter != 0 && total > faults.TruncateAfter) {
    const std::size_t kept = std::min(n, allowed(faults.TruncateAfter));
    pipe.Silent = true;
    Route.count(direction, "truncated");
    discard(direction, n - kept, "dropped_bytes");
    return kept;
  }
  return n;
}

void ProxyLink::discard(std::size_t direction, std::size_t n,
                        const char *fault) {
  Route.count(direction, fault, n);
}

state::TimePoint ProxyLink::dueTime(std::size_t direction, std::size_t n) {
  Pipe &pipe = Pipes[direction];
  const DirectionFaults &faults = Route.Faults[direction];
  double ms = faults.DelayMs;
  if (faults.JitterMs > 0)
    ms += std::uniform_real_distribution<double>(0,
                                                 faults.JitterMs)(Route.Random);
  if (ms > 0)
    Route.count(direction, "delayed");
  const state::TimePoint now = Route.Loop.now();
  state::TimePoint due =
      now + state::Duration(static_cast<std::int64_t>(ms * 1000));
  due = std::max(due, pipe.LastDue);
  if (faults.BytesPerSecond > 0) {
    Route.count(direction, "throttled");
    due += state::Duration(static_cast<std::int64_t>(
        static_cast<double>(n) * 1e6 / faults.BytesPerSecond));
  }
  pipe.LastDue = due;
  return due;
}

void ProxyLink::writeNext(std::size_t direction) {
  Pipe &pipe = Pipes[direction];
  if (IsClosed || pipe.IsWriting || sink(direction) == nullptr ||
      Route.Partitioned)
    return;
  if (pipe.Queue.empty()) {
    if (pipe.ResetWhenEmpty)
      Route.count(direction, "resets");
    else if (pipe.CloseWhenEmpty && !pipe.SourceEnded)
      Route.count(direction, "closes");
    // A silent pipe does not forward the end of its stream either.
    if (pipe.ResetWhenEmpty || (pipe.CloseWhenEmpty && !pipe.Silent))
      close(pipe.ResetWhenEmpty);
    else if (pipe.SourceEnded)
      Route.count(direction, "dropped_ends");
    return;
  }
  const state::TimePoint now = Route.Loop.now();
  if (pipe.Queue.front().Due > now) {
    Route.Loop.cancel(pipe.Timer);
    pipe.Timer = Route.Loop.schedule(
        pipe.Queue.front().Due - now,
        [self = shared_from_this(), direction] { self->writeNext(direction); });
    return;
  }
  pipe.Writing = std::move(pipe.Queue.front().Bytes);
  pipe.Queue.pop_front();
  pipe.IsWriting = true;
  h2o_iovec_t buf = h2o_iovec_init(pipe.Writing.data(), pipe.Writing.size());
  h2o_socket_write(sink(direction), &buf, 1, &onWritten);
}

void ProxyLink::onWritten(h2o_socket_t *sock, const char *err) {
  const auto self = static_cast<ProxyLink *>(sock->data)->shared_from_this();
  const std::size_t direction = 1 - self->directionOf(sock);
  Pipe &pipe = self->Pipes[direction];
  pipe.IsWriting = false;
  pipe.QueuedBytes -= pipe.Writing.size();
  if (err != nullptr) {
    self->close(true);
    return;
  }
  self->updateReading(direction);
  self->writeNext(direction);
}

ProxyRoute::ProxyRoute(transport::EventLoop &loop, const json &config,
                       std::uint64_t seed)
    : Loop(loop), Id(config.value("id", "")), From(config.value("from", "")),
      To(config.value("to", "")), Random(stableHash(Id, seed)) {
  if (const auto address =
          transport::parseSocketAddress(config.value("listen", "127.0.0.1:0")))
    Address = *address;
}

ProxyRoute::~ProxyRoute() {
  if (Listener != nullptr)
    h2o_socket_close(Listener);
  while (!Links.empty())
    std::shared_ptr<ProxyLink>(*Links.begin())->close(true);
}

state::Result<bool> ProxyRoute::listen() {
  const auto fd = transport::listenOn(Address);
  if (!fd)
    return tl::unexpected(fd.error());
  Listener =
      h2o_evloop_socket_create(Loop.handle(), *fd, H2O_SOCKET_FLAG_DONT_READ);
  Listener->data = this;
  h2o_socket_read_start(Listener, &ProxyRoute::onAccept);
  return true;
}

void ProxyRoute::onAccept(h2o_socket_t *listener, const char *err) {
  if (err != nullptr)
    return;
  auto *self = static_cast<ProxyRoute *>(listener->data);
  h2o_socket_t *sock = h2o_evloop_socket_accept(listener);
  if (sock != nullptr)
    self->accept(sock);
}

void ProxyRoute::accept(h2o_socket_t *sock) {
  if (ResetAccepted) {
    count("reset_accepted");
    setReset(sock);
    h2o_socket_close(sock);
    return;
  }
  count("connections");
  const auto link = std::make_shared<ProxyLink>(*this, sock);
  Links.insert(link);
  link->connect();
}

std::string ProxyRoute::apply(const json &changes) {
  if (!changes.is_object())
    return "expected an object";
  SettingsReader in{changes, {}, 0};
  std::string target = Target.Length == 0 ? "" : Target.toText();
  std::string silence;
  bool resetExisting = false;
  const bool refusedBefore = Refuse;
  auto faults = Faults;
  std::string fault;
  for (const char *fixed : {"id", "listen", "from", "to"})
    in.find(fixed);
  if (const json *up = in.find("up"))
    readDirection(*up, faults[Up], fault);
  if (const json *down = in.find("down"))
    readDirection(*down, faults[Down], fault);
  in.read("target", target);
  in.read("refuse", Refuse);
  in.read("reset_accepted", ResetAccepted);
  in.read("reset_existing", resetExisting);
  in.read("silence_existing", silence);
  const auto address = transport::parseSocketAddress(target);
  if (!fault.empty() || !in.Fault.empty())
    return fault.empty() ? in.Fault : fault;
  if (in.Used != changes.size())
    return "unknown name";
  if (!address)
    return address.error().Text;
  Target = *address;
  Faults = faults;
  silenceExisting(silence);
  if (resetExisting)
    for (const auto &link :
         std::vector<std::shared_ptr<ProxyLink>>(Links.begin(), Links.end())) {
      count("existing_reset");
      link->close(true);
    }
  if (Refuse && Listener != nullptr) {
    count("refuse_periods");
    h2o_socket_close(Listener);
    Listener = nullptr;
  } else if (!Refuse && refusedBefore) {
    static_cast<void>(listen());
  }
  return {};
}

void ProxyRoute::silenceExisting(const std::string &which) {
  if (which.empty())
    return;
  for (const auto &link : Links) {
    count("existing_silenced");
    if (which != "down")
      link->silence(Up);
    if (which != "up")
      link->silence(Down);
  }
}

void ProxyRoute::setPartitioned(bool partitioned) {
  if (partitioned == Partitioned)
    return;
  Partitioned = partitioned;
  if (partitioned)
    count("partitions");
  for (const auto &link :
       std::vector<std::shared_ptr<ProxyLink>>(Links.begin(), Links.end()))
    link->update();
}

void ProxyRoute::count(std::size_t direction, const char *fault,
                       std::uint64_t n) {
  Counts[(direction == Up ? "up_" : "down_") + std::string(fault)] += n;
}

json ProxyRoute::stats() const {
  return {{"address", address()},
          {"open", Links.size()},
          {"partitioned", Partitioned},
          {"counts", Counts}};
}

} // namespace galenaflow::standin
