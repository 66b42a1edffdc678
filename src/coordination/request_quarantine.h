#ifndef GALENAFLOW_COORDINATION_REQUEST_QUARANTINE_H
#define GALENAFLOW_COORDINATION_REQUEST_QUARANTINE_H

#include "state/clock.h"
#include "state/request_evidence.h"

#include <cstddef>
#include <map>
#include <random>
#include <span>
#include <vector>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct QuarantineOptions {
  /// A request is quarantined after this many independent executions without an
  /// answer in which at least MinLostAttempts were lost.
  std::size_t MinExecutions = 2;
  std::uint32_t MinLostAttempts = 3;

  /// An execution is independent of an earlier one if it began this long after
  /// that one was lost. Covers the time in which evidence reaches another
  /// daemon, and losses that one event spreads over a moment.
  Duration IndependenceGap = std::chrono::milliseconds(50);

  /// Duration of a quarantine since the last execution. Each further execution
  /// without an answer doubles it, up to the maximum.
  Duration MinQuarantineTime = std::chrono::minutes(5);
  Duration MaxQuarantineTime = std::chrono::minutes(60);

  /// A quarantined request is sent once more, to one replica, after this pause
  /// since the last lost execution. Each trial doubles the pause.
  Duration TrialPause = std::chrono::seconds(10);

  /// Trials of a request until it is answered or its quarantine has ended.
  std::size_t MaxTrials = 2;

  /// A daemon that did not see the last lost execution waits for a random time
  /// longer: up to this for each daemon of the fleet.
  Duration TrialSpread = std::chrono::seconds(1);

  /// Pause after a trial that no replica ran.
  Duration TrialRetryPause = std::chrono::seconds(1);

  /// A request without a further lost execution is no longer suspect after this
  /// time, counted from the end of its quarantine if there was one.
  Duration SuspicionTime = std::chrono::minutes(10);
};

enum class RequestStanding {
  Normal,
  Suspect,     ///< sent to one replica first, without hedges and retries
  Quarantined, ///< not sent
};

/// The end of an execution of a request.
struct ExecutionEnd {
  TimePoint BeganAt;
  std::uint32_t Lost = 0;  ///< attempts whose replica ended the connection
  bool IsAnswered = false; ///< by any replica
  bool MayHaveRun = true;  ///< at any replica
};

/// Detects requests that end the replicas that run them. An execution counts
/// against its request if replicas ended the connection of its attempts and
/// none answered it; any answer of a replica clears the request. Executions
/// that overlap count as one, since a crash of the replicas for another reason
/// ends all that are at work. Daemons exchange this evidence, and each
/// concludes from all of it.
///
/// A quarantined request is tried a few times, so that an answer can clear it.
///
/// For callers that send such a request again and again: without it, each
/// arrival at any daemon ends one more replica of each service.
class RequestQuarantine {
public:
  explicit RequestQuarantine(std::mt19937_64 random,
                             QuarantineOptions options = {})
      : Random(random), Options(options), Salt(Random()) {}

  /// Whether nothing is known against any request.
  bool empty() const { return Entries.empty(); }

  RequestStanding standing(const state::RequestFingerprint &request,
                           TimePoint now) const;

  /// Time until the request may be sent again, by a trial or because its
  /// quarantine has ended; zero when there is none. `daemons`: of the fleet.
  Duration remaining(const state::RequestFingerprint &request,
                     std::uint32_t daemons, TimePoint now) const;

  /// Whether a quarantined request may be sent now as a trial, as a suspect
  /// one. If so, the trial counts as started.
  bool tryTrial(const state::RequestFingerprint &request, std::uint32_t daemons,
                TimePoint now);

  /// An execution has ended. Returns the standing after it.
  RequestStanding onEnded(const state::RequestFingerprint &request,
                          const ExecutionEnd &end, TimePoint now);

  /// Adds the evidence of another daemon.
  void merge(std::span<const state::RequestEvidence> evidence, TimePoint now);

  /// Whether takeNew() would return any evidence.
  bool hasNew() const { return !New.empty(); }

  /// Returns the evidence that is new since the last call, to be passed on.
  std::vector<state::RequestEvidence> takeNew(TimePoint now);

  /// Returns all evidence, for a daemon that has just connected.
  std::vector<state::RequestEvidence> all(TimePoint now);

  std::size_t quarantined(TimePoint now) const;

  /// Maximum number of requests that are remembered. The one whose last
  /// evidence is oldest makes room for another.
  static constexpr std::size_t MaxEntries = 4096;

private:
  /// Maximum number of executions kept for a request.
  static constexpr std::size_t MaxExecutions = 8;

  /// An answer is remembered for this long, so that older evidence that arrives
  /// later is ignored.
  static constexpr Duration AnswerTtl = std::chrono::seconds(30);

  struct Execution {
    std::uint64_t Id = 0;
    std::uint32_t Lost = 0;
    TimePoint BeganAt;
    TimePoint EndedAt;
    bool IsOwn = false; ///< of this daemon
  };
  struct Entry {
    std::vector<Execution> Executions; ///< by the time of their end
    TimePoint AnsweredAt = TimePoint::min();
    std::size_t Trials = 0; ///< of this daemon, in this quarantine
    TimePoint NextTrialAt = TimePoint::min(); ///< not before this time
    bool IsTrialOpen = false;
  };

  /// What independent executions have shown.
  struct Observations {
    std::size_t Count = 0;
    std::uint32_t Lost = 0;
    std::size_t LastDependent =
        0; ///< index of the latest other execution, or 0
  };

  static state::RequestEvidence
  toEvidence(const state::RequestFingerprint &request,
             const Execution &execution, TimePoint now);
  Observations observe(const Entry &entry) const;
  TimePoint trialAt(const Entry &entry, std::uint32_t daemons) const;
  TimePoint lastEvidenceAt(const Entry &entry) const;
  TimePoint quarantinedUntil(const Entry &entry) const;
  TimePoint expiresAt(const Entry &entry) const;
  Entry &entryFor(const state::RequestFingerprint &request, TimePoint now);
  bool add(const state::RequestFingerprint &request, const Execution &execution,
           TimePoint now);
  bool clear(const state::RequestFingerprint &request, TimePoint at,
             TimePoint now);

  std::mt19937_64 Random;
  QuarantineOptions Options;
  std::uint64_t Salt; ///< of the random times of trials
  std::map<state::RequestFingerprint, Entry> Entries;
  std::vector<std::pair<state::RequestFingerprint, Execution>> New;
};

} // namespace galenaflow::coordination

#endif
