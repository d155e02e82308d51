#include "source/base/resources.h"

namespace fulmarrock {

Resources& Resources::operator+=(const Resources& other) {
  cpu_millicores += other.cpu_millicores;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_millicores -= other.cpu_millicores;
  memory_mib -= other.memory_mib;
  accelerators -= other.accelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& available) const {
  return cpu_millicores <= available.cpu_millicores &&
         memory_mib <= available.memory_mib &&
         accelerators <= available.accelerators;
}

bool Resources::HasNegative() const {
  return cpu_millicores < 0 || memory_mib < 0 || accelerators < 0;
}

std::string Resources::ToString() const {
  return std::to_string(cpu_millicores) + "m cpu, " +
         std::to_string(memory_mib) + " MiB, " + std::to_string(accelerators) +
         " accelerators";
}

Result<void> ValidateRequest(const Resources& resources) {
  if (resources.cpu_millicores <= 0 || resources.memory_mib <= 0) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "cpu_millicores and memory_mib must be positive, got " +
                         resources.ToString(),
                     "set both to the amounts one task needs");
  }
  if (resources.accelerators < 0) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        "accelerators must not be negative, got " + resources.ToString(),
        "set accelerators to 0 or more");
  }
  if (resources.cpu_millicores > Resources::kMaxAmount ||
      resources.memory_mib > Resources::kMaxAmount ||
      resources.accelerators > Resources::kMaxAmount) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "an amount is too large: " + resources.ToString(),
                     "keep every amount at or below 2^40");
  }
  return {};
}

}  // namespace fulmarrock
