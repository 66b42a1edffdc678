#ifndef GALENAFLOW_TRANSPORT_CLIENT_MEMORY_H
#define GALENAFLOW_TRANSPORT_CLIENT_MEMORY_H

#include "state/clock.h"
#include "state/metrics.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>

namespace galenaflow::transport {

/// Why a client was refused or its connection closed.
enum class ClientRefusal {
  BodyDoesNotFit,  ///< answered with 503 before the body was read
  Evicted,         ///< gave way to others with an incomplete request or answer
  NoProgress,      ///< sent no complete head in the time for it
  ConnectionLimit, ///< closed for the limit of connections
};
constexpr std::size_t ClientRefusalCount = 4;

/// The name of the kind in snake_case, for logs and metrics.
std::string_view clientRefusalName(ClientRefusal kind);

/// The bytes that this process holds for clients: receive buffers with heads
/// and bodies, copies of requests on their way, and answers that have not been
/// taken. Without a limit by default.
class ClientMemory {
public:
  /// A quarter of the limit is reserved for small requests and for answers, so
  /// that large bodies leave room for ordinary callers.
  static constexpr std::size_t ReservedFraction = 4;

  /// Share of the memory of a VM that the clients may use. Freed buffers of
  /// this size leave gaps in the heap, the responses of servers may hold an
  /// eighth, and the rest is for the program and its directory.
  static constexpr std::size_t VmFraction = 4;

  /// Descriptors that are reserved for files.
  static constexpr std::size_t ReservedDescriptors = 200;

  /// The connections of clients that a process with `descriptors` may have: two
  /// thirds of those that are not reserved.
  static std::size_t maxConnections(std::size_t descriptors);

  /// The connections to replicas that such a process may have: three quarters
  /// of the rest. What remains is for peers, probes and the platform.
  static std::size_t maxBackendConnections(std::size_t descriptors);

  void setLimit(std::size_t bytes) { Limit = bytes; }
  std::size_t limit() const { return Limit; }
  std::size_t held() const { return *Held; }

  /// Bytes that are missing before `bytes` more fit; zero if they fit.
  std::size_t missing(std::size_t bytes, bool mayUseReserve) const;

  void add(std::size_t bytes) {
    *Held += bytes;
    Peak = std::max(Peak, *Held);
  }
  void release(std::size_t bytes) { *Held -= bytes; }

  /// Counts a copy of a request until the object is destroyed. It may outlive
  /// this one.
  std::shared_ptr<const void> makeHold(std::size_t bytes);

  /// Returns freed memory to the kernel when the bytes held have fallen far
  /// since it last did so, and once more a second later. Takes milliseconds.
  void trim(state::TimePoint now);

  /// Whether trim() has to be called again, every 100 ms or so.
  bool mayNeedTrim() const {
    return Peak >= Limit / TrimFraction || RepeatTrimAt.has_value();
  }

  /// Counts a refusal and logs its kind, at most once a second.
  void countRefusal(ClientRefusal kind, std::size_t bytes,
                    state::TimePoint now);
  std::uint64_t refusals(ClientRefusal kind) const {
    return Refusals[static_cast<std::size_t>(kind)];
  }

  void addConnections(std::ptrdiff_t n) {
    Connections =
        static_cast<std::size_t>(static_cast<std::ptrdiff_t>(Connections) + n);
  }

  void exportTo(state::MetricRegistry &metrics) const;

private:
  /// Less of the limit is not worth a trim.
  static constexpr std::size_t TrimFraction = 16;

  /// Servers may still answer requests of clients that have gone.
  static constexpr state::Duration TrimRepeatTime = std::chrono::seconds(1);

  static constexpr state::Duration LogInterval = std::chrono::seconds(1);

  std::size_t Limit = std::numeric_limits<std::size_t>::max() / 2;
  std::shared_ptr<std::size_t> Held = std::make_shared<std::size_t>(0);
  std::size_t Peak = 0; ///< of the bytes held, since the last trim
  std::optional<state::TimePoint> RepeatTrimAt;
  std::size_t Connections = 0;
  std::array<std::uint64_t, ClientRefusalCount> Refusals{};
  std::array<std::uint64_t, ClientRefusalCount> Logged{};
  std::array<state::TimePoint, ClientRefusalCount> NextLog{};
};

} // namespace galenaflow::transport

#endif
