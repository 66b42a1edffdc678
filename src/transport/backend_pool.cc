#include "transport/backend_pool.h"

#include <algorithm>
#include <utility>

// A replica refuses connections above its published limit, and setting up a
// connection costs the replica milliseconds and a slot. The pool therefore
// reuses the most recently used connection, closes a working connection only
// when the limit is lowered, and waits for the response of an abandoned
// exchange instead of closing its connection.
//
// A connection can stop carrying data permanently while new connections work.
// The only symptom is a missing response. After one exchange has timed out,
// every other idle connection must answer a probe before it carries a request.
//
// A suspect connection counts as free: it is probed or replaced only when a
// request is there, because both have a price and the replica may not be used
// for hours, and owners send requests only while a connection is free.

namespace galenaflow::transport {

struct BackendPool::PooledConnection {
  PooledConnection(EventLoop &loop, const SocketAddress &address)
      : Connection(loop, address) {}

  HttpConnection Connection;
  ExchangeId Exchange = 0; ///< zero while the connection is idle or probed
  bool NeedsProbe = false;
  HttpCallback Callback;
  TimerId GraceTimer = 0;
};

BackendPool::BackendPool(EventLoop &loop, const SocketAddress &address,
                         BackendPoolOptions options)
    : Loop(loop), Address(address), Options(std::move(options)) {}

BackendPool::~BackendPool() {
  for (const auto &pooled : Connections)
    Loop.cancel(pooled->GraceTimer);
}

void BackendPool::setLimit(std::size_t limit) {
  const bool wasFree = hasFree();
  Limit = limit;
  trim();
  if (!wasFree)
    notifyFree();
}

void BackendPool::warm(std::size_t count) {
  const std::size_t target = std::min(count, Limit);
  while (Connections.size() < target)
    addConnection();
  for (std::size_t i = 0; i != target; ++i) {
    HttpConnection &connection = Connections[i]->Connection;
    if (connection.isBusy() || connection.isConnected() ||
        connection.isOpening())
      continue;
    Connections[i]->NeedsProbe = false;
    connection.open(Options.ProbeTimeout);
  }
}

ExchangeId BackendPool::send(const HttpRequest &request,
                             state::Duration timeout, HttpCallback callback,
                             SendPredicate maySend) {
  PooledConnection *pooled = selectConnection();
  if (pooled == nullptr)
    return 0;
  const ExchangeId id = ++LastExchange;
  ++Counters.Exchanges;
  pooled->Exchange = id;
  pooled->Callback = std::move(callback);
  pooled->Connection.send(
      request, timeout,
      [this, pooled](HttpResult result) {
        const bool timedOut = !result && result.error().Cause.Code ==
                                             state::ErrorCode::DeadlineExceeded;
        const HttpCallback done = std::move(pooled->Callback);
        pooled->Callback = nullptr;
        // Free the connection first, so that the callback can send on it.
        onExchangeEnd(*pooled, timedOut);
        done(std::move(result));
        notifyFree();
      },
      std::move(maySend));
  return id;
}

BackendPool::PooledConnection *BackendPool::findByExchange(ExchangeId id) {
  const auto it = std::find_if(
      Connections.begin(), Connections.end(),
      [id](const auto &pooled) { return id != 0 && pooled->Exchange == id; });
  return it == Connections.end() ? nullptr : it->get();
}

void BackendPool::abandon(ExchangeId id) {
  PooledConnection *pooled = findByExchange(id);
  if (pooled == nullptr || pooled->GraceTimer != 0)
    return;
  ++Counters.Abandoned;
  pooled->GraceTimer = Loop.schedule(Options.AbandonGrace, [this, pooled] {
    pooled->GraceTimer = 0;
    ++Counters.TimeoutCloses;
    pooled->Connection.cancel();
  });
}

void BackendPool::cancel(ExchangeId id) {
  if (PooledConnection *pooled = findByExchange(id))
    pooled->Connection.cancel();
}

bool BackendPool::hasFree() const {
  return Connections.size() <= Limit && busy() < Limit;
}

bool BackendPool::isSuspect(const PooledConnection &pooled) const {
  return pooled.NeedsProbe ||
         pooled.Connection.lastUsed() <= Loop.now() - Options.IdleProbeAge;
}

std::size_t BackendPool::busy() const {
  return static_cast<std::size_t>(std::count_if(
      Connections.begin(), Connections.end(),
      [](const auto &pooled) { return pooled->Connection.isBusy(); }));
}

std::size_t BackendPool::connected() const {
  return static_cast<std::size_t>(std::count_if(
      Connections.begin(), Connections.end(), [](const auto &pooled) {
        return pooled->Connection.isBusy() || pooled->Connection.isConnected();
      }));
}

std::uint64_t BackendPool::refusedConnections() const {
  std::uint64_t n = 0;
  for (const auto &pooled : Connections)
    n += pooled->Connection.refusedConnections();
  return n;
}

BackendPool::PooledConnection *BackendPool::selectConnection() {
  if (!hasFree())
    return nullptr;
  PooledConnection *best = nullptr;
  PooledConnection *suspect = nullptr;
  PooledConnection *unconnected = nullptr;
  for (const auto &pooled : Connections) {
    if (pooled->Connection.isBusy())
      continue;
    if (!pooled->Connection.isConnected()) {
      if (unconnected == nullptr || pooled->Connection.isOpening())
        unconnected = pooled.get();
    } else if (!isSuspect(*pooled)) {
      if (best == nullptr ||
          pooled->Connection.lastUsed() > best->Connection.lastUsed())
        best = pooled.get();
    } else if (!Options.ProbePath.empty()) {
      probe(*pooled);
    } else {
      suspect = pooled.get();
    }
  }
  if (best != nullptr)
    return best;
  const bool isOpening =
      unconnected != nullptr && unconnected->Connection.isOpening();
  // Replacing a connection takes no further slot of the replica.
  if (suspect != nullptr && !isOpening) {
    suspect->Connection.closeIdle();
    unconnected = suspect;
  }
  if (unconnected != nullptr) {
    unconnected->NeedsProbe = false;
    return unconnected;
  }
  return Connections.size() < Limit ? addConnection() : nullptr;
}

BackendPool::PooledConnection *BackendPool::addConnection() {
  Connections.push_back(std::make_unique<PooledConnection>(Loop, Address));
  PooledConnection *pooled = Connections.back().get();
  pooled->Connection.onIdleChange([this] { notifyFree(); });
  return pooled;
}

void BackendPool::probe(PooledConnection &pooled) {
  ++Counters.Probes;
  pooled.Connection.send(
      {"GET", Options.ProbePath, {}, ""}, Options.ProbeTimeout,
      [this, &pooled](const HttpResult &result) {
        pooled.NeedsProbe = false;
        if (!result &&
            result.error().Cause.Code == state::ErrorCode::DeadlineExceeded)
          ++Counters.TimeoutCloses;
        trim();
        notifyFree();
      });
}

void BackendPool::onExchangeEnd(PooledConnection &pooled, bool timedOut) {
  pooled.Exchange = 0;
  pooled.NeedsProbe = false;
  Loop.cancel(pooled.GraceTimer);
  pooled.GraceTimer = 0;
  if (timedOut) {
    ++Counters.TimeoutCloses;
    for (const auto &other : Connections)
      if (other->Connection.isConnected())
        other->NeedsProbe = true;
    pooled.NeedsProbe = false;
  }
  trim();
}

void BackendPool::trim() {
  // A posted task destroys the connection, because trim() can be called from a
  // callback of that connection.
  while (Connections.size() > Limit) {
    const auto it = std::find_if(
        Connections.begin(), Connections.end(), [](const auto &pooled) {
          return !pooled->Connection.isBusy() && pooled->Callback == nullptr;
        });
    if (it == Connections.end())
      return;
    (*it)->Connection.closeIdle();
    Loop.cancel((*it)->GraceTimer);
    Loop.post([removed = std::shared_ptr<PooledConnection>(std::move(*it))] {});
    Connections.erase(it);
  }
}

void BackendPool::notifyFree() {
  if (OnFreeCallback && hasFree())
    OnFreeCallback();
}

} // namespace galenaflow::transport
