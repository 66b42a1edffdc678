#include "protocol/directory_messages.h"

#include "protocol/directory_fb.h"

// Bytes from peers are checked by the FlatBuffers verifier first and against
// the limits afterwards.

namespace galenaflow::protocol {

using state::ErrorCode;
using state::makeError;

namespace {

std::string textOf(const flatbuffers::String *text) {
  return text == nullptr ? std::string() : text->str();
}

std::string finish(flatbuffers::FlatBufferBuilder &b,
                   flatbuffers::Offset<fb::DirectoryMessage> message) {
  b.Finish(message);
  return {reinterpret_cast<const char *>(b.GetBufferPointer()), b.GetSize()};
}

/// A verified message with its aligned copy: FlatBuffers reads numbers in
/// place, which needs aligned memory.
struct Verified {
  std::vector<std::uint64_t> Aligned;
  const fb::DirectoryMessage *Message = nullptr;
};

state::Result<Verified> verify(std::string_view bytes) {
  Verified verified;
  verified.Aligned.resize(bytes.size() / sizeof(std::uint64_t) + 1);
  bytes.copy(reinterpret_cast<char *>(verified.Aligned.data()), bytes.size());
  const auto *data =
      reinterpret_cast<const std::uint8_t *>(verified.Aligned.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!fb::VerifyDirectoryMessageBuffer(verifier))
    return makeError(ErrorCode::InvalidArgument, "malformed directory message");
  verified.Message = fb::GetDirectoryMessage(data);
  return verified;
}

state::DirectoryChange unpack(const fb::DirectoryReplica &in) {
  state::DirectoryChange change;
  change.Id = textOf(in.id());
  change.Removed = in.removed();
  change.Record.Id = change.Id;
  change.Record.Service = textOf(in.service());
  change.Record.Address = textOf(in.address());
  change.Record.DataCentre = textOf(in.data_centre());
  change.Record.Slots = std::max(1U, in.slots());
  change.Record.Draining = in.draining();
  change.Record.ColdLeft = state::Duration(in.cold_left_us());
  change.Record.Incarnation = in.incarnation();
  return change;
}

} // namespace

std::string encodeDirectoryRequest(const DirectoryRequest &request) {
  flatbuffers::FlatBufferBuilder b;
  fb::DirectoryMessageBuilder message(b);
  message.add_sequence(request.Sequence);
  message.add_log(request.Log);
  message.add_index(request.Index);
  message.add_version(request.RouteVersion);
  message.add_daemons(request.Daemons);
  return finish(b, message.Finish());
}

std::string encodeDirectoryReply(const DirectoryReply &reply) {
  flatbuffers::FlatBufferBuilder b;
  std::vector<flatbuffers::Offset<fb::DirectoryReplica>> replicas;
  for (const state::DirectoryChange &change : reply.Changes) {
    const state::ReplicaRecord &it = change.Record;
    const auto id = b.CreateString(change.Id);
    const auto service = b.CreateSharedString(it.Service);
    const auto address = b.CreateString(it.Address);
    const auto dataCentre = b.CreateSharedString(it.DataCentre);
    replicas.push_back(fb::CreateDirectoryReplica(
        b, id, service, address, dataCentre, it.Slots, it.Draining,
        it.ColdLeft.count(), it.Incarnation, change.Removed));
  }
  const auto list = b.CreateVector(replicas);
  const auto routes = b.CreateString(reply.Routes);
  fb::DirectoryMessageBuilder message(b);
  message.add_sequence(reply.Sequence);
  message.add_has_content(reply.HasContent);
  message.add_log(reply.Log);
  message.add_index(reply.Index);
  message.add_revision(reply.Revision);
  message.add_age_us(reply.Age.count());
  message.add_daemons(reply.Daemons);
  message.add_is_full(reply.IsFull);
  message.add_replicas(list);
  message.add_routes(routes);
  return finish(b, message.Finish());
}

state::Result<DirectoryRequest> decodeDirectoryRequest(std::string_view bytes) {
  const auto verified = verify(bytes);
  if (!verified)
    return tl::unexpected(verified.error());
  const fb::DirectoryMessage &in = *verified->Message;
  return DirectoryRequest{in.sequence(), in.log(), in.index(), in.version(),
                          in.daemons()};
}

state::Result<DirectoryReply> decodeDirectoryReply(std::string_view bytes) {
  const auto verified = verify(bytes);
  if (!verified)
    return tl::unexpected(verified.error());
  const fb::DirectoryMessage &in = *verified->Message;
  DirectoryReply reply;
  reply.Sequence = in.sequence();
  reply.HasContent = in.has_content();
  reply.Log = in.log();
  reply.Index = in.index();
  reply.Revision = in.revision();
  reply.Age = state::Duration(in.age_us());
  reply.Daemons = in.daemons();
  reply.IsFull = in.is_full();
  reply.Routes = textOf(in.routes());
  if (in.replicas() == nullptr)
    return reply;
  if (in.replicas()->size() > MaxDirectoryChanges)
    return makeError(ErrorCode::InvalidArgument, "too many changes");
  for (const fb::DirectoryReplica *replica : *in.replicas())
    reply.Changes.push_back(unpack(*replica));
  return reply;
}

} // namespace galenaflow::protocol
