#ifndef TESTS_INTERACTIVE_FAKE_CONTROL_H_
#define TESTS_INTERACTIVE_FAKE_CONTROL_H_

#include <map>
#include <string>
#include <utility>

#include "source/message/transport.h"

namespace fulmarrock::test {

/// Fake control member that grants claims from a table and serves one
/// configuration.
class FakeControl {
 public:
  explicit FakeControl(Transport& transport) : m_transport(transport) {}

  void OnMessage(const NodeId& from, const Message& message) {
    if (const auto* claim = std::get_if<ClaimRequest>(&message))
      OnClaim(from, *claim);
    else if (const auto* outcome = std::get_if<ClaimOutcome>(&message))
      OnOutcome(from, *outcome);
    else if (const auto* poll = std::get_if<ConfigPoll>(&message))
      OnPoll(from, *poll);
    else if (const auto* ack = std::get_if<ConfigAck>(&message))
      acked_versions[from] = ack->version;
  }

  Configuration configuration;
  uint64_t version = 0;
  std::map<NodeId, uint64_t> acked_versions;
  bool grants_all = false;

 private:
  struct Claim {
    ClaimRequest request;
    NodeId entry;
    bool is_finished = false;
    ClaimOutcome outcome;
  };

  void OnClaim(const NodeId& from, const ClaimRequest& request) {
    const auto [it, is_new] = m_claims.try_emplace(
        {request.customer, request.key}, Claim{request, from, false, {}});
    const Claim& claim = it->second;
    ClaimReply reply;
    reply.id = request.id;
    reply.holder = claim.request.id;
    reply.holder_entry = claim.entry;
    reply.outcome = claim.outcome.outcome;
    reply.response_status = claim.outcome.response_status;
    if (grants_all || (claim.request.id == request.id && !claim.is_finished))
      reply.status = ClaimStatus::kGranted;
    else if (claim.request.fingerprint != request.fingerprint)
      reply.status = ClaimStatus::kMismatch;
    else
      reply.status =
          claim.is_finished ? ClaimStatus::kFinished : ClaimStatus::kInProgress;
    m_transport.Send(from, reply);
  }

  void OnOutcome(const NodeId& from, const ClaimOutcome& outcome) {
    const auto it = m_claims.find({outcome.customer, outcome.key});
    if (it != m_claims.end() && it->second.request.id == outcome.id) {
      if (outcome.outcome == Outcome::kNotRun) {
        m_claims.erase(it);
      } else {
        it->second.is_finished = true;
        it->second.outcome = outcome;
      }
    }
    m_transport.Send(from, ClaimOutcomeAck{outcome.id});
  }

  void OnPoll(const NodeId& from, const ConfigPoll& poll) {
    if (poll.current_version < version)
      m_transport.Send(from, ConfigSnapshot{version, configuration});
    else
      m_transport.Send(from, ConfigDelta{poll.current_version, {}});
  }

  Transport& m_transport;
  std::map<std::pair<std::string, std::string>, Claim> m_claims;
};

}  // namespace fulmarrock::test

#endif  // TESTS_INTERACTIVE_FAKE_CONTROL_H_
