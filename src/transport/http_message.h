#ifndef GALENAFLOW_TRANSPORT_HTTP_MESSAGE_H
#define GALENAFLOW_TRANSPORT_HTTP_MESSAGE_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenaflow::transport {

/// Whether two texts are equal, ignoring the case of ASCII letters.
bool equalIgnoringCase(std::string_view a, std::string_view b);

/// Whether a comma-separated header value contains `token`, ignoring case.
bool listContains(std::string_view value, std::string_view token);

/// Stores header fields in order. Names are compared without regard to case.
class HttpHeaders {
public:
  void add(std::string_view name, std::string_view value);
  std::optional<std::string_view> find(std::string_view name) const;
  const std::vector<std::pair<std::string, std::string>> &items() const {
    return Items;
  }
  std::vector<std::pair<std::string, std::string>> takeItems() && {
    return std::move(Items);
  }

private:
  std::vector<std::pair<std::string, std::string>> Items;
};

/// Rules for what a client accepts as the response to its request.
struct ResponseRules {
  /// Name of a header that the peer copies from the request into its response.
  /// A response with another value belongs to an earlier request and is
  /// dropped. No header is checked when the name is empty.
  std::string EchoHeader;

  /// Whether a body that is delimited by the end of the connection is accepted.
  bool AcceptUnframed = false;
};

struct HttpRequest {
  std::string Method;
  std::string Path; ///< including the query string
  HttpHeaders Headers;
  std::string Body;

  /// Value of the Host header. A client sends the address of the peer when it
  /// is empty.
  std::string Host{};

  /// Sent in place of Body if it is set. Requests with the same body share it.
  /// Used by clients only.
  std::shared_ptr<const std::string> SharedBody{};

  /// Counts a received request in ClientMemory for as long as it exists. To be
  /// passed on with the body.
  std::shared_ptr<const void> Hold{};

  /// Used by clients only.
  ResponseRules Rules{};

  const std::string &body() const { return SharedBody ? *SharedBody : Body; }
};

struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;

  /// Counts a received response in ReceiveLimits for as long as it exists. To
  /// be passed on with the body.
  std::shared_ptr<const void> Hold{};
};

/// A JSON response with its content type set.
HttpResponse jsonResponse(int status, std::string body);

} // namespace galenaflow::transport

#endif
