#include "platform/caller_codec.h"
#include "platform/metadata_store.h"
#include "platform/replica_codec.h"
#include "platform/store_codec.h"
#include "state/request_limit.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace galenaflow;
using namespace galenaflow::platform;
using coordination::AttemptEnd;
using coordination::AttemptFailure;
using coordination::BackendResponse;

namespace {

constexpr std::string_view Config = R"({"version":7,"routes":[
 {"name":"r1","host":"h","prefix":"/a/","route_type":"safe","timeout_ms":250,
  "target_latency_ms":40,"priority":2,"fanout":["s1","s2"],"max_attempts":2,
  "top_k":5,"min_shard_ratio":0.75},
 {"name":"r2","host":"h","prefix":"/b/","route_type":"unsafe",
  "timeout_ms":1500,"service":"s1"},
 {"name":"r3","host":"h","prefix":"/c/","route_type":"safe",
  "timeout_ms":1500,"traffic_split":[{"service":"s1","weight":3},
  {"service":"s2","weight":1.5}]}],
 "services":[{"name":"s1","health_path":"/health","max_conns":26}],
 "limits":{"max_header_bytes":100,"max_body_bytes":200,
 "header_timeout_ms":3000,"idle_timeout_ms":15000},"future":1})";

transport::HttpResponse
response(int status,
         const std::vector<std::pair<std::string, std::string>> &headers) {
  transport::HttpResponse it;
  it.Status = status;
  for (const auto &[name, value] : headers)
    it.Headers.add(name, value);
  return it;
}

/// Config with the first occurrence of `from` replaced.
std::string changedConfig(std::string_view from, std::string_view to) {
  std::string text(Config);
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

/// The routes of Config after such a change.
state::RouteTablePtr changedTable(std::string_view from, std::string_view to) {
  INFO(from << " -> " << to);
  const auto table = decodeRoutes(changedConfig(from, to));
  REQUIRE(table);
  return *table;
}

/// The route for `path` in them.
state::Route changedRoute(std::string_view path, std::string_view from,
                          std::string_view to) {
  INFO(from << " -> " << to);
  const state::RouteTablePtr table = changedTable(from, to);
  const state::Route *route = table->match("h", path);
  REQUIRE(route);
  return *route;
}

AttemptEnd decodeEnd(transport::HttpResult result) {
  const auto decoded = ReplicaCodec().decode({}, std::move(result));
  return std::get<AttemptFailure>(decoded.Outcome).End;
}

} // namespace

TEST_CASE("a configuration is decoded into routes, services and limits") {
  const auto table = decodeRoutes(Config);
  REQUIRE(table);
  CHECK((*table)->version() == 7);
  const state::Route *sharded = (*table)->match("h", "/a/x");
  REQUIRE(sharded);
  CHECK(sharded->IsIdempotent);
  CHECK(sharded->Shards.Services == std::vector<std::string>{"s1", "s2"});
  CHECK(sharded->Shards.TopK == 5);
  CHECK(sharded->Shards.MinShardRatio == Approx(0.75));
  CHECK(sharded->LatencyObjective == std::chrono::milliseconds(40));
  CHECK_FALSE((*table)->match("h", "/b/x")->IsIdempotent);
  CHECK((*table)->match("h", "/b/x")->MaxAttempts == 1);
  const state::Route *split = (*table)->match("h", "/c/x");
  REQUIRE(split->Targets.size() == 2);
  CHECK(split->Targets[1].Weight == Approx(1.5));
  CHECK((*table)->services().at("s1").ConnectionLimit == 26);
  CHECK((*table)->limits().MaxBodyBytes == 200);
}

// Guards against a version that is never in force, nor any later one, because
// one field has a form that this program does not know.
TEST_CASE("a field in an unknown form leaves the rest of the configuration in "
          "force") {
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  const std::vector<std::string> values = {
      "null",        "true",      "-1",         "2.5",
      "1e3",         "1e400",     "-1e400",     "99999999999999999999999999",
      "\"\"",        "\"maybe\"", "{}",         "[]",
      "[null]",      "[{}]",      R"({"a":1})", "\"\xff\"",
      R"("\ud800")", deep};
  const std::vector<std::string> fields = {
      R"("r1")",   R"("h")",
      R"("/a/")",  R"("safe")",
      "250",       "40",
      "2,",        R"(["s1","s2"])",
      R"("s2"])",  "5,",
      "0.75",      R"("unsafe")",
      R"("s1"},)", R"("s1")",
      "26",        R"([{"name":"s1","health_path":"/health","max_conns":26}])",
      "100",       "200",
      "3000",      "15000"};
  for (const std::string &field : fields)
    for (std::string value : values) {
      // Some are found by the character that follows.
      if (std::string("],}").find(field.back()) != std::string::npos &&
          field.front() != '[')
        value += field.substr(field.find_first_of("],}"));
      INFO(field << " -> " << value.substr(0, 40));
      const auto table = decodeRoutes(changedConfig(field, value));
      REQUIRE(table);
      CHECK((*table)->version() == 7);
      const state::Route *last = (*table)->match("h", "/c/x");
      REQUIRE(last);
      CHECK(last->IsIdempotent);
      CHECK(last->Timeout == std::chrono::milliseconds(1500));
      CHECK(last->Targets.size() == 2);
    }
}

