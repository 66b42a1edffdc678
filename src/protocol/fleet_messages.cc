#include "protocol/fleet_messages.h"

#include "protocol/fleet_generated.h"

#include <algorithm>
#include <cstring>
#include <optional>

// One FlatBuffers root table holds an optional table for each kind of body but
// share messages, which are frequent and small and have a root of their own.
// The type number selects the body, so a table that a newer release adds does
// not disturb an older one. The verifier proves that all offsets stay inside
// the buffer before any field is read; the size limits are checked after it.

namespace galenaflow::protocol {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using state::ErrorCode;
using state::makeError;
using state::Result;

using NumberVector = flatbuffers::Vector<std::uint64_t>;

// The verifier checks the alignment of a vector's length, which is less than
// that of 64-bit elements, so the elements are copied out as bytes.
std::uint64_t numberAt(const NumberVector &numbers, std::size_t i) {
  std::uint64_t number = 0;
  std::memcpy(&number, numbers.Data() + i * sizeof(number), sizeof(number));
  return flatbuffers::EndianScalar(number);
}

enum class Type : std::uint16_t {
  Ping = 21,
  PingRequest = 22,
  PingAck = 23,
  ConfigValue = 31,
  ConfigPull = 32,
  ConfigDigest = 33,
  ShareExchange = 41,
};

Offset<flatbuffers::Vector<std::uint8_t>> pack(FlatBufferBuilder &builder,
                                               const std::string &bytes) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

Offset<fleet::Member> pack(FlatBufferBuilder &builder, const MemberId &id) {
  const auto vm = builder.CreateSharedString(id.Vm);
  const auto instance = builder.CreateSharedString(id.Instance);
  return fleet::CreateMember(builder, vm, instance);
}

Offset<fleet::MemberUpdate> pack(FlatBufferBuilder &builder,
                                 const MemberUpdate &update) {
  const auto id = pack(builder, update.Id);
  const auto address = builder.CreateSharedString(update.Address);
  const auto dataCentre = builder.CreateSharedString(update.DataCentre);
  return fleet::CreateMemberUpdate(builder, id, address, dataCentre,
                                   static_cast<std::uint8_t>(update.State),
                                   update.Incarnation);
}

/// Little-endian groups of 7 bits; the high bit tells that another one follows.
class VarintWriter {
public:
  void number(std::uint64_t n) {
    for (; n >= 0x80; n >>= 7U)
      Bytes.push_back(static_cast<std::uint8_t>(n | 0x80U));
    Bytes.push_back(static_cast<std::uint8_t>(n));
  }
  void text(const std::string &text) {
    number(text.size());
    Bytes.insert(Bytes.end(), text.begin(), text.end());
  }
  void fixed(std::uint64_t n) {
    for (int i = 0; i != 8; ++i, n >>= 8U)
      Bytes.push_back(static_cast<std::uint8_t>(n));
  }
  /// Numbers of one message are mostly equal, so the difference is one byte.
  void sequence(std::uint64_t n) {
    number(n - Last);
    Last = n;
  }
  const std::vector<std::uint8_t> &bytes() const { return Bytes; }

private:
  std::vector<std::uint8_t> Bytes;
  std::uint64_t Last = 0;
};

class VarintReader {
public:
  explicit VarintReader(std::span<const std::uint8_t> bytes) : Rest(bytes) {}

  bool isValid() const { return IsValid; }
  std::uint64_t number() {
    std::uint64_t n = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      const std::uint64_t b = byte();
      n |= (b & 0x7FU) << shift;
      if (b < 0x80)
        return n;
    }
    IsValid = false;
    return 0;
  }
  std::string text() {
    std::string result(count(std::min(MaxIdBytes, Rest.size())), ' ');
    for (char &c : result)
      c = static_cast<char>(byte());
    return result;
  }
  std::uint64_t fixed() {
    std::uint64_t n = 0;
    for (unsigned i = 0; i != 8; ++i)
      n |= static_cast<std::uint64_t>(byte()) << (8 * i);
    return n;
  }
  std::uint64_t sequence() { return Last += number(); }
  /// Zero, after a count above the limit.
  std::size_t count(std::size_t limit) {
    const std::uint64_t n = number();
    IsValid = IsValid && n <= limit;
    return IsValid ? n : 0;
  }

private:
  std::uint8_t byte() {
    IsValid = IsValid && !Rest.empty();
    if (!IsValid)
      return 0;
    const std::uint8_t result = Rest.front();
    Rest = Rest.subspan(1);
    return result;
  }

