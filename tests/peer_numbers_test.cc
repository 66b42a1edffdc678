#include "coordination/membership.h"
#include "coordination/replica_placement.h"
#include "coordination/request_limiter.h"
#include "protocol/delegation_messages.h"
#include "protocol/directory_messages.h"
#include "protocol/quarantine_messages.h"
#include "protocol/records_messages.h"
#include "protocol/writes_messages.h"

#include <array>
#include <catch2/catch.hpp>
#include <limits>

using namespace galenaflow;
using namespace galenaflow::protocol;
using namespace std::chrono_literals;

// Numbers that a peer may state although no peer in order does.
// docs/design/peer-numbers.md lists them all.

namespace {

constexpr auto Longest = state::Duration::max();
constexpr auto MostNegative = state::Duration::min();
constexpr auto Day = state::Duration(24h);

} // namespace

// Guards against a time that overflows in a sum with the present time, so that
// a deadline is in the past.
TEST_CASE("times of a delegating daemon and of an executor are bounded") {
  for (const auto &[stated, expected] :
       {std::pair{Longest, Day}, {MostNegative, state::Duration(0)}}) {
    DelegatedRequest request;
    request.Remaining = request.ReturnTime = stated;
    const auto got = decodeDelegatedRequest(encodeDelegatedRequest(request));
    REQUIRE(got);
    CHECK(got->Remaining == expected);
    CHECK(got->ReturnTime == expected);
    DelegatedReply reply;
    reply.Elapsed = reply.RetryAfter = stated;
    const auto answer = decodeDelegatedReply(encodeDelegatedReply(reply));
    REQUIRE(answer);
    CHECK(answer->Elapsed == expected);
    CHECK(answer->RetryAfter >= 0s);
    CHECK(answer->RetryAfter <= 1h);
  }
}

// Guards against a view that counts as current for ever since it seems to be
// from the future.
TEST_CASE("times and figures of a relay are bounded") {
  DirectoryReply reply;
  reply.Age = -1us;
  CHECK_FALSE(decodeDirectoryReply(encodeDirectoryReply(reply)));
  reply.Age = Longest;
  reply.Limits = {{"i-1", 1e308, Longest},
                  {"i-2", -1, 0s},
                  {"i-3", std::numeric_limits<double>::infinity(), 0s},
                  {"i-4", std::numeric_limits<double>::quiet_NaN(), 0s},
                  {"i-5", 1, -1us}};
  reply.Executors = {{"10.0.0.1:1", "a", UINT32_MAX}};
  state::ReplicaRecord cold;
  cold.ColdRemaining = Longest;
  state::ReplicaRecord warm;
  warm.ColdRemaining = MostNegative;
  reply.Changes = {{"i-1", false, cold}, {"i-2", false, warm}};
  const auto got = decodeDirectoryReply(encodeDirectoryReply(reply));
  REQUIRE(got);
  CHECK(got->Age == Day);
  REQUIRE(got->Limits.size() == 1);
  CHECK(got->Limits[0].PerSecond == state::MaxRequestLimit);
  CHECK(got->Limits[0].Age == Day);
  CHECK(got->Executors[0].Millicores == 1'024'000);
  CHECK(got->Changes[0].Record.ColdRemaining == Day);
  CHECK(got->Changes[1].Record.ColdRemaining == 0s);
  DirectoryRequest request;
  request.Fleet.WeakestMillicores = UINT32_MAX;
  CHECK(decodeDirectoryRequest(encodeDirectoryRequest(request))
            ->Fleet.WeakestMillicores == 1'024'000);
}

TEST_CASE("ages of evidence and of records are bounded") {
  const std::array sent{state::RequestEvidence{{1, 2}, 7, 3, Longest, Longest},
                        state::RequestEvidence{{1, 2}, 8, 3, -1us, 0us}};
  const auto evidence = decodeEvidence(encodeEvidence(sent));
  REQUIRE(evidence);
  REQUIRE(evidence->size() == 1);
  CHECK(evidence->front().Age == Day);
  CHECK(evidence->front().StartAge == Day);
  RecordMessage found;
  found.Type = RecordMessageType::Found;
  found.ReachMs = UINT64_MAX;
  const auto records = decodeRecordMessage(
      static_cast<std::uint16_t>(found.Type), encodeRecordMessage(found));
  REQUIRE(records);
  CHECK(records->ReachMs == 366ULL * 24 * 3'600'000);
}

