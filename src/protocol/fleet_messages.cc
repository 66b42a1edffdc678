#include "protocol/fleet_messages.h"

#include "protocol/fleet_fb.h"

#include <algorithm>
#include <cstring>
#include <optional>

// One FlatBuffers root table holds an optional table for each kind of body
// except share messages. Share messages are frequent, and each of their many
// small numbers would take eight bytes in a table, so they are encoded as
// FlexBuffers, which choose the width of numbers. The type number selects the
// body, so an older release is not affected by a table that a newer release
// adds. The verifier checks that all offsets are inside the buffer before any
// field is read; the size limits are checked afterwards.

namespace galenaflow::protocol {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using state::ErrorCode;
using state::makeError;
using state::Result;

using NumberVector = flatbuffers::Vector<std::uint64_t>;

// The verifier checks the alignment of a vector's length field, which is
// smaller than that of 64-bit elements, so the elements are copied as bytes.
std::uint64_t loadNumber(const NumberVector &numbers, std::size_t i) {
  std::uint64_t number = 0;
  std::memcpy(&number, numbers.Data() + i * sizeof(number), sizeof(number));
  return flatbuffers::EndianScalar(number);
}

enum class MessageType : std::uint16_t {
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

/// Appends a typed vector, which FlexBuffers encodes with the smallest width
/// that holds all its numbers.
template <typename Items, typename Field>
void packNumbers(flexbuffers::Builder &builder, const Items &items,
                 Field field) {
  builder.TypedVector([&] {
    for (const auto &item : items)
      builder.UInt(field(item));
  });
}

/// Fields of a share message, in order. A newer release may append fields.
enum ShareField : std::size_t {
  FromVm,
  FromInstance,
  ToVm,
  ToInstance,
  ListVersions,
  NewestList,
  WantsReport,
  RequestResources,
  RequestSequenceBase,
  RequestSequences,
  RequestWanted,
  RequestMaxRetained,
  GrantResources,
  GrantSequenceBase,
  GrantSequences,
  GrantAmounts,
  SpareResources,
  ShareFieldCount
};

/// Returns the smallest sequence number. Sequence numbers are sent relative to
/// it, since those of one message are close together.
template <typename Item>
std::uint64_t minSequence(const std::vector<Item> &items) {
  std::uint64_t result = items.empty() ? 0 : items.front().Sequence;
  for (const Item &item : items)
    result = std::min(result, item.Sequence);
  return result;
}

std::vector<std::uint8_t> packShare(const FleetMessage &message) {
  const auto &share = std::get<ShareExchange>(message.Body);
  const std::uint64_t requestBase = minSequence(share.Requests);
  const std::uint64_t grantBase = minSequence(share.Grants);
  const auto identity = [](std::uint64_t n) { return n; };
  // Large numbers are stored indirectly; stored in place, they would widen
  // every field of the vector.
  flexbuffers::Builder it;
  it.Vector([&] {
    for (const MemberId &id : {message.From, message.To}) {
      it.String(id.Vm);
      it.String(id.Instance);
    }
    packNumbers(it, share.ListVersions, identity);
    it.IndirectUInt(share.NewestList);
    it.Bool(share.WantsReport);
    packNumbers(it, share.Requests, [](const auto &r) { return r.Resource; });
    it.IndirectUInt(requestBase);
    packNumbers(it, share.Requests,
                [&](const auto &r) { return r.Sequence - requestBase; });
    packNumbers(it, share.Requests, [](const auto &r) { return r.Wanted; });
    packNumbers(it, share.Requests,
                [](const auto &r) { return r.MaxRetained; });
    packNumbers(it, share.Grants, [](const auto &g) { return g.Resource; });
    it.IndirectUInt(grantBase);
    packNumbers(it, share.Grants,
                [&](const auto &g) { return g.Sequence - grantBase; });
    packNumbers(it, share.Grants, [](const auto &g) { return g.Amount; });
    packNumbers(it, share.SpareResources, identity);
  });
  it.Finish();
  return it.GetBuffer();
}

/// Reads the fields of a share message. isValid() is false after a field that
/// is malformed or exceeds a limit.
class ShareReader {
public:
  explicit ShareReader(flexbuffers::Vector fields) : Fields(fields) {}

