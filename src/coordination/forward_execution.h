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
  std::string Signature; ///< proves which replica gave the response

  /// Counts the bytes against a limit of the process for as long as it exists.
  std::shared_ptr<const void> Hold{};

  bool isSuccess() const { return Status >= 200 && Status < 300; }
};

/// What is known of an attempt without a successful response.
enum class AttemptEnd {
  Rejected,    ///< received; the replica states that the request did not run
  Misdirected, ///< another replica has the address, and did not run the request
  NotSent,     ///< certainly no byte reached the replica
  AtLimit,     ///< not sent: the replicas' request limits are used up
  Stopping,    ///< not sent: it could not end before this process exits
  Failed,      ///< ran, and the replica responded with a failure
  Unknown,     ///< sent; the request may have run
};

/// The name of the enumerator in snake_case, for logs and metrics.
std::string_view attemptEndName(AttemptEnd end);

struct AttemptFailure {
  AttemptEnd End = AttemptEnd::Unknown;
  std::optional<BackendResponse> Response; ///< the replica's response, if any
  std::string Reason{};                    ///< for logs; may be empty

  /// Whether the replica ended the connection before any byte of a response, as
  /// it does when it crashes.
  bool IsLost = false;
};

using AttemptNumber = std::uint32_t;

/// Action: send an attempt to a replica of the part's service that is not in
/// triedReplicas(). The owner calls onSent() when the request is sent,
/// immediately or later.
struct SendAttempt {
  AttemptNumber Number = 0;
  std::uint32_t Part = 0;
  AttemptKind Kind = AttemptKind::Primary;
};

/// Action: end the attempt, since its response is no longer needed.
struct CancelAttempt {
  AttemptNumber Number = 0;
  std::uint32_t Part = 0;
};

/// Why a request failed.
enum class ForwardFault {
  NoReplica,        ///< no usable replica of a needed service is known
  NoCapacity,       ///< no connection became free before the deadline
  RejectedByServer, ///< the replicas rejected the request
  BackendFailed,    ///< replicas failed, or connections to them broke
  DeadlineExceeded,
  TooFewParts, ///< parts failed, and fewer than the minimum can still succeed
  ServerLimit, ///< the replicas' request limits are used up
  Quarantined, ///< equal requests have ended the replicas that ran them
  Stopping,    ///< this process exits before the request could end
  NoRoom,      ///< more is waiting at the replicas than can be served in time
  Evacuated,   ///< all usable replicas are in data centres that are evacuated
  RegionNotAllowed, ///< no replica is in a region that the route allows
  CallerGone,
};

std::string_view forwardFaultName(ForwardFault fault);

/// The merged answer of a set of shards.
struct MergedAnswer {
  std::vector<std::string> Signatures; ///< of the parts in the answer
  std::uint32_t Missing = 0;           ///< parts that are not in the answer
  std::string Records;
};

struct ForwardFailure {
  ForwardFault Fault = ForwardFault::BackendFailed;
  ExecutionState Ran = ExecutionState::NotRun;
  std::optional<BackendResponse> Response; ///< a replica's failure response

  /// Time after which the caller may try again, if it is known.
  std::optional<Duration> RetryAfter{};
};

struct ForwardCounts {
  std::uint32_t Primaries = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t Retries = 0;
  std::uint32_t Rejections = 0;
  std::uint32_t Parts = 0;         ///< services of the request
  std::uint32_t PartsAnswered = 0; ///< parts in the answer
  std::uint32_t Lost = 0;  ///< attempts whose replica ended the connection
  bool IsAnswered = false; ///< whether any replica has answered
  /// Some of the services without a response, as "service:replica:replica" with
  /// the replicas that were tried.
  std::vector<std::string> Missing;
};

/// Action: the request has ended with this result. No further action follows.
struct FinishForward {
  std::variant<BackendResponse, MergedAnswer, ForwardFailure> Result;
};

using ForwardAction =
    std::variant<SendAttempt, CancelAttempt, SetTimer, FinishForward>;
using ForwardActions = std::vector<ForwardAction>;

/// Decisions on state that all requests of this process share.
class ForwardPolicy {
public:
  virtual ~ForwardPolicy() = default;

  /// Takes a token for one extra attempt at the service.
  virtual bool tryTakeExtra(std::string_view service) = 0;

  /// Whether the service has a usable replica other than these whose request
  /// limit allows a request now.
  virtual bool hasOther(std::string_view service,
                        std::span<const state::ReplicaId> tried) = 0;

  /// Whether a hedge may be sent to a replica of the service other than these
  /// without taking the place of other requests.
  virtual bool hasIdle(std::string_view /*service*/,
                       std::span<const state::ReplicaId> /*tried*/) {
    return true;
  }

  /// Whether the request limits of the service's usable replicas allow no
  /// further request now. False when it has no usable replica.
  virtual bool isAtLimit(std::string_view service) = 0;

  /// Whether the service has replicas, and all that could be used are in data
  /// centres that are evacuated.
  virtual bool isEvacuated(std::string_view /*service*/) { return false; }
};

struct ForwardOptions {
  /// Keeps the route alive.
  state::RouteTablePtr Table;
  const state::Route *Route = nullptr;

