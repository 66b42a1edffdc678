#ifndef GALENAFLOW_TRANSPORT_EVENT_LOOP_H
#define GALENAFLOW_TRANSPORT_EVENT_LOOP_H

#include "state/clock.h"
#include "transport/client_memory.h"
#include "transport/receive_limits.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

struct st_h2o_evloop_t;
struct st_h2o_socket_t;

/// Sockets and the event loop. Every object in this namespace belongs to one
/// loop and is used only on that loop's thread, except where stated.
namespace galenaflow::transport {

/// Identifies a scheduled timer. Zero is not a valid id.
using TimerId = std::uint64_t;

/// Runs an h2o event loop with one-shot timers and a queue of posted tasks.
class EventLoop final : public state::Clock {
public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  state::TimePoint now() const override;
  state::WallMillis wallNow() const override;

  /// Runs `task` after the current callback has returned.
  void post(std::function<void()> task);

  /// Runs `task` once after `delay`. Resolution is 1 ms.
  TimerId schedule(state::Duration delay, std::function<void()> task);

  /// Cancels a timer. Does nothing when the timer has already run.
  void cancel(TimerId id);

  /// Runs until stop() is called.
  void run();

  /// Runs until `done` returns true, checking after each iteration of the loop,
  /// or until `limit` has elapsed. Returns whether `done` returned true.
  bool runUntil(const std::function<bool()> &done, state::Duration limit);

  /// Ends run() after the current iteration.
  void stop() { Stopped = true; }

  /// Closes a socket after the loop has run its pending notifications, and
  /// keeps `keepAlive`, such as bytes that are being written, until then. The
  /// socket's callbacks still run, with null `data`, which they must check.
  void closeSocket(st_h2o_socket_t *sock, std::shared_ptr<void> keepAlive);

  /// The h2o loop, for the sources of this layer only.
  st_h2o_evloop_t *handle() const { return Handle; }

  /// Limits shared by all connections of the process, which run on this loop.
  ReceiveLimits &receiveLimits() { return Limits; }

  /// The bytes that all servers of the process hold for clients.
  ClientMemory &clientMemory() { return Clients; }

private:
  struct TaskTimeout;

  void runOnce(std::int32_t maxWaitMs);
  void runDueTimers();
  void runPosted();
  std::int32_t waitMs() const;

  st_h2o_evloop_t *Handle;
  std::unique_ptr<TaskTimeout> Tasks; ///< runs timers and posted tasks in h2o
  state::SystemClock System;
  ReceiveLimits Limits;
  ClientMemory Clients;
  bool Stopped = false;
  TimerId LastTimer = 0;
  std::deque<std::function<void()>> Posted;
  std::map<std::pair<state::TimePoint, TimerId>, std::function<void()>> Timers;
  std::unordered_map<TimerId, state::TimePoint> DueTimes;
};

} // namespace galenaflow::transport

#endif
