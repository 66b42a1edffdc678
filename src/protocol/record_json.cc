// Times are in a readable format, because people compare them with the times
// that a customer reports. Durations are in milliseconds with fractions.
#include "protocol/record_json.h"

#include "protocol/json_reader.h"

#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace galenaflow::protocol {

using nlohmann::json;

namespace {

double milliseconds(state::Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

json eventsToJson(const std::vector<state::RecordEvent> &events) {
  json items = json::array();
  for (const state::RecordEvent &event : events)
    items.push_back(
        {{"after_ms", milliseconds(event.After)}, {"event", event.Text}});
  return items;
}

json toJson(const state::RequestRecord &record) {
  return {{"request_id", record.RequestId},
          {"idempotency_key", record.IdempotencyKey},
          {"customer", record.CustomerId},
          {"plan", record.PlanId},
          {"operation", state::operationName(record.Operation)},
          {"service", record.Service},
          {"started", isoTime(record.Started)},
          {"took_ms", milliseconds(record.Elapsed)},
          {"outcome", record.Outcome},
          {"ran", state::executionStateName(record.Ran)},
          {"snapshot", record.Snapshot},
          {"shards_asked", record.ShardsAsked},
          {"shards_answered", record.ShardsAnswered},
          {"sub_requests", record.SubRequests},
          {"hedges", record.Hedges},
          {"retries", record.Retries},
          {"daemon", record.DaemonId},
          {"events", eventsToJson(record.Events)}};
}

} // namespace

std::string isoTime(state::WallMillis time) {
  const std::int64_t ms = time.count();
  const std::time_t seconds = ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> buf{};
  const std::size_t n =
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::string fraction = std::to_string(1000 + ms % 1000);
  fraction.front() = '.';
  return std::string(buf.data(), n) + fraction + "Z";
}

std::string renderRecord(const state::RequestRecord &record) {
  return dumpJson(toJson(record));
}

std::string renderRecordLookup(const RecordLookup &lookup) {
  json records = json::array();
  for (const state::RequestRecord &record : lookup.Records)
    records.push_back(toJson(record));
  json value = {{"daemon", lookup.DaemonId},
                {"reaches_back_to", nullptr},
                {"records", std::move(records)}};
  if (lookup.ReachesBackTo)
    value["reaches_back_to"] = isoTime(*lookup.ReachesBackTo);
  return dumpJson(value);
}

} // namespace galenaflow::protocol
