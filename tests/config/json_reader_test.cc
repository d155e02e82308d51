#include "source/config/json_reader.h"

#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace fulmarrock {
namespace {

std::string Repeat(const std::string& text, size_t count) {
  std::string repeated;
  for (size_t i = 0; i < count; ++i)
    repeated += text;
  return repeated;
}

}  // namespace

// Guards against a process that ends on an uncaught exception because a text
// from outside holds a number beyond the range of a double.
TEST_CASE("JSON that cannot be represented is an error") {
  const std::string texts[] = {
      "1e400",
      "-1e400",
      R"({"version":1e400})",
      R"({"a":[1,{"b":-1e99999}]})",
      "1e",
      Repeat("[", 100'000),
      Repeat("[", 100'000) + Repeat("]", 100'000),
      Repeat(R"({"a":)", 50'000),
      "\"\xff\xfe\"",
      "\"\\ud800\"",
      "",
      std::string(1, '\0'),
      "{\"a\":1,\"a\":2}",
  };
  for (const std::string& text : texts) {
    INFO(text.substr(0, 40));
    const Result<nlohmann::json> parsed = ParseJson(text);
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().kind == ErrorKind::kInvalidArgument);
    CHECK_FALSE(parsed.error().remedy.empty());
  }
}

// Guards against integers that change their value when they are read: numbers
// outside of the documented range, or with a fraction, are errors.
TEST_CASE("Numbers that are not integers of the range are errors") {
  for (const char* number :
       {"-1", "11", "1.5", "1e300", "-1e300", "9223372036854775808",
        "18446744073709551615", "1234567890123456789012345678901234567890",
        "-9223372036854775809", "null", "true", "\"1\"", "[1]", "{}"}) {
    INFO(number);
    const Result<nlohmann::json> parsed =
        ParseJson(std::string("{\"a\":") + number + ",\"b\":[" + number + "]}");
    REQUIRE(parsed);
    FieldErrors errors;
    JsonReader reader(*parsed, "", errors);
    reader.Integer("a", 0, 10);
    CHECK_FALSE(errors.empty());
    FieldErrors list_errors;
    JsonReader list_reader(*parsed, "", list_errors);
    CHECK(list_reader.Integers("b", 0, 10).empty());
    CHECK_FALSE(list_errors.empty());
  }
}

// Guards against a cast of a number that no integer holds, whose result differs
// between processors.
TEST_CASE("Only a number within the limits has a whole part") {
  constexpr int64_t kLimit = int64_t{1} << 62;
  const auto whole_part = [](const char* text) {
    return WholePart(*ParseJson(text), -kLimit, kLimit);
  };
  CHECK(whole_part("7") == 7);
  CHECK(whole_part("-7.9") == -7);
  CHECK(whole_part("1e3") == 1'000);
  CHECK(whole_part("4611686018427387904") == kLimit);
  for (const char* text :
       {"1e300", "-1e300", "9.3e18", "4611686018427387905",
        "-4611686018427387905", "18446744073709551615",
        "1234567890123456789012345678901234567890", "null", "\"7\"", "[7]"}) {
    INFO(text);
    CHECK_FALSE(whole_part(text).has_value());
  }
}

}  // namespace fulmarrock
