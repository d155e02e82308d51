#ifndef SOURCE_AGENT_KERNEL_LISTENER_H_
#define SOURCE_AGENT_KERNEL_LISTENER_H_

#include <string>
#include <vector>

namespace fulmarrock {

/// Is notified of the kernels that execute on the instance.
class KernelListener {
 public:
  virtual ~KernelListener() = default;

  /// Called with the workload names of all kernels that execute now, whenever
  /// the set changes. Suspended kernels are not included.
  virtual void OnKernelsChanged(const std::vector<std::string>& kernels) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_KERNEL_LISTENER_H_
