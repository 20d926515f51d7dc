#include "briarspread/settings/entry_settings.h"

#include <catch2/catch.hpp>
#include <filesystem>

namespace briarspread {
namespace {

constexpr char kValidSettings[] = R"({"instance":"lim-a-1","zone":"lim-a",
  "region":"lim","listen":{"host":"127.0.0.1","port":8080},
  "platform":{"host":"127.0.0.1","port":8500},
  "peer_key":"0123456789abcdef"})";

std::string MessageOf(const std::string& text) {
  const auto parsed = ParseEntrySettings(text, "entry.json");
  return IsOk(parsed) ? "" : ErrorOf(parsed).message;
}

TEST_CASE("valid settings are parsed") {
  const auto parsed = ParseEntrySettings(kValidSettings, "entry.json");
  REQUIRE(IsOk(parsed));
  REQUIRE(ValueOf(parsed).listen.port == 8080);
}

TEST_CASE(
    "an error names the file, the key, the value found and the values "
    "allowed") {
  std::string text = kValidSettings;
  text.replace(text.find("8080"), 4, "70000");
  const std::string message = MessageOf(text);
  CAPTURE(message);
  REQUIRE(message.find("entry.json") != std::string::npos);
  REQUIRE(message.find("/listen/port") != std::string::npos);
  REQUIRE(message.find("70000") != std::string::npos);
  REQUIRE(message.find("65535") != std::string::npos);
}

TEST_CASE("an unknown key is rejected") {
  std::string text = kValidSettings;
  text.replace(text.find("\"zone\""), 6, "\"colour\":1,\"zone\"");
  const std::string message = MessageOf(text);
  CAPTURE(message);
  REQUIRE(message.find("colour") != std::string::npos);
}

TEST_CASE("a missing peer key is rejected unless authentication is off") {
  std::string text = kValidSettings;
  text.replace(text.find("\"peer_key\":\"0123456789abcdef\""), 29,
               "\"http_threads\":8");
  REQUIRE(MessageOf(text).find("/peer_key") != std::string::npos);
}

TEST_CASE("the example settings of both deployments are valid") {
  const std::filesystem::path examples =
      std::filesystem::path(BRIARSPREAD_SOURCE_DIR) / "examples";
  int n = 0;
  for (const char* site : {"mantaro", "caledonian"}) {
    for (const auto& file :
         std::filesystem::directory_iterator(examples / site)) {
      if (file.path().extension() != ".json") continue;
      const auto settings = LoadEntrySettings(file.path().string());
      INFO(file.path());
      REQUIRE(IsOk(settings));
      ++n;
    }
  }
  REQUIRE(n == 6);
}

}  // namespace
}  // namespace briarspread
