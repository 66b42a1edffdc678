#include "coordination/record_replication.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace galenaflow::protocol;
using namespace std::chrono_literals;

namespace {

struct Fleet {
  state::ManualClock Clock;
  std::mt19937_64 Random;
  std::vector<RecordPeer> Peers;
  std::map<RecordPeer, std::unique_ptr<RecordReplication>> Nodes;
  std::vector<RecordMessage> Found;

  explicit Fleet(std::uint64_t seed,
                 const RecordReplicationOptions &options = {})
      : Random(seed) {
    for (int i = 0; i != 6; ++i)
      Peers.push_back({"vm-" + std::to_string(i), "i",
                       i % 2 == 0 ? "catania-a" : "catania-b"});
    for (const RecordPeer &peer : Peers)
      Nodes[peer] = std::make_unique<RecordReplication>(peer, Clock, options);
    connectAll();
  }
  void connectAll() {
    std::vector<RecordPeer> connected;
    for (const auto &it : Nodes)
      connected.push_back(it.first);
    for (const auto &it : Nodes)
      it.second->setPeers(connected);
  }
  /// Runs all nodes for `span`, with a message loss of `loss` percent.
  void run(state::Duration span, unsigned loss) {
    for (state::Duration t{0}; t < span; t += 50ms) {
      Clock.advance(50ms);
      for (const auto &it : Nodes) {
        it.second->tick();
        for (const SendRecordMessage &sent : it.second->takeMessages()) {
          const auto target = Nodes.find(sent.To);
          if (target == Nodes.end() || Random() % 100 < loss)
            continue;
          const auto message =
              decodeRecordMessage(static_cast<std::uint16_t>(sent.Message.Type),
                                  encodeRecordMessage(sent.Message));
          REQUIRE(message);
          if (message->Type == RecordMessageType::Found)
            Found.push_back(*message);
          target->second->receive(it.first, *message);
        }
      }
    }
  }
};

} // namespace

// Guards against records that are lost although a target should still hold
// them: messages are lost, one target is replaced after its failure, and then
// the daemon and another target fail.
TEST_CASE("records survive message loss and the loss of their daemon and a "
          "target") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    const RecordPeer self = fleet.Peers[0];
    RecordReplication &node = *fleet.Nodes[self];
    REQUIRE(node.targets().size() == 2);
    for (const RecordPeer &target : node.targets())
      CHECK(target.DataCentre != self.DataCentre);
    for (int i = 0; i != 100; ++i) {
      node.add(
          {"id-" + std::to_string(i), std::string(fleet.Random() % 500, 'x')});
      fleet.run(50ms, 20);
    }
    fleet.Nodes.erase(node.targets()[0]);
    fleet.connectAll();
    REQUIRE(node.targets().size() == 2);
    fleet.run(60s, 20);
    CHECK(node.isFlushed());
    const RecordPeer remaining = node.targets()[1];
    const RecordPeer killed = node.targets()[0];
    fleet.Nodes.erase(self);
    fleet.Nodes.erase(killed);
    for (int i = 0; i != 100; ++i)
      CHECK(fleet.Nodes[remaining]->find("id-" + std::to_string(i)).size() ==
            1);
  }
}

// Guards against memory use that grows with the number of records, and against
// a lookup that does not state that older records were discarded.
TEST_CASE("memory is limited, and reachesBackTo() follows the discarded "
          "copies") {
  RecordReplicationOptions options;
  options.MaxOwnBytes = 20'000;
  options.MaxCopyBytes = 10'000;
  Fleet fleet(3, options);
  RecordReplication &node = *fleet.Nodes[fleet.Peers[0]];
  const RecordPeer target = node.targets()[0];
  RecordReplication &holder = *fleet.Nodes[target];
  const auto start = holder.reachesBackTo();
  for (int i = 0; i != 100; ++i) {
    node.add({"id-" + std::to_string(i), std::string(500, 'x')});
    fleet.run(500ms, 0);
    CHECK(node.ownBytes() <= options.MaxOwnBytes);
    CHECK(holder.copyBytes() <= options.MaxCopyBytes);
  }
  CHECK(node.uncopied() == 0);
  CHECK(holder.reachesBackTo() > start);
  CHECK(holder.find("id-0").empty());
  RecordMessage find;
  find.Type = RecordMessageType::Find;
  find.Query = 7;
  find.Id = "id-99";
  holder.receive(fleet.Peers[0], find);
  fleet.run(50ms, 0);
  REQUIRE(fleet.Found.size() == 1);
  CHECK(fleet.Found[0].Query == 7);
  CHECK(fleet.Found[0].Records.size() == 1);
  CHECK(fleet.Found[0].ReachMs < 50'000);
}

// Guards against a decoder that reads out of bounds, which sanitizers report,
// or that accepts messages of another type.
TEST_CASE(
    "altered record messages are decoded or rejected without reads out of "
    "bounds") {
  std::mt19937_64 random(5);
  RecordMessage message;
  message.Records = {{"id", "bytes"}};
  const std::string bytes = encodeRecordMessage(message);
  for (int round = 0; round != 5000; ++round) {
    std::string altered = bytes.substr(0, random() % (bytes.size() + 1));
    if (!altered.empty())
      altered[random() % altered.size()] = static_cast<char>(random());
    decodeRecordMessage(200, altered);
  }
  CHECK_FALSE(decodeRecordMessage(100, bytes));
  CHECK(decodeRecordMessage(200, bytes)->Records == message.Records);
}
