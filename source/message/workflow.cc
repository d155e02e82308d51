#include "source/message/workflow.h"

#include <cinttypes>
#include <cstdio>

namespace fulmarrock {

std::string FormatWorkflowKey(WorkflowKey key) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, key);
  return text;
}

std::string ToString(const TaskName& name) {
  return FormatWorkflowKey(name.workflow) + "/" +
         std::to_string(name.occurrence) + "/" + std::to_string(name.step) +
         "/" + std::to_string(name.index);
}

std::string_view ToString(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLeaseExpired:
      return "lapsed";
    case RunOutcome::kGangMemberEnded:
      return "broken";
    case RunOutcome::kGangIncomplete:
      return "alone";
    case RunOutcome::kRefused:
      return "refused";
    case RunOutcome::kDeclined:
      return "declined";
  }
  return "unknown";
}

}  // namespace fulmarrock
