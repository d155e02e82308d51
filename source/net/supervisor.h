#ifndef SOURCE_NET_SUPERVISOR_H_
#define SOURCE_NET_SUPERVISOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "source/net/component.h"
#include "source/net/event_loop.h"

namespace fulmarrock {

/// Owns components: starts them in order, restarts one that failed after an
/// exponential delay, and stops them in reverse order. A supervisor is itself
/// a component, so that supervisors form a tree.
class Supervisor : public Component {
 public:
  struct Options {
    Millis first_backoff{100};
    Millis max_backoff{10'000};
    /// Restarts of one component after which the supervisor gives up and
    /// reports a failure to its owner; the count starts again for a component
    /// that ran for longer than the largest backoff.
    int max_restarts = 8;
  };

  /// Called for logging: without an error when a component started, with the
  /// error when it failed.
  using Observer =
      std::function<void(const std::string& component, const Error* failure)>;

  Supervisor(EventLoop& loop,
             std::string name,
             const Options& options,
             Observer observer);
  ~Supervisor() override;

  /// Adds a component, which depends on the ones added before it.
  void Add(std::unique_ptr<Component> component);

  std::string Name() const override { return m_name; }

  /// Starts all components. On the first failure, stops the components already
  /// started and returns the error, so that a process that cannot start fails
  /// at once.
  Result<void> Start() override;
  void Stop() override;

  /// Returns state and restarts of each component as JSON.
  std::string DumpState() const;

 private:
  struct Child {
    std::unique_ptr<Component> component;
    bool is_running = false;
    int restarts = 0;
    int total_restarts = 0;
    Millis backoff;
    Millis started_at;
    EventLoop::TimerId timer = 0;
  };

  void OnFailure(Child& child, const Error& error);
  void ScheduleRestart(Child& child, const Error& error);
  void Restart(Child& child);

  EventLoop& m_loop;
  const std::string m_name;
  const Options m_options;
  Observer m_observer;
  std::vector<std::unique_ptr<Child>> m_children;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_SUPERVISOR_H_
