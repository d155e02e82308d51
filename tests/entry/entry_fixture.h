#ifndef TESTS_ENTRY_ENTRY_FIXTURE_H_
#define TESTS_ENTRY_ENTRY_FIXTURE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "source/base/checksum.h"
#include "source/base/seeded_random.h"
#include "source/entry/entry_role.h"
#include "tests/interactive/recording_transport.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

/// One entry; the test simulates the control members, agents and callers.
struct EntryFixture : CallerSink {
  EntryFixture() {
    for (const char* name : {"agent-1", "agent-2", "agent-3"})
      Announce(name);
  }

  void Reply(RequestId id, CallerReply reply) override {
    replies[id].push_back(std::move(reply));
  }

  static EntryOptions MakeOptions() {
    EntryOptions options;
    options.id = "entry-1";
    options.incarnation = 5;
    options.data_centre = "dc-1";
    options.control_members = {"control-1", "control-2"};
    return options;
  }

  void Announce(const NodeId& node,
                Incarnation incarnation = 7,
                bool is_draining = false,
                std::vector<std::string> affinities = {}) {
    TargetAnnounce announce;
    announce.service = "kernel-svc";
    announce.data_centre = "dc-1";
    announce.incarnation = incarnation;
    announce.is_draining = is_draining;
    announce.load.slots = 8;
    announce.affinities = std::move(affinities);
    entry.OnMessage(node, announce);
  }

  static CallerRequest MakeRequest(bool is_idempotent) {
    CallerRequest request;
    request.customer = "north-gallery";
    request.service = "kernel-svc";
    request.is_idempotent = is_idempotent;
    request.body = "cell";
    return request;
  }

  static CallerRequest MakeKeyed() {
    CallerRequest request = MakeRequest(false);
    request.key = "key-1";
    return request;
  }

  static RequestReply MakeReply(RequestId id, Outcome outcome) {
    RequestReply reply;
    reply.id = id;
    reply.outcome = outcome;
    reply.status = outcome == Outcome::kAnswered ? 200 : 0;
    reply.body = outcome == Outcome::kAnswered ? "result" : "";
    reply.body_length = reply.body.size();
    reply.body_checksum = Checksum(reply.body);
    reply.target_incarnation = 7;
    reply.load.slots = 8;
    return reply;
  }

  /// Fills the retry budget: each original request adds a tenth of a retry.
  void FillRetryBudget(int count) {
    for (int i = 0; i < 10 * count; ++i) {
      entry.Submit(MakeRequest(true));
      const auto [node, forward] = transport.Take<RequestForward>().at(0);
      entry.OnMessage(node, MakeReply(forward.id, Outcome::kAnswered));
    }
    replies.clear();
  }

  void Run(Millis duration) {
    for (const Millis end = clock.Now() + duration; clock.Now() < end;) {
      clock.Advance(Millis(10));
      entry.OnTick();
    }
  }

  /// The first reply to a request.
  CallerReply FirstReply(RequestId id) { return replies[id].at(0); }

  ManualClock clock;
  SeededRandom random{1};
  RecordingTransport transport;
  std::map<RequestId, std::vector<CallerReply>> replies;
  EntryRole entry{MakeOptions(), clock, transport, random, *this};
};

}  // namespace fulmarrock::test

#endif  // TESTS_ENTRY_ENTRY_FIXTURE_H_
