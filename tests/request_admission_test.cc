#include "coordination/admission/request_admission.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace galenaflow::coordination::admission;
using namespace std::chrono_literals;

namespace {

constexpr WorkClass Search = 1;
constexpr Duration Objective = 300ms;
constexpr Duration Deadline = 2000ms;

AdmissionRequest makeRequest(std::span<const RoomForecast> parts,
                             std::size_t minParts) {
  AdmissionRequest request;
  request.Class = Search;
  request.Parts = parts;
  request.MinParts = minParts;
  request.Useful = Objective;
  request.Objective = Objective;
  request.Remaining = Deadline;
  return request;
}

RequestAdmission makeAdmission(std::uint64_t seed = 1) {
  return {RequestAdmissionOptions(), std::mt19937_64(seed)};
}

/// A set of shards that serves a number of requests a second, in the order of
/// their arrival. What waits is the same for all daemons.
struct SharedQueue {
  double PerSecond;
  double Waiting = 0;

  void advance(Duration d) {
    Waiting = std::max(
        0.0, Waiting - PerSecond * std::chrono::duration<double>(d).count());
  }
  Duration delay() const {
    return Duration(static_cast<std::int64_t>(Waiting / PerSecond * 1e6));
  }
};

/// Replays a load at 33 daemons that share a set of shards. Callers who are
/// rejected return once at the stated time.
struct Fleet {
  static constexpr std::size_t Daemons = 33;
  static constexpr Duration Step = 5ms;

  /// Replicas reject requests that would wait for longer.
  static constexpr Duration FullQueue = 600ms;

  SharedQueue Queue;
  std::vector<RequestAdmission> Admissions;
  std::mt19937_64 Random{7};
  TimePoint Now{1h};
  struct Event {
    TimePoint At;
    std::size_t Daemon = 0;
    Duration Elapsed{0};
    Duration Wait{0};
  };
  std::vector<Event> Returns;
  std::vector<Event> Ends;
  std::size_t Asked = 0;
  std::size_t InTime = 0;
  std::size_t Late = 0;
  std::size_t Rejected = 0;
  std::size_t Failed = 0;

  explicit Fleet(double perSecond) : Queue{perSecond} {
    for (std::size_t i = 0; i != Daemons; ++i)
      Admissions.push_back(makeAdmission(i + 1));
  }

  void arrive(std::size_t daemon, Duration elapsed) {
    const std::array<RoomForecast, 1> parts{};
    AdmissionRequest request = makeRequest(parts, 1);
    request.Elapsed = elapsed;
    request.Remaining = Deadline - elapsed;
    const auto decision = Admissions[daemon].decide(request, Now);
    if (!decision.IsAdmitted) {
      if (elapsed == Duration(0))
        Returns.push_back(
            {Now + decision.RetryAfter, daemon, decision.RetryAfter});
      else
        ++Rejected;
      return;
    }
    const Duration wait = Queue.delay();
    if (wait > FullQueue) {
      Admissions[daemon].onCongested(Search, Now);
      ++Failed;
      return;
    }
    const Duration latency = wait + 40ms;
    Queue.Waiting += 1;
    ++(latency <= Objective ? InTime : Late);
    Ends.push_back({Now + latency, daemon, elapsed, wait});
  }

  void run(Duration d, double perSecond) {
    std::poisson_distribution<int> arrivals(
        perSecond * std::chrono::duration<double>(Step).count());
    for (const TimePoint end = Now + d; Now < end; Now += Step) {
      Queue.advance(Step);
      for (int n = arrivals(Random); n != 0; --n) {
        ++Asked;
        arrive(Random() % Daemons, Duration(0));
      }
      takeDue(Returns,
              [this](const Event &it) { arrive(it.Daemon, it.Elapsed); });
      takeDue(Ends, [this](const Event &it) {
        RequestAdmission &admission = Admissions[it.Daemon];
        const double pressure = static_cast<double>(it.Wait.count()) /
                                static_cast<double>((Objective / 2).count());
        if (pressure > 1)
          admission.onCongested(Search, Now);
        else
          admission.onEnded(Search, pressure, Now);
      });
    }
  }

