#include "transport/backend_pool.h"

#include <algorithm>
#include <utility>

// A replica refuses connections above its published limit, and each connection
// costs it milliseconds and a slot to set up. The pool therefore prefers the
// connection that was used last, closes none that still works, and lets the
// answer of an abandoned exchange arrive instead of closing its connection.
//
// A connection can go silent for good while new ones work. The only sign is an
// answer that does not come. After one exchange has timed out, every other idle
// connection is suspect and must answer a probe before it carries a request.

namespace galenaflow::transport {

struct BackendPool::Member {
  Member(EventLoop &loop, const SocketAddress &address)
      : Connection(loop, address) {}

  HttpConnection Connection;
  ExchangeId Exchange = 0; ///< zero while idle or probing
  bool Suspect = false;
  HttpCallback Callback;
  TimerId Grace = 0;
};

BackendPool::BackendPool(EventLoop &loop, const SocketAddress &address,
                         BackendPoolOptions options)
    : Loop(loop), Address(address), Options(std::move(options)) {}

BackendPool::~BackendPool() {
  for (const auto &member : Members)
    Loop.cancel(member->Grace);
}

void BackendPool::setLimit(std::size_t limit) {
  Limit = limit;
  trim();
}

void BackendPool::warm(std::size_t count) {
  const std::size_t wanted = std::min(count, Limit);
  while (Members.size() < wanted)
    addMember();
  for (std::size_t i = 0; i != wanted; ++i) {
    HttpConnection &connection = Members[i]->Connection;
    if (!connection.isBusy() && !connection.isConnected() &&
        !connection.isOpening())
      connection.open(Options.ProbeTimeout);
  }
}

ExchangeId BackendPool::send(const HttpRequest &request,
                             state::Duration timeout, HttpCallback callback,
                             SendGate gate) {
  Member *member = findUsable();
  if (member == nullptr)
    return 0;
  const ExchangeId id = ++LastExchange;
  ++Counters.Exchanges;
  member->Exchange = id;
  member->Callback = std::move(callback);
  member->Connection.send(
      request, timeout,
      [this, member](HttpResult result) {
        const bool timedOut = !result && result.error().Cause.Code ==
                                             state::ErrorCode::DeadlineExceeded;
        const HttpCallback done = std::move(member->Callback);
        member->Callback = nullptr;
        // The connection is freed first, so that the callback can send again.
        finished(*member, timedOut);
        done(std::move(result));
        announceFree();
      },
      std::move(gate));
  return id;
}

BackendPool::Member *BackendPool::memberOf(ExchangeId id) {
  const auto it =
      std::find_if(Members.begin(), Members.end(), [id](const auto &member) {
        return id != 0 && member->Exchange == id;
      });
  return it == Members.end() ? nullptr : it->get();
}

void BackendPool::abandon(ExchangeId id) {
  Member *member = memberOf(id);
  if (member == nullptr || member->Grace != 0)
    return;
  ++Counters.Abandoned;
  member->Grace = Loop.schedule(Options.AbandonGrace, [this, member] {
    member->Grace = 0;
    ++Counters.TimeoutCloses;
    member->Connection.cancel();
  });
}

void BackendPool::cancel(ExchangeId id) {
  if (Member *member = memberOf(id))
    member->Connection.cancel();
}

bool BackendPool::hasFree() const {
  if (Members.size() < Limit)
    return true;
  const state::TimePoint oldest = Loop.now() - Options.IdleProbeAge;
  return std::any_of(
      Members.begin(), Members.end(), [oldest](const auto &member) {
        if (member->Connection.isBusy())
          return false;
        return !member->Connection.isConnected() ||
               (!member->Suspect && member->Connection.lastUsed() > oldest);
      });
}

std::size_t BackendPool::busy() const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [](const auto &member) {
        return member->Connection.isBusy();
      }));
}

std::size_t BackendPool::connected() const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [](const auto &member) {
        return member->Connection.isBusy() || member->Connection.isConnected();
      }));
}

std::uint64_t BackendPool::refusals() const {
  std::uint64_t n = 0;
  for (const auto &member : Members)
    n += member->Connection.refusals();
  return n;
}

BackendPool::Member *BackendPool::findUsable() {
  if (Members.size() > Limit)
    return nullptr;
  const state::TimePoint oldest = Loop.now() - Options.IdleProbeAge;
  Member *best = nullptr;
  Member *unconnected = nullptr;
  for (const auto &member : Members) {
    if (member->Connection.isBusy())
      continue;
    if (!member->Connection.isConnected()) {
      if (unconnected == nullptr || member->Connection.isOpening())
        unconnected = member.get();
      continue;
    }
    if (member->Suspect || member->Connection.lastUsed() <= oldest) {
      probe(*member);
      continue;
    }
    if (best == nullptr ||
        member->Connection.lastUsed() > best->Connection.lastUsed())
      best = member.get();
  }
  if (best != nullptr)
    return best;
  if (unconnected != nullptr) {
    unconnected->Suspect = false;
    return unconnected;
  }
  return Members.size() < Limit ? addMember() : nullptr;
}

BackendPool::Member *BackendPool::addMember() {
  Members.push_back(std::make_unique<Member>(Loop, Address));
  Member *member = Members.back().get();
  member->Connection.onIdleChange([this] { announceFree(); });
  return member;
}

void BackendPool::probe(Member &member) {
  if (Options.ProbePath.empty()) {
    member.Suspect = false;
    member.Connection.closeIdle();
    member.Connection.open(Options.ProbeTimeout);
    return;
  }
  ++Counters.Probes;
  member.Connection.send(
      {"GET", Options.ProbePath, {}, ""}, Options.ProbeTimeout,
      [this, &member](const HttpResult &result) {
        member.Suspect = false;
        if (!result &&
            result.error().Cause.Code == state::ErrorCode::DeadlineExceeded)
          ++Counters.TimeoutCloses;
        trim();
        announceFree();
      });
}

void BackendPool::finished(Member &member, bool timedOut) {
  member.Exchange = 0;
  member.Suspect = false;
  Loop.cancel(member.Grace);
  member.Grace = 0;
  if (timedOut) {
    ++Counters.TimeoutCloses;
    for (const auto &other : Members)
      if (other->Connection.isConnected())
        other->Suspect = true;
    member.Suspect = false;
  }
  trim();
}

void BackendPool::trim() {
  // A member is destroyed by a posted message, because this can run inside one
  // of its own callbacks.
  while (Members.size() > Limit) {
    const auto it =
        std::find_if(Members.begin(), Members.end(), [](const auto &member) {
          return !member->Connection.isBusy() && member->Callback == nullptr;
        });
    if (it == Members.end())
      return;
    (*it)->Connection.closeIdle();
    Loop.cancel((*it)->Grace);
    Loop.post([doomed = std::shared_ptr<Member>(std::move(*it))] {});
    Members.erase(it);
  }
}

void BackendPool::announceFree() {
  if (OnFreeCallback && hasFree())
    OnFreeCallback();
}

} // namespace galenaflow::transport
