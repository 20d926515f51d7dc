#include <catch2/catch.hpp>
#include <utility>

#include "briarspread/core/base64.h"
#include "tests/platform/edge_fixture.h"

namespace briarspread::platform {
namespace {

/// Replaces a text in the bodies of complete responses.
class RewritingResponder final : public proxy::Responder {
 public:
  RewritingResponder(std::shared_ptr<proxy::Responder> inner, std::string from,
                     std::string to)
      : inner_(std::move(inner)), from_(std::move(from)), to_(std::move(to)) {}

  void Send(const proxy::Response& response) override {
    proxy::Response changed = response;
    for (std::size_t at = changed.body.find(from_); at != std::string::npos;
         at = changed.body.find(from_, at + to_.size())) {
      changed.body.replace(at, from_.size(), to_);
    }
    inner_->Send(changed);
  }
  void Start(const proxy::ResponseHead& head) override { inner_->Start(head); }
  void Write(std::string_view data) override { inner_->Write(data); }
  void End() override { inner_->End(); }
  void Abort() override { inner_->Abort(); }
  std::size_t unsent() const override { return inner_->unsent(); }
  void SetOnDrained(std::function<void()> on_drained) override {
    inner_->SetOnDrained(std::move(on_drained));
  }
  void SetOnDisconnect(std::function<void()> on_disconnect) override {
    inner_->SetOnDisconnect(std::move(on_disconnect));
  }

 private:
  const std::shared_ptr<proxy::Responder> inner_;
  const std::string from_;
  const std::string to_;
};

/// The platform's store as seen by an instance without links to any replica:
/// the replicas' addresses are ones at which nothing listens.
class StoreWithoutReplicas final : public proxy::RequestHandler {
 public:
  explicit StoreWithoutReplicas(EdgeFixture& fixture)
      : fixture_(fixture), listener_(fixture.loop, *this) {
    REQUIRE(IsOk(listener_.Start(Endpoint{"127.0.0.1", 0})));
  }

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    auto view = responder;
    for (const char* service : {"desk", "llm"}) {
      const std::string real = fixture_.replica.Registration(service);
      nlohmann::json dead = nlohmann::json::parse(real);
      dead["Address"] =
          "127.0.0.1:" + std::to_string(briarspread::testing::FreePort());
      view = std::make_shared<RewritingResponder>(view, EncodeBase64(real),
                                                  EncodeBase64(dead.dump()));
    }
    fixture_.store.OnRequest(std::move(request), view);
  }
  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener_.port()}; }

 private:
  EdgeFixture& fixture_;
  proxy::HttpListener listener_;
};

/// Two instances, of which one has no links to replicas.
struct LostLinks {
  LostLinks()
      : store(fixture),
        healthy(fixture, fixture.Settings("healthy")),
        cut_off(fixture, CutOffSettings()) {
    for (const ReadyInstance* instance : {&healthy, &cut_off}) {
      fixture.Await([&] {
        return instance->node.FormatMetrics().find("briarspread_instances 2") !=
               std::string::npos;
      });
    }
  }

  PlatformSettings CutOffSettings() const {
    PlatformSettings settings = fixture.Settings("cut-off");
    // In a region of its own, it reads the store by itself.
    settings.locality = Locality{RegionId("r2"), ZoneId("z2")};
    settings.store = store.endpoint();
    return settings;
  }

  EdgeFixture fixture;
  StoreWithoutReplicas store;
  ReadyInstance healthy;
  ReadyInstance cut_off;
};

// Guards against the failure of 2026-12-04: callers of instances that had lost
// their links to all replicas were refused.
TEST_CASE("callers of an instance without links to replicas are served") {
  constexpr int kRequests = 20;
  LostLinks site;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto answer =
        site.fixture.Call(*site.cut_off.settings.frontend, "POST", "/plain/x",
                          "", "id-" + std::to_string(i));
    served += answer.head.status == 200 && answer.body == "whole";
  }
  // The users' bound: two thirds of what other instances' callers get.
  REQUIRE(served >= kRequests * 2 / 3);
}

TEST_CASE("a batch job of an instance without links to replicas is run") {
  LostLinks site;
  const Endpoint at = *site.cut_off.settings.frontend;
  REQUIRE(site.fixture.Call(at, "POST", "/roll/job-1", kSubmission, "job-1")
              .head.status == 202);
  const nlohmann::json page = site.fixture.AwaitResults(at, 2);
  for (const auto& result : page["Results"]) {
    REQUIRE(result["State"] == "complete");
  }
}

}  // namespace
}  // namespace briarspread::platform
