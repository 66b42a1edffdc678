#include "platform/soak.h"

#include <algorithm>
#include <array>

// Evacuations of data centres, and the check of where requests arrive.

namespace galenaflow::standin {

using state::Duration;
using namespace std::chrono_literals;

namespace {

/// The operator's limit for the time from the acknowledgement until no request
/// arrives any more.
constexpr Duration EvacuationLimit = 5s;

std::string itemOf(const std::string &dataCentre) {
  return "op/evacuate/" + dataCentre;
}

} // namespace

/// Evacuates a data centre and waits until that is in force. It stays so during
/// the first faults, none of which may end it.
void Soak::startEvacuation() {
  evacuate(randomBelow(2) == 0 ? "z1" : "z2",
           EvacuationLimit + Duration(5'000'000 + randomBelow(6'000'000)));
  Loop.runUntil([] { return false; }, EvacuationLimit);
}

/// Evacuates a data centre that is not evacuated, mostly for longer than the
/// limit. No replica is in the last one.
void Soak::injectEvacuation() {
  constexpr std::array<const char *, 3> names = {"z1", "z2", "z9"};
  const std::string name = names[randomBelow(names.size())];
  const bool isInForce =
      std::any_of(Evacuations.begin(), Evacuations.end(), [&](const auto &it) {
        return it.DataCentre == name && it.To == state::TimePoint::max();
      });
  if (isInForce)
    return;
  evacuate(name, randomBelow(4) == 0
                     ? Duration(0)
                     : EvacuationLimit + Duration(randomBelow(5'000'000)));
}

void Soak::evacuate(const std::string &name, Duration lasting) {
  Store.put(itemOf(name), "{}");
  Evacuations.push_back({name, Loop.now()});
  schedule(lasting, [this, name] { endEvacuation(name); });
}

void Soak::endEvacuation(const std::string &dataCentre) {
  Store.remove(itemOf(dataCentre));
  for (EvacuationPeriod &it : Evacuations)
    if (it.DataCentre == dataCentre)
      it.To = std::min(it.To, Loop.now());
}

/// After a restore, the operator writes the evacuations again that are in
/// force, and removes the others.
void Soak::rewriteEvacuations() {
  for (const EvacuationPeriod &it : Evacuations)
    Store.remove(itemOf(it.DataCentre));
  for (const EvacuationPeriod &it : Evacuations)
    if (it.To == state::TimePoint::max())
      Store.put(itemOf(it.DataCentre), "{}");
}

/// Returns when the evacuation must be in force: the limit after it was
/// written, or after the last fault of the store within that time.
state::TimePoint Soak::inForceAt(const EvacuationPeriod &period) const {
  state::TimePoint from = period.From;
  for (const FaultPeriod &it : FaultPeriods)
    if (it.Daemon == StoreTarget && it.From <= from + EvacuationLimit)
      from = std::max(from, it.To);
  return from + EvacuationLimit;
}

/// Whether the store may have been read without items that it had lost.
bool Soak::isAfterRestore(state::TimePoint at) const {
  return std::any_of(StoreRestores.begin(), StoreRestores.end(),
                     [at](const FaultPeriod &it) {
                       return it.From <= at && at <= it.To + EvacuationLimit;
                     });
}

/// An evacuation that is in force stays so while the store is away.
void Soak::checkEvacuations() {
  for (const EvacuationPeriod &period : Evacuations) {
    const state::TimePoint from = inForceAt(period);
    for (const auto &replica : Replicas)
      for (const ReceivedRequest &it : replica->received()) {
        if (it.At <= from || it.At >= period.To || isAfterRestore(it.At) ||
            !wereSendersHealthy(it.Id, it.At))
          continue;
        ++EvacuationChecks;
        if (replica->dataCentre() != period.DataCentre)
          continue;
        reportViolation(it.Id + " reached " + replica->id() + " in " +
                        period.DataCentre + ", which is evacuated");
        return;
      }
  }
}

} // namespace galenaflow::standin
