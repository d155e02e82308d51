#ifndef TESTS_INTERACTIVE_INTERACTIVE_CLUSTER_H_
#define TESTS_INTERACTIVE_INTERACTIVE_CLUSTER_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "source/agent/request_server.h"
#include "source/base/seeded_random.h"
#include "source/entry/entry_role.h"
#include "tests/interactive/fake_control.h"
#include "tests/interactive/fake_target.h"
#include "tests/support/fake_network.h"

namespace fulmarrock::test {

/// One request of a caller and its replies.
struct Call {
  RequestId id;
  int entry = 0;
  CallerRequest request;
  Millis submitted;
  std::vector<CallerReply> replies;
  Millis answered;
  /// The entry was restarted before it replied.
  bool is_abandoned = false;
};

/// Records the replies of all entries. Each fault alters what is recorded, to
/// test that the oracle detects it.
class RecordingSink : public CallerSink {
 public:
  enum class Fault { kNone, kDropReply, kRepeatReply, kLateReply };

  explicit RecordingSink(ManualClock& clock) : m_clock(clock) {}

  void Reply(RequestId id, CallerReply reply) override {
    if (fault == Fault::kDropReply)
      return;
    Call& call = calls.at(index.at(id));
    call.replies.push_back(reply);
    call.answered = m_clock.Now();
    if (fault == Fault::kLateReply)
      call.answered += call.request.deadline;
    if (fault == Fault::kRepeatReply)
      call.replies.push_back(std::move(reply));
  }

  std::vector<Call> calls;
  std::map<RequestId, size_t> index;
  Fault fault = Fault::kNone;

 private:
  ManualClock& m_clock;
};

/// Simulated cluster of real entries and agents with fake targets and a fake
/// control member, on a fake network.
class InteractiveCluster {
 public:
  InteractiveCluster(int entries, int agents, uint64_t seed)
      : random(seed),
        network(clock, random),
        sink(clock),
        control(network.TransportOf("control-1")) {
    network.SetHandler("control-1",
                       [this](const NodeId& from, const Message& message) {
                         control.OnMessage(from, message);
                       });
    m_entries.resize(static_cast<size_t>(entries));
    m_agents.resize(static_cast<size_t>(agents));
    for (int i = 0; i < agents; ++i)
      m_agents[static_cast<size_t>(i)].target =
          std::make_unique<FakeTarget>(clock);
    for (int i = 0; i < entries; ++i)
      StartEntry(i);
    for (int i = 0; i < agents; ++i)
      StartAgent(i);
    Run(Millis(50));
  }

  static NodeId EntryName(int i) { return "entry-" + std::to_string(i); }
  static NodeId AgentName(int i) { return "agent-" + std::to_string(i); }

  /// Starts or restarts an entry under a new incarnation.
  void StartEntry(int i) {
    EntryNode& node = m_entries.at(static_cast<size_t>(i));
    for (Call& call : sink.calls) {
      if (call.entry == i && call.replies.empty())
        call.is_abandoned = true;
    }
    EntryOptions options;
    options.id = EntryName(i);
    options.incarnation = ++m_last_incarnation;
    options.data_centre = "dc-1";
    options.control_members = {"control-1"};
    options.default_max_concurrent_requests = 1000;
    node.role.reset();
    node.role = std::make_unique<EntryRole>(
        options, clock, network.TransportOf(options.id), random, sink);
    network.SetHandler(options.id,
                       [&node](const NodeId& from, const Message& message) {
                         node.role->OnMessage(from, message);
                       });
  }