  std::span<const std::uint8_t> Rest;
  std::uint64_t Last = 0;
  bool IsValid = true;
};

std::vector<std::uint8_t> packShare(const FleetMessage &message) {
  const auto &share = std::get<ShareExchange>(message.Body);
  VarintWriter it;
  for (const MemberId &id : {message.From, message.To}) {
    it.text(id.Vm);
    it.text(id.Instance);
  }
  it.number(share.ListVersions.size());
  for (const std::uint64_t version : share.ListVersions)
    it.number(version);
  it.number(share.NewestList);
  it.number(share.WantsReport ? 1 : 0);
  it.number(share.Requests.size());
  for (const ShareRequest &request : share.Requests) {
    it.fixed(request.Resource);
    it.sequence(request.Sequence);
    it.number(request.Wanted);
    it.number(request.Keep);
  }
  it.number(share.Grants.size());
  for (const ShareGrant &grant : share.Grants) {
    it.fixed(grant.Resource);
    it.sequence(grant.Sequence);
    it.number(grant.Amount);
  }
  it.number(share.Spare.size());
  for (const std::uint64_t resource : share.Spare)
    it.fixed(resource);
  return it.bytes();
}

/// Bytes behind the known ones are fields of a newer release.
std::optional<FleetMessage> unpackShare(std::span<const std::uint8_t> packed) {
  VarintReader it(packed);
  FleetMessage message;
  for (MemberId *id : {&message.From, &message.To}) {
    id->Vm = it.text();
    id->Instance = it.text();
  }
  ShareExchange share;
  for (std::size_t n = it.count(MaxListVersions); n != 0; --n)
    share.ListVersions.push_back(it.number());
  share.NewestList = it.number();
  share.WantsReport = it.number() != 0;
  for (std::size_t n = it.count(MaxShareItems); n != 0; --n) {
    ShareRequest request;
    request.Resource = it.fixed();
    request.Sequence = it.sequence();
    request.Wanted = it.number();
    request.Keep = it.number();
    share.Requests.push_back(request);
  }
  for (std::size_t n = it.count(MaxShareItems); n != 0; --n) {
    ShareGrant grant;
    grant.Resource = it.fixed();
    grant.Sequence = it.sequence();
    grant.Amount = it.number();
    share.Grants.push_back(grant);
  }
  for (std::size_t n = it.count(MaxShareItems); n != 0; --n)
    share.Spare.push_back(it.fixed());
  if (!it.isValid())
    return std::nullopt;
  message.Body = std::move(share);
  return message;
}

template <typename Table, typename Item>
auto packAll(FlatBufferBuilder &builder, const std::vector<Item> &items) {
  std::vector<Offset<Table>> offsets;
  offsets.reserve(items.size());
  for (const Item &item : items)
    offsets.push_back(pack(builder, item));
  return builder.CreateVector(offsets);
}

/// The offsets of one message's body; unset ones are absent on the wire.
struct Body {
  Offset<fleet::Swim> Swim;
  Offset<fleet::ConfigValue> Value;
  Offset<fleet::ConfigVersions> Versions;
};

class BodyPacker {
public:
  explicit BodyPacker(FlatBufferBuilder &builder) : Builder(builder) {}

