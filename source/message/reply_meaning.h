#ifndef SOURCE_MESSAGE_REPLY_MEANING_H_
#define SOURCE_MESSAGE_REPLY_MEANING_H_

#include <cstdint>

#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// What a reply says about the sending of a call that it answers.
enum class ReplyMeaning : uint8_t {
  kAnswered,    ///< The call took effect, or was answered from the state.
  kNotStored,   ///< This sending of the call was refused and stored nothing.
  kNotHandled,  ///< The member is not the leader and did nothing.
  kUnknown,     ///< This sending of the call may have taken effect.
};

ReplyMeaning MeaningOf(WorkflowReplyKind kind);

/// Whether control stores calls of this kind.
bool IsStored(WorkflowCallKind kind);

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_REPLY_MEANING_H_
