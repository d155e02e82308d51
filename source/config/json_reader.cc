#include "source/config/json_reader.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace fulmarrock {
namespace {

using nlohmann::json;

/// Maximum nesting depth, which bounds the stack that the parser uses. No valid
/// document is nested this deeply.
constexpr int kMaxDepth = 32;

/// Largest magnitude of the whole part of a number.
constexpr int64_t kMaxWhole = int64_t{1} << 62;

/// Finds duplicate names in an object; the parser itself would silently keep
/// the last one.
class DuplicateFinder {
 public:
  bool operator()(int depth, json::parse_event_t event, json& parsed) {
    if (depth > kMaxDepth)
      m_is_too_deep = true;
    if (event == json::parse_event_t::object_start)
      m_names.emplace_back();
    if (event == json::parse_event_t::object_end && !m_names.empty())
      m_names.pop_back();
    if (event == json::parse_event_t::key && !m_names.empty()) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!m_names.back().insert(name).second && m_duplicate.empty())
        m_duplicate = name;
    }
    return !m_is_too_deep;
  }

  const std::string& duplicate() const { return m_duplicate; }
  bool is_too_deep() const { return m_is_too_deep; }

 private:
  std::vector<std::set<std::string>> m_names;
  std::string m_duplicate;
  bool m_is_too_deep = false;
};

size_t LineOf(std::string_view text, size_t byte) {
  const std::string_view before = text.substr(0, std::min(byte, text.size()));
  return 1 +
         static_cast<size_t>(std::count(before.begin(), before.end(), '\n'));
}

}  // namespace

Result<json> ParseJson(std::string_view text) {
  DuplicateFinder duplicates;
  json value;
  try {
    value = json::parse(
        text.begin(), text.end(),
        [&duplicates](int depth, json::parse_event_t event, json& parsed) {
          return duplicates(depth, event, parsed);
        },
        /*allow_exceptions=*/true, /*ignore_comments=*/true);
  } catch (const json::parse_error& e) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        "malformed JSON at line " + std::to_string(LineOf(text, e.byte)),
        "correct the syntax; comments are allowed, trailing "
        "commas are not");
  } catch (const json::out_of_range&) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "a number in the JSON is too large for any type",
                     "use numbers in the documented ranges");
  }
  if (duplicates.is_too_deep()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "JSON is nested more than " + std::to_string(kMaxDepth) +
                         " levels deep",
                     "flatten the document");
  }
  if (!duplicates.duplicate().empty()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "field \"" + duplicates.duplicate() + "\" stands twice",
                     "keep one of them");
  }
  return value;
}

std::optional<int64_t> WholePart(const json& value,
                                 int64_t minimum,
                                 int64_t maximum) {
  int64_t whole = 0;
  if (value.is_number_unsigned()) {
    if (value.get<uint64_t>() > static_cast<uint64_t>(kMaxWhole))
      return std::nullopt;
    whole = value.get<int64_t>();
  } else if (value.is_number_integer()) {
    whole = value.get<int64_t>();
  } else if (value.is_number_float()) {
    // A conversion to an integer is undefined for values out of its range.
    const double number = value.get<double>();
    const bool is_in_range = number >= -static_cast<double>(kMaxWhole) &&
                             number <= static_cast<double>(kMaxWhole);
    if (!is_in_range)
      return std::nullopt;
    whole = static_cast<int64_t>(number);
  } else {
    return std::nullopt;
  }
  if (whole < minimum || whole > maximum)
    return std::nullopt;
  return whole;
}

JsonReader::JsonReader(const json& value, std::string path, FieldErrors& errors)
    : m_value(value), m_path(std::move(path)), m_errors(errors) {
  if (!m_value.is_object()) {
    m_errors.Add(m_path.empty() ? "/" : m_path, "must be an object",
                 "write it as { ... }");
  }
}

std::string JsonReader::String(const std::string& name,
                               std::optional<std::string> fallback) {
  const json* field = Find(name);
  if (!field) {
    if (!fallback)
      Report(name, "is missing", "add this field");
    return fallback.value_or("");
  }
  if (!field->is_string()) {
    Report(name, "must be a string", "put the value in quotes");
    return fallback.value_or("");
  }
  const auto& text = field->get_ref<const std::string&>();
  if (text.empty() && !fallback)
    Report(name, "must not be empty", "set a value");
  return text;
}