  Body operator()(const SwimPayload &payload) {
    const auto subject = pack(Builder, payload.Subject);
    const auto updates = packAll<fleet::MemberUpdate>(Builder, payload.Updates);
    const auto digest = pack(Builder, payload.Digest);
    Body body;
    body.Swim =
        fleet::CreateSwim(Builder, payload.Sequence, subject, updates, digest);
    return body;
  }
  Body operator()(const ConfigValue &value) {
    const auto bytes = pack(Builder, value.Value);
    Body body;
    body.Value = fleet::CreateConfigValue(
        Builder, static_cast<std::uint8_t>(value.Key), value.Version, bytes);
    return body;
  }
  Body operator()(const ConfigPull &pull) { return versions(pull.Versions); }
  Body operator()(const ConfigDigest &digest) {
    return versions(digest.Versions);
  }
  Body operator()(const ShareExchange &) { return {}; } // has its own packing

private:
  Body versions(const ConfigVersionVector &versions) {
    Body body;
    body.Versions = fleet::CreateConfigVersions(
        Builder, Builder.CreateVector(versions.data(), versions.size()));
    return body;
  }

  FlatBufferBuilder &Builder;
};

/// Reads fields into plain structs and remembers whether a limit was broken.
class Reader {
public:
  bool isValid() const { return IsValid; }
  void require(bool condition) { IsValid = IsValid && condition; }

  std::string text(const flatbuffers::String *text) {
    if (!text)
      return {};
    require(text->size() <= MaxIdBytes);
    return IsValid ? text->str() : std::string();
  }

  std::string bytes(const flatbuffers::Vector<std::uint8_t> *bytes,
                    std::size_t limit) {
    if (!bytes)
      return {};
    require(bytes->size() <= limit);
    return IsValid ? std::string(bytes->begin(), bytes->end()) : std::string();
  }

  MemberId member(const fleet::Member *member) {
    require(member != nullptr);
    if (!member)
      return {};
    return {text(member->vm()), text(member->instance())};
  }

  MemberUpdate item(const fleet::MemberUpdate &update) {
    require(update.state() <= static_cast<std::uint8_t>(MemberState::Left));
    return {member(update.id()), text(update.address()),
            text(update.data_centre()),
            static_cast<MemberState>(update.state()), update.incarnation()};
  }

  template <typename Item, typename Table>
  std::vector<Item> items(const flatbuffers::Vector<Offset<Table>> *tables,
                          std::size_t limit) {
    std::vector<Item> result;
    if (!tables)
      return result;
    require(tables->size() <= limit);
    if (!IsValid)
      return result;
    for (const Table *table : *tables)
      result.push_back(item(*table));
    return result;
  }

  FleetBody swim(Type type, const fleet::Swim *swim) {
    require(swim != nullptr);
    if (!swim)
      return {};
    SwimPayload payload{swim->sequence(), member(swim->subject()),
                        items<MemberUpdate>(swim->updates(), MaxUpdates),
                        bytes(swim->digest(), MaxDigestBytes)};
    if (type == Type::Ping)
      return Ping{std::move(payload)};
    if (type == Type::PingRequest)
      return PingRequest{std::move(payload)};
    return PingAck{std::move(payload)};
  }

  FleetBody value(const fleet::ConfigValue *value) {
    require(value && value->key() < ConfigKeyCount);
    if (!IsValid)
      return {};
    return ConfigValue{static_cast<ConfigKey>(value->key()), value->version(),
                       bytes(value->value(), MaxConfigValueBytes)};
  }

  ConfigVersionVector versions(const fleet::ConfigVersions *table) {
    ConfigVersionVector result{};
    require(table != nullptr);
    if (!table || !table->versions())
      return result;
    // A newer release may have more keys; an older one, fewer.
    const NumberVector &versions = *table->versions();
    const std::size_t n = std::min<std::size_t>(versions.size(), result.size());
    for (std::size_t i = 0; i != n; ++i)
      result[i] = numberAt(versions, i);
    return result;
  }