TEST_CASE("a number is read in every form that states it") {
  CHECK(changedRoute("/a/x", R"("max_attempts":2)", R"("max_attempts":3.0)")
            .MaxAttempts == 3);
  CHECK(changedRoute("/a/x", R"("top_k":5)", R"("top_k":1e1)").Shards.TopK ==
        10);
  CHECK(changedRoute("/a/x", R"("top_k":5)", R"("top_k":0.5E+1)").Shards.TopK ==
        5);
  CHECK(changedRoute("/a/x", R"("timeout_ms":250)", R"("timeout_ms":2.5e2)")
            .Timeout == std::chrono::milliseconds(250));
  CHECK(changedRoute("/a/x", R"("timeout_ms":250)", R"("timeout_ms":1e400)")
            .Timeout == std::chrono::hours(24));
  const auto version = [](std::string_view text) {
    const auto table =
        decodeRoutes(changedConfig(":7", ":" + std::string(text)));
    return table ? std::to_string((*table)->version()) : "none";
  };
  CHECK(version("7.0") == "7");
  CHECK(version("0.7e1") == "7");
  CHECK(version("1e3") == "1000");
  CHECK(version("9007199254740993") == "9007199254740993");
  CHECK(version("9007199254740993.0") == "9007199254740993");
  CHECK(version("900719925474099300e-2") == "9007199254740993");
  CHECK(version("18446744073709551615") == "18446744073709551615");
  for (const char *bad : {"18446744073709551616", "1e400", "-1", "7.5", "null",
                          "\"7\"", "7.", "07", "1e", "-", "1.e1", "--1"}) {
    INFO(bad);
    CHECK(version(bad) == "none");
  }
}

// Guards against a guess that lets a request run twice, more often than it may,
// or at a service of another route.
TEST_CASE("what cannot be read of a route is replaced by what is strictest") {
  for (const char *type : {"\"maybe\"", "null", "true", "\"Safe\""})
    CHECK_FALSE(changedRoute("/c/x", R"("/c/","route_type":"safe")",
                             R"("/c/","route_type":)" + std::string(type))
                    .IsIdempotent);
  for (const char *n : {"null", "\"3\"", "-4", "0", "1.9", "[3]", "-1e400"})
    CHECK(changedRoute("/a/x", R"("max_attempts":2)",
                       R"("max_attempts":)" + std::string(n))
              .MaxAttempts == 1);
  CHECK(changedRoute("/a/x", R"("max_attempts":2)",
                     R"("max_attempts":18446744073709551616)")
            .MaxAttempts <= 1000);
  for (const char *ratio : {"null", "\"0.5\"", "7", "1e400"})
    CHECK(changedRoute("/a/x", "0.75", ratio).Shards.MinShardRatio == 1);
  for (const char *priority : {"-3", "null", "\"1\""})
    CHECK(changedRoute("/a/x", R"("priority":2)",
                       R"("priority":)" + std::string(priority))
              .Priority == 0);
  CHECK(changedRoute("/a/x", R"("priority":2)", R"("priority":4294967295)")
            .Priority > 1000);
  for (const char *timeout : {"null", "-5", "0", "\"x\""})
    CHECK(changedRoute("/a/x", "250", timeout).Timeout ==
          std::chrono::seconds(30));
}

// Guards against an answer that lacks parts and states none missing, and
// against one in which a part counts twice.
TEST_CASE("a set of shards is used as published or not at all") {
  const std::string set = R"(["s1","s2"])";
  for (const char *bad :
       {R"(["s1",null])", R"(["s1",{"service":"s2"}])", R"(["s1",""])",
        R"({"s1":1})", "\"s1\"", "1", R"(["s1","\ud800"])"})
    CHECK_FALSE(changedRoute("/a/x", set, bad).hasServices());
  for (const char *count : {"null", "\"5\"", "-1", "2.5"})
    CHECK_FALSE(
        changedRoute("/a/x", R"("top_k":5)", R"("top_k":)" + std::string(count))
            .hasServices());
  CHECK(changedRoute("/a/x", set, R"(["s1","s2","s1"])").Shards.Services ==
        std::vector<std::string>{"s1", "s2"});
  CHECK_FALSE(changedRoute("/b/x", R"("service":"s1"})",
                           R"("service":"s1","fanout":"s2"})")
                  .hasServices());
  CHECK(changedRoute("/b/x", R"("service":"s1"})",
                     R"("service":"s1","fanout":[],"traffic_split":null})")
            .Targets.size() == 1);
}

TEST_CASE("a part of a split without a service is left out, and one without a "
          "weight has the mean weight") {
  const std::string parts =
      R"([{"service":"s1","weight":3},
  {"service":"s2","weight":1.5}])";
  const auto weights = [&parts](std::string_view changed) {
    std::vector<double> all;
    for (const auto &it : changedRoute("/c/x", parts, changed).Targets)
      all.push_back(it.Weight);
    return all;
  };
  using Weights = std::vector<double>;
  CHECK(weights(R"([{"service":"a","weight":60},{"service":7,"weight":9},3,
                    {"service":"b","weight":20},{"service":"c"},
                    {"service":"d","weight":"1"},
                    {"service":"e","weight":null}])") ==
        Weights{60, 20, 40, 40, 40});
  CHECK(weights(R"([{"service":"a"},{"service":"b","weight":{}}])") ==
        Weights{1, 1});
  CHECK(
      weights(R"([{"service":"a","weight":-2},{"service":"b","weight":4}])") ==
      Weights{0, 4});
  CHECK(weights(R"([{"service":"a","weight":1e308},
                    {"service":"b","weight":5e307}])") == Weights{1, 0.5});
  CHECK(weights(R"([{"service":"a","weight":-1},{"service":"b"}])") ==
        Weights{0, 1});
  CHECK(weights("[1,2]").empty());
}

