#include "coordination/slot_scheduler.h"

// Every sub-request passes through the queue of its replica, so that only
// startWaiting() decides what starts. The deadlines of all waiting sub-requests
// are in one ordered set, so that onTimer() finds the expired ones without a
// scan. Keys are passed by value, since the set element that a key may refer to
// is erased.

namespace galenaflow::coordination {

void SlotScheduler::removeWaiting(ReplicaState &replica, Key key) {
  replica.Queue.erase(key);
  Deadlines.erase({key.DeadlineAt, key.Id});
}

void SlotScheduler::reject(Key key, RejectSubRequest::ReasonCode reason,
                           SlotActions &actions) {
  const auto it = Entries.find(key.Id);
  removeWaiting(*it->second.Replica, key);
  Entries.erase(it);
  actions.emplace_back(RejectSubRequest{key.Id, reason});
}

void SlotScheduler::startWaiting(ReplicaState &replica, SlotActions &actions,
                                 TimePoint now) {
  while (!replica.Queue.empty() && replica.Outstanding < replica.Limit) {
    const Key key = *replica.Queue.begin();
    if (key.DeadlineAt <= now) {
      reject(key, RejectSubRequest::ReasonCode::DeadlinePassed, actions);
      continue;
    }
    removeWaiting(replica, key);
    Entries[key.Id].Started = true;
    ++replica.Outstanding;
    actions.emplace_back(StartSubRequest{key.Id});
  }
}

SlotActions SlotScheduler::setLimit(std::string_view replica,
                                    std::uint32_t limit, TimePoint now) {
  SlotActions actions;
  ReplicaState &it = Replicas[std::string(replica)];
  it.Limit = limit;
  startWaiting(it, actions, now);
  return actions;
}

SlotActions SlotScheduler::onRequest(const SlotRequest &request,
                                     TimePoint now) {
  SlotActions actions;
  auto found = Replicas.find(request.Replica);
  if (found == Replicas.end())
    found = Replicas.try_emplace(std::string(request.Replica)).first;
  ReplicaState &replica = found->second;
  const Key key{request.Priority, request.DeadlineAt, request.Id};
  Entries[request.Id] = {&replica, key, false};
  replica.Queue.insert(key);
  Deadlines.insert({key.DeadlineAt, key.Id});
  startWaiting(replica, actions, now);
  if (replica.Queue.size() > MaxQueued)
    reject(*std::prev(replica.Queue.end()),
           RejectSubRequest::ReasonCode::QueueFull, actions);
  return actions;
}

SlotActions SlotScheduler::onEnded(std::uint64_t id, TimePoint now) {
  SlotActions actions;
  const auto it = Entries.find(id);
  if (it == Entries.end())
    return actions;
  const Entry entry = it->second;
  Entries.erase(it);
  if (!entry.Started) {
    removeWaiting(*entry.Replica, entry.QueueKey);
    return actions;
  }
  --entry.Replica->Outstanding;
  startWaiting(*entry.Replica, actions, now);
  return actions;
}

SlotActions SlotScheduler::onTimer(TimePoint now) {
  SlotActions actions;
  while (!Deadlines.empty() && Deadlines.begin()->first <= now) {
    const Key key = Entries.at(Deadlines.begin()->second).QueueKey;
    reject(key, RejectSubRequest::ReasonCode::DeadlinePassed, actions);
  }
  return actions;
}

std::optional<TimePoint> SlotScheduler::nextTimer() const {
  if (Deadlines.empty())
    return std::nullopt;
  return Deadlines.begin()->first;
}

std::uint32_t SlotScheduler::outstanding(std::string_view replica) const {
  const auto it = Replicas.find(replica);
  return it == Replicas.end() ? 0 : it->second.Outstanding;
}

std::size_t SlotScheduler::queued(std::string_view replica) const {
  const auto it = Replicas.find(replica);
  return it == Replicas.end() ? 0 : it->second.Queue.size();
}

} // namespace galenaflow::coordination
