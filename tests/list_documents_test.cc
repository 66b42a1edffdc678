#include "protocol/plan_documents.h"
#include "protocol/platform_api.h"
#include "protocol/topology_document.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaflow;
using namespace galenaflow::protocol;

namespace {

const std::string PlansText = R"({"plans":[{"id":"standard","weight":1,
  "max_rate":200,"burst":50,"max_concurrency":64,"services":["archivio"],
  "operations":{"search":{"priority":"normal","prefer":"coverage",
  "min_coverage":0.9,"deadline_ms":500,"max_limit":100},
  "write":{"deadline_ms":2000}}}]})";

const std::string TopologyText = R"({"services":[{"name":"archivio",
  "kind":"sharded","slots":2,"connection_limit":25,"layouts":[{"id":3,"shards":[
  {"shard":1,"replicas":["b"]},{"shard":0,"replicas":["a","b"]}]}],
  "replicas":[{"id":"a","address":"127.0.0.1:9001","data_centre":"catania-a"},
  {"id":"b","address":"[::1]:9002","data_centre":"acireale"}]}]})";

const std::string VmsText = R"({"version":7,"vms":[{"id":"vm-1",
  "instance":"x 1","role":"entry","address":"127.0.0.1:9001",
  "operator_address":"127.0.0.1:9002","data_centre":"catania-a",
  "state":"leaving","new_field":1}]})";

std::string customersText(const std::string &hash) {
  return R"({"customers":[{"id":"bottega","plan":"standard","keys_sha256":[")" +
         hash + "\"]}]}";
}

std::string replaceFirst(std::string text, const std::string &from,
                         const std::string &to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

template <typename T>
std::vector<std::string> placesOf(const Parsed<T> &parsed) {
  std::vector<std::string> places;
  if (!parsed)
    for (const state::Finding &finding : parsed.error().items())
      places.push_back(finding.Place);
  return places;
}

template <typename T> bool reports(const Parsed<T> &parsed, const char *place) {
  const auto places = placesOf(parsed);
  return std::find(places.begin(), places.end(), place) != places.end();
}

state::OperationLimits randomLimits(std::uint32_t maxLimit) {
  state::OperationLimits limits;
  limits.Priority =
      *rc::gen::element(state::Priority::Urgent, state::Priority::Normal);
  limits.Prefer = *rc::gen::element(state::Preference::Latency,
                                    state::Preference::Coverage);
  limits.MinCoverage = *rc::gen::inRange(0, 101) / 100.0;
  limits.Deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 60001));
  limits.MaxLimit = *rc::gen::inRange<std::uint32_t>(1, maxLimit + 1);
  return limits;
}

} // namespace

// Guards against a value that is lost or stored in the wrong field.
TEST_CASE("a plan is parsed with all of its values") {
  const auto plans = parsePlans(PlansText);
  REQUIRE(plans);
  const state::Plan &plan = plans->at("standard");
  CHECK(plan.MaxRate == 200);
  CHECK(plan.Burst == 50);
  CHECK(plan.MaxConcurrency == 64);
  CHECK(plan.Services.contains("archivio"));
  const auto *search = plan.limitsOf(state::Operation::Search);
  REQUIRE(search);
  CHECK(search->Prefer == state::Preference::Coverage);
  CHECK(search->MinCoverage == 0.9);
  CHECK(search->Deadline == std::chrono::milliseconds(500));
  CHECK(search->MaxLimit == 100);
  CHECK(plan.limitsOf(state::Operation::Write));
  CHECK_FALSE(plan.limitsOf(state::Operation::Read));
}

// Guards against a parser that stops at the first error, or that reports errors
// with wrong JSON pointers.
TEST_CASE("all errors in the plans are reported with their places") {
  const auto plans = parsePlans(R"({"plans":[{"id":"a b","weight":0,
    "max_rate":"x","max_concurrency":1.5,"services":["s","s"],"wieght":1,
    "operations":{"search":{"priority":"high","deadline_ms":0},"serach":{}}}],
    "x":1})");
  for (const char *place :
       {"/plans/0/id", "/plans/0/weight", "/plans/0/max_rate", "/plans/0/burst",
        "/plans/0/max_concurrency", "/plans/0/services/1", "/plans/0/wieght",
        "/plans/0/operations/search/priority",
        "/plans/0/operations/search/deadline_ms", "/plans/0/operations/serach",
        "/x"}) {
    INFO(place);
    CHECK(reports(plans, place));
  }
}