// Guards against requests that a route with a shorter prefix sends to its own
// service, since the one that they belong to cannot be read.
TEST_CASE("a route whose services cannot be read matches its requests") {
  const auto table = decodeRoutes(
      R"({"version":3,"routes":[
        {"host":"h","prefix":"/","route_type":"safe","service":"s1"},
        {"host":"h","prefix":"/a/","route_type":"unsafe","service":5},
        {"host":"h","prefix":"b","route_type":"safe","service":"s1"},
        {"host":7,"prefix":"/c/","route_type":"safe","service":"s1"},4]})");
  REQUIRE(table);
  CHECK((*table)->routes().size() == 2);
  CHECK((*table)->match("h", "/x")->hasServices());
  REQUIRE((*table)->match("h", "/a/x"));
  CHECK((*table)->match("h", "/a/x")->Prefix == "/a/");
  CHECK_FALSE((*table)->match("h", "/a/x")->hasServices());
  std::vector<std::string> places;
  for (const state::Finding &it : (*table)->findings().items())
    places.push_back(it.Place);
  CHECK(places == std::vector<std::string>{
                      "/routes/1/service", "/routes/2/prefix", "/routes/3/host",
                      "/routes/4/host", "/routes/4/prefix"});
}

// Guards against an executor that runs a request with the shards of another
// route: routes are told apart by their names there.
TEST_CASE("routes without a name of their own get one") {
  const auto table = decodeRoutes(
      R"({"version":3,"routes":[
        {"host":"h","prefix":"/a/","route_type":"safe","service":"s"},
        {"host":"h","prefix":"/b/","route_type":"safe","service":"s","name":5},
        {"host":"h","prefix":"/c/","route_type":"safe","service":"s",
         "name":"h/d/"},
        {"host":"h","prefix":"/d/","route_type":"safe","service":"s"},
        {"host":"h","prefix":"/e/","route_type":"safe","service":"s",
         "name":"h/a/"}]})");
  REQUIRE(table);
  std::set<std::string> names;
  for (const state::Route &it : (*table)->routes())
    names.insert(it.Name);
  CHECK(names.size() == 5);
}

TEST_CASE("limits and services that cannot be read have their defaults") {
  const state::CallerLimits usual;
  for (const char *bad : {"0", "-1", "null", "\"x\"", "[]"}) {
    INFO(bad);
    const auto limits = changedTable("15000", bad)->limits();
    CHECK(limits.IdleTimeout == usual.IdleTimeout);
    CHECK(limits.MaxBodyBytes == 200);
    CHECK(changedTable("200", bad)->limits().MaxBodyBytes ==
          usual.MaxBodyBytes);
    CHECK(changedTable("26", bad)->services().at("s1").ConnectionLimit == 1);
  }
  const auto table = decodeRoutes(changedConfig(
      R"([{"name":"s1",)", R"([5,{"max_conns":9},{"name":"s1","max_conns":40},
                              {"name":"s1",)"));
  REQUIRE(table);
  CHECK((*table)->services().size() == 1);
  CHECK((*table)->services().at("s1").ConnectionLimit == 26);
}

TEST_CASE("text that is not UTF-8 is no name, and other text is kept") {
  const auto named = [](const std::string &service) {
    return changedRoute("/b/x", R"("service":"s1"})",
                        R"("service":")" + service + R"("})");
  };
  for (const std::string good :
       {"\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80", "\xef\xbf\xbd"}) {
    REQUIRE(named(good).hasServices());
    CHECK(named(good).Targets[0].Service == good);
  }
  CHECK(named(R"(\ud83d\ude00)").Targets[0].Service == "\xf0\x9f\x98\x80");
  CHECK(named(R"(a\"\\\u0041)").Targets[0].Service == "a\"\\A");
  CHECK(named("1e3").Targets[0].Service == "1e3");
  for (const std::string bad :
       {"\xff", "\xc3", "\xc0\x80", "\xed\xa0\x80", "\xf5\x80\x80\x80",
        "\xe2\x82", "\\ud800", "\\udc00", "\\ud800\\u0041", "\\ud800x"})
    CHECK_FALSE(named(bad).hasServices());
  // Elsewhere it changes nothing.
  const auto table =
      decodeRoutes(changedConfig("\"future\":1", "\"future\":\"\xff\""));
  REQUIRE(table);
  CHECK((*table)->findings().empty());
}

TEST_CASE("a configuration without a version, a list of routes or JSON is "
          "rejected with a finding for each") {
  const auto places = [](std::string_view text) {
    const auto table = decodeRoutes(text);
    REQUIRE_FALSE(table);
    std::vector<std::string> found;
    for (const state::Finding &finding : table.error().items())
      found.push_back(finding.Place);
    return found;
  };
  using Places = std::vector<std::string>;
  CHECK(places("{}") == Places{"/version", "/routes"});
  CHECK(places(R"({"routes":[]})") == Places{"/version"});
  CHECK(places(R"({"version":1,"routes":{}})") == Places{"/routes"});
  CHECK(places(R"({"version":1,"routes":[])") ==
        Places{"/", "/version", "/routes"});
  CHECK(places("") == Places{"/", "/version", "/routes"});
}

TEST_CASE("each part that is replaced or left out is stated with its place") {
  CHECK((*decodeRoutes(Config))->findings().empty());
  const auto table = decodeRoutes(
      R"({"version":1,"routes":[{"host":"h","prefix":"/a/",
          "route_type":"maybe","timeout_ms":"x","priority":-1,
          "max_attempts":null}],"limits":3})");
  REQUIRE(table);
  CHECK((*table)->findings().toText() ==
        "/routes/0/route_type: got \"maybe\", expected safe or unsafe; "
        "/routes/0/timeout_ms: got \"x\", expected a number; "
        "/routes/0/priority: got -1, expected a number from 0.0 to 1000000.0; "
        "/routes/0/service: got nothing, expected a name; "
        "/limits: got 3, expected an object");
}

