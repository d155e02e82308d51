#include <fcntl.h>
#include <unistd.h>

#include <string>

#include <catch2/catch.hpp>

#include "source/net/stdout_decision_log.h"

namespace fulmarrock::test {
namespace {

struct Pipe {
  Pipe() { REQUIRE(::pipe(ends) == 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string ReadAll() {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4096];
    for (ssize_t n = 0; (n = ::read(ends[0], buffer, sizeof(buffer))) > 0;)
      text.append(buffer, static_cast<size_t>(n));
    return text;
  }
  int ends[2] = {};
};

}  // namespace

// Guards against lines that a JSON parser cannot read, for example because a
// value is not escaped.
TEST_CASE("A decision is one JSON object on a line") {
  Pipe pipe;
  StdoutDecisionLog log("n1", DecisionLogLimits{}, pipe.ends[1]);
  log.Write(DecisionLine("call_refused")
                .With("workflow", "a\"b")
                .With("age_ms", Millis(5)));
  const std::string text = pipe.ReadAll();
  CHECK(text.find(R"("node":"n1","decision":"call_refused")") !=
        std::string::npos);
  CHECK(text.find(R"("workflow":"a\"b","age_ms":5})") != std::string::npos);
  CHECK(text.back() == '\n');
}

// Guards against a process that blocks because nobody reads its output, and
// against lines that are lost without a count.
TEST_CASE("A full pipe drops lines and never blocks the writer") {
  Pipe pipe;
  DecisionLogLimits limits;
  limits.lines_per_second = 100'000;
  limits.max_buffered_bytes = 4'096;
  StdoutDecisionLog log("n1", limits, pipe.ends[1]);
  for (int i = 0; i < 5'000; ++i)
    log.Write(DecisionLine("run_over").With("task", std::string(60, 'x')));
  CHECK(log.dropped_lines() > 0);
  pipe.ReadAll();
  log.Write(DecisionLine("run_over"));
  log.Write(DecisionLine("run_over"));
  CHECK(pipe.ReadAll().find("dropped_lines") != std::string::npos);
}

// Guards against a burst of decisions that floods the output.
TEST_CASE("Lines beyond the rate are dropped and counted") {
  Pipe pipe;
  DecisionLogLimits limits;
  limits.lines_per_second = 10;
  StdoutDecisionLog log("n1", limits, pipe.ends[1]);
  for (int i = 0; i < 50; ++i)
    log.Write(DecisionLine("run_over"));
  CHECK(log.dropped_lines() >= 35);
}

}  // namespace fulmarrock::test
