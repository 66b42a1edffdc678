#include "coordination/adaptive_concurrency.h"
#include "coordination/admission_queue.h"
#include "coordination/plan_limiter.h"
#include "coordination/slot_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace galenaflow::coordination;
using galenaflow::state::Priority;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

/// An admission queue with a backlog, of which endOldest() ends the request
/// that was admitted first.
struct Backlog {
  explicit Backlog(AdmissionOptions options) : Queue(options) {}

  void arrive(const std::string &plan, Priority priority, double cost) {
    const std::uint64_t id = Next++;
    Info[id] = {plan, priority, cost};
    executeActions(Queue.onArrival(
        {id, plan, priority, cost, Start + seconds(1000), {}}, Now));
  }

  void endOldest() {
    Now += milliseconds(1);
    const std::uint64_t id = Running.front();
    Running.erase(Running.begin());
    executeActions(Queue.onEnded(id, Now));
  }

  void executeActions(const AdmissionActions &actions) {
    for (const AdmissionAction &action : actions) {
      if (const auto *admit = std::get_if<Admit>(&action)) {
        Running.push_back(admit->Id);
        const Request &it = Info[admit->Id];
        Served[it.Plan] += it.Cost;
        ServedClass[it.Class] += it.Cost;
      } else {
        ++Refused[Info[std::get<Refuse>(action).Id].Plan];
      }
    }
  }

  struct Request {
    std::string Plan;
    Priority Class;
    double Cost;
  };
  AdmissionQueue Queue;
  TimePoint Now = Start;
  std::uint64_t Next = 1;
  std::map<std::uint64_t, Request> Info;
  std::vector<std::uint64_t> Running;
  std::map<std::string, double> Served;
  std::map<Priority, double> ServedClass;
  std::map<std::string, int> Refused;
};

} // namespace

TEST_CASE("backlogged plans are served in proportion to weight at any cost") {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    Backlog it({.Capacity = 60, .MaxQueued = 100000});
    it.Queue.setWeight("a", 1);
    it.Queue.setWeight("b", 3);
    for (int n = 0; n < 2000; ++n) {
      it.arrive("a", Priority::Normal, static_cast<double>(1 + random() % 30));
      it.arrive("b", Priority::Normal, static_cast<double>(1 + random() % 30));
    }
    it.Served.clear();
    for (int n = 0; n < 1000; ++n) {
      it.endOldest();
      REQUIRE(it.Queue.costInService() <= 60);
      // Twice the bound of start-time fair queuing, which is the sum of the
      // largest cost / weight of both plans.
      const double gap = it.Served["a"] / 1 - it.Served["b"] / 3;
      REQUIRE(std::abs(gap) <= 2 * (30.0 / 1 + 30.0 / 3));
    }
  }
}

TEST_CASE("urgent requests are admitted first but leave half of the capacity "
          "to queued normal requests") {
  for (const double normalCost : {1.0, 20.0, 35.0}) {
    Backlog it({.Capacity = 40, .MaxQueued = 100000});
    for (int n = 0; n < 3000; ++n)
      it.arrive("normal", Priority::Normal, normalCost);
    for (int n = 0; n < 3000; ++n)
      it.arrive("urgent", Priority::Urgent, 10);
    it.ServedClass.clear();
    for (int n = 0; n < 1000; ++n)
      it.endOldest();
    const double urgent = it.ServedClass[Priority::Urgent];
    const double normal = it.ServedClass[Priority::Normal];
    INFO("normal cost " << normalCost);
    CHECK(urgent <= normal + 2 * 40);
    CHECK(urgent > 0);
    CHECK(normal > 0);
  }
}

TEST_CASE("a full queue refuses only requests of the plan above its share") {
  Backlog it({.Capacity = 20, .MaxQueued = 50});
  for (int n = 0; n < 2000; ++n) {
    for (int k = 0; k < 10; ++k)
      it.arrive("flood", Priority::Normal, 1);
    if (n % 4 == 0)
      it.arrive("modest", Priority::Normal, 1);
    it.endOldest();
  }
  CHECK(it.Refused["modest"] == 0);
  CHECK(it.Refused["flood"] > 10000);
  CHECK(it.Queue.queued() <= 50);
}

TEST_CASE("a request that cannot meet its deadline is refused on arrival") {
  AdmissionQueue queue({.Capacity = 1, .MaxQueued = 100});
  TimePoint now = Start;
  const auto arrive = [&](std::uint64_t id, Duration deadline) {
    return queue.onArrival(
        {id, "p", Priority::Normal, 1, now + deadline, milliseconds(10)}, now);
  };
  REQUIRE(arrive(1, seconds(1)).size() == 1);
  now += milliseconds(10); // the mean service time becomes 10 ms
  queue.onEnded(1, now);
  REQUIRE(arrive(2, seconds(1)).size() == 1);
  CHECK(arrive(3, seconds(1)).empty());
  const auto refused = arrive(4, milliseconds(25));
  REQUIRE(refused.size() == 1);
  CHECK(std::get<Refuse>(refused[0]).Reason ==
        RefusalReason::WouldMissDeadline);
  now += seconds(2); // request 3 can no longer meet its deadline
  const auto late = queue.onEnded(2, now);
  REQUIRE(late.size() == 1);
  CHECK(std::get<Refuse>(late[0]).Id == 3);
  CHECK(queue.queued() == 0);
}

