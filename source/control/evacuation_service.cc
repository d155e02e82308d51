#include "source/control/evacuation_service.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr Millis kLogInterval{1'000};

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::string_view ToString(EvacuationOutcome outcome) {
  switch (outcome) {
    case EvacuationOutcome::kChanged:
      return "changed";
    case EvacuationOutcome::kUnchanged:
      return "unchanged";
    case EvacuationOutcome::kDeferred:
      return "deferred";
  }
  return "unknown";
}

}  // namespace

void EvacuationService::Configure(EvacuationOptions options, DecisionLog& log) {
  m_options = std::move(options);
  m_decisions = &log;
}

void EvacuationService::Submit(EvacuationRequest request,
                               std::vector<EvacuationCommand>& next,
                               Done done) {
  if (Result<void> valid = Validate(request); !valid) {
    m_counters.Add("control_evacuation_orders_invalid");
    done(tl::make_unexpected(valid.error()));
    return;
  }
  const uint64_t token = m_random.Next();
  m_waiting.emplace(token, std::move(done));
  next.push_back({token, std::move(request.data_centre), request.is_evacuated,
                  m_options.resend_limit});
}

Result<void> EvacuationService::Validate(
    const EvacuationRequest& request) const {
  const std::string& name = request.data_centre;
  const bool is_well_formed =
      !name.empty() && name.size() <= kMaxNameBytes &&
      std::all_of(name.begin(), name.end(), IsNameCharacter);
  if (!is_well_formed) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the path names no data centre",
                     "use 1 to 64 letters, digits, '-', '_' or '.'");
  }
  if (!IsKnown(name)) {
    return MakeError(ErrorKind::kNotFound,
                     "data centre \"" + name + "\" is not known",
                     "use a name from the list of data centres");
  }
  return {};
}

bool EvacuationService::IsKnown(const std::string& data_centre) const {
  const std::vector<std::string>& names = m_options.data_centres;
  if (names.empty())
    return true;
  const std::vector<DataCentreView> views = List(m_state.time());
  return std::any_of(views.begin(), views.end(), [&](const auto& view) {
    return view.name == data_centre;
  });
}

void EvacuationService::OnEffects(
    const std::vector<EvacuationEffect>& effects) {
  for (const EvacuationEffect& effect : effects) {
    m_decisions->Write(DecisionLine("evacuation_ordered")
                           .With("data_centre", effect.data_centre)
                           .With("is_evacuated", effect.is_evacuated ? 1 : 0)
                           .With("outcome", ToString(effect.outcome)));
    switch (effect.outcome) {
      case EvacuationOutcome::kChanged:
        m_counters.Add(effect.is_evacuated ? "control_evacuations_started"
                                           : "control_evacuations_finished");
        break;
      case EvacuationOutcome::kUnchanged:
        m_counters.Add("control_evacuation_orders_repeated");
        break;
      case EvacuationOutcome::kDeferred:
        m_counters.Add("control_evacuation_orders_deferred");
        break;
    }
    auto waiting = m_waiting.extract(effect.token);
    if (waiting.empty())
      continue;
    if (effect.outcome == EvacuationOutcome::kDeferred) {
      waiting.mapped()(
          MakeError(ErrorKind::kUnavailable,
                    "the request may be a late repetition of an earlier one",
                    "repeat it if it is new"));
    } else {
      waiting.mapped()(true);
    }
  }
}

void EvacuationService::OnTick(Millis now, Millis replicated) {
  if (now < m_next_log)
    return;
  m_next_log = now + kLogInterval;
  if (m_state.evacuations().entries().empty())
    return;
  for (const DataCentreView& view : List(replicated)) {
    if (!view.is_evacuated)
      continue;
    m_decisions->Write(
        DecisionLine("evacuation_load")
            .With("data_centre", view.name)
            .With("evacuated_ms", view.evacuated_for)
            .With("tasks", int64_t{view.active_tasks})
            .With("long_running", int64_t{view.active_long_running})
            .With("best_effort", int64_t{view.active_best_effort}));
  }
}

void EvacuationService::OnLeadershipLost() {
  for (auto& [token, done] : std::exchange(m_waiting, {})) {
    done(MakeError(
        ErrorKind::kUnavailable,
        "the leader changed before the request was known to be committed",
        "send the same request again"));
  }
}

std::vector<DataCentreView> EvacuationService::List(Millis now) const {
  std::map<std::string, DataCentreView> views;
  for (const std::string& name : m_options.data_centres)
    views[name].name = name;
  for (const auto& [name, entry] : m_state.evacuations().entries()) {
    views[name].is_evacuated = entry.is_evacuated;
    if (entry.is_evacuated)
      views[name].evacuated_for = now - entry.changed_at;
  }
  for (const auto& [number, worker] : m_state.workflows().workers()) {
    DataCentreView& view = views[worker.attributes.data_centre];
    ++view.workers;
    for (const TaskName& task : m_state.workflows().RunsOf(number)) {
      const StepSpec& step = *m_state.workflows().FindStep(task);
      ++view.active_tasks;
      view.active_long_running += step.is_long_running ? 1 : 0;
      view.active_best_effort += step.is_best_effort ? 1 : 0;
    }
  }
  for (WorkerIndex i = 0; i < m_state.workers().index_count(); ++i) {
    const WorkerRecord* worker = m_state.workers().Get(i);
    if (!worker)
      continue;
    DataCentreView& view = views[worker->data_centre];
    ++view.workers;
    view.active_tasks +=
        static_cast<uint32_t>(worker->tasks.size() + worker->orphans.size());
  }
  std::vector<DataCentreView> list;
  for (auto& [name, view] : views) {
    view.name = name;
    list.push_back(std::move(view));
  }
  return list;
}

}  // namespace fulmarrock