// Guards against a limit that is written twice and of which one value is
// silently ignored.
TEST_CASE("names that occur twice are errors") {
  CHECK_FALSE(parsePlans(
      replaceFirst(PlansText, "\"burst\":50", "\"burst\":50,\"burst\":5")));
  const std::string plan = PlansText.substr(10, PlansText.size() - 12);
  CHECK(reports(parsePlans("{\"plans\":[" + plan + "," + plan + "]}"),
                "/plans/1/id"));
}

// Guards against a customers list with keys in clear text or with hashes of
// another function.
TEST_CASE("customers are checked against hashes and plans") {
  const std::string hash(64, 'a');
  const auto plans = parsePlans(PlansText);
  REQUIRE(plans);
  CHECK(parseCustomers(customersText(hash), &*plans)->at(hash).Id == "bottega");
  for (const std::string &invalid :
       {std::string(64, 'A'), std::string(63, 'a'), std::string("key")})
    CHECK(reports(parseCustomers(customersText(invalid)),
                  "/customers/0/keys_sha256/0"));
  const std::string unknownPlan =
      replaceFirst(customersText(hash), "standard", "gold");
  CHECK(parseCustomers(unknownPlan));
  CHECK(reports(parseCustomers(unknownPlan, &*plans), "/customers/0/plan"));
  const std::string duplicated = replaceFirst(customersText(hash), "]}]}",
                                              R"(]},{"id":"b","plan":"standard",
                                     "keys_sha256":[")" +
                                                  hash + "\"]}]}");
  CHECK(reports(parseCustomers(duplicated), "/customers/1/keys_sha256/0"));
}

// Guards against values that are lost when a list is rendered and parsed again.
TEST_CASE("plans and customers are unchanged by rendering and parsing") {
  CHECK(rc::check([] {
    PlanMap plans;
    CustomerMap customers;
    const int planCount = *rc::gen::inRange(0, 4);
    for (int i = 0; i != planCount; ++i) {
      state::Plan plan;
      plan.Id = "p" + std::to_string(i);
      plan.Weight = *rc::gen::inRange(1, 1000) / 8.0;
      plan.MaxRate = *rc::gen::inRange(1, 100000) / 16.0;
      plan.Burst = *rc::gen::inRange(1, 1000);
      plan.MaxConcurrency = *rc::gen::inRange<std::uint32_t>(1, 1000);
      plan.Services.insert("s" + std::to_string(i));
      plan.Operations[0] = randomLimits(1000);
      plan.Operations[1] = randomLimits(20);
      plans[plan.Id] = plan;
      customers[std::string(64, static_cast<char>('0' + i))] = {
          "c" + std::to_string(i / 2), "p" + std::to_string(i / 2)};
    }
    const std::string text = renderPlans(plans);
    const auto parsed = parsePlans(text);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->size() == plans.size());
    RC_ASSERT(renderPlans(*parsed) == text);
    for (const auto &[id, plan] : plans)
      RC_ASSERT(parsed->at(id).Operations[1]->Deadline ==
                plan.Operations[1]->Deadline);
    const auto parsedCustomers =
        parseCustomers(renderCustomers(customers), &plans);
    RC_ASSERT(parsedCustomers.has_value());
    RC_ASSERT(renderCustomers(*parsedCustomers) == renderCustomers(customers));
  }));
}

// Guards against key hashes that are disclosed in the status output.
TEST_CASE("the rendered catalogue states the number of keys and no hashes") {
  state::PlanCatalog catalog;
  catalog.Plans = *parsePlans(PlansText);
  catalog.CustomersByKeyHash = *parseCustomers(
      customersText(std::string(64, 'a') + "\",\"" + std::string(64, 'b')));
  const std::string text = renderCatalog(catalog);
  CHECK(text.find("\"keys\":2") != std::string::npos);
  CHECK(text.find("\"customers\":1") != std::string::npos);
  CHECK(text.find("aaaa") == std::string::npos);
}

