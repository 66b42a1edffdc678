#ifndef GALENAFLOW_TESTS_SUPPORT_SIMULATED_NETWORK_H
#define GALENAFLOW_TESTS_SUPPORT_SIMULATED_NETWORK_H

#include "protocol/fleet_messages.h"
#include "state/clock.h"

#include <functional>
#include <map>
#include <random>

namespace galenaflow::test {

/// Faults of the simulated network. Loss and Duplicates are probabilities for
/// one message. Messages are reordered if MaxDelay is above MinDelay.
struct NetworkFaults {
  double Loss = 0;
  double Duplicates = 0;
  state::Duration MinDelay = std::chrono::milliseconds(1);
  state::Duration MaxDelay = std::chrono::milliseconds(4);
};

/// Simulates a network between the state machines of a test: delivers messages
/// after a random delay from a seeded generator, and loses or duplicates some.
class SimulatedNetwork {
public:
  using Deliver = std::function<void(const protocol::FleetMessage &)>;

  explicit SimulatedNetwork(std::uint64_t seed) : Random(seed) {}

  NetworkFaults Faults;
  /// Returns the side of a partition on which a member is. No message is
  /// delivered between members on different sides.
  std::function<int(const protocol::MemberId &)> PartitionOf =
      [](const protocol::MemberId &) { return 0; };

  void send(const protocol::MemberId &from, const protocol::MemberId &to,
            const protocol::FleetBody &body, state::TimePoint now) {
    const int copies = 1 + (chance(Faults.Duplicates) ? 1 : 0);
    for (int i = 0; i != copies; ++i) {
      if (chance(Faults.Loss))
        continue;
      std::uniform_int_distribution<std::int64_t> delay(
          Faults.MinDelay.count(), Faults.MaxDelay.count());
      InFlight.emplace(now + state::Duration(delay(Random)),
                       protocol::FleetMessage{from, to, body});
    }
  }

  /// Delivers all messages that are due at `now`, also those that `receiver`
  /// sends and that are due by then.
  void deliver(state::TimePoint now, const Deliver &receiver) {
    while (!InFlight.empty() && InFlight.begin()->first <= now) {
      const protocol::FleetMessage message =
          std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      if (PartitionOf(message.From) == PartitionOf(message.To))
        receiver(message);
    }
  }

  bool chance(double p) { return std::bernoulli_distribution(p)(Random); }

private:
  std::mt19937_64 Random;
  std::multimap<state::TimePoint, protocol::FleetMessage> InFlight;
};

} // namespace galenaflow::test

#endif