TEST_CASE("a malformed entry of another program is not decoded as a replica") {
  constexpr std::string_view good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":2,
          "version":"v1","state":"draining","cold_left_ms":5,"seq":1,"born":12})";
  const auto record = decodeReplica("i-1", good);
  REQUIRE(record);
  CHECK(record->Draining);
  CHECK(record->Incarnation == 12);
  CHECK(record->ColdRemaining == std::chrono::milliseconds(5));
  for (
      const std::string_view bad :
      {"", "[]", "{}", "\xff\xfe",
       R"({"service":"s","address":"x","zone":"z","slots":2,"state":"ready"})",
       R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":"2","state":"ready"})",
       R"({"service":7,"address":"1.1.1.1:1","zone":"z","slots":2,"state":"ready"})",
       R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":2,"state":"gone"})",
       R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":2,"state":"ready","born":"x"})"}) {
    INFO(bad);
    CHECK_FALSE(decodeReplica("i-1", bad));
  }
}

TEST_CASE("the cold rate of a service is read, and is none by default") {
  const auto table = decodeRoutes(
      R"({"version":1,"routes":[],"services":[
          {"name":"a","max_conns":2,"cold_start_s":8.5,"cold_per_s":6},
          {"name":"b","max_conns":2},
          {"name":"c","max_conns":2,"cold_start_s":-1,"cold_per_s":"6"}]})");
  REQUIRE(table);
  const auto &services = (*table)->services();
  CHECK(services.at("a").ColdDuration == std::chrono::milliseconds(8500));
  CHECK(services.at("a").ColdRequestRate == 6);
  CHECK(services.at("b").ColdDuration == state::Duration(0));
  CHECK(services.at("b").ColdRequestRate == 0);
  CHECK(services.at("c").ColdDuration == state::Duration(0));
  CHECK(services.at("c").ColdRequestRate == 0);
  std::vector<std::string> places;
  for (const auto &it : (*table)->findings().items())
    places.push_back(it.Place);
  CHECK(places == std::vector<std::string>{"/services/2/cold_start_s",
                                           "/services/2/cold_per_s"});
}

// Guards against a replica that is never used again for one damaged number.
TEST_CASE("a cold time out of range is ignored") {
  CHECK(decodeColdTime("3000") == std::chrono::seconds(3));
  CHECK(decodeColdTime(" 0 ") == state::Duration(0));
  CHECK(decodeColdTime("3600000") == MaxColdTime);
  for (const char *bad : {"", "-1", "3600001", "1e300", "nan", "inf", "3s"}) {
    INFO(bad);
    CHECK_FALSE(decodeColdTime(bad));
  }
}

// Guards against requests to a replica of another service, because another
// writer's entry stands under its id.
TEST_CASE("an entry names a replica only with all fields in their types") {
  using nlohmann::json;
  const json whole = {{"service", "s"},    {"address", "10.0.0.1:80"},
                      {"zone", "z"},       {"version", "v1"},
                      {"slots", 2},        {"state", "ready"},
                      {"cold_left_ms", 5}, {"seq", 1}};
  REQUIRE(decodeReplica("a", whole.dump()));
  const auto decodeWith = [&whole](const std::string &name, const json &value) {
    json entry = whole;
    entry[name] = value;
    INFO(entry.dump());
    return decodeReplica("a", entry.dump()).has_value();
  };
  for (const auto &[name, value] : whole.items()) {
    INFO(name);
    json entry = whole;
    entry.erase(name);
    CHECK_FALSE(decodeReplica("a", entry.dump()));
    const json other = value.is_string() ? json(7) : json("7");
    for (const json &wrong :
         {other, json(nullptr), json(true), json::array(), json::object()})
      CHECK_FALSE(decodeWith(name, wrong));
  }
  for (const char *name : {"slots", "seq", "born"})
    for (const json &wrong : {json(-1), json(1.5), json(1e30)}) {
      INFO(name << wrong);
      CHECK_FALSE(decodeWith(name, wrong));
    }
}

// Guards against the loss of a sound replica that writes its numbers in another
// form.
TEST_CASE("a whole number of an entry may be written with a fraction or an "
          "exponent") {
  const auto record = decodeReplica(
      "a", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":3.0,
              "version":"v1","state":"ready","cold_left_ms":0.5,"seq":1e3,
              "born":1.7e12})");
  REQUIRE(record);
  CHECK(record->Slots == 3);
  CHECK(record->Incarnation == 1'700'000'000'000);
  CHECK(record->ColdRemaining == std::chrono::microseconds(500));
}

