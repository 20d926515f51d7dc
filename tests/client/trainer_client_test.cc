#include "briarspread/client/trainer_client.h"

#include <catch2/catch.hpp>
#include <deque>

namespace briarspread {
namespace {

constexpr char kBody[] = R"({"groups":[{"id":0}]})";

/// Returns scripted outcomes in order and records the requests.
class ScriptedClient final : public UpstreamClient {
 public:
  ExchangeOutcome Exchange(const UpstreamRequest& request,
                           ResponseReceiver* /*receiver*/) override {
    requests.push_back(std::to_string(request.endpoint.port) + " " +
                       request.method + " " + request.path);
    REQUIRE_FALSE(script.empty());
    ExchangeOutcome outcome = script.front();
    script.pop_front();
    return outcome;
  }
  void AddResponse(int status, const std::string& body) {
    ExchangeOutcome outcome;
    outcome.stage = ExchangeStage::kEnded;
    outcome.status = status;
    outcome.body = body;
    script.push_back(outcome);
  }
  void AddFailure(ExchangeStage stage) {
    ExchangeOutcome outcome;
    outcome.stage = stage;
    outcome.status = 200;
    outcome.body = R"({"cursor":"cut","groups":[{}]})";
    script.push_back(outcome);
  }

  std::deque<ExchangeOutcome> script;
  std::vector<std::string> requests;
};

struct TrainerClientFixture {
  ScriptedClient http;
  TrainerClient trainer{
      TrainerId("lima"), {{"127.0.0.1", 1}, {"127.0.0.1", 2}}, http};
};

TEST_CASE("the cursor advances only on a complete response") {
  TrainerClientFixture f;
  f.http.AddResponse(200, R"({"cursor":"c0"})");
  REQUIRE(IsOk(f.trainer.OpenStep(StepNumber(3), kBody)));
  f.http.AddFailure(ExchangeStage::kAnswering);
  f.http.AddFailure(ExchangeStage::kConnecting);
  REQUIRE_FALSE(IsOk(f.trainer.NextBatch(WeightVersion(5))));
  REQUIRE(f.trainer.cursor() == "c0");
  f.http.AddResponse(200,
                     R"({"cursor":"c1","groups":[{"id":0}],"whole":true})");
  const auto batch = f.trainer.NextBatch(WeightVersion(5));
  REQUIRE(f.http.requests.back() ==
          "1 GET /v1/trainers/lima/batches?cursor=c0&version=5");
  REQUIRE(ValueOf(batch).is_whole);
  REQUIRE(ValueOf(batch).cursor == "c1");
  REQUIRE(f.trainer.cursor() == "c1");
}

TEST_CASE("steps are submitted again to an instance that does not have them") {
  TrainerClientFixture f;
  f.trainer.Resume(StepNumber(3), kBody, "saved");
  f.http.AddResponse(200, R"({"cursor":"c0"})");
  REQUIRE(IsOk(f.trainer.SubmitStep(StepNumber(4), kBody)));
  f.http.AddFailure(ExchangeStage::kConnecting);
  f.http.AddResponse(404, "{}");
  f.http.AddResponse(200, R"({"cursor":"c0"})");
  f.http.AddResponse(200, R"({"cursor":"c0"})");
  f.http.AddResponse(200, R"({"cursor":"next","groups":[]})");
  REQUIRE(ValueOf(f.trainer.NextBatch(WeightVersion(5))).empty());
  REQUIRE(f.http.requests ==
          std::vector<std::string>{
              "1 PUT /v1/trainers/lima/steps/4",
              "1 GET /v1/trainers/lima/batches?cursor=saved&version=5",
              "2 GET /v1/trainers/lima/batches?cursor=saved&version=5",
              "2 PUT /v1/trainers/lima/steps/3",
              "2 PUT /v1/trainers/lima/steps/4",
              "2 GET /v1/trainers/lima/batches?cursor=saved&version=5"});
}

TEST_CASE("a rejected step or cursor is final and carries the reason") {
  TrainerClientFixture f;
  f.http.AddResponse(400, R"({"error":{"message":"groups: allowed"}})");
  const Status refused = f.trainer.OpenStep(StepNumber(3), kBody);
  REQUIRE(ErrorOf(refused).code == ErrorCode::kInvalidArgument);
  REQUIRE(ErrorOf(refused).message == "groups: allowed");
  f.http.AddResponse(409, "{}");
  const auto batch = f.trainer.NextBatch(WeightVersion(5));
  REQUIRE(ErrorOf(batch).code == ErrorCode::kConflict);
  REQUIRE(f.http.requests.size() == 2);
}

}  // namespace
}  // namespace briarspread
