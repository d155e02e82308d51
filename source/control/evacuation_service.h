#ifndef SOURCE_CONTROL_EVACUATION_SERVICE_H_
#define SOURCE_CONTROL_EVACUATION_SERVICE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "source/base/counters.h"
#include "source/base/decision_log.h"
#include "source/base/error.h"
#include "source/base/random_source.h"
#include "source/control/control_state.h"
#include "source/control/operator_service.h"
#include "source/workflow/evacuation_table.h"

namespace fulmarrock {

/// Options of the leader's handling of evacuations.
struct EvacuationOptions {
  /// Longest time for which an operator's tool repeats a request.
  Millis resend_limit{5'000};
  /// Names of all data centres; if empty, any well-formed name is accepted.
  std::vector<std::string> data_centres;
};

/// The leader's handling of requests to evacuate data centres: validates a
/// request, turns it into a command, and acknowledges it once that is
/// committed.
class EvacuationService {
 public:
  using Done = OperatorService::Done<bool>;

  /// The referenced objects must outlive the service.
  EvacuationService(const ControlState& state,
                    RandomSource& random,
                    Counters& counters)
      : m_state(state), m_random(random), m_counters(counters) {}

  /// Replaces the default options and the decision log that discards
  /// everything.
  void Configure(EvacuationOptions options, DecisionLog& log);

  /// Adds the command of a valid request to `next`. `done` is called when the
  /// command is committed or has failed.
  void Submit(EvacuationRequest request,
              std::vector<EvacuationCommand>& next,
              Done done);

  /// Logs what runs in evacuated data centres, once a second. `replicated` is
  /// replicated time.
  void OnTick(Millis now, Millis replicated);

  void OnEffects(const std::vector<EvacuationEffect>& effects);
  void OnLeadershipLost();

  /// Returns all data centres that workers, options or evacuations name. `now`
  /// is replicated time.
  std::vector<DataCentreView> List(Millis now) const;

  bool HasWaitingRequests() const { return !m_waiting.empty(); }

 private:
  Result<void> Validate(const EvacuationRequest& request) const;
  bool IsKnown(const std::string& data_centre) const;

  const ControlState& m_state;
  RandomSource& m_random;
  Counters& m_counters;
  EvacuationOptions m_options;
  NullDecisionLog m_no_log;
  DecisionLog* m_decisions = &m_no_log;
  std::map<uint64_t, Done> m_waiting;
  Millis m_next_log;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_EVACUATION_SERVICE_H_