TEST_CASE(
    "decoded changes have the revision of the last one, and an unreadable "
    "value counts as a removal") {
  const std::string value = standin::encodeBase64(
      R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,"state":"ready",
          "version":"v1","cold_left_ms":0,"seq":1})");
  const auto content = decodeChanges(
      R"({"events":[{"key":"servers/a","value":")" + value +
      R"(","rev":5},{"key":"servers/b","rev":6,"removed":true},)" +
      R"({"key":"servers/c","value":"!!!!","rev":7},)" +
      R"({"key":"other/x","value":"","rev":8},{"rev":9},3],)" +
      R"("store_revision":20})");
  REQUIRE(content);
  CHECK(content->Position == state::DirectoryPosition{0, 9});
  REQUIRE(content->Changes.size() == 3);
  CHECK_FALSE(content->Changes[0].Removed);
  CHECK(content->Changes[1].Removed);
  CHECK(content->Changes[2].Removed);
  CHECK_FALSE(decodeChanges("{}"));
  CHECK_FALSE(decodePage(R"({"items":[]})"));
}

// Guards against evacuations that are missed because of their value, and names
// that no replica can have.
TEST_CASE(
    "evacuations are decoded by their keys, in the order of the changes") {
  using state::EvacuationChange;
  const std::string longName(256, 'z');
  const auto changes = decodeChanges(
      R"({"events":[{"key":"op/evacuate/z1","value":"e30=","rev":5},)"
      R"({"key":"op/evacuate/z2","value":"!!!!","rev":6},)"
      R"({"key":"op/evacuate/","value":"e30=","rev":7},)"
      R"({"key":"op/evacuate","value":"e30=","rev":7},)"
      R"({"key":"op/evacuated/z4","value":"e30=","rev":7},)"
      R"({"key":"op/evacuate/)" +
      longName +
      R"(","value":"e30=","rev":7},)"
      R"({"key":"op/evacuate/z1","rev":8,"removed":true},)"
      R"({"key":"op/evacuate/a/b c","rev":9}],"store_revision":20})");
  REQUIRE(changes);
  CHECK(changes->Evacuations ==
        std::vector<EvacuationChange>{
            {"z1", true}, {"z2", true}, {"z1", false}, {"a/b c", true}});
  CHECK(changes->Changes.empty());
  CHECK(changes->Position == state::DirectoryPosition{0, 9});
  const auto page = decodePage(
      R"({"items":[{"key":"op/config","value":""},)"
      R"({"key":"op/evacuate/z1","value":"e30=","rev":3},)"
      R"({"key":"op/evacuate/z2","value":"","rev":4}],"store_revision":9})");
  REQUIRE(page);
  CHECK(page->Evacuations ==
        std::vector<EvacuationChange>{{"z1", true}, {"z2", true}});
}

// Guards against a configuration that is passed over in silence.
TEST_CASE("a configuration that cannot be read is reported with the reason") {
  const std::string good = standin::encodeBase64(Config);
  const auto event = [](const std::string &value, int revision) {
    return R"({"key":"op/config","rev":)" + std::to_string(revision) +
           (value.empty() ? "" : R"(,"value":)" + value) + "}";
  };
  const auto published = [](const std::string &events) {
    const auto content =
        decodeChanges(R"({"events":[)" + events + R"(],"store_revision":9})");
    REQUIRE(content);
    REQUIRE(content->Published);
    return *content;
  };
  const auto fault = [&](const std::string &value) {
    return published(event(value, 5)).Published->Fault;
  };
  CHECK(fault("").find("got no value") != std::string::npos);
  CHECK(fault("7").find("got no value") != std::string::npos);
  CHECK(fault("\"!!!!\"").find("base64") != std::string::npos);
  CHECK(fault("\"\"").find("JSON") != std::string::npos);
  CHECK(fault("\"e30=\"").find("/version") != std::string::npos);
  CHECK(fault("\"" + good + "\"").empty());
  const std::string bad = event("\"!!!!\"", 6);
  const std::string other = event("\"" + good + "\"", 5);
  const auto both = published(other + "," + bad);
  CHECK(both.Table->version() == 7);
  CHECK_FALSE(both.Published->Fault.empty());
  CHECK(both.Published->Position == state::DirectoryPosition{0, 6});
  CHECK(published(bad + "," + other).Published->Fault.empty());
  CHECK(published(bad + R"(,{"key":"op/config","rev":7,"removed":true})")
            .Published->Fault.empty());
  CHECK_FALSE(decodeChanges(R"({"events":[]})")->Published);
  const auto page =
      decodePage(R"({"items":[)" + bad + R"(],"store_revision":9})");
  REQUIRE(page);
  REQUIRE(page->Published);
  CHECK_FALSE(page->Published->Fault.empty());
  CHECK(page->Published->Position == state::DirectoryPosition{0, 9});
}

TEST_CASE("no response of the store makes a decoder throw") {
  rc::check([](std::uint16_t at, char byte) {
    std::string text(Config);
    text[at % text.size()] = byte;
    static_cast<void>(decodeRoutes(text));
    static_cast<void>(decodePage(text));
    static_cast<void>(decodeChanges(text));
    static_cast<void>(decodeReplica("i", text));
    static_cast<void>(decodeLoad(text));
  });
}

