#ifndef GALENAFLOW_PROTOCOL_WRITES_MESSAGES_H
#define GALENAFLOW_PROTOCOL_WRITES_MESSAGES_H

#include "state/clock.h"
#include "state/error.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::protocol {

/// An idempotency key: a UUIDv7, whose first 48 bits are its issue time in
/// milliseconds.
struct WriteKey {
  std::uint64_t Hi = 0;
  std::uint64_t Lo = 0;

  auto operator<=>(const WriteKey &) const = default;
  state::WallMillis issuedAt() const {
    return state::WallMillis(static_cast<std::int64_t>(Hi >> 16));
  }
};

/// Parses the 36 characters of a UUIDv7. Error: InvalidArgument.
state::Result<WriteKey> parseWriteKey(std::string_view text);
std::string writeKeyText(const WriteKey &key);

/// Makes the key that is issued at `at`, with 74 random bits of which `random1`
/// gives 12 and `random2` gives 62.
WriteKey makeWriteKey(state::WallMillis at, std::uint64_t random1,
                      std::uint64_t random2);

/// Identifies one daemon process by its VM id and instance.
struct WriteMember {
  std::string VmId;
  std::string Instance;

  auto operator<=>(const WriteMember &) const = default;
};

/// One version of the VM list, entry VMs only.
struct WriteMemberList {
  std::uint64_t Version = 0;
  std::vector<WriteMember> Members;
};

/// The VM lists of which the sender requires majorities, oldest first. The last
/// list is the newest that the sender knows.
struct WriteKnowledge {
  bool Complete = false; ///< the sender knows every list that may be in use
  std::vector<WriteMemberList> Lists;
};

/// One attempt of a coordinator to run the write with a key.
struct WriteHolder {
  WriteMember Coordinator;
  std::uint64_t Attempt = 0;
  std::string BodyHash;

  bool operator==(const WriteHolder &) const = default;
};

/// The grant of a retired member for the key; `Holder` has no value when the
/// member never granted the key.
struct RetiredVote {
  WriteMember Member;
  std::optional<WriteHolder> Holder;
};

struct WriteGrant {
  WriteKey Key;
  WriteHolder Holder;
};

enum class WriteVerdict : std::uint8_t {
  Granted,
  Held,      ///< already granted to the attempt in Holder
  Abstained, ///< an earlier process of this daemon may have granted the key
  Expired,
  Retired, ///< this daemon no longer grants keys
  Full,    ///< the limit on stored grants is reached
};

enum class WriteState : std::uint8_t {
  Unknown,
  InProgress,
  Completed,
  NotHeld, ///< the queried daemon has no record of the key
};

enum class WriteMessageType : std::uint16_t {
  GrantRequest = 100,
  GrantReply = 101,
  Release = 102,
  OutcomeQuery = 103,
  OutcomeReply = 104,
  Knowledge = 105,
  Handover = 106,
  HandoverAck = 107,
};

/// One message. The type determines which fields are used: each comment gives
/// the numbers of the types that use the field.
struct WriteMessage {
  WriteMessageType Type = WriteMessageType::Knowledge;
  WriteKey Key;                                   ///< 100 to 104
  std::uint64_t Attempt = 0;                      ///< 100 to 102
  std::string BodyHash;                           ///< 100
  WriteVerdict Verdict = WriteVerdict::Abstained; ///< 101
  std::optional<WriteHolder> Holder;              ///< 101, with Held
  std::vector<RetiredVote> Retired;               ///< 101
  WriteKnowledge Knowledge;                       ///< 100, 101 and 105
  WriteState State = WriteState::Unknown;         ///< 104
  std::uint16_t Status = 0;                       ///< 104, with Completed
  std::string Result;                             ///< 104, with Completed
  WriteMember Member;                             ///< 106 and 107
  std::uint32_t Part = 0;                         ///< 106 and 107
  std::uint32_t Parts = 0;                        ///< 106
  std::vector<WriteGrant> Grants;                 ///< 106
};

/// Limits on a message from a peer.
constexpr std::size_t MaxWriteResultBytes = 1U << 20;
constexpr std::size_t MaxGrantsPerHandover = 2000;
constexpr std::size_t MaxWriteLists = 64;
constexpr std::size_t MaxWriteListMembers = 2000;

bool isWriteMessageType(std::uint16_t type);
std::string encodeWriteMessage(const WriteMessage &message);

/// Error: InvalidArgument for bytes that fail verification or exceed a limit.
state::Result<WriteMessage> decodeWriteMessage(std::uint16_t type,
                                               std::string_view bytes);

} // namespace galenaflow::protocol

#endif