  /// Starts or restarts an agent under a new incarnation. The connections of
  /// the previous process to the target break.
  void StartAgent(int i) {
    AgentNode& node = m_agents.at(static_cast<size_t>(i));
    node.target->Disconnect();
    RequestServerOptions options;
    options.service = "wallwright";
    options.data_centre = "dc-1";
    options.incarnation = ++m_last_incarnation;
    for (size_t j = 0; j < m_entries.size(); ++j)
      options.entries.push_back(EntryName(static_cast<int>(j)));
    node.draining_since = Millis::Max();
    node.server.reset();
    node.server = std::make_unique<RequestServer>(
        options, clock, network.TransportOf(AgentName(i)), *node.target,
        node.counters);
    network.SetHandler(AgentName(i),
                       [&node](const NodeId& from, const Message& message) {
                         node.server->OnMessage(from, message);
                       });
  }

  void DrainAgent(int i) {
    AgentNode& node = m_agents.at(static_cast<size_t>(i));
    if (node.draining_since == Millis::Max())
      node.draining_since = clock.Now();
    node.server->BeginShutdown();
  }

  RequestId Submit(int entry, CallerRequest request) {
    Call call;
    call.entry = entry;
    call.request = request;
    call.submitted = clock.Now();
    call.id = this->entry(entry).Submit(std::move(request));
    sink.index[call.id] = sink.calls.size();
    sink.calls.push_back(call);
    return call.id;
  }

  /// Returns a request with a unique body.
  CallerRequest MakeRequest(bool is_idempotent, Millis deadline) {
    CallerRequest request;
    request.customer = "north-gallery";
    request.service = "wallwright";
    request.is_idempotent = is_idempotent;
    request.deadline = deadline;
    request.body = "body-" + std::to_string(++m_last_body);
    return request;
  }

  const Call& call(RequestId id) const {
    return sink.calls.at(sink.index.at(id));
  }

  /// Advances the simulated time in steps of one millisecond.
  void Run(Millis duration) {
    for (const Millis end = clock.Now() + duration; clock.Now() < end;) {
      clock.Advance(Millis(1));
      network.DeliverDue();
      for (AgentNode& node : m_agents) {
        node.target->Step();
        CheckDraining(node);
      }
      if (clock.Now().count() % kTickInterval.count() != 0)
        continue;
      for (EntryNode& node : m_entries)
        node.role->OnTick();
      for (AgentNode& node : m_agents)
        node.server->OnTick();
    }
  }

  EntryRole& entry(int i) { return *m_entries.at(static_cast<size_t>(i)).role; }
  RequestServer& agent(int i) {
    return *m_agents.at(static_cast<size_t>(i)).server;
  }
  Counters& agent_counters(int i) {
    return m_agents.at(static_cast<size_t>(i)).counters;
  }
  FakeTarget& target(int i) {
    return *m_agents.at(static_cast<size_t>(i)).target;
  }
  int agent_count() const { return static_cast<int>(m_agents.size()); }
  int entry_count() const { return static_cast<int>(m_entries.size()); }

  /// Number of executions at a target more than three seconds after its agent
  /// began to drain.
  int late_starts() const { return m_late_starts; }

  ManualClock clock;
  SeededRandom random;
  FakeNetwork network;
  RecordingSink sink;
  FakeControl control;

 private:
  struct EntryNode {
    std::unique_ptr<EntryRole> role;
  };
  struct AgentNode {
    std::unique_ptr<FakeTarget> target;
    std::unique_ptr<RequestServer> server;
    Counters counters;
    Millis draining_since = Millis::Max();
    size_t checked_executions = 0;
  };

  void CheckDraining(AgentNode& node) {
    const auto& executions = node.target->executions();
    for (; node.checked_executions < executions.size();
         ++node.checked_executions) {
      if (node.draining_since != Millis::Max() &&
          clock.Now() > node.draining_since + Millis(3000))
        ++m_late_starts;
    }
  }

  std::vector<EntryNode> m_entries;
  std::vector<AgentNode> m_agents;
  Incarnation m_last_incarnation = 100;
  int m_last_body = 0;
  int m_late_starts = 0;
};

}  // namespace fulmarrock::test

#endif  // TESTS_INTERACTIVE_INTERACTIVE_CLUSTER_H_
