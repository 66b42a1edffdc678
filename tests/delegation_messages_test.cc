#include "protocol/delegation_messages.h"
#include "protocol/directory_messages.h"

#include <catch2/catch.hpp>
#include <random>

using namespace galenaflow::protocol;
using namespace std::chrono_literals;

namespace {

DelegatedRequest request() {
  return {7,
          12,
          "all",
          398ms,
          5ms,
          "id-1",
          "GET",
          "/all/x?q=1",
          "h.x",
          {{"a", "b"}, {"a", "c"}},
          std::string("\0body", 5)};
}

DelegatedReply reply() {
  DelegatedReply it;
  it.Sequence = 7;
  it.Outcome = DelegationOutcome::Merged;
  it.Elapsed = 21ms;
  it.Signatures = {"s1", "s2"};
  it.MissingParts = 3;
  it.Records = std::string("0123456789abcdef\0bcdef", 22);
  it.Fault = 2;
  it.Ran = 1;
  it.Parts = 90;
  it.PartsAnswered = 87;
  it.Hedges = 5;
  it.Retries = 1;
  it.Rejections = 2;
  it.MissingServices = {"s3:r1"};
  return it;
}

} // namespace

TEST_CASE("delegation messages are unchanged after encoding and decoding") {
  CHECK(*decodeDelegatedRequest(encodeDelegatedRequest(request())) ==
        request());
  CHECK(*decodeDelegatedReply(encodeDelegatedReply(reply())) == reply());
  CHECK(decodeDelegationCancel(encodeDelegationCancel({9}))->Sequence == 9);
}

TEST_CASE("directory messages contain the fleet report") {
  DirectoryRequest directoryRequest;
  directoryRequest.Sequence = 3;
  directoryRequest.Fleet = {
      galenaflow::state::DistinctCount::fromValues({7, 3000000000, 11}),
      120,
      {{"10.0.0.1:1", "a", 500}, {"10.0.0.2:1", "b", 250}}};
  CHECK(*decodeDirectoryRequest(encodeDirectoryRequest(directoryRequest)) ==
        directoryRequest);
  DirectoryReply directoryReply;
  directoryReply.Executors = directoryRequest.Fleet.Strongest;
  CHECK(decodeDirectoryReply(encodeDirectoryReply(directoryReply))->Executors ==
        directoryRequest.Fleet.Strongest);
}

TEST_CASE(
    "a reply with an unknown outcome is rejected, as malformed messages are") {
  DelegatedReply wrong = reply();
  wrong.Outcome = static_cast<DelegationOutcome>(4);
  CHECK_FALSE(decodeDelegatedReply(encodeDelegatedReply(wrong)));
  CHECK_FALSE(decodeDelegatedReply("no message"));
  CHECK_FALSE(decodeDelegatedRequest(""));
  CHECK_FALSE(decodeDelegationCancel("x"));
}

// Guards against reading outside of the bytes of a corrupt message of a peer.
TEST_CASE("corrupt delegation messages are rejected or decoded") {
  std::mt19937_64 random(11);
  const std::string good[] = {encodeDelegatedRequest(request()),
                              encodeDelegatedReply(reply())};
  int rejected = 0;
  for (int round = 0; round != 20000; ++round) {
    std::string bytes = good[round % 2];
    for (std::uint64_t i = random() % 4 + 1; i != 0; --i)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 4 == 0)
      bytes.resize(random() % bytes.size());
    const bool ok = round % 2 == 0 ? decodeDelegatedRequest(bytes).has_value()
                                   : decodeDelegatedReply(bytes).has_value();
    rejected += ok ? 0 : 1;
  }
  CHECK(rejected > 1000);
}

// Guards against a fleet in which the request limits of replicas, or newer
// routes, are not passed on.
TEST_CASE("request limits, positions and versions of the directory are "
          "encoded") {
  DirectoryRequest request;
  request.LimitsVersion = 4;
  request.Limits = {{"i-1", 2.5, std::chrono::milliseconds(7)}, {"i-2", 0, {}}};
  CHECK(*decodeDirectoryRequest(encodeDirectoryRequest(request)) == request);
  DirectoryReply reply;
  reply.Position = {3, 66};
  reply.LimitsVersion = 9;
  reply.Limits = request.Limits;
  reply.RouteVersion = 12;
  reply.WantsRoutes = true;
  reply.Path = {"10.0.0.1:7", "10.0.0.2:7"};
  const auto decoded = decodeDirectoryReply(encodeDirectoryReply(reply));
  REQUIRE(decoded);
  CHECK(decoded->Position == reply.Position);
  CHECK(decoded->LimitsVersion == 9);
  CHECK(decoded->Limits == reply.Limits);
  CHECK(decoded->RouteVersion == 12);
  CHECK(decoded->WantsRoutes);
  CHECK(decoded->Path == reply.Path);
  const DirectoryRoutes routes{"{}"};
  CHECK(*decodeDirectoryRoutes(encodeDirectoryRoutes(routes)) == routes);
}
