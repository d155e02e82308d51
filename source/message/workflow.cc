#include "source/message/workflow.h"

#include <cinttypes>
#include <cstdio>

namespace fulmarrock {

std::string KeyText(WorkflowKey key) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, key);
  return text;
}

std::string ToString(const TaskName& name) {
  return KeyText(name.workflow) + "/" + std::to_string(name.occurrence) + "/" +
         std::to_string(name.step) + "/" + std::to_string(name.index);
}

std::string_view ToString(RunEndKind kind) {
  switch (kind) {
    case RunEndKind::kDone:
      return "done";
    case RunEndKind::kFailed:
      return "failed";
    case RunEndKind::kStopped:
      return "stopped";
    case RunEndKind::kLapsed:
      return "lapsed";
    case RunEndKind::kBroken:
      return "broken";
    case RunEndKind::kAlone:
      return "alone";
    case RunEndKind::kRefused:
      return "refused";
    case RunEndKind::kDeclined:
      return "declined";
  }
  return "unknown";
}

}  // namespace fulmarrock