  bool isValid() const { return IsValid; }

  std::string text(ShareField field) {
    const auto text = Fields[field].AsString();
    IsValid = IsValid && Fields[field].IsString() && text.size() <= MaxIdBytes;
    return IsValid ? text.str() : std::string();
  }

  std::uint64_t number(ShareField field) const {
    return Fields[field].AsUInt64();
  }

  /// Reads exactly `size` numbers; without `size`, at most `limit` numbers.
  std::vector<std::uint64_t> numbers(ShareField field, std::size_t limit,
                                     std::optional<std::size_t> size = {}) {
    const auto items = Fields[field].AsTypedVector();
    IsValid =
        IsValid && items.size() <= limit && (!size || items.size() == *size);
    std::vector<std::uint64_t> result(IsValid ? items.size()
                                              : size.value_or(0));
    for (std::size_t i = 0; IsValid && i != result.size(); ++i)
      result[i] = items[i].AsUInt64();
    return result;
  }

private:
  flexbuffers::Vector Fields;
  bool IsValid = true;
};

std::optional<FleetMessage> unpackShare(std::span<const std::uint8_t> packed) {
  // Copy the bytes to aligned memory, because the verifier checks alignment
  // relative to the address of the buffer.
  const std::vector<std::uint8_t> aligned(packed.begin(), packed.end());
  if (aligned.empty() ||
      !flexbuffers::VerifyBuffer(aligned.data(), aligned.size()))
    return std::nullopt;
  const auto root = flexbuffers::GetRoot(aligned);
  if (!root.IsVector() || root.AsVector().size() < ShareFieldCount)
    return std::nullopt;
  ShareReader it(root.AsVector());
  FleetMessage message;
  message.From = {it.text(FromVm), it.text(FromInstance)};
  message.To = {it.text(ToVm), it.text(ToInstance)};
  ShareExchange share;
  share.ListVersions = it.numbers(ListVersions, MaxListVersions);
  share.NewestList = it.number(NewestList);
  share.WantsReport = it.number(WantsReport) != 0;
  const auto resources = it.numbers(RequestResources, MaxShareItems);
  const std::size_t n = resources.size();
  const auto sequences = it.numbers(RequestSequences, MaxShareItems, n);
  const auto wanted = it.numbers(RequestWanted, MaxShareItems, n);
  const auto maxRetained = it.numbers(RequestMaxRetained, MaxShareItems, n);
  const std::uint64_t requestBase = it.number(RequestSequenceBase);
  for (std::size_t i = 0; i != n; ++i)
    share.Requests.push_back(
        {resources[i], requestBase + sequences[i], wanted[i], maxRetained[i]});
  const auto granted = it.numbers(GrantResources, MaxShareItems);
  const auto grantSequences =
      it.numbers(GrantSequences, MaxShareItems, granted.size());
  const auto amounts = it.numbers(GrantAmounts, MaxShareItems, granted.size());
  const std::uint64_t grantBase = it.number(GrantSequenceBase);
  for (std::size_t i = 0; i != granted.size(); ++i)
    share.Grants.push_back(
        {granted[i], grantBase + grantSequences[i], amounts[i]});
  share.SpareResources = it.numbers(SpareResources, MaxShareItems);
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

/// The offsets of one message's body; unset offsets are absent on the wire.
struct BodyOffsets {
  Offset<fleet::Swim> Swim;
  Offset<fleet::ConfigValue> Value;
  Offset<fleet::ConfigVersions> Versions;
};

class BodyPacker {
public:
  explicit BodyPacker(FlatBufferBuilder &builder) : Builder(builder) {}

  BodyOffsets operator()(const SwimPayload &payload) {
    const auto subject = pack(Builder, payload.Subject);
    const auto updates = packAll<fleet::MemberUpdate>(Builder, payload.Updates);
    const auto digest = pack(Builder, payload.Digest);
    BodyOffsets body;
    body.Swim =
        fleet::CreateSwim(Builder, payload.Sequence, subject, updates, digest);
    return body;
  }
  BodyOffsets operator()(const ConfigValue &value) {
    const auto bytes = pack(Builder, value.Value);
    BodyOffsets body;
    body.Value = fleet::CreateConfigValue(
        Builder, static_cast<std::uint8_t>(value.Key), value.Version, bytes);
    return body;
  }
  BodyOffsets operator()(const ConfigPull &pull) {
    return versions(pull.Versions);
  }
  BodyOffsets operator()(const ConfigDigest &digest) {
    return versions(digest.Versions);
  }
  // A share message has its own root table; see packShare().
  BodyOffsets operator()(const ShareExchange &) { return {}; }

private:
  BodyOffsets versions(const ConfigVersionVector &versions) {
    BodyOffsets body;
    body.Versions = fleet::CreateConfigVersions(
        Builder, Builder.CreateVector(versions.data(), versions.size()));
    return body;
  }

  FlatBufferBuilder &Builder;
};

/// Reads fields into plain structs. isValid() is false after a field that is
/// missing or exceeds a limit.
class TableReader {
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

  FleetBody swim(MessageType type, const fleet::Swim *swim) {
    require(swim != nullptr);
    if (!swim)
      return {};
    SwimPayload payload{swim->sequence(), member(swim->subject()),
                        items<MemberUpdate>(swim->updates(), MaxUpdates),
                        bytes(swim->digest(), MaxDigestBytes)};
    if (type == MessageType::Ping)
      return Ping{std::move(payload)};
    if (type == MessageType::PingRequest)
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
      result[i] = loadNumber(versions, i);
    return result;
  }

  FleetBody body(MessageType type, const fleet::Message &message) {
    switch (type) {
    case MessageType::Ping:
    case MessageType::PingRequest:
    case MessageType::PingAck:
      return swim(type, message.swim());
    case MessageType::ConfigValue:
      return value(message.config_value());
    case MessageType::ConfigPull:
      return ConfigPull{versions(message.config_versions())};
    case MessageType::ConfigDigest:
      return ConfigDigest{versions(message.config_versions())};
    case MessageType::ShareExchange:
      break; // has its own root table and is not decoded here
    }
    require(false);
    return {};
  }

private:
  bool IsValid = true;
};

Result<FleetMessage> decodeShare(flatbuffers::Verifier &verifier,
                                 std::span<const std::uint8_t> bytes) {
  const auto malformed = [] {
    return makeError(ErrorCode::InvalidArgument,
                     "share message is malformed or exceeds a limit");
  };
  if (!verifier.VerifyBuffer<fleet::ShareExchange>(nullptr))
    return malformed();
  const auto *packed =
      flatbuffers::GetRoot<fleet::ShareExchange>(bytes.data())->packed();
  if (!packed)
    return malformed();
  auto message = unpackShare({packed->data(), packed->size()});
  if (!message)
    return malformed();
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
  constexpr std::array types{
      MessageType::Ping,         MessageType::PingRequest,
      MessageType::PingAck,      MessageType::ConfigValue,
      MessageType::ConfigPull,   MessageType::ConfigDigest,
      MessageType::ShareExchange};
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
  const BodyOffsets body = std::visit(BodyPacker(builder), message.Body);
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
  if (static_cast<MessageType>(type) == MessageType::ShareExchange)
    return decodeShare(verifier, bytes);
  if (!fleet::VerifyMessageBuffer(verifier))
    return makeError(ErrorCode::InvalidArgument,
                     "fleet message is not a valid FlatBuffer");
  const fleet::Message &table = *fleet::GetMessage(bytes.data());
  TableReader reader;
  FleetMessage message;
  message.From = reader.member(table.from());
  message.To = reader.member(table.to());
  message.Body = reader.body(static_cast<MessageType>(type), table);
  if (!reader.isValid())
    return makeError(ErrorCode::InvalidArgument,
                     "fleet message of type " + std::to_string(type) +
                         " lacks a field or exceeds a limit");
  return message;
}

} // namespace galenaflow::protocol
