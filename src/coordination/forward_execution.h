#ifndef GALENAFLOW_COORDINATION_FORWARD_EXECUTION_H
#define GALENAFLOW_COORDINATION_FORWARD_EXECUTION_H

#include "coordination/sub_request.h"
#include "state/route_table.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace galenaflow::coordination {

/// A replica's response to a forwarded request. Its content is opaque.
struct BackendResponse {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  std::string Signature; ///< proves which replica gave this answer

  bool isSuccess() const { return Status >= 200 && Status < 300; }
};

/// What is known of an attempt that brought no success.
enum class AttemptEnd {
  Rejected,    ///< arrived; the replica says that it did not run
  Misdirected, ///< another replica has the address, and did not run it
  NotSent,     ///< certainly no byte reached the replica
  Failed,      ///< ran, and the replica answered with a failure
  Unknown,     ///< sent; may have run
};

/// The end in snake_case.
std::string_view attemptEndName(AttemptEnd end);

struct AttemptFailure {
  AttemptEnd End = AttemptEnd::Unknown;
  std::optional<BackendResponse> Answer; ///< the failure that the replica gave
  std::string Reason{};                  ///< for people, may be empty
};

using AttemptNumber = std::uint32_t;

/// Action: ask a replica of the part's service that is not in triedReplicas().
/// The owner calls onSent() when the request leaves, at once or later.
struct SendAttempt {
  AttemptNumber Number = 0;
  std::uint32_t Part = 0;
  AttemptKind Kind = AttemptKind::Primary;
};

/// Action: the answer is no longer needed.
struct CancelAttempt {
  AttemptNumber Number = 0;
  std::uint32_t Part = 0;
};

/// Why a request got no answer from replicas.
enum class ForwardFault {
  NoReplica,        ///< no usable replica of a needed service is known
  NoCapacity,       ///< every connection was in use until it was too late
  RejectedByServer, ///< the replicas turned it away
  BackendFailed,    ///< replicas failed, or connections to them broke
  DeadlineExceeded,
  TooFewParts, ///< parts were lost, and fewer than the minimum are left
  CallerGone,
};

std::string_view forwardFaultName(ForwardFault fault);

/// The answer to a shard set.
struct MergedAnswer {
  std::vector<std::string> Signatures; ///< of the parts that are in
  std::uint32_t Missing = 0;           ///< parts that are left out
  std::string Records;
};

struct ForwardFailure {
  ForwardFault Fault = ForwardFault::BackendFailed;
  ExecutionState Ran = ExecutionState::NotRun;
  std::optional<BackendResponse> Answer; ///< the failure that a replica gave
};

struct ForwardCounts {
  std::uint32_t Primaries = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t Retries = 0;
  std::uint32_t Rejections = 0;
  std::uint32_t Parts = 0;         ///< asked
  std::uint32_t PartsAnswered = 0; ///< in the answer
  /// Some services without an answer, as "service:replica:replica" with the
  /// replicas that were asked.
  std::vector<std::string> Missing;
};

/// Action: the request has ended. No further action follows.
struct FinishForward {
  std::variant<BackendResponse, MergedAnswer, ForwardFailure> Result;
};

using ForwardAction =
    std::variant<SendAttempt, CancelAttempt, SetTimer, FinishForward>;
using ForwardActions = std::vector<ForwardAction>;

/// Decisions that the requests of this process share.
class ForwardPolicy {
public:
  virtual ~ForwardPolicy() = default;

  /// Takes the token for one more arrival at the service.
  virtual bool tryTakeExtra(std::string_view service) = 0;

  /// Whether the service has a usable replica other than these.
  virtual bool hasOther(std::string_view service,
                        std::span<const state::ReplicaId> tried) = 0;
};

struct ForwardOptions {
  /// Keeps the route alive.
  state::RouteTablePtr Table;
  const state::Route *Route = nullptr;

  /// One service, or all of a shard set.
  std::vector<std::string> Services;

  TimePoint DeadlineAt; ///< a final answer is due

  /// From this time on, an answer with the minimum of parts is given instead of
  /// waiting for the rest. max(): always wait.
  TimePoint PartialAt = TimePoint::max();

  /// Time without an answer after which another replica is asked as well.
  std::optional<Duration> HedgeAfter;
};

/// One forwarded request: to one replica, or to one of each shard with a merge.
/// Idempotent requests are hedged and retried within the route's attempts and
/// the shared budget; others are sent again only when they certainly did not
/// run. The owner carries out the returned actions in order.
class ForwardExecution {
public:
  ForwardExecution(ForwardOptions options, ForwardPolicy &policy);

  ForwardActions start(TimePoint now);
  ForwardActions onSent(AttemptNumber number, const state::ReplicaId &replica,
                        TimePoint now);
  ForwardActions onResponse(AttemptNumber number, BackendResponse answer,
                            TimePoint now);
  ForwardActions onFailure(AttemptNumber number, AttemptFailure failure,
                           TimePoint now);
  ForwardActions onTimer(TimePoint now);
  ForwardActions onCallerGone(TimePoint now);

  const std::string &service(std::uint32_t part) const {
    return Options.Services[part];
  }
  std::span<const state::ReplicaId> triedReplicas(std::uint32_t part) const {
    return Parts[part].Tried;
  }
  const ForwardOptions &options() const { return Options; }
  const ForwardCounts &counts() const { return Counts; }
  bool finished() const { return Finished; }

private:
  struct Attempt {
    std::uint32_t Part = 0;
    AttemptKind Kind = AttemptKind::Primary;
    bool Open = true;
    bool Sent = false;
  };

  struct Part {
    std::vector<state::ReplicaId> Tried;
    std::uint32_t CountedAttempts =
        0; ///< attempts that ran, may have run or may yet
    std::uint32_t Open = 0;
    std::uint32_t Rejections = 0;
    bool Hedged = false;
    bool Failed = false;
    TimePoint HedgeAt = TimePoint::max();
    std::optional<BackendResponse> Answer;
  };

  Attempt *openAttempt(AttemptNumber number);
  void sendAttempt(std::uint32_t part, AttemptKind kind);
  bool mayRunAgain(const Part &part) const;
  bool retry(std::uint32_t part, AttemptEnd end);
  void hedge(std::uint32_t part, TimePoint now);
  void failPart(std::uint32_t part, ForwardFault fault);
  void tryFinish(TimePoint now);
  bool hasEnoughParts(std::size_t n) const;
  void recordMissing();
  void cancelOpen();
  void finishMerged();
  void fail(ForwardFault fault);
  void armTimer();
  ForwardActions completeEvent(TimePoint now);

  ForwardOptions Options;
  ForwardPolicy &Policy;
  std::vector<Part> Parts;
  std::vector<Attempt> Attempts;
  ForwardCounts Counts;
  ForwardActions Pending;
  std::optional<BackendResponse> LastFailure;
  ForwardFault LastFault = ForwardFault::BackendFailed;
  bool AnyRan = false;
  bool AnyUnknown = false;
  bool Finished = false;
  std::size_t AnsweredParts = 0;
  std::size_t FailedParts = 0;
  TimePoint TimerAt = TimePoint::max();
};

} // namespace galenaflow::coordination

#endif
