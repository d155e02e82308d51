#ifndef SOURCE_BASE_DECISION_LOG_H_
#define SOURCE_BASE_DECISION_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "source/base/millis.h"

namespace fulmarrock {

/// One decision: its name, the ids it concerns, its inputs with their age, and
/// its outcome.
class DecisionLine {
 public:
  struct Field {
    std::string_view name;
    std::variant<int64_t, std::string> value;
  };

  /// `decision` and all field names must outlive the line.
  explicit DecisionLine(std::string_view decision) : m_decision(decision) {}

  DecisionLine& With(std::string_view name, std::string value) {
    m_fields.push_back({name, std::move(value)});
    return *this;
  }
  DecisionLine& With(std::string_view name, std::string_view value) {
    return With(name, std::string(value));
  }
  DecisionLine& With(std::string_view name, const char* value) {
    return With(name, std::string(value));
  }
  DecisionLine& With(std::string_view name, int64_t value) {
    m_fields.push_back({name, value});
    return *this;
  }
  DecisionLine& With(std::string_view name, Millis value) {
    return With(name, value.count());
  }

  std::string_view decision() const { return m_decision; }
  const std::vector<Field>& fields() const { return m_fields; }

 private:
  std::string_view m_decision;
  std::vector<Field> m_fields;
};

/// Records the decisions of a process. Never blocks; lines beyond its limits
/// are dropped and counted.
class DecisionLog {
 public:
  virtual ~DecisionLog() = default;
  virtual void Write(const DecisionLine& line) = 0;
};

/// Drops every line.
class NullDecisionLog : public DecisionLog {
 public:
  void Write(const DecisionLine&) override {}
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_DECISION_LOG_H_
