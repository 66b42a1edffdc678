#ifndef GALENAFLOW_TRANSPORT_BACKEND_POOL_H
#define GALENAFLOW_TRANSPORT_BACKEND_POOL_H

#include "transport/http_client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace galenaflow::transport {

/// Identifies an exchange (a request and its response) of a pool. Zero is not a
/// valid id.
using ExchangeId = std::uint64_t;

struct BackendPoolOptions {
  /// A connection that has been idle for longer than this is probed before it
  /// carries a request, because a middlebox may have dropped its state.
  state::Duration IdleProbeAge = std::chrono::seconds(10);

  /// Path of the GET request that probes a connection. When empty, a connection
  /// that would have to be probed is replaced by a new one, which carries the
  /// request.
  std::string ProbePath = "/healthz";

  /// The connection is closed when a probe has no response after this time.
  state::Duration ProbeTimeout = std::chrono::milliseconds(500);

  /// The connection is closed when an abandoned exchange has no response after
  /// this time.
  state::Duration AbandonGrace = std::chrono::milliseconds(500);
};

struct BackendPoolCounters {
  std::uint64_t Exchanges = 0;
  std::uint64_t Probes = 0;
  std::uint64_t TimeoutCloses = 0; ///< connections closed on a timeout
  std::uint64_t Abandoned = 0;
};

/// Keeps the connections of this process to one replica, bounded by a limit
/// that can change at any time. The owner queues requests while no connection
/// is free.
class BackendPool {
public:
  BackendPool(EventLoop &loop, const SocketAddress &address,
              BackendPoolOptions options = {});
  ~BackendPool();
  BackendPool(const BackendPool &) = delete;
  BackendPool &operator=(const BackendPool &) = delete;

  /// Sets the maximum number of connections. Idle connections above it are
  /// closed at once, busy ones when their exchange has ended.
  void setLimit(std::size_t limit);

  /// Opens connections until `count` exist, within the limit, so that later
  /// requests do not wait for a connection to be set up.
  void warm(std::size_t count);

  /// Sends a request on a free connection. Returns zero and does not call
  /// `callback` when no connection is free, or when the free ones must be
  /// probed first; the probes are started and hasFree() is false until one has
  /// ended. After `timeout` the connection is closed, and the other idle
  /// connections are probed before their next use.
  ExchangeId send(const HttpRequest &request, state::Duration timeout,
                  HttpCallback callback, SendPredicate maySend = nullptr);

  /// States that the response of this exchange is no longer needed. The
  /// connection is kept for reuse if the response arrives within
  /// BackendPoolOptions::AbandonGrace; otherwise the exchange fails with
  /// Cancelled and the connection is closed. The callback still runs once, when
  /// the connection is free.
  void abandon(ExchangeId id);

  /// Cancels this exchange and closes its connection at once. The callback runs
  /// once with Cancelled.
  void cancel(ExchangeId id);

  /// Sets the function that is called whenever a connection has become free,
  /// also by the end of a probe or a raised limit.
  void onFree(std::function<void()> callback) {
    OnFreeCallback = std::move(callback);
  }

  /// Whether a connection is idle or may be opened, so that a request should be
  /// given to send().
  bool hasFree() const;
  std::size_t busy() const;
  std::size_t size() const { return Connections.size(); }
  std::size_t limit() const { return Limit; }

  /// Number of open connections, idle and in use.
  std::size_t connected() const;

  /// Number of new connections that the replica refused, as counted by
  /// HttpConnection.
  std::uint64_t refusedConnections() const;
  const BackendPoolCounters &counters() const { return Counters; }

private:
  struct PooledConnection;

  bool isSuspect(const PooledConnection &pooled) const;
  PooledConnection *selectConnection();
  PooledConnection *addConnection();
  PooledConnection *findByExchange(ExchangeId id);
  void probe(PooledConnection &pooled);
  void onExchangeEnd(PooledConnection &pooled, bool timedOut);
  void trim();
  void notifyFree();

  EventLoop &Loop;
  SocketAddress Address;
  BackendPoolOptions Options;
  std::size_t Limit = 0;
  ExchangeId LastExchange = 0;
  std::vector<std::unique_ptr<PooledConnection>> Connections;
  std::function<void()> OnFreeCallback;
  BackendPoolCounters Counters;
};

} // namespace galenaflow::transport

#endif
