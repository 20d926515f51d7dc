// Tests of client accounts at a running instance: which requests need a key,
// what reaches the replica, and that no key leaves the instance.
#include <catch2/catch.hpp>

#include "briarspread/core/base64.h"
#include "platform/configuration_codec.h"
#include "platform/key_redaction.h"
#include "tests/platform/edge_fixture.h"

namespace briarspread::platform {
namespace {

using Json = nlohmann::json;

/// A replica that records the headers of the requests that it gets.
class RecordingReplica final : public proxy::RequestHandler {
 public:
  explicit RecordingReplica(EdgeFixture& fixture)
      : fixture_(fixture), listener_(fixture.loop, *this) {
    REQUIRE(IsOk(listener_.Start(Endpoint{"127.0.0.1", 0})));
    for (const char* service : {"desk", "llm"}) {
      Json entry = Json::parse(fixture.replica.Registration(service));
      entry["Address"] = "127.0.0.1:" + std::to_string(listener_.port());
      fixture.store.memory().Write(std::string("servers/") + service,
                                   entry.dump());
    }
  }
  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    seen.push_back(request.head);
    fixture_.replica.OnRequest(std::move(request), std::move(responder));
  }
  /// Returns the value of a header of the last request; empty if it had none.
  std::string Last(std::string_view name) const {
    const std::string* value = seen.back().headers.Find(name);
    return value == nullptr ? std::string() : *value;
  }

  std::vector<proxy::RequestHead> seen;

 private:
  EdgeFixture& fixture_;
  proxy::HttpListener listener_;
};

/// Returns a configuration with two accounts and a public route. `keys_of_a`
/// are the keys of account `a`.
std::string MakeAccounts(int version, const Json& keys_of_a,
                         const Json& keys_of_b = {"key-b"}) {
  Json json = Json::parse(MakeConfiguration(version));
  Json open = json["Routes"][0];
  open["Prefix"] = "/open/";
  open["Public"] = true;
  json["Routes"].push_back(open);
  json["Tenants"] = {{{"Name", "a"}, {"ApiKeys", keys_of_a}},
                     {{"Name", "b"}, {"ApiKeys", keys_of_b}, {"Priority", 0}}};
  return json.dump();
}

struct AccountsFixture : EdgeFixture {
  AccountsFixture() : recorder(*this) {
    store.memory().Write("op/config", MakeAccounts(5, {"key-a"}));
    PlatformSettings settings = Settings("one");
    settings.has_accounts = true;
    instance = std::make_unique<ReadyInstance>(*this, settings);
  }

  /// Calls the instance with a key, or without one if it is empty.
  proxy::Response CallWith(const std::string& key, const std::string& method,
                           const std::string& target,
                           const std::string& body = "",
                           const std::string& id = "id-1") {
    std::vector<proxy::Header> more;
    if (!key.empty()) more.push_back({"Api-Key", key});
    more.push_back({"X-Tenant", "forged"});
    return Call(*instance->settings.frontend, method, target, body, id, more);
  }
  int StatusWith(const std::string& key, const std::string& method,
                 const std::string& target, const std::string& body = "",
                 const std::string& id = "id-1") {
    return CallWith(key, method, target, body, id).head.status;
  }
  void Apply(int version, const std::string& configuration) {
    store.memory().Write("op/config", configuration);
    const std::string line =
        "briarspread_configuration_version " + std::to_string(version);
    Await([&] {
      return instance->node.FormatMetrics().find(line) != std::string::npos;
    });
  }