// Guards against a part in an unknown form that takes other routes out of
// force.
TEST_CASE("a mutation of one field of one route changes no other route") {
  using nlohmann::json;
  rc::check([] {
    const json original = json::parse(Config);
    json changed = original;
    const auto index = *rc::gen::inRange<std::size_t>(0, 3);
    json &route = changed["routes"][index];
    const auto at = *rc::gen::inRange<std::size_t>(0, route.size());
    auto field = route.begin();
    std::advance(field, static_cast<std::ptrdiff_t>(at));
    const json value = *rc::gen::element<json>(
        nullptr, false, -1, 3.0, 1e3, 1e300, 2.5, UINT64_MAX, "", "x",
        json::array(), json::object(), json::array({nullptr}),
        json::array({json::object()}), json{{"service", "s1"}});
    if (*rc::gen::arbitrary<bool>())
      *field = value;
    else if (*rc::gen::arbitrary<bool>())
      route.erase(field);
    else
      changed["routes"][index] = value;
    const auto before = decodeRoutes(original.dump());
    const auto after = decodeRoutes(changed.dump());
    RC_ASSERT(after.has_value());
    const char *paths[] = {"/a/x", "/b/x", "/c/x"};
    for (std::size_t i = 0; i != 3; ++i) {
      if (i == index)
        continue;
      const state::Route *one = (*before)->match("h", paths[i]);
      const state::Route *other = (*after)->match("h", paths[i]);
      RC_ASSERT(other != nullptr);
      RC_ASSERT(other->Prefix == one->Prefix);
      RC_ASSERT(other->IsIdempotent == one->IsIdempotent);
      RC_ASSERT(other->MaxAttempts == one->MaxAttempts);
      RC_ASSERT(other->Timeout == one->Timeout);
      RC_ASSERT(other->Shards.Services == one->Shards.Services);
      RC_ASSERT(other->Targets.size() == one->Targets.size());
    }
  });
}

TEST_CASE("the regions of a route are read, and an absent or empty list allows "
          "all") {
  const std::string from = R"("service":"s1"})";
  const auto changed = [&from](const std::string &regions) {
    return changedRoute("/b/x", from,
                        R"("service":"s1","allowed_regions":)" + regions + "}");
  };
  using Regions = std::vector<std::string>;
  CHECK(changed(R"(["eu","us"])").AllowedRegions == Regions{"eu", "us"});
  CHECK(changed(R"(["eu"])").isRestricted());
  CHECK_FALSE(changed(R"(["eu"])").IsNoRegionAllowed);
  for (const char *all : {"[]", "null"})
    CHECK_FALSE(changed(all).isRestricted());
  CHECK_FALSE(changedRoute("/b/x", from, from).isRestricted());
}

// Guards against a request that leaves its regions because their list has an
// unknown form.
TEST_CASE("a list of regions that cannot be read allows none") {
  const std::string from = R"("service":"s1"})";
  for (const std::string regions :
       {R"("eu")", R"({"eu":true})", "1", "true", "false", R"(["eu",1])",
        R"([""])", R"([null])", R"([["eu"]])", "[\"e\xff\"]"}) {
    INFO(regions);
    const auto table = changedTable(
        from, R"("service":"s1","allowed_regions":)" + regions + "}");
    const state::Route *route = table->match("h", "/b/x");
    REQUIRE(route != nullptr);
    CHECK(route->IsNoRegionAllowed);
    CHECK(route->isRestricted());
    CHECK(route->AllowedRegions.empty());
    CHECK(route->hasServices());
    REQUIRE(table->findings().items().size() == 1);
    CHECK(table->findings().items()[0].Place == "/routes/1/allowed_regions");
  }
}

TEST_CASE("the load report of a replica has three or four numbers") {
  const auto load = decodeLoad("3, 0,8,250");
  REQUIRE(load);
  CHECK(load->Running == 3);
  CHECK(load->Slots == 8);
  CHECK(load->SlowdownFactor == Approx(2.5));
  CHECK(decodeLoad("1,2,2")->SlowdownFactor == Approx(1));
  for (const std::string_view bad : {"", "1,2", "1,2,0", "a,b,c", "1;2;3"})
    CHECK_FALSE(decodeLoad(bad));
}

// Guards against figures whose sums or waits overflow.
TEST_CASE("a load report without bound is reduced, and one that is out of the "
          "range of numbers is ignored") {
  const auto load = decodeLoad("4294967295,4294967295,4294967295,4294967295");
  REQUIRE(load);
  CHECK(load->Running == 1'000'000);
  CHECK(load->Waiting == 1'000'000);
  CHECK(load->Slots == 1'000'000);
  CHECK(load->SlowdownFactor == Approx(100));
  CHECK(decodeLoad("1,2,2,0")->SlowdownFactor == Approx(0.01));
  for (const std::string_view bad :
       {"4294967296,0,2", "-1,0,2", "0,-1,2", "0,0,-2", "0,0,2,-100", "+1,0,2",
        "1e3,0,2", "99999999999999999999,0,2"})
    CHECK_FALSE(decodeLoad(bad));
}

// Guards against a response that a faulty client passes on as an answer: the
// signature proves the replica, not that the status is one.
TEST_CASE("a response without a final status may have run and is never an "
          "answer") {
  const ReplicaCodec codec;
  for (const int status : {-1, 0, 20, 99, 100, 101, 103, 199, 600, 999, 2000})
    for (const bool isSigned : {false, true}) {
      INFO(status << " signed " << isSigned);
      transport::HttpResponse response;
      response.Status = status;
      response.Headers.add("X-Server-Load", "1,2,2,100");
      response.Headers.add("X-Not-Executed", "1");
      response.Headers.add("Server-Limit", "1");
      response.Headers.add("Server-Leaving", "1");
      response.Headers.add("Retry-After", "5");
      if (isSigned)
        response.Headers.add("X-Response-Seal", "seal");
      const auto decoded = codec.decode({}, response);
      const auto *failure = std::get_if<AttemptFailure>(&decoded.Outcome);
      REQUIRE(failure != nullptr);
      CHECK(failure->End == AttemptEnd::Unknown);
      CHECK_FALSE(failure->Response);
      CHECK_FALSE(decoded.Load);
      CHECK_FALSE(decoded.Pause);
      CHECK_FALSE(decoded.IsLimitKnown);
      CHECK_FALSE(decoded.IsLeaving);
    }
}

