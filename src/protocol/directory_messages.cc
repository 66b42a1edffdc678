#include "protocol/directory_messages.h"

#include "protocol/directory_fb.h"
#include "protocol/flatbuffer_bytes.h"

#include <algorithm>
#include <cmath>

// Bytes from peers are first checked by the FlatBuffers verifier and then
// against the limits.

namespace galenaflow::protocol {

using state::ErrorCode;
using state::makeError;

namespace {

/// CPU of the largest VM, in thousandths of a core. A multiple of a greater one
/// would overflow.
constexpr std::uint32_t MaxMillicores = 1'024'000;

std::string finish(flatbuffers::FlatBufferBuilder &b,
                   flatbuffers::Offset<fb::DirectoryMessage> message) {
  b.Finish(message);
  return bytesOf(b);
}

tl::unexpected<state::Error> malformed() {
  return makeError(ErrorCode::InvalidArgument, "malformed directory message");
}

using DaemonList =
    flatbuffers::Vector<flatbuffers::Offset<fb::DirectoryDaemon>>;

flatbuffers::Offset<DaemonList>
pack(flatbuffers::FlatBufferBuilder &b,
     const std::vector<state::DaemonCapacity> &daemons) {
  std::vector<flatbuffers::Offset<fb::DirectoryDaemon>> list;
  for (const state::DaemonCapacity &daemon : daemons) {
    const auto address = b.CreateString(daemon.Address);
    const auto dataCentre = b.CreateSharedString(daemon.DataCentre);
    list.push_back(
        fb::CreateDirectoryDaemon(b, address, dataCentre, daemon.Millicores));
  }
  return b.CreateVector(list);
}

std::vector<state::DaemonCapacity> unpack(const DaemonList *list) {
  std::vector<state::DaemonCapacity> daemons;
  if (list == nullptr)
    return daemons;
  for (const fb::DirectoryDaemon *daemon : *list) {
    if (daemons.size() == MaxListedDaemons)
      break;
    daemons.push_back({textOf(daemon->address()), textOf(daemon->data_centre()),
                       std::min(daemon->millicores(), MaxMillicores)});
  }
  return daemons;
}

using NameList = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

/// Nothing when the list has no valid form. A part of it must not be used,
/// since a data centre that is missing is no longer evacuated.
std::optional<state::EvacuatedDataCentres>
unpackEvacuations(const NameList &list) {
  if (list.size() > state::MaxEvacuatedDataCentres)
    return std::nullopt;
  state::EvacuatedDataCentres names;
  for (const flatbuffers::String *name : list) {
    if (name->size() == 0 || name->size() > state::MaxDataCentreNameBytes)
      return std::nullopt;
    names.insert(textOf(name));
  }
  return names;
}

using LimitList = flatbuffers::Vector<flatbuffers::Offset<fb::DirectoryLimit>>;

flatbuffers::Offset<LimitList>
pack(flatbuffers::FlatBufferBuilder &b,
     const std::vector<state::RequestLimit> &limits) {
  std::vector<flatbuffers::Offset<fb::DirectoryLimit>> list;
  for (const state::RequestLimit &limit : limits) {
    if (list.size() == MaxListedLimits)
      break;
    const auto replica = b.CreateString(limit.Replica);
    list.push_back(fb::CreateDirectoryLimit(b, replica, limit.PerSecond,
                                            limit.Age.count()));
  }
  return b.CreateVector(list);
}

std::vector<state::RequestLimit> unpack(const LimitList *list) {
  std::vector<state::RequestLimit> limits;
  if (list == nullptr)
    return limits;
  for (const fb::DirectoryLimit *limit : *list) {
    if (limits.size() == MaxListedLimits)
      break;
    const double perSecond = limit->per_second();
    if (std::isfinite(perSecond) && perSecond >= 0 && limit->age_us() >= 0)
      limits.push_back({textOf(limit->replica()),
                        std::min(perSecond, state::MaxRequestLimit),
                        timeOf(limit->age_us())});
  }
  return limits;
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
  change.Record.ColdRemaining = timeOf(in.cold_left_us());
  change.Record.Incarnation = in.incarnation();
  return change;
}

} // namespace

std::string encodeDirectoryRequest(const DirectoryRequest &request) {
  flatbuffers::FlatBufferBuilder b;
  const auto strongest = pack(b, request.Fleet.Strongest);
  const std::span<const std::uint32_t> values = request.Fleet.Daemons.values();
  const auto members = b.CreateVector(values.data(), values.size());
  const auto limits = pack(b, request.Limits);
  fb::DirectoryMessageBuilder message(b);
  message.add_sequence(request.Sequence);
  message.add_log(request.Log);
  message.add_index(request.Index);
  message.add_version(request.RouteVersion);
  message.add_members(members);
  message.add_weakest_millicores(request.Fleet.WeakestMillicores);
  message.add_strongest(strongest);
  message.add_limits_version(request.LimitsVersion);
  message.add_limits(limits);
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
        it.ColdRemaining.count(), it.Incarnation, change.Removed));
  }
  const auto list = b.CreateVector(replicas);
  const auto routes = b.CreateString(reply.Routes);
  const auto path = b.CreateVectorOfStrings(reply.Path);
  const auto executors = pack(b, reply.Executors);
  const auto limits = pack(b, reply.Limits);
  flatbuffers::Offset<NameList> evacuations;
  if (reply.Evacuations)
    evacuations = b.CreateVectorOfStrings(std::vector<std::string>(
        reply.Evacuations->begin(), reply.Evacuations->end()));
  fb::DirectoryMessageBuilder message(b);
  message.add_sequence(reply.Sequence);
  message.add_has_content(reply.HasContent);
  message.add_log(reply.Log);
  message.add_index(reply.Index);
  message.add_epoch(reply.Position.Epoch);
  message.add_revision(reply.Position.Revision);
  message.add_version(reply.RouteVersion);
  message.add_age_us(reply.Age.count());
  message.add_daemons(reply.Daemons);
  message.add_is_full(reply.IsFull);
  message.add_replicas(list);
  message.add_routes(routes);
  message.add_wants_routes(reply.WantsRoutes);
  message.add_path(path);
  message.add_strongest(executors);
  message.add_limits_version(reply.LimitsVersion);
  message.add_limits(limits);
  if (reply.Evacuations)
    message.add_evacuations(evacuations);
  return finish(b, message.Finish());
}

