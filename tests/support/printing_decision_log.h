#ifndef TESTS_SUPPORT_PRINTING_DECISION_LOG_H_
#define TESTS_SUPPORT_PRINTING_DECISION_LOG_H_

#include <cstdlib>
#include <iostream>
#include <variant>

#include "source/base/clock.h"
#include "source/base/decision_log.h"

namespace fulmarrock::test {

/// Prints decisions with the time of a test's clock if the environment variable
/// FULMARROCK_TRACE is set, and drops them otherwise.
class PrintingDecisionLog : public DecisionLog {
 public:
  explicit PrintingDecisionLog(const Clock& clock)
      : m_clock(clock), m_is_on(std::getenv("FULMARROCK_TRACE") != nullptr) {}

  void Write(const DecisionLine& line) override {
    if (!m_is_on)
      return;
    std::cout << m_clock.Now().count() << " " << line.decision();
    for (const DecisionLine::Field& field : line.fields()) {
      std::cout << " " << field.name << "=";
      std::visit([](const auto& value) { std::cout << value; }, field.value);
    }
    std::cout << "\n";
  }

 private:
  const Clock& m_clock;
  const bool m_is_on;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_PRINTING_DECISION_LOG_H_
