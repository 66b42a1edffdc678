// Writes the binary part of the corpus: one valid message of each type for the
// targets that read messages of daemons, and handshakes and frames for the peer
// session. The text inputs of the other targets are written by hand.
#include "protocol/delegation_messages.h"
#include "protocol/directory_messages.h"
#include "protocol/fleet_messages.h"
#include "protocol/records_messages.h"
#include "protocol/writes_messages.h"
#include "transport/peer_session.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

using namespace galenaflow;
using protocol::WriteMessage;
using protocol::WriteMessageType;
using namespace std::string_literals;

namespace {

class CorpusFolder {
public:
  CorpusFolder(const std::filesystem::path &root, const char *target)
      : Folder(root / target) {
    std::filesystem::create_directories(Folder);
  }

  void write(const std::string &name, std::string_view bytes) const {
    std::ofstream file(Folder / name, std::ios::binary);
    file << bytes;
  }

  void writeMessage(std::uint16_t type, std::string_view payload) const {
    std::string input{static_cast<char>(type >> 8), static_cast<char>(type)};
    write("type-" + std::to_string(type), input.append(payload));
  }

private:
  std::filesystem::path Folder;
};

template <typename Message> Message swimMessage() {
  Message message;
  message.Sequence = 7;
  message.Subject = {"vm-2", "2"};
  message.Digest = "digest";
  message.Updates.push_back({{"vm-3", "1"},
                             "127.0.0.1:7003",
                             "a",
                             protocol::MemberState::Suspect,
                             4});
  return message;
}

void writeFleet(const CorpusFolder &folder) {
  const protocol::ShareExchange shares{{3, 4},           5,           true,
                                       {{7, 1, 20, 10}}, {{8, 2, 6}}, {7, 9}};
  const protocol::FleetBody bodies[] = {
      swimMessage<protocol::Ping>(),
      swimMessage<protocol::PingRequest>(),
      swimMessage<protocol::PingAck>(),
      protocol::ConfigValue{protocol::ConfigKey::Plans, 9, "{\"plans\":[]}"},
      protocol::ConfigPull{{1, 2, 3, 4}},
      protocol::ConfigDigest{{1, 2, 3, 4}},
      shares};
  for (const protocol::FleetBody &body : bodies) {
    const auto bytes =
        protocol::encodeFleetMessage({{"vm-1", "1"}, {"vm-2", "2"}, body});
    folder.writeMessage(
        protocol::fleetMessageType(body),
        {reinterpret_cast<const char *>(bytes.data()), bytes.size()});
  }
}

WriteMessage writeMessage(WriteMessageType type) {
  const protocol::WriteKey key =
      protocol::makeWriteKey(state::WallMillis(1'767'607'200'007), 1, 2);
  const protocol::WriteHolder holder{{"vm-1", "1"}, 3, std::string(64, 'a')};
  WriteMessage message;
  message.Type = type;
  message.Key = key;
  message.Attempt = 3;
  message.BodyHash = holder.BodyHash;
  message.Verdict = protocol::WriteVerdict::Held;
  message.Holder = holder;
  message.Retired = {{{"vm-4", "1"}, holder}, {{"vm-5", "1"}, std::nullopt}};
  message.Knowledge = {true, {{8, {{"vm-1", "1"}, {"vm-2", "2"}}}}};
  message.State = protocol::WriteState::Completed;
  message.Status = 200;
  message.Result = "{\"claimed\":true}";
  message.Member = {"vm-2", "2"};
  message.Part = 0;
  message.Parts = 2;
  message.Grants = {{key, holder}};
  return message;
}

void writeDirectory(const CorpusFolder &folder) {
  using protocol::DelegationMessageType;
  using protocol::DirectoryMessageType;
  protocol::DirectoryRequest request{3, 4, 5, 6, {}, 7, {}};
  request.Fleet = {state::DistinctCount::fromValues({5, 9, 30}),
                   120,
                   {{"10.0.0.1:7", "a", 500}}};
  request.Limits = {{"i-1", 2.5, std::chrono::milliseconds(3)}};
  folder.writeMessage(static_cast<std::uint16_t>(DirectoryMessageType::Request),
                      protocol::encodeDirectoryRequest(request));
  protocol::DirectoryReply reply;
  reply.Sequence = 3;
  reply.HasContent = true;
  reply.Executors = request.Fleet.Strongest;
  reply.Changes.push_back({"r1", false, {}});
  reply.Routes = "{}";
  reply.Position = {2, 70};
  reply.LimitsVersion = 7;
  reply.Limits = request.Limits;
  folder.writeMessage(static_cast<std::uint16_t>(DirectoryMessageType::Reply),
                      protocol::encodeDirectoryReply(reply));
  folder.writeMessage(static_cast<std::uint16_t>(DirectoryMessageType::Routes),
                      protocol::encodeDirectoryRoutes({"{}"}));
  protocol::DelegatedRequest delegated;
  delegated.Sequence = 9;
  delegated.Route = "all";
  delegated.Headers = {{"a", "b"}};
  folder.writeMessage(
      static_cast<std::uint16_t>(DelegationMessageType::Request),
      protocol::encodeDelegatedRequest(delegated));
  protocol::DelegatedReply delegatedReply;
  delegatedReply.Outcome = protocol::DelegationOutcome::Merged;
  delegatedReply.Signatures = {"s1", "s2"};
  delegatedReply.Records = "0123456789abcdef";
  folder.writeMessage(static_cast<std::uint16_t>(DelegationMessageType::Reply),
                      protocol::encodeDelegatedReply(delegatedReply));
  folder.writeMessage(static_cast<std::uint16_t>(DelegationMessageType::Cancel),
                      protocol::encodeDelegationCancel({9}));
}

void writeWrites(const CorpusFolder &folder) {
  constexpr auto first =
      static_cast<std::uint16_t>(WriteMessageType::GrantRequest);
  constexpr auto last =
      static_cast<std::uint16_t>(WriteMessageType::HandoverAck);
  for (std::uint16_t type = first; type <= last; ++type)
    folder.writeMessage(type, protocol::encodeWriteMessage(writeMessage(
                                  static_cast<WriteMessageType>(type))));
}

void writeRecords(const CorpusFolder &folder) {
  protocol::RecordMessage message;
  message.Sequence = 11;
  message.Records = {{"r-1", "{\"a\":1}"}, {"r-2", ""}};
  message.Query = 5;
  message.Id = "r-1";
  message.ReachMs = 600'000;
  constexpr auto first =
      static_cast<std::uint16_t>(protocol::RecordMessageType::Batch);
  constexpr auto last =
      static_cast<std::uint16_t>(protocol::RecordMessageType::Found);
  for (std::uint16_t type = first; type <= last; ++type) {
    message.Type = static_cast<protocol::RecordMessageType>(type);
    folder.writeMessage(type, protocol::encodeRecordMessage(message));
  }
}

/// Returns what one side of a handshake sends; the target passes it to the
/// other side.
std::string helloBytes(const std::string &vm, const std::string &key) {
  transport::PeerSessionOptions options;
  options.Self = {vm, "1", "a", "127.0.0.1:1"};
  options.Keys = {key};
  transport::PeerNonce nonce;
  nonce.fill(3);
  return transport::PeerSession(options, true, nonce).takeOutput();
}

void writePeer(const CorpusFolder &folder) {
  const std::string hello =
      helloBytes("vm-3", "0123456789abcdef0123456789abcdef");
  const std::string frame = "\0\0\0\4\0\20\0\1\0\0\0\0\0\0\0\1abcd"s;
  const std::string mac(16, 'm');
  folder.write("hello", "\0\77"s + hello);
  folder.write("hello-other-key", "\0\1"s + helloBytes("vm-3", "other"));
  folder.write("hello-then-frame", "\0\7"s + hello + frame + mac);
  folder.write("frame-after-handshake", "\1\7"s + frame + mac);
  folder.write("messages", "\2\5\0\0\0\3abc\6defghi\0"s);
  folder.write("messages-altered", "\2\5\0\22\1\3abc\6defghi\0"s);
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: fuzz-corpus FOLDER\n");
    return 2;
  }
  const std::filesystem::path root = argv[1];
  writeFleet({root, "fleet_messages"});
  writeDirectory({root, "directory_messages"});
  writeWrites({root, "write_messages"});
  writeRecords({root, "record_messages"});
  writePeer({root, "peer_session"});
  return 0;
}
