#include "transport/event_loop.h"

#include "transport/h2o_api.h"

#include <algorithm>
#include <csignal>

// Timers are kept in an ordered map of due time and id instead of h2o's timeout
// lists, because an h2o list holds a single duration and deadlines have many.
// The loop waits in epoll at most until the first timer is due.
//
// Timers and posted tasks run inside an h2o timeout, after which h2o completes
// the writes that they started. A write started between two runs of h2o's loop
// would stay pending during the next registration with epoll: a socket that had
// been blocked is registered for output once more, and an assertion of h2o ends
// the process when the peer frees receive space after the write was completed.

namespace galenaflow::transport {

namespace {
constexpr std::int32_t MaxWaitMs = 1000;
} // namespace

struct EventLoop::TaskTimeout {
  h2o_timeout_t Timeout{};
  h2o_timeout_entry_t Entry{};
  EventLoop *Loop = nullptr;
};

EventLoop::EventLoop()
    : Handle(h2o_evloop_create()), Tasks(std::make_unique<TaskTimeout>()) {
  h2o_timeout_init(Handle, &Tasks->Timeout, 0);
  Tasks->Loop = this;
  Tasks->Entry.cb = [](h2o_timeout_entry_t *entry) {
    EventLoop *loop = H2O_STRUCT_FROM_MEMBER(TaskTimeout, Entry, entry)->Loop;
    loop->runDueTimers();
    loop->runPosted();
  };
  // A write to a closed connection is reported by its error code instead.
  std::signal(SIGPIPE, SIG_IGN);
}

// h2o_evloop_destroy() of h2o 2.2 is not implemented for epoll sockets that are
// still registered, so the h2o loop lives as long as the process. The timeout
// must be removed from it, because the timeout is destroyed with this object.
EventLoop::~EventLoop() { h2o_timeout_dispose(Handle, &Tasks->Timeout); }

state::TimePoint EventLoop::now() const { return System.now(); }

state::WallMillis EventLoop::wallNow() const { return System.wallNow(); }

void EventLoop::post(std::function<void()> task) {
  Posted.push_back(std::move(task));
}

TimerId EventLoop::schedule(state::Duration delay, std::function<void()> task) {
  const TimerId id = ++LastTimer;
  const state::TimePoint due = now() + std::max(delay, state::Duration(0));
  Timers.emplace(std::make_pair(due, id), std::move(task));
  DueTimes.emplace(id, due);
  return id;
}

void EventLoop::cancel(TimerId id) {
  const auto it = DueTimes.find(id);
  if (it == DueTimes.end())
    return;
  Timers.erase({it->second, id});
  DueTimes.erase(it);
}

// h2o links a socket whose write has ended into a list, which the next run of
// the loop processes after it has freed the sockets closed before. A socket
// that is written to and closed between two runs would thus be used after it is
// freed, and the list can become circular. The first posted task may run in the
// current iteration; the second one runs after the next run of h2o's loop.
void EventLoop::closeSocket(st_h2o_socket_t *sock,
                            std::shared_ptr<void> keepAlive) {
  sock->data = nullptr;
  if (h2o_socket_is_reading(sock))
    h2o_socket_read_stop(sock);
  post([this, sock, keepAlive = std::move(keepAlive)] {
    post([sock, keepAlive] { h2o_socket_close(sock); });
  });
}

void EventLoop::run() {
  Stopped = false;
  while (!Stopped)
    runOnce(waitMs());
}

bool EventLoop::runUntil(const std::function<bool()> &done,
                         state::Duration limit) {
  const state::TimePoint end = now() + limit;
  while (!done()) {
    if (now() >= end)
      return false;
    runOnce(std::min(waitMs(), 10));
  }
  return true;
}

void EventLoop::runOnce(std::int32_t maxWaitMs) {
  h2o_evloop_run(Handle, maxWaitMs);
  h2o_timeout_link(Handle, &Tasks->Timeout, &Tasks->Entry);
  h2o_timeout_run(Handle, &Tasks->Timeout, h2o_now(Handle));
}

void EventLoop::runDueTimers() {
  const state::TimePoint current = now();
  while (!Timers.empty() && Timers.begin()->first.first <= current) {
    auto node = Timers.extract(Timers.begin());
    DueTimes.erase(node.key().second);
    node.mapped()();
  }
}

void EventLoop::runPosted() {
  // Tasks posted by these tasks wait for the next iteration, so that tasks that
  // post each other do not starve the sockets.
  std::deque<std::function<void()>> batch;
  batch.swap(Posted);
  for (auto &task : batch)
    task();
}

std::int32_t EventLoop::waitMs() const {
  if (!Posted.empty())
    return 0;
  if (Timers.empty())
    return MaxWaitMs;
  const auto remaining = Timers.begin()->first.first - now();
  if (remaining <= state::Duration(0))
    return 0;
  const auto ms =
      std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
  return static_cast<std::int32_t>(
      std::min<std::int64_t>(ms, static_cast<std::int64_t>(MaxWaitMs)));
}

} // namespace galenaflow::transport
