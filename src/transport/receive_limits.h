#ifndef GALENAFLOW_TRANSPORT_RECEIVE_LIMITS_H
#define GALENAFLOW_TRANSPORT_RECEIVE_LIMITS_H

#include "state/metrics.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace galenaflow::transport {

/// A limit on what a server may send as the response to one request.
enum class ResponseLimit {
  None,             ///< no limit was exceeded
  HeadBytes,        ///< HttpResponseParserOptions::MaxHeadBytes
  InterimResponses, ///< HttpResponseParserOptions::MaxInterimResponses
  BodyBytes,        ///< HttpResponseParserOptions::MaxBodyBytes
  FramingBytes,     ///< HttpResponseParserOptions::MaxFramingBytes
  SkippedResponses, ///< HttpConnection::MaxSkippedResponses
  ProcessBytes,     ///< ReceiveLimits
};
constexpr std::size_t ResponseLimitCount = 7;

/// The name of the limit in snake_case, for logs and metrics.
std::string_view responseLimitName(ResponseLimit limit);

/// Limits the bytes of all responses that this process holds, from their first
/// byte until they have been passed on to a caller or are no longer needed, and
/// counts the responses that exceeded any limit.
class ReceiveLimits {
public:
  /// Sets the limit in bytes. A quarter of it is reserved for small responses,
  /// so that a few servers that send too much do not make the responses of all
  /// others fail.
  void setProcessBytes(std::size_t n) { ProcessBytes = n; }
  std::size_t processBytes() const { return ProcessBytes; }

  /// A response grows from `before` to `after` bytes. Returns false, and
  /// records nothing, when that would exceed the limit.
  bool tryGrow(std::size_t before, std::size_t after);

  /// Releases the bytes of a response.
  void release(std::size_t n) { *HeldBytes -= n; }

  /// Returns an object that releases these bytes when it is destroyed. It may
  /// outlive this one.
  std::shared_ptr<const void> makeHold(std::size_t n) const;

  std::size_t heldBytes() const { return *HeldBytes; }

  void countExceeded(ResponseLimit limit) {
    ++Exceeded[static_cast<std::size_t>(limit)];
  }
  std::uint64_t exceeded(ResponseLimit limit) const {
    return Exceeded[static_cast<std::size_t>(limit)];
  }

  /// Writes the counts and the bytes held to `metrics`.
  void exportTo(state::MetricRegistry &metrics) const;

  static constexpr std::size_t DefaultProcessBytes = std::size_t{32} << 20;

  /// Responses up to this number of bytes may use the reserve.
  static constexpr std::size_t SmallResponseBytes = std::size_t{16} << 10;

private:
  std::size_t ProcessBytes = DefaultProcessBytes;
  std::shared_ptr<std::size_t> HeldBytes = std::make_shared<std::size_t>(0);
  std::array<std::uint64_t, ResponseLimitCount> Exceeded{};
};

} // namespace galenaflow::transport

#endif
