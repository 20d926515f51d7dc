#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "briarspread/core/base64.h"
#include "platform/batch_codec.h"
#include "platform/configuration_codec.h"
#include "platform/peer_interface.h"
#include "platform/platform_settings.h"
#include "platform/upstream_codec.h"

namespace briarspread::platform {
namespace {

const std::string kSettings =
    "NodeName=edge-1\nIp=127.0.0.1\nZone=z1\nRegion=r1\nZones.z1=r1\nZones.z2="
    "r2\n"
    "Listen.Frontend=127.0.0.1:8001\nListen.Ready=127.0.0.1:8002\n"
    "Listen.ControlPlane=127.0.0.1:8003\n"
    "SeedNodes=127.0.0.1:8003,127.0.0.2:8003\n"
    "Platform.Address=127.0.0.9:8142\nBounds.GraceS=8\nBounds.LeaseMs=3000\n"
    "Bounds.StatusS=120\nBounds.DrainMs=2500\nLimits.MemoryMb=260\n"
    "Unknown.Key=1\n";

TEST_CASE("settings are parsed and unknown names skipped") {
  const auto parsed = ParsePlatformSettings(kSettings);
  REQUIRE(IsOk(parsed));
  const PlatformSettings& settings = ValueOf(parsed);
  REQUIRE(settings.instance == InstanceId("edge-1"));
  REQUIRE(settings.address == "127.0.0.1");
  REQUIRE(settings.zones.at(ZoneId("z2")) == RegionId("r2"));
  REQUIRE(settings.peer->port == 8003);
  REQUIRE(settings.seeds.size() == 2);
  REQUIRE(settings.grace == seconds(8));
  REQUIRE(settings.memory_limit_mb == 260);
}

TEST_CASE(
    "errors of settings give the name, the value found and the values "
    "allowed") {
  const auto message = [](const std::string& from, const std::string& to) {
    std::string text = kSettings;
    text.replace(text.find(from), from.size(), to);
    const auto parsed = ParsePlatformSettings(text);
    REQUIRE_FALSE(IsOk(parsed));
    return ErrorOf(parsed).message;
  };
  REQUIRE(message("NodeName=edge-1", "") ==
          "NodeName: found '', allowed is a name");
  REQUIRE(message("127.0.0.9:8142", "host:x") ==
          "Platform.Address: found 'host:x', allowed is IP:PORT");
  REQUIRE(message("GraceS=8", "GraceS=soon").find("found 'soon'") !=
          std::string::npos);
  REQUIRE(message("127.0.0.2:8003", "127.0.0.2:0").find("SeedNodes") == 0);
}

TEST_CASE("base64 round-trips any bytes, and malformed text is rejected") {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\x00\xff\x00", 3)}) {
    REQUIRE(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  REQUIRE_FALSE(DecodeBase64("abc").has_value());
  REQUIRE_FALSE(DecodeBase64("ab*=").has_value());
}

TEST_CASE("a malformed route does not affect the rest of a configuration") {
  const auto parsed = ParseConfiguration(R"({"Version":7,"Routes":[
    {"Name":"r","Host":"h","Prefix":"/a/","Type":"safe","TimeoutMs":2000,
     "LatencyGoalMs":400,"Priority":2,"Service":"s","MaxAttempts":4},
    {"Host":5},
    {"Host":"h","Prefix":"/b/","Type":"rollout","DueMs":7500,"ItemTtlS":40,
     "SingleVersion":true,"Backends":[{"Service":"s","Weight":90},
     {"Service":"t","Weight":10}]},
    {"Host":"h","Prefix":"/c/","Type":"new","Service":"s"}],
    "Services":[{"Name":"s","MaxConns":150,"Engine":{"KvCapacity":100,
     "Models":[{"Name":"m"}]}},{"Name":"t"}],
    "Limits":{"MaxHeaderBytes":100,"IdleTimeoutMs":9000}})");
  REQUIRE(IsOk(parsed));
  const forward::Configuration& configuration = *ValueOf(parsed);
  REQUIRE(configuration.version.value() == 7);
  REQUIRE(configuration.routes.size() == 3);
  REQUIRE(configuration.routes[0].kind == forward::RouteKind::kIdempotent);
  REQUIRE(configuration.routes[0].max_attempts == 4);
  REQUIRE(configuration.routes[1].item_time_to_live == seconds(40));
  REQUIRE(configuration.routes[1].wants_single_version);
  REQUIRE(configuration.routes[1].backends.size() == 2);
  // An unknown route type gets the most restrictive kind.
  REQUIRE(configuration.routes[2].kind == forward::RouteKind::kOnce);
  REQUIRE(configuration.services[0].models[0] == ModelName("m"));
  REQUIRE(configuration.services[0].memory_tokens == 100);
  REQUIRE(configuration.limits.idle_timeout == milliseconds(9000));
  REQUIRE(configuration.limits.header_timeout == milliseconds(3000));
  for (const char* bad : {"", "[]", "{}", R"({"Version":"x"})"}) {
    REQUIRE_FALSE(IsOk(ParseConfiguration(bad)));
  }
  REQUIRE(ValueOf(ParseModelTarget(R"({"Model":"m","Version":3})")).version ==
          WeightVersion(3));
  REQUIRE_FALSE(IsOk(ParseModelTarget(R"({"Model":"m","Version":-3})")));
}

const std::string kEntry =
    R"({"Service":"s","Address":"10.0.0.9:8080","Zone":"z","Version":"v1",)"
    R"("Slots":12,"State":"ready","ColdRemainingMs":0,"Stage":"both","born":5,)"
    R"("Models":[{"Name":"m","Version":4,"Adapters":[]}],"Sequence":4})";

TEST_CASE("a valid registration is parsed, an invalid one is skipped") {
  const std::map<ZoneId, RegionId> zones = {{ZoneId("z"), RegionId("r")}};
  const auto upstream = ParseUpstream("servers/i-1", kEntry, zones);
  REQUIRE(upstream->id == UpstreamId("i-1"));
  REQUIRE(upstream->locality.region == RegionId("r"));
  REQUIRE(upstream->models[0].version == WeightVersion(4));
  REQUIRE(upstream->start_id == 5);
  REQUIRE(upstream->software == SoftwareVersion("s/v1"));
  REQUIRE_FALSE(upstream->is_leaving);
  const std::vector<std::pair<std::string, std::string>> changes = {
      {"\"ready\"", "\"asleep\""},
      {"\"Slots\":12", "\"Slots\":\"x\""},
      {"\"v1\"", "1"},
      {"\"z\"", "\"elsewhere\""},
      {"10.0.0.9:8080", "nowhere"},
      {"\"Service\":\"s\"", "\"Service\":7"},
      {"{\"Service\"", "\"Service\""},
  };
  for (const auto& [from, to] : changes) {
    std::string text = kEntry;
    text.replace(text.find(from), from.size(), to);
    REQUIRE_FALSE(ParseUpstream("servers/i-1", text, zones).has_value());
  }
  REQUIRE_FALSE(ParseUpstream("servers/i-1", "\xff\x01", zones).has_value());
}

// Guards against a report of other operators: one entry of another writer with
// a number too large, or very deeply nested, ended the processes that read it.
TEST_CASE("a registration with numbers or nesting out of range is skipped") {
  const std::map<ZoneId, RegionId> zones = {{ZoneId("z"), RegionId("r")}};
  const auto is_skipped = [&](const std::string& from, const std::string& to) {
    std::string text = kEntry;
    text.replace(text.find(from), from.size(), to);
    INFO(to.substr(0, 80));
    return !ParseUpstream("servers/i-1", text, zones).has_value();
  };
  for (const char* number :
       {"-1", "0.5", "1e300", "1e400", "4294967296", "18446744073709551615",
        "18446744073709551616", "null", "[]"}) {
    CHECK(is_skipped("\"Slots\":12", "\"Slots\":" + std::string(number)));
    if (std::string(number) == "4294967296") continue;
    CHECK(is_skipped("\"Version\":4", "\"Version\":" + std::string(number)));
    CHECK(is_skipped("\"born\":5", "\"born\":" + std::string(number)));
  }
  for (const char* port : {"0", "65536", "70000", "-1", "1e3", ""}) {
    CHECK(is_skipped("10.0.0.9:8080", "10.0.0.9:" + std::string(port)));
  }
  const std::string nested = std::string(100, '[') + std::string(100, ']');
  CHECK(is_skipped("\"Models\"", "\"more\":" + nested + ",\"Models\""));
  CHECK(is_skipped("\"Models\"", "\"more\":\"" + std::string(100'000, 'x') +
                                     "\",\"Models\""));
  CHECK(is_skipped("[{\"Name\"", "[7,{\"Name\""));
  // An id is sent in a header.
  for (const char* key : {"servers/", "servers/a b", "servers/a\r\nX: y"}) {
    CHECK_FALSE(ParseUpstream(key, kEntry, zones).has_value());
  }
}

TEST_CASE("a malformed submission is rejected with a message") {
  const std::string body =
      R"({"Step":7,"Model":"m","MinVersion":6,"TargetGroups":12,"Items":[
      {"Id":"a","Path":"/p/1","Headers":{"X-Token-Count":"540,400",
       "X-Length-Hint":"90"},"Body":"q83v","Tokens":940,"Group":"g",
       "Scorer":{"Id":"s","Host":"h","Path":"/q","Body":"3q2+"}}]})";
  const auto parsed = ParseSubmission("job", "h", "/p/job", body);
  REQUIRE(IsOk(parsed));
  const batch::JobSpec& spec = ValueOf(parsed);
  REQUIRE(spec.oldest_allowed == WeightVersion(6));
  REQUIRE(spec.items[0].body == "\xab\xcd\xef");
  REQUIRE(spec.items[0].prompt_tokens == 540);
  REQUIRE(spec.items[0].expected_tokens == 90);
  REQUIRE(spec.items[0].reward->path == "/q");
  const std::string item = R"({"Id":"a","Path":"/p","Body":"q83v"})";
  for (const std::string& bad :
       {std::string("x"), std::string("{}"),
        std::string(R"({"Items":[{"Id":"a"}]})"),
        std::string(R"({"Items":[{"Id":"a","Path":"/p","Body":"*"}]})"),
        std::string("{\"Items\":[")
            .append(item)
            .append(",")
            .append(item)
            .append("]}")}) {
    const auto refused = ParseSubmission("job", "h", "/p/job", bad);
    REQUIRE_FALSE(IsOk(refused));
    REQUIRE(ErrorOf(refused).code == ErrorCode::kInvalidArgument);
    REQUIRE_FALSE(ErrorOf(refused).message.empty());
  }
}

