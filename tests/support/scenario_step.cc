#include "tests/support/scenario_step.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace fulmarrock::test {
namespace {

/// Splits a line at blanks outside quotes. Returns nothing for an open quote.
std::optional<std::vector<std::string>> Split(std::string_view line) {
  std::vector<std::string> parts;
  std::string part;
  bool is_quoted = false;
  bool has_part = false;
  for (const char c : line) {
    if (c == '"') {
      is_quoted = !is_quoted;
      has_part = true;
    } else if (!is_quoted && c == '#') {
      break;
    } else if (!is_quoted && (c == ' ' || c == '\t')) {
      if (has_part)
        parts.push_back(std::exchange(part, ""));
      has_part = false;
    } else {
      part += c;
      has_part = true;
    }
  }
  if (is_quoted)
    return std::nullopt;
  if (has_part)
    parts.push_back(part);
  return parts;
}

int64_t ToNumber(const std::string& text) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end)
    throw ScenarioError("\"" + text + "\" is not a number");
  return number;
}

}  // namespace

Result<ScenarioStep> ScenarioStep::Parse(std::string_view line,
                                         int line_number) {
  ScenarioStep step;
  step.m_line_number = line_number;
  step.m_text = std::string(line);
  const std::optional<std::vector<std::string>> parts = Split(line);
  if (!parts) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "line " + std::to_string(line_number) +
                         " has a quote that is not closed",
                     "close it");
  }
  for (const std::string& part : *parts) {
    const size_t equals = part.find('=');
    const bool is_option = equals != std::string::npos && equals > 0 &&
                           std::string_view("<>!=").find(part[equals - 1]) ==
                               std::string_view::npos;
    if (step.m_verb.empty())
      step.m_verb = part;
    else if (is_option)
      step.m_options[part.substr(0, equals)] = part.substr(equals + 1);
    else
      step.m_words.push_back(part);
  }
  return step;
}

const std::string& ScenarioStep::Word(size_t index) const {
  if (index >= m_words.size())
    throw ScenarioError(m_verb + " needs at least " +
                        std::to_string(index + 1) + " words");
  return m_words[index];
}

int64_t ScenarioStep::Number(size_t index) const {
  return ToNumber(Word(index));
}

bool ScenarioStep::HasWord(std::string_view word) const {
  return std::find(m_words.begin(), m_words.end(), word) != m_words.end();
}

std::string ScenarioStep::Option(const std::string& name,
                                 std::string fallback) const {
  const auto it = m_options.find(name);
  return it == m_options.end() ? std::move(fallback) : it->second;
}

int64_t ScenarioStep::NumberOption(const std::string& name,
                                   int64_t fallback) const {
  const auto it = m_options.find(name);
  return it == m_options.end() ? fallback : ToNumber(it->second);
}

ScenarioError::ScenarioError(std::string message)
    : m_message(std::move(message)) {}

}  // namespace fulmarrock::test