  FleetBody body(Type type, const fleet::Message &message) {
    switch (type) {
    case Type::Ping:
    case Type::PingRequest:
    case Type::PingAck:
      return swim(type, message.swim());
    case Type::ConfigValue:
      return value(message.config_value());
    case Type::ConfigPull:
      return ConfigPull{versions(message.config_versions())};
    case Type::ConfigDigest:
      return ConfigDigest{versions(message.config_versions())};
    case Type::ShareExchange:
      break; // has a root of its own
    }
    require(false);
    return {};
  }

private:
  bool IsValid = true;
};

Result<FleetMessage> decodeShare(flatbuffers::Verifier &verifier,
                                 std::span<const std::uint8_t> bytes) {
  const auto broken = [] {
    return makeError(ErrorCode::InvalidArgument,
                     "share message is broken or exceeds a limit");
  };
  if (!verifier.VerifyBuffer<fleet::ShareExchange>(nullptr))
    return broken();
  const auto *packed =
      flatbuffers::GetRoot<fleet::ShareExchange>(bytes.data())->packed();
  if (!packed)
    return broken();
  auto message = unpackShare({packed->data(), packed->size()});
  if (!message)
    return broken();
  return *std::move(message);
}

} // namespace

std::uint64_t shareResourceId(std::string_view name) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : name)
    hash = (hash ^ static_cast<std::uint8_t>(c)) * 0x100000001b3;
  return hash;
}

std::string_view configKeyName(ConfigKey key) {
  switch (key) {
  case ConfigKey::Customers:
    return "customers";
  case ConfigKey::Plans:
    return "plans";
  case ConfigKey::Services:
    return "services";
  case ConfigKey::Vms:
    return "vms";
  }
  return "customers";
}

std::string_view memberStateName(MemberState state) {
  switch (state) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Left:
    return "left";
  }
  return "dead";
}

std::uint16_t fleetMessageType(const FleetBody &body) {
  constexpr std::array types{Type::Ping,         Type::PingRequest,
                             Type::PingAck,      Type::ConfigValue,
                             Type::ConfigPull,   Type::ConfigDigest,
                             Type::ShareExchange};
  return static_cast<std::uint16_t>(types[body.index()]);
}

std::vector<std::uint8_t> encodeFleetMessage(const FleetMessage &message) {
  FlatBufferBuilder builder;
  if (std::holds_alternative<ShareExchange>(message.Body)) {
    const auto packed = builder.CreateVector(packShare(message));
    const auto share = fleet::CreateShareExchange(builder, packed);
    builder.Finish(share);
    return {builder.GetBufferPointer(),
            builder.GetBufferPointer() + builder.GetSize()};
  }
  const auto from = pack(builder, message.From);
  const auto to = pack(builder, message.To);
  const Body body = std::visit(BodyPacker(builder), message.Body);
  builder.Finish(fleet::CreateMessage(builder, from, to, body.Swim, body.Value,
                                      body.Versions));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

Result<FleetMessage> decodeFleetMessage(std::uint16_t type,
                                        std::span<const std::uint8_t> bytes) {
  if (bytes.size() > MaxFleetMessageBytes)
    return makeError(ErrorCode::InvalidArgument,
                     "fleet message exceeds the size limit");
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (static_cast<Type>(type) == Type::ShareExchange)
    return decodeShare(verifier, bytes);
  if (!fleet::VerifyMessageBuffer(verifier))
    return makeError(ErrorCode::InvalidArgument,
                     "fleet message is not a valid FlatBuffer");
  const fleet::Message &table = *fleet::GetMessage(bytes.data());
  Reader reader;
  FleetMessage message;
  message.From = reader.member(table.from());
  message.To = reader.member(table.to());
  message.Body = reader.body(static_cast<Type>(type), table);
  if (!reader.isValid())
    return makeError(ErrorCode::InvalidArgument,
                     "fleet message of type " + std::to_string(type) +
                         " lacks a field or exceeds a limit");
  return message;
}

} // namespace galenaflow::protocol
