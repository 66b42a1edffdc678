#ifndef GALENAFLOW_STANDIN_PLATFORM_PROCESS_H
#define GALENAFLOW_STANDIN_PLATFORM_PROCESS_H

#include "standin/raw_http_server.h"
#include "transport/http_server.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::standin {

/// Serves the platform's configuration service and VM list, with a control
/// listener:
///   POST /control/values/KEY  sets a value, which gets the next version
///   POST /control/vms         sets {"vms":[..]}, which is served after
///                             "vm_lag_ms"
///   POST /control/mode        any of "down" ("off", "refuse", "hang"),
///                             "stale" (while true, the versions of that time
///                             are served), "pin" ({"plans":3}; 0 unpins),
///                             "vm_lag_ms", "latency_ms", "read_limit" (reads
///                             per second, further ones get 429; 0: no limit)
///   GET  /control/stats       reads by key and per second, and other counts
class PlatformProcess {
public:
  explicit PlatformProcess(transport::EventLoop &loop);

  /// Starts from {"listen":..,"control":..,"values":{KEY:document},
  /// "vms":[..]}; all are optional. Returns {"listen":..,"control":..}.
  state::Result<std::string> start(std::string_view config);

private:
  struct Entry {
    std::vector<std::string> Versions; ///< version N is at N - 1
    std::size_t Pinned = 0;            ///< version to serve; 0: the latest
    std::uint64_t Reads = 0;

    std::size_t servedVersion() const {
      return Pinned == 0 ? Versions.size() : Pinned;
    }
  };
  struct Watch {
    std::string Key;
    std::size_t After = 0;
    RawConnectionPtr Connection;
    transport::TimerId Timer = 0;
  };

  void handle(const transport::HttpRequest &request,
              const RawConnectionPtr &conn);
  void read(const std::string &key, std::size_t after, double waitMs,
            const RawConnectionPtr &conn);
  bool countRead();
  void addWatch(const std::string &key, std::size_t after, double waitMs,
                const RawConnectionPtr &conn);
  void notifyWatches(const std::string &key);
  void sendEntry(const std::string &key, const RawConnectionPtr &conn);
  void sendDelayed(transport::HttpResponse response,
                   const RawConnectionPtr &conn);
  std::size_t setValue(const std::string &key, std::string value);
  bool setVms(const nlohmann::json &document, double lagMs);
  transport::HttpResponse control(const transport::HttpRequest &request);
  std::string applyMode(const nlohmann::json &changes);
  void updatePins(bool wasStale);
  void updateListener();
  std::string stats() const;

  transport::EventLoop &Loop;
  transport::SocketAddress Address;
  RawHttpServer Service;
  std::unique_ptr<transport::HttpServer> Control;
  std::map<std::string, Entry> Entries; ///< by key; "vms" is the VM list
  std::list<Watch> Watches;
  std::string Down = "off";
  bool Stale = false;
  double VmLagMs = 0;
  double LatencyMs = 0;
  double ReadLimit = 0;
  std::uint64_t Reads = 0;
  std::uint64_t RejectedReads = 0;
  std::uint64_t HungRequests = 0;
  std::deque<state::TimePoint> RecentReads; ///< times in the last second
  std::size_t PeakReadsPerSecond = 0;
};

} // namespace galenaflow::standin

#endif
