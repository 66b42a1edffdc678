#include "protocol/fleet_messages.h"

#include "protocol/fleet_generated.h"

#include <algorithm>
#include <cstring>

// One FlatBuffers root table holds an optional table for each kind of body.
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

Offset<fleet::ShareRequest> pack(FlatBufferBuilder &builder,
                                 const ShareRequest &request) {
  const auto resource = builder.CreateSharedString(request.Resource);
  return fleet::CreateShareRequest(builder, resource, request.Sequence,
                                   request.Wanted, request.Keep);
}

Offset<fleet::ShareGrant> pack(FlatBufferBuilder &builder,
                               const ShareGrant &grant) {
  const auto resource = builder.CreateSharedString(grant.Resource);
  return fleet::CreateShareGrant(builder, resource, grant.Sequence,
                                 grant.Amount);
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
  Offset<fleet::ShareExchange> Share;
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
  Body operator()(const ShareExchange &share) {
    const auto lists = Builder.CreateVector(share.ListVersions);
    const auto requests = packAll<fleet::ShareRequest>(Builder, share.Requests);
    const auto grants = packAll<fleet::ShareGrant>(Builder, share.Grants);
    Body body;
    body.Share = fleet::CreateShareExchange(Builder, lists, share.NewestList,
                                            requests, grants);
    return body;
  }

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
  ShareRequest item(const fleet::ShareRequest &request) {
    return {text(request.resource()), request.sequence(), request.wanted(),
            request.keep()};
  }
  ShareGrant item(const fleet::ShareGrant &grant) {
    return {text(grant.resource()), grant.sequence(), grant.amount()};
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

  FleetBody share(const fleet::ShareExchange *share) {
    require(share != nullptr);
    if (!share)
      return {};
    ShareExchange result;
    if (const auto *lists = share->list_versions()) {
      require(lists->size() <= MaxListVersions);
      for (std::size_t i = 0; IsValid && i != lists->size(); ++i)
        result.ListVersions.push_back(numberAt(*lists, i));
    }
    result.NewestList = share->newest_list();
    result.Requests = items<ShareRequest>(share->requests(), MaxShareItems);
    result.Grants = items<ShareGrant>(share->grants(), MaxShareItems);
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
      return share(message.share());
    }
    require(false);
    return {};
  }

private:
  bool IsValid = true;
};

} // namespace

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
  const auto from = pack(builder, message.From);
  const auto to = pack(builder, message.To);
  const Body body = std::visit(BodyPacker(builder), message.Body);
  builder.Finish(fleet::CreateMessage(builder, from, to, body.Swim, body.Value,
                                      body.Versions, body.Share));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

Result<FleetMessage> decodeFleetMessage(std::uint16_t type,
                                        std::span<const std::uint8_t> bytes) {
  if (bytes.size() > MaxFleetMessageBytes)
    return makeError(ErrorCode::InvalidArgument,
                     "fleet message exceeds the size limit");
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
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