  RecordingReplica recorder;
  std::unique_ptr<ReadyInstance> instance;
};

// Guards against a request that runs without a valid key, or for the account
// that the caller claims instead of the one whose key it has.
TEST_CASE("a request runs for the account of its key and no other") {
  AccountsFixture fixture;
  REQUIRE(fixture.StatusWith("", "POST", "/plain/x") == 401);
  REQUIRE(fixture.StatusWith("unknown", "POST", "/plain/x") == 401);
  REQUIRE(fixture.StatusWith("", "POST", "/roll/x", kSubmission) == 401);
  REQUIRE(fixture.recorder.seen.empty());
  REQUIRE(fixture.StatusWith("key-a", "POST", "/plain/x") == 200);
  REQUIRE(fixture.recorder.Last("X-Tenant") == "a");
  REQUIRE(fixture.recorder.Last("Api-Key").empty());
  REQUIRE(fixture.StatusWith("key-b", "POST", "/plain/x") == 200);
  REQUIRE(fixture.recorder.Last("X-Tenant") == "b");
  // A public route needs no key and passes no account on.
  REQUIRE(fixture.StatusWith("unknown", "POST", "/open/x") == 200);
  REQUIRE(fixture.recorder.Last("X-Tenant").empty());
  REQUIRE(fixture.recorder.Last("Api-Key").empty());
}

TEST_CASE("with accounts, an upstream that registers is in slow start") {
  AccountsFixture fixture;
  fixture.store.memory().Write("servers/desk-2",
                               fixture.replica.Registration("desk"));
  fixture.Await([&] {
    return fixture.instance->node.FormatMetrics().find(
               "briarspread_slow_start_upstreams 1") != std::string::npos;
  });
}

// Guards against a revoked key that still works, and against a key that was
// moved to another account and still counts for the first.
TEST_CASE("keys follow the configuration, on open connections as well") {
  AccountsFixture fixture;
  REQUIRE(fixture.StatusWith("key-a", "POST", "/plain/x") == 200);
  fixture.Apply(6, MakeAccounts(6, {"key-a2"}, {"key-b", "key-a"}));
  REQUIRE(fixture.StatusWith("key-a2", "POST", "/plain/x") == 200);
  REQUIRE(fixture.recorder.Last("X-Tenant") == "a");
  REQUIRE(fixture.StatusWith("key-a", "POST", "/plain/x") == 200);
  REQUIRE(fixture.recorder.Last("X-Tenant") == "b");
  fixture.Apply(7, MakeAccounts(7, {"key-a2"}));
  REQUIRE(fixture.StatusWith("key-a", "POST", "/plain/x") == 401);
}

// Guards against access to another account's job, and against items that run
// without the account of their job.
TEST_CASE("a batch job belongs to the account that submitted it") {
  AccountsFixture fixture;
  REQUIRE(fixture.StatusWith("key-a", "POST", "/roll/x", kSubmission,
                             "job-1") == 202);
  const std::string job = "/briarspread/lots/job-1";
  const std::string body = "/briarspread/items/job-1?Id=a";
  for (const auto& [key, status] :
       {std::make_pair("", 401), std::make_pair("unknown", 401),
        std::make_pair("key-b", 404), std::make_pair("key-a", 200)}) {
    INFO(key);
    REQUIRE(fixture.StatusWith(key, "GET", job + "?After=0") == status);
    REQUIRE(fixture.StatusWith(key, "GET", body) == status);
  }
  REQUIRE(fixture.StatusWith("key-b", "DELETE", job) == 404);
  REQUIRE(fixture.StatusWith("key-b", "POST", "/roll/x", kSubmission,
                             "job-1") == 404);
  REQUIRE(fixture.StatusWith("key-a", "POST", "/roll/x", kSubmission,
                             "job-1") == 202);
  fixture.Await([&] {
    const auto page = fixture.CallWith("key-a", "GET", job + "?After=0");
    return Json::parse(page.body)["Results"].size() == 2;
  });
  std::size_t items = 0;
  for (const proxy::RequestHead& head : fixture.recorder.seen) {
    REQUIRE(head.headers.Find("Api-Key") == nullptr);
    if (!head.target.starts_with("/roll/")) continue;
    ++items;
    REQUIRE(head.headers.Find("X-Tenant") != nullptr);
    REQUIRE(*head.headers.Find("X-Tenant") == "a");
  }
  REQUIRE(items == 2);
  REQUIRE(fixture.StatusWith("key-a", "DELETE", job) == 200);
}

// Guards against a key that reaches another instance: by a snapshot, a listing
// of a delegate, or a store call that this instance relays.
TEST_CASE("no message to another instance contains a key") {
  AccountsFixture fixture;
  const Endpoint peer = *fixture.instance->settings.peer;
  const auto relayed =
      "/v1/store-calls?method=GET&timeout=1000&target=" +
      proxy::EncodeParameter("/briarspread/kv-range?Prefix=op/");
  for (const auto& [method, target] :
       {std::make_pair("GET", std::string("/v1/snapshot")),
        std::make_pair("GET", std::string("/v1/listing?prefix=op/")),
        std::make_pair("POST", relayed)}) {
    const auto answer = fixture.Call(peer, method, target);
    INFO(target);
    REQUIRE(answer.head.status == 200);
    REQUIRE(answer.body.find("key-") == std::string::npos);
    REQUIRE(answer.body.find(EncodeBase64("key-a")) == std::string::npos);
  }
}

TEST_CASE("a redacted configuration accepts the same keys") {
  const std::string text = MakeAccounts(5, {"key-a", "", 7}, "not a list");
  const std::string redacted = RedactConfiguration(text);
  REQUIRE(redacted.find("key-a") == std::string::npos);
  for (const std::string& form : {text, redacted}) {
    const auto parsed = ParseConfiguration(form);
    REQUIRE(IsOk(parsed));
    const auto& accounts = ValueOf(parsed)->accounts;
    REQUIRE(accounts.account_count() == 2);
    REQUIRE(accounts.FindByKey("key-a")->id == accounts::AccountId("a"));
    REQUIRE(accounts.FindByKey("") == nullptr);
  }
  const std::string plain = MakeConfiguration(4);
  REQUIRE(RedactConfiguration(plain) == plain);
}

// Guards against one malformed account that makes all others unusable.
TEST_CASE("a malformed account is skipped alone") {
  Json json = Json::parse(MakeAccounts(5, {"key-a"}));
  json["Tenants"].push_back(7);
  json["Tenants"].push_back({{"Name", "bad\nname"}, {"ApiKeys", {"key-c"}}});
  json["Tenants"].push_back(
      {{"Name", "d"}, {"ApiKeys", {"key-d"}}, {"Priority", -1}});
  const auto parsed = ParseConfiguration(json.dump());
  REQUIRE(IsOk(parsed));
  const auto& accounts = ValueOf(parsed)->accounts;
  REQUIRE(accounts.FindByKey("key-a")->id == accounts::AccountId("a"));
  REQUIRE(accounts.FindByKey("key-c") == nullptr);
  REQUIRE_FALSE(accounts.FindByKey("key-d")->priority.has_value());
}

}  // namespace
}  // namespace briarspread::platform