// Guards against a deadline that is in the past by an overflow, or a negative
// one that is taken for a long time.
TEST_CASE("the deadline of a caller is bounded, and ignored when it is none") {
  const auto remaining = [](std::string_view text) {
    transport::HttpRequest request;
    request.Headers.add("X-Request-Id", "id");
    request.Headers.add("X-Deadline-Ms", text);
    return CallerCodec().decode(std::move(request))->Remaining;
  };
  using namespace std::chrono_literals;
  CHECK(remaining("0") == 0ms);
  CHECK(remaining("400") == 400ms);
  CHECK(remaining("400.9") == 400ms);
  CHECK(remaining("9223372036854775807") == 24h);
  for (const std::string_view bad :
       {"", "-1", "+1", "x", "1x", "0x10", "9223372036854775808", "1e3",
        "-9223372036854775808", "nan"})
    CHECK_FALSE(remaining(bad));
}

TEST_CASE("the pause that a replica asks for is bounded") {
  using namespace std::chrono_literals;
  CHECK(decodeRetryAfter("0.5") == 500ms);
  CHECK(decodeRetryAfter("1e300") == MaxPause);
  CHECK(decodeRetryAfter("99999999999999999999") == MaxPause);
  for (const std::string_view bad :
       {"", "-1", "inf", "nan", "Wed, 21 Oct 2026 07:28:00 GMT", "1e999"})
    CHECK_FALSE(decodeRetryAfter(bad));
}

TEST_CASE("the request limit of a replica is a decimal number") {
  CHECK(decodeLimit("21.7") == Approx(21.7));
  CHECK(decodeLimit("1e300") == Approx(state::MaxRequestLimit));
  CHECK(decodeLimit(" 3 ") == Approx(3));
  for (const std::string_view bad : {"", "-1", "inf", "nan", "3 a second"})
    CHECK_FALSE(decodeLimit(bad));
}

// Guards against a limit that counts as ended because something other than the
// replica's own response did not state it.
TEST_CASE("only a response of the replica itself tells that it has no limit") {
  const auto decode = [](int status, auto headers) {
    return ReplicaCodec().decode({}, response(status, headers));
  };
  using Headers = std::vector<std::pair<std::string, std::string>>;
  const auto limited =
      decode(200, Headers{{"X-Response-Seal", "s"}, {"Server-Limit", "2.5"}});
  CHECK(limited.IsLimitKnown);
  CHECK(limited.RequestLimit == Approx(2.5));
  const auto ended = decode(200, Headers{{"X-Response-Seal", "s"}});
  CHECK(ended.IsLimitKnown);
  CHECK_FALSE(ended.RequestLimit);
  CHECK_FALSE(decode(200, Headers{}).IsLimitKnown);
  CHECK_FALSE(decode(503, Headers{{"X-Not-Executed", "1"}}).IsLimitKnown);
  CHECK_FALSE(decode(421, Headers{{"Server-Limit", "1"}}).IsLimitKnown);
  CHECK_FALSE(ReplicaCodec()
                  .decode({}, tl::unexpected(transport::HttpFailure{}))
                  .IsLimitKnown);
}

// Guards against a replica that counts as busy although the only request that
// it reported is the one that it has just answered.
TEST_CASE("a reported load does not include the request that was answered") {
  const auto runningAfter = [](int status, transport::HttpHeaders headers) {
    headers.add("X-Server-Load", "2,1,2,100");
    const forwarding::ReplicaResult decoded = ReplicaCodec().decode(
        {}, transport::HttpResponse{status, std::move(headers), ""});
    REQUIRE(decoded.Load);
    CHECK(decoded.Load->Waiting == 1);
    return decoded.Load->Running;
  };
  transport::HttpHeaders isSigned;
  isSigned.add("X-Response-Seal", "s");
  CHECK(runningAfter(200, isSigned) == 1);
  CHECK(runningAfter(500, isSigned) == 1);
  transport::HttpHeaders notRun;
  notRun.add("X-Not-Executed", "1");
  CHECK(runningAfter(503, notRun) == 2);
  CHECK(runningAfter(421, {}) == 2);
}

// Guards against a second execution: what a response states about its request
// decides whether the request may be sent again.
TEST_CASE("a response is classified as run, not run or unknown") {
  CHECK(decodeEnd(response(503, {{"X-Not-Executed", "1"}})) ==
        AttemptEnd::Rejected);
  CHECK(decodeEnd(response(421, {})) == AttemptEnd::Misdirected);
  CHECK(decodeEnd(response(503, {})) == AttemptEnd::Failed);
  CHECK(decodeEnd(response(500, {{"X-Response-Seal", "s"}})) ==
        AttemptEnd::Failed);
  CHECK(decodeEnd(response(200, {})) == AttemptEnd::Unknown);
  CHECK(decodeEnd(response(
            200, {{"X-Response-Seal", "s"}, {"Content-Encoding", "gzip"}})) ==
        AttemptEnd::Unknown);
  const state::Error cause{state::ErrorCode::Unavailable, ""};
  CHECK(decodeEnd(tl::unexpected(transport::HttpFailure{cause, false})) ==
        AttemptEnd::NotSent);
  CHECK(decodeEnd(tl::unexpected(transport::HttpFailure{cause, true})) ==
        AttemptEnd::Unknown);
  const auto good = ReplicaCodec().decode(
      {},
      response(200, {{"X-Response-Seal", "s"}, {"X-Server-Load", "1,0,2"}}));
  CHECK(std::get<BackendResponse>(good.Outcome).Signature == "s");
  CHECK(good.Load);
}

