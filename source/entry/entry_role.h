#ifndef SOURCE_ENTRY_ENTRY_ROLE_H_
#define SOURCE_ENTRY_ENTRY_ROLE_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "source/base/clock.h"
#include "source/base/random_source.h"
#include "source/entry/admission_policy.h"
#include "source/entry/caller_sink.h"
#include "source/entry/claim_client.h"
#include "source/entry/config_client.h"
#include "source/entry/entry_options.h"
#include "source/entry/keyed_requests.h"
#include "source/entry/outlier_detector.h"
#include "source/entry/request_dispatcher.h"
#include "source/entry/retry_policy.h"
#include "source/entry/routing_policy.h"
#include "source/entry/target_table.h"
#include "source/message/role.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// The policies of an entry; null members are replaced by the defaults.
struct EntryPolicies {
  std::unique_ptr<RoutingPolicy> routing;
  std::unique_ptr<AdmissionPolicy> admission;
  std::unique_ptr<RetryPolicy> retries;
};

/// The entry role: admits callers' requests, routes each to a target and sends
/// exactly one reply to each, by its deadline.
class EntryRole : public Role {
 public:
  EntryRole(EntryOptions options,
            const Clock& clock,
            Transport& transport,
            RandomSource& random,
            CallerSink& sink,
            EntryPolicies policies = {});

  /// Accepts a request and returns its id. The sink gets the reply later, never
  /// within this call.
  RequestId Submit(CallerRequest request);

  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override;
  bool IsDrained() const override;
  std::string DumpState() const override;
  const Counters& counters() const override { return m_counters; }

  /// Version of the configuration in effect; zero before the first one has
  /// arrived.
  uint64_t ConfigVersion() const { return m_config.version(); }

 private:
  struct Caller {
    std::string customer;
    Millis deadline;
    bool is_admitted = false;
  };

  void Handle(const NodeId& from, const Message& message);
  /// Returns why a request is malformed, or an empty string.
  std::string FindInputError(const CallerRequest& request) const;
  const Plan* FindPlan(const std::string& customer) const;
  void Process(RequestId id, const CallerRequest& request);
  void OnDispatchDone(RequestId id, CallerReply reply);
  void SendReply(RequestId id, CallerReply reply);
  void DeliverReplies();

  EntryOptions m_options;
  const Clock& m_clock;
  Transport& m_transport;
  CallerSink& m_sink;
  EntryPolicies m_policies;
  Counters m_counters;
  Plan m_default_plan;
  RequestIdSource m_ids;
  TargetTable m_table;
  OutlierDetector m_outliers;
  ConfigClient m_config;
  ClaimClient m_claims;
  RequestDispatcher m_dispatcher;
  KeyedRequests m_keyed;
  std::unordered_map<RequestId, Caller> m_callers;
  // Replies that the sink has not got yet. The sink may submit a request when
  // it gets a reply, so it is called only after an event has been handled.
  std::vector<std::pair<RequestId, CallerReply>> m_pending_replies;
  bool m_is_stopping = false;
  Millis m_stop_time;
  Millis m_next_cleanup;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_ENTRY_ROLE_H_