// Guards against a status of another daemon that is stored as the result of a
// write.
TEST_CASE("only a success completes a write of another daemon") {
  WriteMessage message;
  message.Type = WriteMessageType::OutcomeReply;
  const auto isAccepted = [&message] {
    return decodeWriteMessage(static_cast<std::uint16_t>(message.Type),
                              encodeWriteMessage(message))
        .has_value();
  };
  for (const int status :
       {0, 20, 99, 100, 199, 300, 404, 500, 600, 999, 65535}) {
    INFO(status);
    message.State = WriteState::Completed;
    message.Status = static_cast<std::uint16_t>(status);
    CHECK_FALSE(isAccepted());
    message.State = WriteState::InProgress;
    CHECK(isAccepted());
  }
  message.State = WriteState::Completed;
  message.Status = 200;
  CHECK(isAccepted());
}

// Guards against a member that cannot refute a suspicion, since its number
// begins again at zero.
TEST_CASE("an incarnation near the end of its range is ignored") {
  using namespace coordination;
  const std::uint64_t incarnation =
      GENERATE((std::uint64_t{1} << 62) + 1, UINT64_MAX - 1, UINT64_MAX);
  const ListedVm self{{"vm-1", "1"}, "10.0.0.1:1", "a", false};
  const ListedVm peer{{"vm-2", "1"}, "10.0.0.2:1", "a", false};
  Membership membership({}, self, std::mt19937_64(1), TimePoint());
  membership.applyList(std::array{self, peer}, TimePoint());
  const auto suspect = [&](const ListedVm &vm, std::uint64_t number) {
    Ping ping;
    ping.Updates.push_back(
        {vm.Id, vm.Address, vm.DataCentre, MemberState::Suspect, number});
    membership.receive(peer.Id, ping, TimePoint());
  };
  suspect(self, incarnation);
  const std::uint64_t before = membership.incarnation();
  CHECK(before < 10);
  suspect(self, before);
  CHECK(membership.incarnation() == before + 1);
  suspect(peer, incarnation);
  CHECK(membership.members().at(peer.Id).Incarnation < 10);
  CHECK(membership.members().at(peer.Id).State == MemberState::Alive);
  suspect(peer, 10);
  CHECK(membership.members().at(peer.Id).State == MemberState::Suspect);
}

// Guards against a limit whose tokens are out of the range of their type.
TEST_CASE("a request limit without bound allows a bounded number") {
  coordination::RequestLimiter limiter(std::numeric_limits<double>::max(), 1,
                                       state::TimePoint());
  CHECK(limiter.perSecond() == state::MaxRequestLimit);
  CHECK(limiter.available({}, state::TimePoint(1h)) ==
        static_cast<std::uint32_t>(state::MaxRequestLimit));
  limiter.setLimit(std::numeric_limits<double>::infinity());
  CHECK(limiter.perSecond() == state::MaxRequestLimit);
}

// Guards against a sum of load figures that overflows, so that the busiest
// replica seems idle.
TEST_CASE("a replica that states the largest load is chosen last") {
  coordination::ReplicaPlacement placement("z1", std::mt19937_64(1));
  std::map<std::string, state::ReplicaRecord, std::less<>> records;
  for (const char *id : {"a", "b"}) {
    state::ReplicaRecord record;
    record.Id = id;
    record.Service = "pool";
    record.Address = "10.0.0.1:1";
    record.DataCentre = "z1";
    record.Slots = 2;
    records.emplace(id, record);
  }
  placement.setReplicas(records, state::TimePoint());
  placement.onLoad("a", {UINT32_MAX, 1, 2, 1}, state::TimePoint());
  placement.onLoad("b", {40, 0, 2, 1}, state::TimePoint());
  for (int i = 0; i != 20; ++i)
    CHECK(placement.choose(
              "pool", {}, [](std::string_view) { return true; },
              state::TimePoint()) == "b");
}
