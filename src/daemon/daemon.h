#ifndef GALENAFLOW_DAEMON_DAEMON_H
#define GALENAFLOW_DAEMON_DAEMON_H

#include "daemon/options.h"
#include "state/error.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"

#include <memory>

namespace galenaflow::daemon {

/// The addresses on which a started daemon listens.
struct DaemonAddresses {
  transport::SocketAddress Callers;
  transport::SocketAddress Operator;
  transport::SocketAddress Peers;
};

/// Runs all tasks of one galenaflowd process on one event loop.
class Daemon {
public:
  Daemon(transport::EventLoop &loop, const Options &options);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Opens the listeners and starts all tasks. Errors: Unavailable,
  /// InvalidArgument.
  state::Result<DaemonAddresses> start();

  /// Starts a graceful shutdown. The loop stops when every request has been
  /// answered. Further calls have no effect.
  void stop();

  /// Reads the TLS certificate again.
  void reloadCertificate();

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace galenaflow::daemon

#endif
