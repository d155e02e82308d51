#ifndef SOURCE_CONFIG_JSON_READER_H_
#define SOURCE_CONFIG_JSON_READER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "source/base/error.h"
#include "source/config/field_errors.h"

namespace fulmarrock {

/// Parses JSON with comments. Fails with kInvalidArgument on malformed text
/// (the message names the line), on a duplicate name in an object, on deep
/// nesting, and on a number that no type can hold.
Result<nlohmann::json> ParseJson(std::string_view text);

/// Returns the whole part of a number that is at least `minimum` and at most
/// `maximum`, or nothing for other values. The limits are within +-2^62.
std::optional<int64_t> WholePart(const nlohmann::json& value,
                                 int64_t minimum,
                                 int64_t maximum);

/// Reads the fields of one JSON object and reports every wrong, missing or
/// unknown one. A read that fails returns the fallback or an empty value.
class JsonReader {
 public:
  /// `value` and `errors` must outlive the reader.
  JsonReader(const nlohmann::json& value,
             std::string path,
             FieldErrors& errors);

  /// Reads a string; without a fallback it is required and must not be empty.
  std::string String(const std::string& name,
                     std::optional<std::string> fallback = std::nullopt);

  /// Reads an integer in [minimum, maximum]; without a fallback it is required.
  int64_t Integer(const std::string& name,
                  int64_t minimum,
                  int64_t maximum,
                  std::optional<int64_t> fallback = std::nullopt);

  /// Reads a number, whole or not, in [minimum, maximum].
  double Number(const std::string& name,
                double minimum,
                double maximum,
                double fallback);

  /// Reads an array of integers in [minimum, maximum] that may be absent.
  std::vector<int64_t> Integers(const std::string& name,
                                int64_t minimum,
                                int64_t maximum);

  bool Boolean(const std::string& name, bool fallback);

  /// Reads an array of strings that may be absent.
  std::vector<std::string> Strings(const std::string& name);

  /// Returns readers for an array of objects that may be absent.
  std::vector<JsonReader> Objects(const std::string& name);

  /// Returns a reader for an object, or nothing if it is absent.
  std::optional<JsonReader> Object(const std::string& name);

  /// Reports a problem with a field that the reader does not detect itself.
  void Report(const std::string& name, std::string message, std::string remedy);

  /// Reports every field that was never read as unknown.
  void Finish();

 private:
  const nlohmann::json* Find(const std::string& name);
  std::string PathOf(const std::string& name) const;

  const nlohmann::json& m_value;
  std::string m_path;
  FieldErrors& m_errors;
  std::set<std::string> m_read_fields;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONFIG_JSON_READER_H_
