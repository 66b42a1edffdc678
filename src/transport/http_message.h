#ifndef GALENAFLOW_TRANSPORT_HTTP_MESSAGE_H
#define GALENAFLOW_TRANSPORT_HTTP_MESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenaflow::transport {

/// Header fields in order. Names compare without case.
class HttpHeaders {
public:
  void add(std::string_view name, std::string_view value);
  std::optional<std::string_view> find(std::string_view name) const;
  const std::vector<std::pair<std::string, std::string>> &items() const {
    return Items;
  }

private:
  std::vector<std::pair<std::string, std::string>> Items;
};

struct HttpRequest {
  std::string Method;
  std::string Path; ///< with the query string
  HttpHeaders Headers;
  std::string Body;
};

struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

/// A JSON response with its content type set.
HttpResponse jsonResponse(int status, std::string body);

} // namespace galenaflow::transport

#endif