// Guards against lookups that fail because a layout is not ordered by shard.
TEST_CASE("a services document is parsed into a topology ordered by shard") {
  const auto topology = parseTopology(TopologyText, 12);
  REQUIRE(topology);
  CHECK(topology->Version == 12);
  const state::Service *service = topology->findService("archivio");
  REQUIRE(service);
  CHECK(service->ConnectionLimit == 25);
  const state::Layout *layout = service->findLayout(3);
  REQUIRE(layout);
  CHECK(layout->findShard(0)->Replicas == std::vector<std::string>{"a", "b"});
  CHECK(layout->findShard(1)->Replicas == std::vector<std::string>{"b"});
  CHECK(renderTopology(*parseTopology(renderTopology(*topology), 12)) ==
        renderTopology(*topology));
}

// Guards against services documents that are accepted although no replica can
// serve one of their shards.
TEST_CASE("errors in the services document are reported with their places") {
  const auto check = [](const char *from, const char *to, const char *place) {
    INFO(to);
    CHECK(
        reports(parseTopology(replaceFirst(TopologyText, from, to), 1), place));
  };
  check(R"(["b"])", R"(["c"])", "/services/0/layouts/0/shards/0/replicas/0");
  check(R"(["b"])", "[]", "/services/0/layouts/0/shards/0/replicas");
  check(R"("shard":1)", R"("shard":0)", "/services/0/layouts/0/shards/1/shard");
  check("127.0.0.1:9001", "localhost:9001", "/services/0/replicas/0/address");
  check("127.0.0.1:9001", "127.0.0.1:0", "/services/0/replicas/0/address");
  check(R"("id":"b")", R"("id":"a")", "/services/0/replicas/1/id");
  check("\"sharded\"", "\"pool\"", "/services/0/layouts");
  check(R"("slots":2)", R"("slots":0)", "/services/0/slots");
}

// Guards against a VM that is listed twice and therefore counted twice in
// shares and majorities.
TEST_CASE("the VM list is parsed and validated") {
  const auto list = parseVmList(VmsText);
  REQUIRE(list);
  CHECK(list->Version == 7);
  CHECK(list->Vms.front().State == VmState::Leaving);
  CHECK(list->Vms.front().OperatorAddress == "127.0.0.1:9002");
  CHECK(*parseVmList(renderVmList(*list)) == *list);
  VmList duplicated = *list;
  duplicated.Vms.push_back(duplicated.Vms.front());
  CHECK(reports(parseVmList(renderVmList(duplicated)), "/vms/1/id"));
  CHECK(reports(parseVmList(replaceFirst(VmsText, "entry", "other")),
                "/vms/0/role"));
  CHECK(watchPath(PlansKey, 4, std::chrono::milliseconds(900)) ==
        "/v1/values/plans?after=4&wait_ms=900");
  CHECK(parseVersion("18446744073709551615") == UINT64_MAX);
  CHECK_FALSE(parseVersion("1x"));
  CHECK_FALSE(parseVersion(""));
}

// Guards against a truncated document that is accepted as a shorter valid one.
TEST_CASE("every truncated document is rejected") {
  const std::string customers = customersText(std::string(64, 'a'));
  for (std::size_t n = 0; n != PlansText.size(); ++n)
    CHECK_FALSE(parsePlans(PlansText.substr(0, n)));
  for (std::size_t n = 0; n != customers.size(); ++n)
    CHECK_FALSE(parseCustomers(customers.substr(0, n)));
  for (std::size_t n = 0; n != TopologyText.size(); ++n)
    CHECK_FALSE(parseTopology(TopologyText.substr(0, n), 1));
  for (std::size_t n = 0; n != VmsText.size(); ++n)
    CHECK_FALSE(parseVmList(VmsText.substr(0, n)));
}

// Guards against the wrong parser being used for a file that the operator
// checks.
TEST_CASE("the kind of a list is detected from its top-level field") {
  CHECK(detectListKind(PlansText) == ListKind::Plans);
  CHECK(detectListKind("{\"customers\":[]}") == ListKind::Customers);
  CHECK(detectListKind(TopologyText) == ListKind::Services);
  CHECK(detectListKind("[") == ListKind::Unknown);
}
