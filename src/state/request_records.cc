// Records are numbered in order of arrival. The index maps ids and keys to
// numbers; a number minus that of the oldest record is the position in the
// deque. One key can have several records, because callers resubmit a write
// under the same key.
#include "state/request_records.h"

#include <algorithm>

namespace galenaflow::state {

namespace {

/// Memory of two index entries with their nodes and key strings.
constexpr std::size_t IndexBytes = 192;

} // namespace

void RequestRecord::addEvent(Duration after, std::string_view text) {
  if (Events.size() < MaxEvents)
    Events.push_back({after, std::string(text)});
}

std::size_t RequestRecord::bytes() const {
  std::size_t n = sizeof(RequestRecord) + IndexBytes;
  // Ids and keys are stored twice: in the record and in the index.
  n += 2 * (RequestId.size() + IdempotencyKey.size());
  n += CustomerId.size() + PlanId.size() + Service.size() + Outcome.size();
  n += DaemonId.size();
  for (const RecordEvent &event : Events)
    n += sizeof(RecordEvent) + event.Text.size();
  return n;
}

void RequestRecordRing::add(RequestRecord record) {
  const std::size_t n = record.bytes();
  if (n > MaxBytes) {
    NewestEvicted =
        std::max(NewestEvicted.value_or(record.Started), record.Started);
    return;
  }
  while (Bytes + n > MaxBytes)
    evictOldest();
  const std::uint64_t number = FirstNumber + Records.size();
  index(record.RequestId, number);
  if (record.IdempotencyKey != record.RequestId)
    index(record.IdempotencyKey, number);
  Bytes += n;
  Records.push_back(std::move(record));
}

void RequestRecordRing::evictOldest() {
  const RequestRecord &oldest = Records.front();
  NewestEvicted =
      std::max(NewestEvicted.value_or(oldest.Started), oldest.Started);
  unindex(oldest.RequestId, FirstNumber);
  unindex(oldest.IdempotencyKey, FirstNumber);
  Bytes -= oldest.bytes();
  Records.pop_front();
  ++FirstNumber;
}

void RequestRecordRing::index(const std::string &name, std::uint64_t number) {
  if (!name.empty())
    NumbersByName.emplace(name, number);
}

void RequestRecordRing::unindex(const std::string &name, std::uint64_t number) {
  const auto [first, last] = NumbersByName.equal_range(name);
  for (auto it = first; it != last; ++it) {
    if (it->second == number) {
      NumbersByName.erase(it);
      return;
    }
  }
}

std::vector<const RequestRecord *>
RequestRecordRing::find(std::string_view idOrKey) const {
  std::vector<std::uint64_t> numbers;
  const auto [first, last] = NumbersByName.equal_range(std::string(idOrKey));
  for (auto it = first; it != last; ++it)
    numbers.push_back(it->second);
  std::sort(numbers.rbegin(), numbers.rend());
  std::vector<const RequestRecord *> found;
  found.reserve(numbers.size());
  for (const std::uint64_t number : numbers)
    found.push_back(&Records[number - FirstNumber]);
  return found;
}

std::optional<WallMillis> RequestRecordRing::reachesBackTo() const {
  return NewestEvicted;
}

} // namespace galenaflow::state