std::string encodeDirectoryRoutes(const DirectoryRoutes &routes) {
  flatbuffers::FlatBufferBuilder b;
  const auto document = b.CreateString(routes.Routes);
  fb::DirectoryMessageBuilder message(b);
  message.add_routes(document);
  return finish(b, message.Finish());
}

state::Result<DirectoryRequest> decodeDirectoryRequest(std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  const auto *in = aligned.verifiedRoot<fb::DirectoryMessage>();
  if (in == nullptr)
    return malformed();
  DirectoryRequest request;
  request.Sequence = in->sequence();
  request.Log = in->log();
  request.Index = in->index();
  request.RouteVersion = in->version();
  if (in->members() != nullptr) {
    if (in->members()->size() > state::DistinctCount::MaxValues)
      return malformed();
    request.Fleet.Daemons = state::DistinctCount::fromValues(
        {in->members()->begin(), in->members()->end()});
  }
  request.Fleet.WeakestMillicores =
      std::min(in->weakest_millicores(), MaxMillicores);
  request.Fleet.Strongest = unpack(in->strongest());
  request.LimitsVersion = in->limits_version();
  request.Limits = unpack(in->limits());
  return request;
}

state::Result<DirectoryReply> decodeDirectoryReply(std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  const auto *in = aligned.verifiedRoot<fb::DirectoryMessage>();
  // A view from the future would count as current for as long.
  if (in == nullptr || in->age_us() < 0)
    return malformed();
  DirectoryReply reply;
  reply.Sequence = in->sequence();
  reply.Log = in->log();
  reply.Index = in->index();
  reply.Position = {in->epoch(), in->revision()};
  reply.Age = timeOf(in->age_us());
  reply.Daemons = in->daemons();
  reply.Executors = unpack(in->strongest());
  reply.HasContent = in->has_content();
  reply.IsFull = in->is_full();
  reply.RouteVersion = in->version();
  reply.Routes = textOf(in->routes());
  reply.WantsRoutes = in->wants_routes();
  if (in->path() != nullptr) {
    if (in->path()->size() > MaxDirectoryPath)
      return makeError(ErrorCode::InvalidArgument,
                       "directory reply came through too many daemons");
    for (const flatbuffers::String *address : *in->path())
      reply.Path.push_back(textOf(address));
  }
  reply.LimitsVersion = in->limits_version();
  reply.Limits = unpack(in->limits());
  if (in->evacuations() != nullptr) {
    reply.Evacuations = unpackEvacuations(*in->evacuations());
    if (!reply.Evacuations)
      return makeError(ErrorCode::InvalidArgument,
                       "directory reply has no valid list of evacuations");
  }
  if (in->replicas() == nullptr)
    return reply;
  if (in->replicas()->size() > MaxDirectoryChanges)
    return makeError(ErrorCode::InvalidArgument,
                     "directory reply exceeds the limit on changes");
  for (const fb::DirectoryReplica *replica : *in->replicas())
    reply.Changes.push_back(unpack(*replica));
  return reply;
}

state::Result<DirectoryRoutes> decodeDirectoryRoutes(std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  const auto *in = aligned.verifiedRoot<fb::DirectoryMessage>();
  if (in == nullptr)
    return malformed();
  return DirectoryRoutes{textOf(in->routes())};
}

} // namespace galenaflow::protocol
