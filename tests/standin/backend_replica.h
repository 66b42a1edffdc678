#ifndef GALENAFLOW_STANDIN_BACKEND_REPLICA_H
#define GALENAFLOW_STANDIN_BACKEND_REPLICA_H

#include "standin/raw_http_server.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenaflow::standin {

enum class WorkKind { Search, Suggest, Read, Write };
inline constexpr std::size_t WorkKindCount = 4;

/// A snapshot that a replica serves.
struct ServedSnapshot {
  std::uint64_t Id = 0;
  std::uint64_t Layout = 0;
  std::uint32_t ShardCount = 1;
  std::vector<std::uint32_t> Shards; ///< those of which the replica has a copy

  bool operator==(const ServedSnapshot &) const = default;
};

/// Settings of a replica, which can be changed at its start and while it runs.
/// The JSON names are the member names in snake_case. Faults are probabilities
/// for one work request.
struct ReplicaSettings {
  std::uint32_t Slots = 2;
  std::uint32_t QueueLimit = 64;      ///< further work is rejected
  std::uint32_t ConnectionLimit = 25; ///< further connections are reset
  double ConnectionCostMs = 0;        ///< delay until a new connection is read

  /// Mean service times by type of work.
  double SearchMs = 4;
  double SuggestMs = 1;
  double ReadMs = 1;
  double WriteMs = 2;

  double Sigma = 0.5; ///< of the log-normal service times

  /// The first ColdRequests requests take ColdFactor times as long.
  std::uint32_t ColdRequests = 0;
  double ColdFactor = 5;

  double Slowness = 1;           ///< factor on all service times
  std::uint32_t Listings = 1000; ///< of the whole service
  double LoadLagMs = 0;          ///< delay of health and load reports
  std::string State = "serving"; ///< "starting" rejects work: 503 "cold"
  std::string Drain = "off";     ///< "off", "serve" or "refuse"
  bool Down = false;             ///< closes the listener, resets connections
  bool Silent = false;           ///< accepts connections, never responds
  double Stall = 0;              ///< work gets no response
  double WrongSnapshot = 0;
  double Truncate = 0;
  double DuplicateHit = 0;
  double ForeignId = 0;
  double Reset = 0; ///< reset in place of the response
  double Shed = 0;  ///< rejected although the queue has room
};

/// A write that ran.
struct JournalEntry {
  std::string Replica;
  std::string Key;
  std::string BodySha256;
  std::string SubRequestId;
  std::int64_t StartedMs = 0; ///< since the Unix epoch
};

/// The journal and the counts that all replicas of a process share.
struct BackendLog {
  std::vector<JournalEntry> Journal;
  std::uint64_t RepeatedSubRequests = 0;

  /// Records a sub-request, and counts it as repeated if the same query has
  /// sent one to the same shard before. A query is identified by its trace id,
  /// so retries and hedges count.
  void recordSubRequest(const std::string &trace, std::uint32_t shard);

private:
  static constexpr std::size_t MaxTracked = 200'000;
  std::unordered_map<std::string, std::uint32_t> SeenCounts;
  std::deque<std::string> EvictionOrder;
};

/// Serves one replica of a backend service on its own listener.
class BackendReplica {
public:
  BackendReplica(transport::EventLoop &loop, BackendLog &log,
                 const nlohmann::json &config, std::uint64_t seed);
  ~BackendReplica();

  /// Opens the listener. Port 0 stands for a free port.
  state::Result<bool> listen();

  /// Applies the settings in `changes`; "snapshots", "add_snapshots" and
  /// "remove_snapshots" (ids) change the served snapshots. Returns an error
  /// message and changes nothing if a name is unknown or a value has the wrong
  /// type; an empty text on success.
  std::string apply(const nlohmann::json &changes);

  nlohmann::json stats() const;
  const std::string &id() const { return Id; }
  std::string address() const { return Address.toText(); }

private:
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;
  struct LoadSample;

  void handle(transport::HttpRequest request, const RawConnectionPtr &conn);
  void handleWork(transport::HttpRequest request, const RawConnectionPtr &conn);
  void handleCancel(const std::string &id, const RawConnectionPtr &conn);
  bool refuse(const Work &work);
  bool injectEarlyFault(const WorkPtr &work);
  void enqueue(const WorkPtr &work);
  void startNext();
  void start(const WorkPtr &work);
  void finish(const WorkPtr &work);
  void rejectWork(const Work &work, int status, const char *reason);
  void respond(const Work &work);
  transport::HttpResponse makeSearchResponse(const Work &work);
  transport::HttpResponse makeReadResponse(const Work &work) const;
  transport::HttpResponse
  addDrainHeader(transport::HttpResponse response) const;
  state::Duration serviceTime(const Work &work);
  bool drawFault(double probability, const char *fault);
  const ServedSnapshot *findSnapshot(std::uint64_t id) const;
  const std::vector<std::uint32_t> &shardListings(const ServedSnapshot &served,
                                                  std::uint32_t shard);
  LoadSample currentLoad() const;
  LoadSample reportedLoad();
  void recordLoad();
  void applyConnectionSettings();
  void recordDrainStart(const std::string &before);

  transport::EventLoop &Loop;
  BackendLog &Log;
  std::string Id;
  std::string ServiceName;
  transport::SocketAddress Address;
  ReplicaSettings Settings;
  std::vector<ServedSnapshot> Snapshots;
  std::unique_ptr<RawHttpServer> Server;
  std::mt19937_64 Random;
  std::deque<WorkPtr> Queue;
  std::map<std::string, WorkPtr> OpenWork; ///< queued and running, by id
  bool WasListening = false;
  std::uint32_t InService = 0;
  std::uint64_t StartedCount = 0;
  std::deque<LoadSample> LoadSamples;
  std::map<std::pair<std::uint64_t, std::uint32_t>, std::vector<std::uint32_t>>
      ListingCache;
  state::TimePoint DrainStart{};
  std::int64_t LastWorkAfterDrainMs = -1;
  std::array<std::uint64_t, WorkKindCount> RunCounts{};
  std::map<std::string, std::uint64_t> Counts;
  std::map<std::string, std::uint64_t> Faults;
};

} // namespace galenaflow::standin

#endif
