#include "source/base/ids.h"

#include <cstdio>

namespace fulmarrock {

std::string ToString(const TaskId& id) {
  return std::to_string(id.job) + "." + std::to_string(id.index);
}

std::string ToString(const RequestId& id) {
  char text[40];
  std::snprintf(text, sizeof(text), "%016llx-%llu",
                static_cast<unsigned long long>(id.entry_incarnation),
                static_cast<unsigned long long>(id.sequence));
  return text;
}

}  // namespace fulmarrock
