#ifndef SOURCE_NET_FUNCTION_COMPONENT_H_
#define SOURCE_NET_FUNCTION_COMPONENT_H_

#include <functional>
#include <string>
#include <utility>

#include "source/net/component.h"

namespace fulmarrock {

/// A component made of two functions, for parts that cannot fail after a
/// successful start.
class FunctionComponent : public Component {
 public:
  FunctionComponent(std::string name,
                    std::function<Result<void>()> start,
                    std::function<void()> stop)
      : m_name(std::move(name)),
        m_start(std::move(start)),
        m_stop(std::move(stop)) {}

  std::string Name() const override { return m_name; }
  Result<void> Start() override { return m_start(); }
  void Stop() override { m_stop(); }

 private:
  std::string m_name;
  std::function<Result<void>()> m_start;
  std::function<void()> m_stop;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_FUNCTION_COMPONENT_H_