TEST_CASE("a snapshot round-trips through its JSON text") {
  PeerSnapshot snapshot;
  snapshot.operator_values["k"] = "v";
  snapshot.instances.resize(1);
  snapshot.instances[0].name = InstanceId("i");
  const auto back = ParseSnapshot(FormatSnapshot(snapshot));
  REQUIRE(back->operator_values == snapshot.operator_values);
  REQUIRE(back->instances == snapshot.instances);
  REQUIRE_FALSE(ParseSnapshot("{}").has_value());
}

TEST_CASE("fields of a submission that are not read take no memory") {
  // Their tree took a hundred times the memory of the text.
  const std::string item = R"({"Id":"a","Path":"/p","x":[[1],{"Id":[2]}]})";
  const auto parse = [](const std::string& body) {
    return ParseSubmission("j", "h", "/roll/", body);
  };
  const auto spec = parse(R"({"x":[{"Items":[1]}],"Items":[)" + item +
                          R"(],"y":{"Step":[]},"Step":3})");
  REQUIRE(IsOk(spec));
  REQUIRE(ValueOf(spec).step == 3);
  REQUIRE(ValueOf(spec).items.size() == 1);
  REQUIRE(ValueOf(spec).items[0].path == "/p");
  const std::vector<std::string> all_wrong{
      "[" + item + "]",
      R"({"Items":[)" + item + "," + item + "]}",
      R"({"Step":[1],"Items":[)" + item + "]}",
      R"({"Items":[[]]})",
      R"({"Items":[{"Id":["a"],"Path":"/p"}]})",
      R"({"Items":[{"Id":"a","Path":"/p","Headers":{"a":["b"]}}]})",
      R"({"Items":[],"x":)" + std::string(100, '[') + std::string(100, ']') +
          "}"};
  for (const auto& wrong : all_wrong) {
    INFO(wrong);
    REQUIRE_FALSE(IsOk(parse(wrong)));
  }
}

}  // namespace
}  // namespace briarspread::platform