int64_t JsonReader::Integer(const std::string& name,
                            int64_t minimum,
                            int64_t maximum,
                            std::optional<int64_t> fallback) {
  const std::string remedy = "use a whole number from " +
                             std::to_string(minimum) + " to " +
                             std::to_string(maximum);
  const json* field = Find(name);
  if (!field) {
    if (!fallback)
      Report(name, "is missing", remedy);
    return fallback.value_or(minimum);
  }
  const bool is_too_large =
      field->is_number_unsigned() &&
      field->get<uint64_t>() > static_cast<uint64_t>(maximum);
  if (!field->is_number_integer() || is_too_large ||
      field->get<int64_t>() < minimum || field->get<int64_t>() > maximum) {
    Report(name, "has the invalid value " + field->dump().substr(0, 40),
           remedy);
    return fallback.value_or(minimum);
  }
  return field->get<int64_t>();
}

double JsonReader::Number(const std::string& name,
                          double minimum,
                          double maximum,
                          double fallback) {
  const json* field = Find(name);
  if (!field)
    return fallback;
  const double value =
      field->is_number() ? field->get<double>() : minimum - 1.0;
  if (value < minimum || value > maximum) {
    Report(name, "has the invalid value " + field->dump().substr(0, 40),
           "use a number in the documented range");
    return fallback;
  }
  return value;
}

std::vector<int64_t> JsonReader::Integers(const std::string& name,
                                          int64_t minimum,
                                          int64_t maximum) {
  std::vector<int64_t> values;
  const json* field = Find(name);
  if (!field)
    return values;
  if (!field->is_array()) {
    Report(name, "must be an array of whole numbers", "write it as [ 1, 2 ]");
    return values;
  }
  for (const json& item : *field) {
    const int64_t value =
        item.is_number_integer() ? item.get<int64_t>() : minimum - 1;
    if (value < minimum || value > maximum)
      Report(name, "has the invalid element " + item.dump().substr(0, 40),
             "use whole numbers in the documented range");
    else
      values.push_back(value);
  }
  return values;
}

bool JsonReader::Boolean(const std::string& name, bool fallback) {
  const json* field = Find(name);
  if (!field)
    return fallback;
  if (!field->is_boolean()) {
    Report(name, "must be true or false", "write true or false without quotes");
    return fallback;
  }
  return field->get<bool>();
}

std::vector<std::string> JsonReader::Strings(const std::string& name) {
  std::vector<std::string> texts;
  const json* field = Find(name);
  if (!field)
    return texts;
  if (!field->is_array()) {
    Report(name, "must be an array of strings", "write it as [ \"...\" ]");
    return texts;
  }
  for (const json& item : *field) {
    if (item.is_string())
      texts.push_back(item.get<std::string>());
    else
      Report(name, "has an element that is not a string",
             "put each element in quotes");
  }
  return texts;
}

std::vector<JsonReader> JsonReader::Objects(const std::string& name) {
  std::vector<JsonReader> readers;
  const json* field = Find(name);
  if (!field)
    return readers;
  if (!field->is_array()) {
    Report(name, "must be an array of objects", "write it as [ { ... } ]");
    return readers;
  }
  for (size_t i = 0; i < field->size(); ++i)
    readers.emplace_back((*field)[i], PathOf(name) + "/" + std::to_string(i),
                         m_errors);
  return readers;
}

std::optional<JsonReader> JsonReader::Object(const std::string& name) {
  const json* field = Find(name);
  if (!field)
    return std::nullopt;
  return JsonReader(*field, PathOf(name), m_errors);
}

void JsonReader::Report(const std::string& name,
                        std::string message,
                        std::string remedy) {
  m_errors.Add(PathOf(name), std::move(message), std::move(remedy));
}

void JsonReader::Finish() {
  if (!m_value.is_object())
    return;
  std::string known_fields;
  for (const std::string& name : m_read_fields)
    known_fields += (known_fields.empty() ? "" : ", ") + name;
  for (const auto& item : m_value.items()) {
    if (!m_read_fields.contains(item.key()))
      Report(item.key(), "is not a known field",
             "remove it or use one of: " + known_fields);
  }
}

const json* JsonReader::Find(const std::string& name) {
  m_read_fields.insert(name);
  if (!m_value.is_object())
    return nullptr;
  const auto it = m_value.find(name);
  return it == m_value.end() ? nullptr : &*it;
}

std::string JsonReader::PathOf(const std::string& name) const {
  return m_path + "/" + name;
}

}  // namespace fulmarrock
