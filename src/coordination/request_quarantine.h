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
  /// A request is quarantined after this many executions without an answer in
  /// which at least MinLostAttempts were lost.
  std::size_t MinExecutions = 2;
  std::uint32_t MinLostAttempts = 3;

  /// Duration of a quarantine since the last execution. Each further execution
  /// without an answer doubles it, up to the maximum.
  Duration MinQuarantineTime = std::chrono::minutes(5);
  Duration MaxQuarantineTime = std::chrono::minutes(60);

  /// A request without a further lost execution is no longer suspect after this
  /// time, counted from the end of its quarantine if there was one.
  Duration SuspicionTime = std::chrono::minutes(10);
};

enum class RequestStanding {
  Normal,
  Suspect,     ///< sent to one replica first, without hedges and retries
  Quarantined, ///< not sent
};

/// Detects requests that end the replicas that run them. An execution counts
/// against its request if replicas ended the connection of its attempts and
/// none answered it; any answer of a replica clears the request. Daemons
/// exchange this evidence, and each concludes from all of it.
///
/// For callers that send such a request again and again: without it, each
/// arrival at any daemon ends one more replica of each service.
class RequestQuarantine {
public:
  explicit RequestQuarantine(std::mt19937_64 random,
                             QuarantineOptions options = {})
      : Random(random), Options(options) {}

  /// Whether nothing is known against any request.
  bool empty() const { return Entries.empty(); }

  RequestStanding standing(const state::RequestFingerprint &request,
                           TimePoint now) const;

  /// Remaining time of the quarantine; zero when there is none.
  Duration remaining(const state::RequestFingerprint &request,
                     TimePoint now) const;

  /// An execution has ended in which `lost` attempts were lost. Returns the
  /// standing after it.
  RequestStanding onEnded(const state::RequestFingerprint &request,
                          std::uint32_t lost, bool isAnswered, TimePoint now);

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
    TimePoint EndedAt;
  };
  struct Entry {
    std::vector<Execution> Executions; ///< by time
    TimePoint AnsweredAt = TimePoint::min();
  };

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
  std::map<state::RequestFingerprint, Entry> Entries;
  std::vector<std::pair<state::RequestFingerprint, Execution>> New;
};

} // namespace galenaflow::coordination

#endif
