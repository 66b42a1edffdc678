#include "protocol/writes_messages.h"

#include "protocol/flatbuffer_bytes.h"
#include "protocol/writes_fb.h"

// All messages use one table, of which each type sets some fields; absent
// fields take no bytes. Bytes from peers are first checked by the FlatBuffers
// verifier and then against the limits.

namespace galenaflow::protocol {

using state::ErrorCode;
using state::makeError;

namespace {

constexpr std::size_t UuidTextSize = 36;
constexpr std::string_view HexDigits = "0123456789abcdef";

bool isDash(std::size_t i) { return i == 8 || i == 13 || i == 18 || i == 23; }

int hexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

using Builder = flatbuffers::FlatBufferBuilder;
template <typename T> using Offset = flatbuffers::Offset<T>;
template <typename T>
using Vector = flatbuffers::Vector<flatbuffers::Offset<T>>;

Offset<fb::Member> pack(Builder &b, const WriteMember &m) {
  return fb::CreateMember(b, b.CreateString(m.VmId),
                          b.CreateString(m.Instance));
}

WriteMember unpack(const fb::Member *m) {
  if (m == nullptr)
    return {};
  return {textOf(m->vm_id()), textOf(m->instance())};
}

Offset<fb::Holder> pack(Builder &b, const WriteHolder &h) {
  const auto coordinator = pack(b, h.Coordinator);
  return fb::CreateHolder(b, coordinator, h.Attempt,
                          b.CreateString(h.BodyHash));
}

std::optional<WriteHolder> unpack(const fb::Holder *h) {
  if (h == nullptr)
    return std::nullopt;
  return WriteHolder{unpack(h->coordinator()), h->attempt(),
                     textOf(h->body_hash())};
}

Offset<fb::Knowledge> pack(Builder &b, const WriteKnowledge &k) {
  std::vector<Offset<fb::MemberList>> lists;
  for (const WriteMemberList &list : k.Lists) {
    std::vector<Offset<fb::Member>> members;
    for (const WriteMember &m : list.Members)
      members.push_back(pack(b, m));
    lists.push_back(
        fb::CreateMemberList(b, list.Version, b.CreateVector(members)));
  }
  return fb::CreateKnowledge(b, k.Complete, b.CreateVector(lists));
}

bool unpack(const fb::Knowledge *k, WriteKnowledge &out) {
  if (k == nullptr)
    return true;
  out.Complete = k->complete();
  if (k->lists() == nullptr)
    return true;
  if (k->lists()->size() > MaxWriteLists)
    return false;
  for (const fb::MemberList *list : *k->lists()) {
    WriteMemberList &target = out.Lists.emplace_back();
    target.Version = list->version();
    if (list->members() == nullptr)
      continue;
    if (list->members()->size() > MaxWriteListMembers)
      return false;
    for (const fb::Member *m : *list->members())
      target.Members.push_back(unpack(m));
  }
  return true;
}

Offset<Vector<fb::RetiredVote>> pack(Builder &b,
                                     const std::vector<RetiredVote> &votes) {
  std::vector<Offset<fb::RetiredVote>> items;
  for (const RetiredVote &vote : votes) {
    const auto member = pack(b, vote.Member);
    const auto holder =
        vote.Holder ? pack(b, *vote.Holder) : Offset<fb::Holder>();
    items.push_back(fb::CreateRetiredVote(b, member, holder));
  }
  return b.CreateVector(items);
}

Offset<Vector<fb::Grant>> pack(Builder &b,
                               const std::vector<WriteGrant> &grants) {
  std::vector<Offset<fb::Grant>> items;
  for (const WriteGrant &grant : grants) {
    const auto holder = pack(b, grant.Holder);
    const fb::Key key(grant.Key.Hi, grant.Key.Lo);
    items.push_back(fb::CreateGrant(b, &key, holder));
  }
  return b.CreateVector(items);
}

bool unpackLists(const fb::WriteMessage &in, WriteMessage &out) {
  if (in.retired() != nullptr) {
    if (in.retired()->size() > MaxWriteListMembers)
      return false;
    for (const fb::RetiredVote *vote : *in.retired())
      out.Retired.push_back({unpack(vote->member()), unpack(vote->holder())});
  }
  if (in.grants() != nullptr) {
    if (in.grants()->size() > MaxGrantsPerHandover)
      return false;
    for (const fb::Grant *grant : *in.grants()) {
      if (grant->key() == nullptr || grant->holder() == nullptr)
        return false;
      out.Grants.push_back(
          {{grant->key()->hi(), grant->key()->lo()}, *unpack(grant->holder())});
    }
  }
  return unpack(in.knowledge(), out.Knowledge);
}

} // namespace

state::Result<WriteKey> parseWriteKey(std::string_view text) {
  const auto malformed = [] {
    return makeError(ErrorCode::InvalidArgument,
                     "expected a UUID of version 7");
  };
  if (text.size() != UuidTextSize || text[14] != '7')
    return malformed();
  WriteKey key;
  for (std::size_t i = 0; i != text.size(); ++i) {
    if (isDash(i)) {
      if (text[i] != '-')
        return malformed();
      continue;
    }
    const int digit = hexValue(text[i]);
    if (digit < 0)
      return malformed();
    key.Hi = (key.Hi << 4) | (key.Lo >> 60);
    key.Lo = (key.Lo << 4) | static_cast<std::uint64_t>(digit);
  }
  if ((key.Lo >> 62) != 2)
    return malformed();
  return key;
}

std::string writeKeyText(const WriteKey &key) {
  std::string text;
  int shift = 124;
  for (std::size_t i = 0; i != UuidTextSize; ++i) {
    if (isDash(i)) {
      text += '-';
      continue;
    }
    const std::uint64_t half = shift >= 64 ? key.Hi : key.Lo;
    text += HexDigits[(half >> (shift % 64)) & 0xf];
    shift -= 4;
  }
  return text;
}

WriteKey makeWriteKey(state::WallMillis at, std::uint64_t random1,
                      std::uint64_t random2) {
  const auto stamp = static_cast<std::uint64_t>(at.count());
  return {(stamp << 16) | 0x7000U | (random1 & 0xfffU),
          (std::uint64_t{2} << 62) | (random2 >> 2)};
}

bool isWriteMessageType(std::uint16_t type) {
  return type >= static_cast<std::uint16_t>(WriteMessageType::GrantRequest) &&
         type <= static_cast<std::uint16_t>(WriteMessageType::HandoverAck);
}

std::string encodeWriteMessage(const WriteMessage &m) {
  Builder b;
  const auto hash = b.CreateString(m.BodyHash);
  const auto holder = m.Holder ? pack(b, *m.Holder) : Offset<fb::Holder>();
  const auto retired = pack(b, m.Retired);
  const auto knowledge = pack(b, m.Knowledge);
  const auto result = b.CreateString(m.Result);
  const auto member = pack(b, m.Member);
  const auto grants = pack(b, m.Grants);
  const fb::Key key(m.Key.Hi, m.Key.Lo);
  b.Finish(fb::CreateWriteMessage(
      b, &key, m.Attempt, hash, static_cast<std::uint8_t>(m.Verdict), holder,
      retired, knowledge, static_cast<std::uint8_t>(m.State), m.Status, result,
      member, m.Part, m.Parts, grants));
  return bytesOf(b);
}

state::Result<WriteMessage> decodeWriteMessage(std::uint16_t type,
                                               std::string_view bytes) {
  const auto malformed = [] {
    return makeError(ErrorCode::InvalidArgument, "malformed write message");
  };
  const AlignedBytes aligned(bytes);
  const auto *root = aligned.verifiedRoot<fb::WriteMessage>();
  if (!isWriteMessageType(type) || root == nullptr)
    return malformed();
  const fb::WriteMessage &in = *root;
  if (in.key() == nullptr || in.member() == nullptr ||
      in.verdict() > static_cast<std::uint8_t>(WriteVerdict::Full) ||
      in.state() > static_cast<std::uint8_t>(WriteState::NotHeld))
    return malformed();
  // Only a success completes a write.
  if (in.state() == static_cast<std::uint8_t>(WriteState::Completed) &&
      (in.status() < 200 || in.status() > 299))
    return malformed();
  WriteMessage out;
  out.Type = static_cast<WriteMessageType>(type);
  out.Key = {in.key()->hi(), in.key()->lo()};
  out.Attempt = in.attempt();
  out.BodyHash = textOf(in.body_hash());
  out.Verdict = static_cast<WriteVerdict>(in.verdict());
  out.Holder = unpack(in.holder());
  out.State = static_cast<WriteState>(in.state());
  out.Status = in.status();
  out.Result = textOf(in.result());
  out.Member = unpack(in.member());
  out.Part = in.part();
  out.Parts = in.parts();
  if (out.Result.size() > MaxWriteResultBytes || !unpackLists(in, out))
    return malformed();
  return out;
}

} // namespace galenaflow::protocol
