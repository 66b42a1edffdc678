#include "protocol/fleet_messages.h"

#include "protocol/fleet_generated.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <rapidcheck.h>

using namespace galenaflow::protocol;

namespace {

MemberId arbitraryMember() { return {*rc::gen::arbitrary<std::string>(), "1"}; }

template <typename Message> Message arbitrarySwim() {
  Message it;
  it.Sequence = *rc::gen::arbitrary<std::uint64_t>();
  it.Subject = arbitraryMember();
  it.Digest = *rc::gen::arbitrary<std::string>();
  it.Updates.push_back(
      {arbitraryMember(), "127.0.0.1:1", "dc",
       *rc::gen::element(MemberState::Suspect, MemberState::Left),
       *rc::gen::arbitrary<std::uint64_t>()});
  return it;
}

FleetBody arbitraryBody() {
  const auto number = *rc::gen::arbitrary<std::uint64_t>();
  const auto text = *rc::gen::arbitrary<std::string>();
  switch (*rc::gen::inRange(0, 7)) {
  case 0:
    return arbitrarySwim<Ping>();
  case 1:
    return arbitrarySwim<PingRequest>();
  case 2:
    return arbitrarySwim<PingAck>();
  case 3:
    return ConfigValue{ConfigKey::Services, number, text};
  case 4:
    return ConfigPull{{number, 2, 3, 4}};
  case 5:
    return ConfigDigest{{1, number, 3, 4}};
  default:
    return ShareExchange{{number, 7},
                         number,
                         true,
                         {{number, number, 2, 3}, {7, 1, number, 4}},
                         {{7, 1, number}},
                         {number}};
  }
}

} // namespace

TEST_CASE("a message is unchanged after encoding and decoding") {
  CHECK(rc::check([] {
    const FleetMessage message{arbitraryMember(), arbitraryMember(),
                               arbitraryBody()};
    RC_PRE(message.From.Vm.size() <= MaxIdBytes);
    const auto bytes = encodeFleetMessage(message);
    const auto decoded =
        decodeFleetMessage(fleetMessageType(message.Body), bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == message);
  }));
}

TEST_CASE("corrupt bytes result in an error or a valid message") {
  CHECK(rc::check([] {
    const FleetMessage message{arbitraryMember(), arbitraryMember(),
                               arbitraryBody()};
    const std::uint16_t type = fleetMessageType(message.Body);
    const auto encoded = encodeFleetMessage(message);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i != 100; ++i) {
      auto bytes = encoded;
      for (std::uint64_t n = random() % 4; n != 0; --n)
        bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
      bytes.resize(random() % 2 == 0 ? bytes.size() : random() % bytes.size());
      // An exact allocation lets a sanitizer see any read past the end.
      const auto copy = std::make_unique<std::uint8_t[]>(bytes.size());
      std::copy(bytes.begin(), bytes.end(), copy.get());
      const auto decoded = decodeFleetMessage(
          random() % 8 == 0 ? static_cast<std::uint16_t>(random()) : type,
          {copy.get(), bytes.size()});
      if (decoded)
        encodeFleetMessage(*decoded);
    }
  }));
}

TEST_CASE("messages above the limits are rejected") {
  const MemberId id{"vm-1", "1"};
  Ping ping;
  ping.Updates.resize(MaxUpdates + 1);
  CHECK_FALSE(decodeFleetMessage(fleetMessageType(ping),
                                 encodeFleetMessage({id, id, ping})));
  ping.Updates.clear();
  ping.Digest.resize(MaxDigestBytes + 1);
  CHECK_FALSE(decodeFleetMessage(fleetMessageType(ping),
                                 encodeFleetMessage({id, id, ping})));
  const MemberId longId{std::string(MaxIdBytes + 1, 'x'), "1"};
  CHECK_FALSE(decodeFleetMessage(fleetMessageType(Ping{}),
                                 encodeFleetMessage({longId, id, Ping{}})));
  ConfigValue value{ConfigKey::Plans, 1, std::string(MaxConfigValueBytes, 'x')};
  CHECK(decodeFleetMessage(fleetMessageType(value),
                           encodeFleetMessage({id, id, value})));
  value.Value += 'x';
  CHECK_FALSE(decodeFleetMessage(fleetMessageType(value),
                                 encodeFleetMessage({id, id, value})));
}

TEST_CASE("fields of a newer release are ignored") {
  // The table of a newer release has the known fields, followed by another one.
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString("vm-1");
  const auto id = fleet::CreateMember(builder, text, text);
  const std::vector<std::uint64_t> numbers{1, 2, 3, 4, 5};
  const auto versions =
      fleet::CreateConfigVersions(builder, builder.CreateVector(numbers));
  const auto added = builder.CreateString("added");
  const auto start = builder.StartTable();
  builder.AddOffset(fleet::Message::VT_FROM, id);
  builder.AddOffset(fleet::Message::VT_TO, id);
  builder.AddOffset(fleet::Message::VT_CONFIG_VERSIONS, versions);
  builder.AddOffset<flatbuffers::String>(fleet::Message::VT_CONFIG_VERSIONS + 2,
                                         added);
  builder.Finish(flatbuffers::Offset<fleet::Message>(builder.EndTable(start)));
  const auto decoded =
      decodeFleetMessage(fleetMessageType(ConfigPull{}),
                         {builder.GetBufferPointer(), builder.GetSize()});
  REQUIRE(decoded);
  CHECK(std::get<ConfigPull>(decoded->Body).Versions ==
        ConfigVersionVector{1, 2, 3, 4});
}