TEST_CASE("a request is forwarded unchanged but for the headers of its hop") {
  transport::HttpRequest incoming;
  incoming.Method = "POST";
  incoming.Path = "/a/1?q=2";
  incoming.Host = "shop.example";
  incoming.Body = "body";
  for (const auto &[name, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"X-Request-Id", "id"},
           {"X-Deadline-Ms", "400"},
           {"x-target-instance", "forged"},
           {"Connection", "keep-alive, X-Hop"},
           {"X-Hop", "1"},
           {"Accept", "a"}})
    incoming.Headers.add(name, value);
  const auto call = CallerCodec().decode(incoming);
  REQUIRE(call);
  CHECK(call->Remaining == std::chrono::milliseconds(400));
  const auto message =
      std::make_shared<const forwarding::ForwardedRequest>(call->Message);
  const auto sent =
      ReplicaCodec().encode(message, "i-1", std::chrono::microseconds(250700));
  CHECK(sent.Method == "POST");
  CHECK(sent.Path == "/a/1?q=2");
  CHECK(sent.Host == "shop.example");
  CHECK(sent.body() == "body");
  CHECK(&sent.body() == &message->Body); // not a copy
  const std::vector<std::pair<std::string, std::string>> expected{
      {"X-Request-Id", "id"},
      {"Accept", "a"},
      {"X-Deadline-Ms", "250"},
      {"X-Target-Instance", "i-1"}};
  CHECK(sent.Headers.items() == expected);
}

TEST_CASE("a request without an id is rejected, and a malformed deadline is "
          "ignored") {
  transport::HttpRequest incoming{"GET", "/", {}, ""};
  CHECK(CallerCodec().decode(incoming).error().Status == 400);
  incoming.Headers.add("X-Request-Id", "id");
  incoming.Headers.add("X-Deadline-Ms", "soon");
  CHECK_FALSE(CallerCodec().decode(incoming)->Remaining);
}

// Callers take 408, 421, 429 and 503 as a guarantee that the request has not
// run. Guards against such a status for a request that ran or may have run.
TEST_CASE("408, 421, 429 and 503 are sent only for a request that has not "
          "run") {
  const CallerCodec codec;
  for (const int status : {408, 421, 429, 503})
    CHECK(codec.encode(BackendResponse{status, {}, "", "s"}).Status == 502);
  using coordination::ExecutionState;
  using coordination::ForwardFailure;
  using coordination::ForwardFault;
  const auto refuse = [&](ForwardFault fault, ExecutionState ran,
                          auto retryAfter) {
    return codec.refuse(forwarding::Refusal::Failed,
                        ForwardFailure{fault, ran, {}}, retryAfter);
  };
  const std::optional<state::Duration> never;
  CHECK(refuse(ForwardFault::DeadlineExceeded, ExecutionState::Unknown, never)
            .Status == 504);
  CHECK(
      refuse(ForwardFault::BackendFailed, ExecutionState::Ran, never).Status ==
      502);
  const auto notRun =
      refuse(ForwardFault::NoCapacity, ExecutionState::NotRun,
             std::optional<state::Duration>(std::chrono::milliseconds(45)));
  CHECK(notRun.Status == 503);
  CHECK(notRun.Headers.find("Retry-After") == "0.045");
}

TEST_CASE("a merged answer states its parts and the number of missing ones") {
  const auto encoded = CallerCodec().encode(
      coordination::MergedAnswer{{"a", "b"}, 3, "records"});
  CHECK(encoded.Status == 200);
  CHECK(encoded.Headers.find("X-Part-Seals") == "a, b");
  CHECK(encoded.Headers.find("X-Missing-Parts") == "3");
  CHECK(encoded.Body == "records");
}

// Guards against arithmetic that overflows with a time of another writer.
TEST_CASE("times that are too long are shortened") {
  const auto record = decodeReplica(
      "a", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":2,
              "version":"v1","state":"ready","cold_left_ms":1e308,"seq":1})");
  REQUIRE(record);
  CHECK(record->ColdRemaining == std::chrono::hours(24));
}

// Guards against pauses without end, and against dates taken as numbers.
TEST_CASE("a pause is a number of seconds with an upper limit") {
  CHECK(platform::decodeRetryAfter("2.5") == std::chrono::milliseconds(2500));
  CHECK(platform::decodeRetryAfter("1e300") == platform::MaxPause);
  CHECK_FALSE(platform::decodeRetryAfter("-1"));
  CHECK_FALSE(platform::decodeRetryAfter("Wed, 21 Oct 2026 07:28:00 GMT"));
}

// Guards against answers that are refused at each read, because the parser does
// not take one item of them.
TEST_CASE("an item with unusual text or numbers does not hide the others") {
  const auto content = platform::decodeChanges(
      R"({"events":[{"key":"servers/\ud800","rev":5,"removed":true},)"
      R"({"key":"servers/b","rev":6,"removed":true}],"store_revision":6})");
  REQUIRE(content);
  REQUIRE(content->Changes.size() == 2);
  CHECK(content->Changes.back().Id == "b");
  CHECK(content->Position->Revision == 6);
  const auto page = platform::decodePage(
      R"({"items":[{"key":"servers/a","value":"","rev":5,"lease":1e400}],)"
      R"("has_more":false,"store_revision":6})");
  REQUIRE(page);
  CHECK(page->Revision == 6);
}
