#ifndef SOURCE_NET_COMPONENT_H_
#define SOURCE_NET_COMPONENT_H_

#include <functional>
#include <string>
#include <utility>

#include "source/base/error.h"

namespace fulmarrock {

/// A long-lived part of a process. Its owner starts it, starts it again after a
/// failure, and stops it.
class Component {
 public:
  using FailureHandler = std::function<void(const Error&)>;

  virtual ~Component() = default;

  virtual std::string Name() const = 0;

  /// Starts the component. Called again after a failure or a stop.
  virtual Result<void> Start() = 0;

  /// Stops the component; does nothing when it is not running.
  virtual void Stop() = 0;

  /// Sets the function to call when the component fails after a successful
  /// start.
  void SetFailureHandler(FailureHandler handler) {
    m_failure_handler = std::move(handler);
  }

 protected:
  /// Reports to the owner that the component has failed.
  void ReportFailure(const Error& error) {
    if (m_failure_handler)
      m_failure_handler(error);
  }

 private:
  FailureHandler m_failure_handler;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_COMPONENT_H_
