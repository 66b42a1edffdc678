#include "protocol/quarantine_messages.h"

#include "protocol/flatbuffer_bytes.h"
#include "protocol/quarantine_fb.h"

#include <algorithm>

namespace galenaflow::protocol {

using state::RequestEvidence;

std::string encodeEvidence(std::span<const RequestEvidence> evidence) {
  flatbuffers::FlatBufferBuilder b;
  std::vector<flatbuffers::Offset<fb::QuarantineEvidence>> list;
  for (const RequestEvidence &it :
       evidence.first(std::min(evidence.size(), MaxListedEvidence)))
    list.push_back(fb::CreateQuarantineEvidence(
        b, it.Request.High, it.Request.Low, it.Execution, it.Lost,
        it.Age.count(), it.StartAge.count()));
  const auto vector = b.CreateVector(list);
  b.Finish(fb::CreateQuarantineMessage(b, vector));
  return bytesOf(b);
}

state::Result<std::vector<RequestEvidence>>
decodeEvidence(std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  const auto *in = aligned.verifiedRoot<fb::QuarantineMessage>();
  if (in == nullptr)
    return state::makeError(state::ErrorCode::InvalidArgument,
                            "malformed evidence message");
  std::vector<RequestEvidence> evidence;
  if (in->evidence() == nullptr)
    return evidence;
  if (in->evidence()->size() > MaxListedEvidence)
    return state::makeError(state::ErrorCode::InvalidArgument,
                            "got " + std::to_string(in->evidence()->size()) +
                                " entries of evidence, expected at most " +
                                std::to_string(MaxListedEvidence));
  for (const fb::QuarantineEvidence *it : *in->evidence())
    if (it->age_us() >= 0)
      evidence.push_back({{it->high(), it->low()},
                          it->execution(),
                          it->lost(),
                          timeOf(it->age_us()),
                          timeOf(std::max(it->age_us(), it->start_age_us()))});
  return evidence;
}

} // namespace galenaflow::protocol
