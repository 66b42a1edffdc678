#include "protocol/delegation_messages.h"

#include "protocol/delegation_fb.h"
#include "protocol/flatbuffer_bytes.h"

#include <algorithm>

// Bytes from peers are first checked by the FlatBuffers verifier. Enumerators
// of the receiver's types are checked where the receiver converts them.

namespace galenaflow::protocol {

using state::ErrorCode;
using state::makeError;

namespace {

/// A longer time of a peer is shortened to this.
constexpr state::Duration MaxRetryAfter = std::chrono::hours(1);

using Builder = flatbuffers::FlatBufferBuilder;

using TextList = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

std::vector<std::string> toStrings(const TextList *list) {
  std::vector<std::string> texts;
  if (list != nullptr)
    for (const flatbuffers::String *text : *list)
      texts.push_back(textOf(text));
  return texts;
}

std::string finish(Builder &b,
                   flatbuffers::Offset<fb::DelegationMessage> message) {
  b.Finish(message);
  return bytesOf(b);
}

tl::unexpected<state::Error> malformed() {
  return makeError(ErrorCode::InvalidArgument, "malformed delegation message");
}

} // namespace

std::string encodeDelegatedRequest(const DelegatedRequest &request) {
  Builder b;
  std::vector<flatbuffers::Offset<fb::DelegationHeader>> headers;
  for (const auto &[name, value] : request.Headers) {
    const auto nameAt = b.CreateString(name);
    const auto valueAt = b.CreateString(value);
    headers.push_back(fb::CreateDelegationHeader(b, nameAt, valueAt));
  }
  const auto headerList = b.CreateVector(headers);
  const auto route = b.CreateString(request.Route);
  const auto id = b.CreateString(request.RequestId);
  const auto method = b.CreateString(request.Method);
  const auto path = b.CreateString(request.Path);
  const auto host = b.CreateString(request.Host);
  const auto body = b.CreateString(request.Body);
  fb::DelegationMessageBuilder message(b);
  message.add_sequence(request.Sequence);
  message.add_version(request.RouteVersion);
  message.add_route(route);
  message.add_left_us(request.Remaining.count());
  message.add_return_us(request.ReturnTime.count());
  message.add_request_id(id);
  message.add_method(method);
  message.add_path(path);
  message.add_host(host);
  message.add_headers(headerList);
  message.add_body(body);
  message.add_is_suspect(request.IsSuspect);
  return finish(b, message.Finish());
}

std::string encodeDelegatedReply(const DelegatedReply &reply) {
  Builder b;
  const auto signatures = b.CreateVectorOfStrings(reply.Signatures);
  const auto services = b.CreateVectorOfStrings(reply.MissingServices);
  const auto records = b.CreateString(reply.Records);
  fb::DelegationMessageBuilder message(b);
  message.add_sequence(reply.Sequence);
  message.add_outcome(static_cast<std::uint8_t>(reply.Outcome));
  message.add_elapsed_us(reply.Elapsed.count());
  message.add_signatures(signatures);
  message.add_missing(reply.MissingParts);
  message.add_records(records);
  message.add_fault(reply.Fault);
  message.add_ran(reply.Ran);
  message.add_parts(reply.Parts);
  message.add_parts_answered(reply.PartsAnswered);
  message.add_hedges(reply.Hedges);
  message.add_retries(reply.Retries);
  message.add_rejections(reply.Rejections);
  message.add_missing_services(services);
  message.add_lost(reply.Lost);
  message.add_is_answered(reply.IsAnswered);
  message.add_retry_after_us(reply.RetryAfter.count());
  return finish(b, message.Finish());
}

std::string encodeDelegationCancel(const DelegationCancel &cancel) {
  Builder b;
  fb::DelegationMessageBuilder message(b);
  message.add_sequence(cancel.Sequence);
  return finish(b, message.Finish());
}

state::Result<DelegatedRequest> decodeDelegatedRequest(std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  const auto *in = aligned.verifiedRoot<fb::DelegationMessage>();
  if (in == nullptr)
    return malformed();
  DelegatedRequest request;
  request.Sequence = in->sequence();
  request.RouteVersion = in->version();
  request.Route = textOf(in->route());
  request.Remaining = timeOf(in->left_us());
  request.ReturnTime = timeOf(in->return_us());
  request.RequestId = textOf(in->request_id());
  request.Method = textOf(in->method());
  request.Path = textOf(in->path());
  request.Host = textOf(in->host());
  if (in->headers() != nullptr)
    for (const fb::DelegationHeader *header : *in->headers())
      request.Headers.emplace_back(textOf(header->name()),
                                   textOf(header->value()));
  request.Body = textOf(in->body());
  request.IsSuspect = in->is_suspect();
  return request;
}

state::Result<DelegatedReply> decodeDelegatedReply(std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  const auto *in = aligned.verifiedRoot<fb::DelegationMessage>();
  if (in == nullptr ||
      in->outcome() > static_cast<std::uint8_t>(DelegationOutcome::Pending))
    return malformed();
  DelegatedReply reply;
  reply.Sequence = in->sequence();
  reply.Outcome = static_cast<DelegationOutcome>(in->outcome());
  reply.Elapsed = timeOf(in->elapsed_us());
  reply.Signatures = toStrings(in->signatures());
  reply.MissingParts = in->missing();
  reply.Records = textOf(in->records());
  reply.Fault = in->fault();
  reply.Ran = in->ran();
  reply.Parts = in->parts();
  reply.PartsAnswered = in->parts_answered();
  reply.Hedges = in->hedges();
  reply.Retries = in->retries();
  reply.Rejections = in->rejections();
  reply.MissingServices = toStrings(in->missing_services());
  reply.Lost = in->lost();
  reply.IsAnswered = in->is_answered();
  reply.RetryAfter = std::clamp(state::Duration(in->retry_after_us()),
                                state::Duration(0), MaxRetryAfter);
  return reply;
}

state::Result<DelegationCancel> decodeDelegationCancel(std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  const auto *in = aligned.verifiedRoot<fb::DelegationMessage>();
  if (in == nullptr)
    return malformed();
  return DelegationCancel{in->sequence()};
}

} // namespace galenaflow::protocol