  template <typename Action>
  void takeDue(std::vector<Event> &events, const Action &action) {
    std::vector<Event> due;
    std::erase_if(events, [&](const Event &it) {
      if (it.At > Now)
        return false;
      due.push_back(it);
      return true;
    });
    std::for_each(due.begin(), due.end(), action);
  }
};

} // namespace

// Guards against requests that all wait and all end late while demand is four
// times what the replicas can serve.
TEST_CASE(
    "in a burst most of what there is room for ends in time, and the rest "
    "is rejected") {
  Fleet fleet(100);
  fleet.run(3s, 50);
  CHECK(fleet.Rejected == 0);
  CHECK(fleet.Late == 0);
  fleet.run(2s, 400); // the daemons learn of the burst
  fleet.InTime = fleet.Late = fleet.Rejected = 0;
  fleet.run(4s, 400);
  INFO("in time " << fleet.InTime << ", late " << fleet.Late);
  CHECK(fleet.InTime > 4 * 100 / 2);
  CHECK(fleet.Late < fleet.InTime);
  CHECK(fleet.Rejected > 0);
}

// Guards against daemons that go on rejecting requests when there is room.
TEST_CASE("after a burst all requests are admitted again") {
  Fleet fleet(100);
  fleet.run(2s, 50);
  fleet.run(4s, 400);
  fleet.run(8s, 50);
  fleet.Asked = fleet.InTime = fleet.Rejected = 0;
  fleet.run(4s, 50);
  CHECK(fleet.InTime >= fleet.Asked * 95 / 100);
  CHECK(fleet.Rejected <= fleet.Asked / 100);
}

// Guards against a caller that is served less often because it did as it was
// told, and against one that gains from repeating at once.
TEST_CASE("who returns at the stated time is admitted before who is new, and "
          "who returns sooner after it") {
  RequestAdmission admission = makeAdmission();
  TimePoint now{1h};
  const std::array<RoomForecast, 1> parts{};
  const auto admitted = [&](Duration elapsed) {
    int n = 0;
    for (int i = 0; i != 200; ++i) {
      if (i % 10 == 0) // keeps the share where it is
        admission.onCongested(Search, now += 1ms);
      AdmissionRequest request = makeRequest(parts, 1);
      request.Elapsed = elapsed;
      n += admission.decide(request, now).IsAdmitted ? 1 : 0;
    }
    return n;
  };
  for (int i = 0; i != 2; ++i)
    admission.onCongested(Search, now += 200ms);
  const int fresh = admitted(Duration(0));
  CHECK(fresh > 0);
  CHECK(admitted(200ms) > fresh);
  CHECK(admitted(2ms) < fresh);
}

// Guards against a request that is begun although too many of its parts would
// wait in this daemon's queue until they are of no use.
TEST_CASE("a request is rejected when too many parts have no room, and else "
          "begun without them") {
  RequestAdmission admission = makeAdmission();
  std::vector<RoomForecast> parts(20, {Duration(0), Duration(0), 30ms});
  parts[3] = {400ms, Duration(0), 30ms};
  auto decision = admission.decide(makeRequest(parts, 19), TimePoint(1h));
  CHECK(decision.IsAdmitted);
  CHECK(decision.LeftOut == std::vector<std::uint32_t>{3});
  parts[7] = {500ms, Duration(0), 30ms};
  decision = admission.decide(makeRequest(parts, 19), TimePoint(1h));
  CHECK_FALSE(decision.IsAdmitted);
  CHECK(decision.IsOwnQueueLong);
  CHECK(decision.LeftOut.empty());
  // Room is expected when the better one of the two has it.
  CHECK(decision.RetryAfter >= 130ms);
  CHECK(decision.RetryAfter <= Deadline * 3 / 10);
}

