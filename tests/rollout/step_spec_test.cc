#include "briarspread/rollout/step_spec.h"

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

TEST_CASE("A step is parsed and its digest covers each field") {
  const auto parsed = ParseStepSpec(
      R"({"model":"m","max_tokens":9,"samples_per_group":2,
          "staleness_bound":3,"scorer":"judge",
          "groups":[{"id":7,"prompt":"b"},{"id":1,"prompt":"a"}]})");
  REQUIRE(IsOk(parsed));
  const StepSpec& spec = ValueOf(parsed);
  REQUIRE(spec.groups[0].id == GroupId(1));
  REQUIRE(spec.SampleCount() == 4);
  std::vector<StepSpec> others(6, spec);
  others[0].model = ModelName("n");
  others[1].max_tokens = 8;
  others[2].samples_per_group = 1;
  others[3].staleness_bound = 2;
  others[4].scorer = ServiceName("");
  others[5].groups[1].prompt = "c";
  for (const StepSpec& other : others) {
    REQUIRE(DigestOf(other) != DigestOf(spec));
  }
}

TEST_CASE("A malformed step is refused with the field and allowed values") {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "not a JSON object"},
      {"[]", "not a JSON object"},
      {"{}", "groups: allowed"},
      {R"({"groups":[]})", "groups: allowed"},
      {R"({"groups":[3]})", "groups[0]: allowed"},
      {R"({"groups":[{"prompt":"a"}]})", "groups[0].id"},
      {R"({"groups":[{"id":-1}]})", "groups[0].id: found -1"},
      {R"({"groups":[{"id":1,"prompt":5}]})", "groups[0].prompt: found 5"},
      {R"({"groups":[{"id":1},{"id":1}]})", "id 1 stands twice"},
      {R"({"groups":[{"id":1}],"max_tokens":0})", "max_tokens: found 0"},
      {R"({"groups":[{"id":1}],"staleness_bound":"x"})", "staleness_bound"},
      {R"({"groups":[{"id":1}],"samples_per_group":1e9})", "samples_per_group"},
  };
  for (const auto& [body, expected] : cases) {
    const auto parsed = ParseStepSpec(body);
    REQUIRE_FALSE(IsOk(parsed));
    REQUIRE(ErrorOf(parsed).code == ErrorCode::kInvalidArgument);
    REQUIRE_THAT(ErrorOf(parsed).message, Catch::Contains(expected));
  }
}

}  // namespace
}  // namespace briarspread
