#ifndef SOURCE_MESSAGE_MESSAGE_H_
#define SOURCE_MESSAGE_MESSAGE_H_

#include <string_view>
#include <variant>

#include "source/message/config_messages.h"
#include "source/message/consensus_messages.h"
#include "source/message/request_messages.h"
#include "source/message/task_messages.h"
#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// Every message between processes of the system. The index of a type is its
/// type byte in the frame: new types go to the end, and none is ever removed.
using Message = std::variant<TargetAnnounce,
                             RequestForward,
                             RequestReply,
                             RequestCancel,
                             RequestQuery,
                             RequestQueryReply,
                             ClaimRequest,
                             ClaimReply,
                             ClaimOutcome,
                             ClaimOutcomeAck,
                             ResponseFetch,
                             ResponseFetchReply,
                             WorkerAnnounce,
                             WorkerAnnounceAck,
                             LeaseRenew,
                             LeaseRenewReply,
                             LeaseReport,
                             GrantBatch,
                             StopBatch,
                             TaskEvents,
                             TaskEventsAck,
                             UsageReport,
                             ConfigPoll,
                             ConfigDelta,
                             ConfigSnapshot,
                             ConfigAck,
                             VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             SnapshotChunk,
                             SnapshotAck,
                             WorkflowCall,
                             WorkflowReply,
                             WorkerReport,
                             WorkerInstructions,
                             JoinRequest,
                             GroupView,
                             GroupViewRequest>;

/// Returns the type name of a message, for counters and traces.
std::string_view MessageName(const Message& message);

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_MESSAGE_H_
