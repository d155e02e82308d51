#include "source/message/reply_meaning.h"

namespace fulmarrock {

ReplyMeaning MeaningOf(WorkflowReplyKind kind) {
  switch (kind) {
    case WorkflowReplyKind::kAccepted:
    case WorkflowReplyKind::kPhase:
    case WorkflowReplyKind::kCounted:
    case WorkflowReplyKind::kCancelled:
    // The reply to a read, or to a cancellation that was stored.
    case WorkflowReplyKind::kWorkflowNotFound:
      return ReplyMeaning::kAnswered;
    case WorkflowReplyKind::kQueueNotFound:
    case WorkflowReplyKind::kNotConfigured:
    case WorkflowReplyKind::kRefused:
    case WorkflowReplyKind::kInvalid:
      return ReplyMeaning::kNotStored;
    case WorkflowReplyKind::kNotLeader:
      return ReplyMeaning::kNotHandled;
    case WorkflowReplyKind::kUnknownResult:
      break;
  }
  return ReplyMeaning::kUnknown;
}

bool IsStored(WorkflowCallKind kind) {
  return kind == WorkflowCallKind::kSubmit || kind == WorkflowCallKind::kCancel;
}

}  // namespace fulmarrock
