#ifndef GALENAFLOW_PLATFORM_TESTS_METADATA_STORE_H
#define GALENAFLOW_PLATFORM_TESTS_METADATA_STORE_H

#include "standin/raw_http_server.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenaflow::standin {

/// How the store treats its callers at present.
struct StoreFaults {
  bool Refuse = false;      ///< 503 to every call
  bool Silent = false;      ///< no answer at all
  bool Reset = false;       ///< connections are reset
  bool Throttle = false;    ///< 429 to every call
  int LoseNext = 0;         ///< answers of so many calls are lost
  bool HideChanges = false; ///< watches hear nothing
};

/// A small stand-in of the platform's metadata store: items with revisions,
/// pages, changes after a revision, and a history that can be dropped.
class MetadataStore {
public:
  explicit MetadataStore(transport::EventLoop &loop);

  transport::SocketAddress listen();

  void put(const std::string &key, const std::string &value);
  void remove(const std::string &key);

  /// Forgets the changes up to now.
  void dropHistory();

  StoreFaults &faults() { return Faults; }
  std::uint64_t calls() const { return Calls; }
  std::size_t PageSize = 500;

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Json;
  };

  void onRequest(const transport::HttpRequest &request,
                 const RawConnectionPtr &connection);
  transport::HttpResponse range(const std::string &prefix,
                                const std::string &after) const;
  transport::HttpResponse watch(const std::string &prefix,
                                std::uint64_t after) const;

  RawHttpServer Server;
  StoreFaults Faults;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::uint64_t Revision = 400;
  std::uint64_t FirstRevision = 400; ///< changes after it are known
  std::uint64_t Calls = 0;
};

std::string encodeBase64(std::string_view bytes);

} // namespace galenaflow::standin

#endif
