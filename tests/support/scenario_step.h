#ifndef TESTS_SUPPORT_SCENARIO_STEP_H_
#define TESTS_SUPPORT_SCENARIO_STEP_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "source/base/error.h"
#include "source/base/millis.h"

namespace fulmarrock::test {

/// One line of a scenario: a verb, words, and options of the form name=value.
class ScenarioStep {
 public:
  /// Parses a line. Words may be quoted; "#" starts a comment. An empty line
  /// gives a step without a verb.
  static Result<ScenarioStep> Parse(std::string_view line, int line_number);

  int line_number() const { return m_line_number; }
  const std::string& text() const { return m_text; }
  const std::string& verb() const { return m_verb; }
  const std::vector<std::string>& words() const { return m_words; }

  /// Returns a word, or throws ScenarioError if the line is too short.
  const std::string& Word(size_t index) const;

  /// Returns a word as a number, or throws ScenarioError if it is none.
  int64_t Number(size_t index) const;

  bool HasWord(std::string_view word) const;

  std::string Option(const std::string& name, std::string fallback = "") const;
  int64_t NumberOption(const std::string& name, int64_t fallback) const;

 private:
  int m_line_number = 0;
  std::string m_text;
  std::string m_verb;
  std::vector<std::string> m_words;
  std::map<std::string, std::string> m_options;
};

/// Thrown to fail a scenario: a line is invalid, an expectation does not hold,
/// or an invariant is violated.
class ScenarioError {
 public:
  explicit ScenarioError(std::string message);
  const std::string& message() const { return m_message; }

 private:
  std::string m_message;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_SCENARIO_STEP_H_
