#include "source/entry/entry_role.h"

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"
#include "source/entry/burst_admission.h"
#include "source/entry/load_routing.h"

namespace fulmarrock {
namespace {

constexpr Millis kCleanupInterval{1000};

EntryPolicies FillPolicies(EntryPolicies policies,
                           const EntryOptions& options,
                           RandomSource& random) {
  if (!policies.routing) {
    LoadRouting::Options routing;
    routing.data_centre = options.data_centre;
    policies.routing = std::make_unique<LoadRouting>(routing, random);
  }
  if (!policies.admission) {
    BurstAdmission::Options admission;
    admission.max_total = options.max_in_progress;
    policies.admission = std::make_unique<BurstAdmission>(admission);
  }
  if (!policies.retries)
    policies.retries = std::make_unique<RetryBudget>(RetryBudget::Options{});
  return policies;
}

Plan MakeDefaultPlan(const EntryOptions& options) {
  Plan plan;
  plan.name = "unconfigured";
  plan.max_concurrent_requests = options.default_max_concurrent_requests;
  return plan;
}

RequestDispatcher::Options MakeDispatcherOptions(const EntryOptions& options) {
  RequestDispatcher::Options result;
  result.self = options.id;
  result.subset_size = options.subset_size;
  return result;
}

ConfigClient::Options MakeConfigOptions(const EntryOptions& options) {
  ConfigClient::Options result;
  result.members = options.control_members;
  return result;
}

ClaimClient::Options MakeClaimOptions(const EntryOptions& options) {
  ClaimClient::Options result;
  result.members = options.control_members;
  return result;
}

KeyedRequests::Options MakeKeyedOptions(const EntryOptions& options) {
  KeyedRequests::Options result;
  result.self = options.id;
  result.incarnation = options.incarnation;
  result.max_cached_responses = options.max_cached_responses;
  result.max_cached_response_bytes = options.max_cached_response_bytes;
  return result;
}

}  // namespace

EntryRole::EntryRole(EntryOptions options,
                     const Clock& clock,
                     Transport& transport,
                     RandomSource& random,
                     CallerSink& sink,
                     EntryPolicies policies)
    : m_options(std::move(options)),
      m_clock(clock),
      m_transport(transport),
      m_sink(sink),
      m_policies(FillPolicies(std::move(policies), m_options, random)),
      m_default_plan(MakeDefaultPlan(m_options)),
      m_ids(m_options.incarnation),
      m_table(TargetTable::Options{}),
      m_outliers(OutlierDetector::Options{}),
      m_config(MakeConfigOptions(m_options), clock, transport, m_counters),
      m_claims(MakeClaimOptions(m_options), clock, transport, m_counters),
      m_dispatcher(MakeDispatcherOptions(m_options),
                   {clock, transport, m_counters, m_ids, m_table,
                    *m_policies.routing, m_outliers, *m_policies.retries},
                   [this](RequestId id, CallerReply reply) {
                     OnDispatchDone(id, std::move(reply));
                   }),
      m_keyed(
          MakeKeyedOptions(m_options),
          clock,
          transport,
          m_counters,
          m_claims,
          [this](DispatchRequest dispatch) {
            m_dispatcher.Start(std::move(dispatch));
          },
          [this](RequestId id, CallerReply reply) {
            SendReply(id, std::move(reply));
          }),
      m_next_cleanup(clock.Now()) {}

RequestId EntryRole::Submit(CallerRequest request) {
  const RequestId id = m_ids.Next();
  m_counters.Add("requests");
  m_callers[id] = {request.customer, m_clock.Now() + request.deadline, false};
  Process(id, request);
  return id;
}

void EntryRole::Process(RequestId id, const CallerRequest& request) {
  const auto refuse = [&](Outcome outcome, std::string reason) {
    SendReply(id, {outcome, 0, {}, std::move(reason)});
  };
  const std::string input_error = FindInputError(request);
  if (!input_error.empty()) {
    refuse(Outcome::kRefused, input_error);
    return;
  }
  if (m_is_stopping) {
    refuse(Outcome::kNotRun,
           "the entry is stopping; send the request to another entry");
    return;
  }
  const Plan* plan = FindPlan(request.customer);
  const Result<void> admitted = m_policies.admission->Admit(
      {request.customer, plan,
       m_dispatcher.EstimateUtilization(request.service), m_clock.Now()});
  if (!admitted) {
    m_counters.Add("refused_by_admission");
    refuse(admitted.error().kind == ErrorKind::kPermissionDenied
               ? Outcome::kRefused
               : Outcome::kNotRun,
           admitted.error().Describe());
    return;
  }
  Caller& caller = m_callers.at(id);
  caller.is_admitted = true;
  if (!request.is_idempotent && !request.key.empty())
    m_keyed.Submit(id, request, caller.deadline, plan->weight);
  else
    m_dispatcher.Start(
        {id, request, caller.deadline, caller.deadline, plan->weight});
}

std::string EntryRole::FindInputError(const CallerRequest& request) const {
  if (request.customer.empty())
    return "the customer is missing; name the customer";
  if (request.service.empty())
    return "the service is missing; name the service";
  for (const std::string* name :
       {&request.customer, &request.service, &request.key, &request.affinity,
        &request.path}) {
    if (name->size() > m_options.max_name_bytes)
      return "a field is longer than " +
             std::to_string(m_options.max_name_bytes) + " bytes; shorten it";
  }
  if (request.body.size() > m_options.max_body_bytes)
    return "the body is longer than " +
           std::to_string(m_options.max_body_bytes) + " bytes; shorten it";
  if (request.deadline <= Millis(0) ||
      request.deadline > m_options.max_deadline)
    return "the deadline is not between 1 and " +
           std::to_string(m_options.max_deadline.count()) +
           " ms; choose another one";
  return {};
}

const Plan* EntryRole::FindPlan(const std::string& customer) const {
  // An entry that starts while control is unreachable still accepts requests.
  if (m_config.version() == 0)
    return &m_default_plan;
  return m_config.configuration().FindPlanOfCustomer(customer);
}

void EntryRole::OnMessage(const NodeId& from, const Message& message) {
  Handle(from, message);
  DeliverReplies();
}

void EntryRole::Handle(const NodeId& from, const Message& message) {
  if (const auto* reply = std::get_if<RequestReply>(&message)) {
    m_dispatcher.OnReply(from, *reply);
  } else if (const auto* announce = std::get_if<TargetAnnounce>(&message)) {
    m_transport.LearnAddress(from, announce->address);
    if (m_table.OnAnnounce(from, *announce, m_clock.Now()))
      m_dispatcher.OnTargetRestarted(from);
  } else if (const auto* query_reply =
                 std::get_if<RequestQueryReply>(&message)) {
    m_dispatcher.OnQueryReply(from, *query_reply);
  } else if (const auto* claim = std::get_if<ClaimReply>(&message)) {
    m_keyed.OnClaimReply(from, *claim);
  } else if (const auto* ack = std::get_if<ClaimOutcomeAck>(&message)) {
    m_claims.OnOutcomeAck(from, *ack);
  } else if (const auto* fetch = std::get_if<ResponseFetch>(&message)) {
    m_keyed.OnFetch(from, *fetch);
  } else if (const auto* fetched = std::get_if<ResponseFetchReply>(&message)) {
    m_keyed.OnFetchReply(from, *fetched);
  } else if (const auto* delta = std::get_if<ConfigDelta>(&message)) {
    m_config.OnDelta(from, *delta);
  } else if (const auto* snapshot = std::get_if<ConfigSnapshot>(&message)) {
    m_config.OnSnapshot(from, *snapshot);
  }
}

void EntryRole::OnTick() {
  m_config.OnTick();
  m_claims.OnTick();
  m_keyed.OnTick();
  m_dispatcher.OnTick();
  DeliverReplies();
  if (m_clock.Now() < m_next_cleanup)
    return;
  m_next_cleanup = m_clock.Now() + kCleanupInterval;
  m_table.RemoveStale(m_clock.Now());
  m_outliers.RemoveMissing(m_table);
}

void EntryRole::BeginShutdown() {
  if (m_is_stopping)
    return;
  m_is_stopping = true;
  m_stop_time = m_clock.Now();
}

bool EntryRole::IsDrained() const {
  return m_is_stopping && m_callers.empty() && m_pending_replies.empty() &&
         m_dispatcher.CountDispatches() == 0 && m_keyed.CountActive() == 0 &&
         (m_claims.CountUnreported() == 0 ||
          m_clock.Now() >= m_stop_time + m_options.drain_timeout);
}

void EntryRole::OnDispatchDone(RequestId id, CallerReply reply) {
  if (m_keyed.Owns(id))
    m_keyed.OnDispatchDone(id, reply);
  else
    SendReply(id, std::move(reply));
}

void EntryRole::SendReply(RequestId id, CallerReply reply) {
  const auto it = m_callers.find(id);
  if (it == m_callers.end())
    return;
  if (it->second.is_admitted)
    m_policies.admission->OnEnded(it->second.customer);
  m_callers.erase(it);
  switch (reply.outcome) {
    case Outcome::kAnswered:
      m_counters.Add("answered");
      break;
    case Outcome::kNotRun:
      m_counters.Add("not_run");
      break;
    case Outcome::kOutcomeUnknown:
      m_counters.Add("outcome_unknown");
      break;
    case Outcome::kRefused:
      m_counters.Add("refused");
      break;
  }
  m_pending_replies.emplace_back(id, std::move(reply));
}

void EntryRole::DeliverReplies() {
  // Replies to requests that the sink submits meanwhile are delivered after the
  // next event.
  std::vector<std::pair<RequestId, CallerReply>> replies;
  replies.swap(m_pending_replies);
  for (auto& [id, reply] : replies)
    m_sink.Reply(id, std::move(reply));
}

std::string EntryRole::DumpState() const {
  nlohmann::json targets = nlohmann::json::array();
  for (const auto& [node, target] : m_table.targets()) {
    targets.push_back(
        {{"node", node},
         {"service", target.service},
         {"data_centre", target.data_centre},
         {"incarnation", target.incarnation},
         {"leaving", target.is_draining},
         {"quarantined", m_outliers.IsQuarantined(node)},
         {"own_in_flight", target.own_in_flight},
         {"others_in_flight", target.OthersInFlight()},
         {"slots", target.load.slots},
         {"service_time_ms", target.load.service_time.count()},
         {"silent_ms", (m_clock.Now() - target.last_contact).count()}});
  }
  return ToJsonText(
      nlohmann::json{{"id", m_options.id},
                     {"incarnation", m_options.incarnation},
                     {"stopping", m_is_stopping},
                     {"config_version", m_config.version()},
                     {"requests_in_progress", m_callers.size()},
                     {"copies_in_flight", m_dispatcher.CountAttempts()},
                     {"keyed_in_progress", m_keyed.CountActive()},
                     {"keyed_finished", m_keyed.CountCached()},
                     {"claim_outcomes_unreported", m_claims.CountUnreported()},
                     {"targets_quarantined", m_outliers.CountQuarantined()},
                     {"targets", targets},
                     {"counters", m_counters.values()}});
}

}  // namespace fulmarrock