TEST_CASE("plan limits hold while the allowance changes") {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    PlanLimiter limiter;
    TimePoint now = Start;
    PlanAllowance allowance{50, 10, 8};
    limiter.setAllowance("p", allowance, now);
    double allowed = 10;
    int admitted = 0;
    for (int n = 0; n < 2000; ++n) {
      const auto step = std::chrono::microseconds(random() % 20000);
      now += step;
      allowed += std::chrono::duration<double>(step).count() * allowance.Rate;
      if (random() % 50 == 0) {
        allowance = {static_cast<double>(random() % 100),
                     static_cast<double>(random() % 10),
                     static_cast<double>(random() % 8)};
        limiter.setAllowance("p", allowance, now);
      }
      if (random() % 2 == 0)
        limiter.onEnded("p");
      if (limiter.tryAdmit("p", now) == PlanLimiter::Verdict::Admitted) {
        ++admitted;
        REQUIRE(limiter.openRequests("p") <= allowance.Concurrency);
      }
      REQUIRE(admitted <= allowed + 1e-6);
    }
    CHECK(limiter.tryAdmit("q", now) == PlanLimiter::Verdict::UnknownPlan);
  }
}

TEST_CASE(
    "the adaptive limit falls when latency rises and recovers afterwards") {
  AdaptiveConcurrency it({.Min = 2, .Max = 60, .Initial = 20});
  const auto run = [&](Duration latency) {
    for (int n = 0; n < 5000; ++n)
      it.onSample(latency, it.limit());
  };
  run(milliseconds(5));
  CHECK(it.limit() == 60);
  run(milliseconds(50));
  CHECK(it.limit() < 30);
  CHECK(it.limit() >= 2);
  run(milliseconds(5));
  CHECK(it.limit() == 60);
}

TEST_CASE("a replica never has more outstanding sub-requests than its limit") {
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    SlotScheduler slots(8);
    TimePoint now = Start;
    std::map<std::uint64_t, SlotRequest> waiting;
    std::vector<std::uint64_t> started;
    const auto executeActions = [&](const SlotActions &actions) {
      for (const SlotAction &action : actions) {
        if (const auto *rejected = std::get_if<RejectSubRequest>(&action)) {
          // A started sub-request must never be rejected.
          REQUIRE(waiting.erase(rejected->Id) == 1);
          continue;
        }
        const auto id = std::get<StartSubRequest>(action).Id;
        const SlotRequest request = waiting.at(id);
        waiting.erase(id);
        REQUIRE(request.DeadlineAt > now);
        for (const auto &[other, it] : waiting)
          if (it.DeadlineAt > now && it.Priority == request.Priority)
            REQUIRE(request.DeadlineAt <= it.DeadlineAt);
          else
            REQUIRE((it.DeadlineAt <= now || it.Priority == Priority::Normal));
        started.push_back(id);
      }
    };
    executeActions(slots.setLimit("r", 3, now));
    for (std::uint64_t id = 1; id < 300; ++id) {
      now += milliseconds(random() % 3);
      const auto priority = random() % 2 ? Priority::Urgent : Priority::Normal;
      const SlotRequest request{id, "r", priority,
                                now + milliseconds(1 + random() % 20)};
      waiting[id] = request;
      executeActions(slots.onRequest(request, now));
      REQUIRE(slots.outstanding("r") <= 3);
      REQUIRE(slots.outstanding("r") == started.size());
      REQUIRE(slots.queued("r") == waiting.size());
      REQUIRE(waiting.size() <= 8);
      if (!started.empty() && random() % 2 == 0) {
        const auto ended = started.begin();
        const std::uint64_t which = *ended;
        started.erase(ended);
        executeActions(slots.onEnded(which, now));
      }
      if (random() % 4 == 0)
        executeActions(slots.onTimer(now));
    }
    now += seconds(1);
    executeActions(slots.onTimer(now));
    CHECK(waiting.empty());
    CHECK(!slots.nextTimer());
  }
}

// Guards against a daemon that starts with a share of zero and keeps the limit
// of that share after the share has grown.
TEST_CASE("the adaptive limit follows a share that grows from zero") {
  AdaptiveConcurrency limit({.Min = 1, .Max = 1, .Initial = 1});
  limit.setBounds(12, 160, 32);
  CHECK(limit.limit() == 32);
}

// Guards against a limit that falls because the latency of searches is compared
// with that of suggestions, which are faster.
TEST_CASE("the adaptive limit compares latency within a request class") {
  AdaptiveConcurrency limit(
      {.Min = 12, .Max = 160, .Initial = 32, .Window = 10});
  for (int i = 0; i != 1000; ++i) {
    const bool urgent = i / 10 % 2 == 0;
    limit.onSample(std::chrono::milliseconds(urgent ? 10 : 100), 32,
                   urgent ? 0 : 1);
    REQUIRE(limit.limit() >= 32);
  }
}

// Guards against a service that refuses all requests permanently after a fault
// in which requests took as long as their deadlines: as long as none runs, the
// expected service time stays too long.
TEST_CASE("an idle queue admits a request whose expected service time is too "
          "long") {
  AdmissionQueue queue({.Capacity = 10, .MaxQueued = 100});
  const AdmissionRequest slow{
      1, "p", Priority::Normal, 1, Start + seconds(5), seconds(6)};
  const auto admitted = queue.onArrival(slow, Start);
  REQUIRE(admitted.size() == 1);
  CHECK(std::holds_alternative<Admit>(admitted[0]));
  // While a request is running, the expected service time applies again.
  AdmissionRequest next = slow;
  next.Id = 2;
  const auto refused = queue.onArrival(next, Start);
  REQUIRE(refused.size() == 1);
  CHECK(std::holds_alternative<Refuse>(refused[0]));
}
