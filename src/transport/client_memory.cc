#include "transport/client_memory.h"

#include "state/log.h"

#include <algorithm>
#include <malloc.h>
#include <string>

// Each client is within the published limits, so only the sum can be limited. A
// process that exceeds the memory of its VM is killed with the requests of all
// callers. What is counted are the capacities of buffers, which grow by
// doubling, and not the bytes in them.

namespace galenaflow::transport {

std::string_view clientRefusalName(ClientRefusal kind) {
  constexpr std::array<std::string_view, ClientRefusalCount> names = {
      "body_does_not_fit", "evicted", "no_progress", "connection_limit"};
  return names[static_cast<std::size_t>(kind)];
}

namespace {

std::size_t usableDescriptors(std::size_t descriptors) {
  return descriptors - std::min(descriptors, ClientMemory::ReservedDescriptors);
}

} // namespace

std::size_t ClientMemory::maxConnections(std::size_t descriptors) {
  return std::max<std::size_t>(1, usableDescriptors(descriptors) / 3 * 2);
}

std::size_t ClientMemory::maxBackendConnections(std::size_t descriptors) {
  return usableDescriptors(descriptors) / 4;
}

std::size_t ClientMemory::missing(std::size_t bytes, bool mayUseReserve) const {
  const std::size_t usable =
      mayUseReserve ? Limit : Limit - Limit / ReservedFraction;
  const std::size_t total = *Held + bytes;
  return total > usable ? total - usable : 0;
}

std::shared_ptr<const void> ClientMemory::makeHold(std::size_t bytes) {
  add(bytes);
  return {Held.get(),
          [held = Held, bytes](const std::size_t *) { *held -= bytes; }};
}

// The heap keeps what a crowd has freed, since its blocks lie between others,
// and a second crowd of another kind would come on top of it.
void ClientMemory::trim(state::TimePoint now) {
  const bool isFallen = Peak >= Limit / TrimFraction && *Held <= Peak / 4;
  const bool isRepeatDue = RepeatTrimAt && now >= *RepeatTrimAt;
  if (!isFallen && !isRepeatDue)
    return;
  malloc_trim(0);
  RepeatTrimAt.reset();
  if (!isFallen)
    return;
  Peak = *Held;
  RepeatTrimAt = now + TrimRepeatTime;
}

void ClientMemory::countRefusal(ClientRefusal kind, std::size_t bytes,
                                state::TimePoint now) {
  const auto i = static_cast<std::size_t>(kind);
  ++Refusals[i];
  if (now < NextLog[i])
    return;
  NextLog[i] = now + LogInterval;
  const std::uint64_t count =
      Refusals[i] - std::exchange(Logged[i], Refusals[i]);
  switch (kind) {
  case ClientRefusal::BodyDoesNotFit:
    state::log::warning("client_body_refused", {{"bytes", bytes},
                                                {"held", *Held},
                                                {"limit", Limit},
                                                {"count", count}});
    break;
  case ClientRefusal::Evicted:
    state::log::warning("client_evicted", {{"bytes", bytes},
                                           {"held", *Held},
                                           {"limit", Limit},
                                           {"count", count}});
    break;
  case ClientRefusal::NoProgress:
    state::log::info("client_without_progress",
                     {{"bytes", bytes}, {"count", count}});
    break;
  case ClientRefusal::ConnectionLimit:
    state::log::warning("client_connection_closed",
                        {{"open", Connections}, {"count", count}});
    break;
  }
}

void ClientMemory::exportTo(state::MetricRegistry &metrics) const {
  for (std::size_t i = 0; i != ClientRefusalCount; ++i) {
    state::Counter &counter = metrics.counter(
        "galenaflow_client_refusals_total",
        "Clients that were refused or closed for a limit of the process",
        {{"kind",
          std::string(clientRefusalName(static_cast<ClientRefusal>(i)))}});
    counter.add(Refusals[i] - counter.value());
  }
  metrics.gauge("galenaflow_client_bytes", "Bytes that are held for clients")
      .set(static_cast<double>(*Held));
  metrics
      .gauge("galenaflow_client_bytes_limit",
             "Largest number of bytes that may be held for clients")
      .set(static_cast<double>(Limit));
  metrics
      .gauge("galenaflow_client_connections",
             "Open connections to all listeners")
      .set(static_cast<double>(Connections));
}

} // namespace galenaflow::transport
