#include "source/net/supervisor.h"

#include <catch2/catch.hpp>

#include "tests/net/net_fixture.h"

namespace fulmarrock::test {
namespace {

/// A component that records its starts, failed starts and stops in a shared
/// log.
class LoggedComponent : public Component {
 public:
  LoggedComponent(std::string name, std::vector<std::string>& log)
      : m_name(std::move(name)), m_log(log) {}
  std::string Name() const override { return m_name; }
  Result<void> Start() override {
    if (failing_starts > 0) {
      --failing_starts;
      m_log.push_back(m_name + " fails");
      return MakeError(ErrorKind::kIo, "port in use", "free the port");
    }
    m_log.push_back(m_name + " starts");
    return {};
  }
  void Stop() override { m_log.push_back(m_name + " stops"); }
  void Break() { ReportFailure({ErrorKind::kIo, "broken", "none"}); }

  int failing_starts = 0;

 private:
  std::string m_name;
  std::vector<std::string>& m_log;
};

// Guards against a wrong order at start and stop, against a failed component
// that is not started again, and against components left running after a failed
// start.
TEST_CASE("components start in order, restart after failures, and stop") {
  LoopThread thread;
  std::vector<std::string> log;
  std::optional<Supervisor> supervisor;
  LoggedComponent* second = nullptr;
  thread.RunAndWait([&] {
    supervisor.emplace(thread.loop(), "root",
                       Supervisor::Options{Millis(1), Millis(4), 8},
                       [](const std::string&, const Error*) {});
    supervisor->Add(std::make_unique<LoggedComponent>("one", log));
    auto component = std::make_unique<LoggedComponent>("two", log);
    second = component.get();
    supervisor->Add(std::move(component));
    second->failing_starts = 1;
    CHECK_FALSE(supervisor->Start());
    CHECK(log ==
          std::vector<std::string>{"one starts", "two fails", "one stops"});
    log.clear();
    CHECK(supervisor->Start());
    second->failing_starts = 2;
    second->Break();
  });
  REQUIRE(WaitFor(
      thread, [&] { return log.back() == "two starts" && log.size() > 3; }));
  thread.RunAndWait([&] { supervisor.reset(); });
  CHECK(log == std::vector<std::string>{"one starts", "two starts", "two stops",
                                        "two fails", "two fails", "two starts",
                                        "two stops", "one stops"});
}

}  // namespace
}  // namespace fulmarrock::test
