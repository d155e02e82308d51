#include "source/message/message.h"

#include <array>

namespace fulmarrock {
namespace {

/// Names by index in Message. They stay the same when a type is renamed.
constexpr std::array<std::string_view, std::variant_size_v<Message>> kNames = {
    "TargetAnnounce",  "RequestForward",    "RequestReply",
    "RequestCancel",   "RequestQuery",      "RequestQueryReply",
    "ClaimRequest",    "ClaimReply",        "ClaimOutcome",
    "ClaimOutcomeAck", "ResponseFetch",     "ResponseFetchReply",
    "WorkerAnnounce",  "WorkerAnnounceAck", "LeaseRenew",
    "LeaseRenewReply", "LeaseReport",       "GrantBatch",
    "StopBatch",       "TaskEvents",        "TaskEventsAck",
    "UsageReport",     "ConfigPoll",        "ConfigDelta",
    "ConfigCopy",      "ConfigAck",         "VoteRequest",
    "VoteReply",       "AppendRequest",     "AppendReply",
    "SnapshotChunk",   "SnapshotAck",       "WorkflowCall",
    "WorkflowReply",   "WorkerReport",      "WorkerOrders",
    "JoinRequest",     "GroupView",         "GroupViewRequest"};

}  // namespace

std::string_view MessageName(const Message& message) {
  return kNames[message.index()];
}

}  // namespace fulmarrock
