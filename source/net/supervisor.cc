#include "source/net/supervisor.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"

namespace fulmarrock {

Supervisor::Supervisor(EventLoop& loop,
                       std::string name,
                       const Options& options,
                       Observer observer)
    : m_loop(loop),
      m_name(std::move(name)),
      m_options(options),
      m_observer(std::move(observer)) {}

Supervisor::~Supervisor() {
  Stop();
}

void Supervisor::Add(std::unique_ptr<Component> component) {
  m_children.push_back(std::make_unique<Child>());
  Child& child = *m_children.back();
  child.component = std::move(component);
  child.component->SetFailureHandler(
      [this, &child](const Error& error) { OnFailure(child, error); });
}

Result<void> Supervisor::Start() {
  for (const auto& child : m_children) {
    const Result<void> started = child->component->Start();
    if (!started) {
      Stop();
      return started;
    }
    child->is_running = true;
    child->started_at = m_loop.clock().Now();
    m_observer(child->component->Name(), nullptr);
  }
  return {};
}

void Supervisor::Stop() {
  for (auto it = m_children.rbegin(); it != m_children.rend(); ++it) {
    Child& child = **it;
    m_loop.CancelTimer(child.timer);
    if (child.is_running)
      child.component->Stop();
    child.is_running = false;
    child.restarts = 0;
  }
}

void Supervisor::OnFailure(Child& child, const Error& error) {
  if (!child.is_running)
    return;
  child.is_running = false;
  child.component->Stop();
  if (m_loop.clock().Now() - child.started_at > m_options.max_backoff) {
    child.restarts = 0;
    child.backoff = Millis();
  }
  ScheduleRestart(child, error);
}

void Supervisor::ScheduleRestart(Child& child, const Error& error) {
  m_observer(child.component->Name(), &error);
  if (child.restarts >= m_options.max_restarts) {
    ReportFailure(error);
    return;
  }
  ++child.restarts;
  ++child.total_restarts;
  child.backoff = std::clamp(child.backoff * 2, m_options.first_backoff,
                             m_options.max_backoff);
  child.timer =
      m_loop.AddTimer(child.backoff, [this, &child] { Restart(child); });
}

void Supervisor::Restart(Child& child) {
  const Result<void> started = child.component->Start();
  if (!started) {
    ScheduleRestart(child, started.error());
    return;
  }
  child.is_running = true;
  child.started_at = m_loop.clock().Now();
  m_observer(child.component->Name(), nullptr);
}

std::string Supervisor::DumpState() const {
  nlohmann::json components = nlohmann::json::object();
  for (const auto& child : m_children) {
    components[child->component->Name()] = {
        {"is_running", child->is_running}, {"restarts", child->total_restarts}};
  }
  return ToJsonText(components);
}

}  // namespace fulmarrock