// Guards against rejections that cannot help: a slow replica is as slow later.
TEST_CASE("a slow part without a queue is no reason to reject") {
  RequestAdmission admission = makeAdmission();
  const std::vector<RoomForecast> parts(5, {Duration(0), Duration(0), 900ms});
  const auto decision = admission.decide(makeRequest(parts, 5), TimePoint(1h));
  CHECK(decision.IsAdmitted);
  CHECK(decision.LeftOut.empty());
}

// Guards against a time to return that callers do not honour, or that is the
// same for all of them.
TEST_CASE("times to return differ and stay below a third of the time left") {
  RequestAdmission admission = makeAdmission();
  const std::vector<RoomForecast> parts(1, {5s, Duration(0), 30ms});
  std::vector<Duration> times;
  for (int i = 0; i != 50; ++i) {
    AdmissionRequest request = makeRequest(parts, 1);
    request.Remaining = i % 2 == 0 ? Deadline : Duration(60ms);
    const auto decision = admission.decide(request, TimePoint(1h));
    REQUIRE_FALSE(decision.IsAdmitted);
    CHECK(decision.RetryAfter * 3 <= request.Remaining);
    times.push_back(decision.RetryAfter);
  }
  std::sort(times.begin(), times.end());
  CHECK(std::unique(times.begin(), times.end()) - times.begin() > 1);
}

// Guards against an estimate that takes a queue for slow work.
TEST_CASE("the stated queue of a replica is translated into a wait") {
  RoomOptions options;
  options.MinSamples = 10;
  RoomEstimate room(options);
  const ServerLoad idle{1, 0, 2, 1};
  TimePoint now{1h};
  for (int i = 0; i != 200; ++i) {
    room.onResponse("fast", Search, 20ms, &idle, now);
    room.onResponse("slow", Search, 100ms, &idle, now);
  }
  const ServerLoad queued{2, 6, 2, 1};
  const Duration fast = room.statedWait("fast", queued);
  const Duration slow = room.statedWait("slow", queued);
  CHECK(fast > 30ms);
  CHECK(fast < 120ms);
  CHECK(slow > 3 * fast);
  CHECK(room.statedWait("fast", idle) == Duration(0));

  room.onResponse("fast", Search, 80ms, &queued, now);
  CHECK_FALSE(room.isIdle("fast", now));
  const std::array<ReplicaConnections, 1> one{{{"fast", 1}}};
  CHECK(room.forecast("s", one, 0, Search, now).ReplicaWait > 30ms);
  // What was stated long ago is not used.
  now += 2s;
  CHECK(room.isIdle("fast", now));
  CHECK(room.forecast("s", one, 0, Search, now).ReplicaWait == Duration(0));
}

// Guards against rejections at the start, when connections are being opened
// and nothing is known about the replicas yet.
TEST_CASE("nothing is estimated from a few responses") {
  RoomEstimate room;
  const ServerLoad queued{2, 12, 2, 1};
  room.onResponse("r", Search, 500ms, &queued, TimePoint(1h));
  CHECK_FALSE(room.isKnown());
  CHECK(room.statedWait("r", queued) == Duration(0));
}

// Guards against requests that wait in the queue of a daemon with few
// connections, although the replicas are idle.
TEST_CASE("the queue of the daemon counts when no connection is free") {
  RoomOptions options;
  options.MinSamples = 1;
  RoomEstimate room(options);
  TimePoint now{1h};
  room.onResponse("r", Search, 20ms, nullptr, now);
  for (int i = 0; i != 50; ++i) {
    room.onBacklog("s", now);
    now += 40ms;
    room.onSent("s", now);
  }
  const std::array<ReplicaConnections, 1> busy{{{"r", 0}}};
  const std::array<ReplicaConnections, 1> free{{{"r", 1}}};
  CHECK(room.forecast("s", busy, 4, Search, now).QueueDelay > 150ms);
  CHECK(room.forecast("s", free, 0, Search, now).QueueDelay == Duration(0));
}