  /// One service, or all of a shard set.
  std::vector<std::string> Services;

  TimePoint DeadlineAt; ///< when the result is due at the latest

  /// When this process exits; the result is due by then, too.
  TimePoint ExitAt = TimePoint::max();

  /// From this time on, the request finishes as soon as the minimum of parts
  /// has responded. max(): always wait for all parts.
  TimePoint PartialAt = TimePoint::max();

  /// Whether equal requests have ended replicas. The request is sent to one
  /// replica, and to the others when that one has answered.
  bool IsSuspect = false;

  /// Selects the part to which a suspect request is sent first.
  std::size_t FirstPart = 0;

  /// Parts that are not sent, since they have no room.
  std::vector<std::uint32_t> LeftOut;

  /// Parts that are not sent, since their replicas are in regions that the
  /// route does not allow.
  std::vector<std::uint32_t> Forbidden;

  /// Set when the request is rejected for want of room: the time after which
  /// its caller may try again.
  std::optional<Duration> RejectedFor;

  /// Why it is rejected: NoRoom, or NoCapacity when only this daemon has too
  /// few connections.
  ForwardFault RejectionFault = ForwardFault::NoRoom;

  /// Time without a response after which a hedge is sent to another replica.
  /// Empty: no hedges.
  std::optional<Duration> HedgeAfter;
};

/// Forwards one request to a replica of one service, or to a replica of each
/// shard and merges the responses. Idempotent requests are hedged and retried
/// within the route's limit of attempts and the shared budget; others are sent
/// again only when they certainly did not run.
///
/// A request may end every replica that runs it. While replicas have ended the
/// connections of a request and none has answered it, only one of its lost
/// attempts is retried, and hedges of a shard set wait for a first answer.
///
/// A request whose services are at their request limits is rejected at once,
/// before any attempt. A set of shards is served without the parts that are at
/// their limits if the others make up the minimum. The same applies to services
/// whose replicas are all in data centres that are evacuated.
///
/// Each event returns actions, which the owner executes in order. The owner
/// calls start() once, reports each sent attempt by onSent() and its end by
/// onResponse() or onFailure(), and calls onTimer() at the time of the last
/// SetTimer. Events after FinishForward, or of ended attempts, return no
/// actions.
class ForwardExecution {
public:
  ForwardExecution(ForwardOptions options, ForwardPolicy &policy);

  ForwardActions start(TimePoint now);
  ForwardActions onSent(AttemptNumber number, const state::ReplicaId &replica,
                        TimePoint now);
  ForwardActions onResponse(AttemptNumber number, BackendResponse response,
                            TimePoint now);
  ForwardActions onFailure(AttemptNumber number, AttemptFailure failure,
                           TimePoint now);
  ForwardActions onTimer(TimePoint now);
  ForwardActions onCallerCancel(TimePoint now);

  /// This process exits at `exitAt`, although the deadline may be later.
  ForwardActions onStop(TimePoint exitAt, TimePoint now);

  const std::string &service(std::uint32_t part) const {
    return Options.Services[part];
  }
  std::span<const state::ReplicaId> triedReplicas(std::uint32_t part) const {
    return Parts[part].Tried;
  }
  const ForwardOptions &options() const { return Options; }
  const ForwardCounts &counts() const { return Counts; }
  bool finished() const { return Finished; }

  /// Bytes of the responses that are kept until the request finishes.
  std::size_t heldBytes() const;

private:
  struct Attempt {
    std::uint32_t Part = 0;
    AttemptKind Kind = AttemptKind::Primary;
    bool Open = true;
    bool Sent = false;
  };

  struct Part {
    std::vector<state::ReplicaId> Tried;
    bool Begun = false;                ///< whether an attempt was ever made
    std::uint32_t CountedAttempts = 0; ///< ran, may have run or may still run
    std::uint32_t Open = 0;
    std::uint32_t Rejections = 0;
    bool Hedged = false;
    bool Failed = false;
    bool IsHedgeHeld = false; ///< until a replica has answered
    bool IsRetryHeld = false; ///< until a replica has answered
    TimePoint HedgeAt = TimePoint::max();
    std::optional<BackendResponse> Response;
  };

  Attempt *openAttempt(AttemptNumber number);
  void leaveOutEvacuated();
  void leaveOutForbidden();
  void sendPrimaries();
  void sendFirstPrimary();
  void sendRemainingPrimaries();
  void settleHeldPrimaries();
  bool hasOpenAttempt() const;
  bool mayRun(const Part &part) const;
  bool sendAttempt(std::uint32_t part, AttemptKind kind);
  bool retry(std::uint32_t part, AttemptEnd end);
  void hedge(std::uint32_t part, TimePoint now);
  bool holdsHedges() const;
  void onAnswered(TimePoint now);
  void retryOrFail(std::uint32_t part);
  void settleHeldRetries();
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
  bool IsRetryTried = false; ///< a lost attempt was retried before an answer
  bool ArePrimariesHeld = false; ///< until a replica has answered
  bool Finished = false;
  std::size_t AnsweredParts = 0;
  std::size_t FailedParts = 0;
  TimePoint TimerAt = TimePoint::max();
};

} // namespace galenaflow::coordination

#endif
