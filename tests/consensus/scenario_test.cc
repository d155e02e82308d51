#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "tests/support/consensus_cluster.h"

// Runs the *.scenario files in the folder of this file. A line is a command;
// '#' starts a comment. The names L, F and G stand for the leader and two
// followers as of the last `elect`, which waits for a leader.
//
//   founders NODE...        first line: the initial members, not started yet
//   option NAME VALUE       sets an option of nodes that start later
//   start NODE... | crash KIND NODE | pause NODE | wipe NODE | copy FROM TO
//                           KIND: keep or lose (unsynced writes)
//   cut FROM TO | isolate NODE | heal
//   full NODE | space NODE  makes the disk full, or removes the limit
//   failsync NODE AFTER     the sync after AFTER more successful ones fails
//   run MS | elect
//   propose NODE COMMAND [ERROR] | add NODE [ERROR] | remove NODE [ERROR]
//   commit PREFIX COUNT     commits numbered commands one after the other
//   wait [not] CONDITION | check [not] CONDITION
//
// Conditions: leader NODE, leading, applied NODE COMMAND, failed NODE,
// refused NODE, voter NODE, learner NODE, counter NODE NAME MINIMUM

namespace fulmarrock::test {
namespace {

class Scenario {
 public:
  void Execute(const std::string& line) {
    std::istringstream stream(line);
    std::string verb;
    stream >> verb;
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
      words.push_back(Resolve(word));
    if (verb == "founders")
      m_cluster = std::make_unique<ConsensusCluster>(words, 20261204);
    else if (verb == "wait")
      REQUIRE(m_cluster->RunUntil([&] { return HoldsCondition(words); }));
    else if (verb == "check")
      REQUIRE(HoldsCondition(words));
    else if (!InjectFault(verb, words) && !RunAction(verb, words))
      FAIL("unknown command " << verb);
  }

  std::string Violation() {
    const auto& violations = m_cluster->oracle().violations();
    return violations.empty() ? std::string() : violations.front();
  }

 private:
  std::string Resolve(const std::string& word) const {
    const auto it = m_names.find(word);
    return it == m_names.end() ? word : it->second;
  }

  bool InjectFault(const std::string& verb,
                   const std::vector<std::string>& words) {
    FakeNetwork& network = m_cluster->network();
    if (verb == "crash") {
      m_cluster->Crash(words.at(1), words[0] == "keep"
                                        ? CrashKind::kKeepAll
                                        : CrashKind::kLoseUnsynced);
    } else if (verb == "pause") {
      m_cluster->Pause(words.at(0));
    } else if (verb == "wipe") {
      m_cluster->Disk(words.at(0)).Wipe();
    } else if (verb == "copy") {
      m_cluster->Disk(words.at(1)).CopyFrom(m_cluster->Disk(words[0]));
    } else if (verb == "cut") {
      network.Cut(words.at(0), words.at(1));
    } else if (verb == "isolate") {
      network.Isolate(words.at(0));
    } else if (verb == "heal") {
      network.HealAll();
    } else if (verb == "full") {
      m_cluster->Disk(words.at(0)).SetCapacity(0);
    } else if (verb == "space") {
      m_cluster->Disk(words.at(0)).SetCapacity(UINT64_MAX);
    } else if (verb == "failsync") {
      m_cluster->Disk(words.at(0)).FailSyncAfter(std::stoull(words.at(1)));
    } else {
      return false;
    }
    return true;
  }

  bool RunAction(const std::string& verb,
                 const std::vector<std::string>& words) {
    if (verb == "option")
      SetOption(words.at(0), std::stoull(words.at(1)));
    else if (verb == "start")
      std::for_each(words.begin(), words.end(),
                    [this](const NodeId& node) { m_cluster->Start(node); });
    else if (verb == "run")
      m_cluster->Run(Millis(std::stoll(words.at(0))));
    else if (verb == "elect")
      Elect();
    else if (verb == "propose")
      CheckOutcome(m_cluster->Propose(words.at(0), words.at(1)), words, 2);
    else if (verb == "add")
      CheckOutcome(Leader().AddMember(words.at(0),
                                      m_cluster->Node(words[0]).incarnation()),
                   words, 1);
    else if (verb == "remove")
      CheckOutcome(Leader().RemoveMember(words.at(0)), words, 1);
    else if (verb == "commit")
      CommitMany(words.at(0), std::stoi(words.at(1)));
    else
      return false;
    return true;
  }

  void SetOption(const std::string& name, uint64_t value) {
    ConsensusOptions& options = m_cluster->options();
    const std::map<std::string, size_t*> options_by_name = {
        {"snapshot_log_bytes", &options.snapshot_log_bytes},
        {"snapshot_chunk_bytes", &options.snapshot_chunk_bytes},
        {"max_uncommitted_bytes", &options.max_uncommitted_bytes},
        {"max_message_bytes", &options.max_message_bytes},
        {"max_in_flight_bytes", &options.max_in_flight_bytes},
        {"max_entry_bytes", &options.max_entry_bytes},
        {"max_command_bytes", &options.max_command_bytes},
        {"trailing_bytes", &options.trailing_bytes}};
    *options_by_name.at(name) = value;
  }

  void Elect() {
    REQUIRE(m_cluster->RunUntil([this] { return !LeaderName().empty(); }));
    m_names["L"] = LeaderName();
    const char* next = "F";
    for (const Member& member : Leader().Members()) {
      if (member.node == m_names["L"] || !m_cluster->IsUp(member.node))
        continue;
      m_names[next] = member.node;
      next = "G";
    }
  }

  NodeId LeaderName() const { return m_cluster->Leader(); }

  ConsensusNode& Leader() {
    REQUIRE_FALSE(LeaderName().empty());
    return m_cluster->Node(LeaderName());
  }

  static void CheckOutcome(const Result<LogIndex>& result,
                           const std::vector<std::string>& words,
                           size_t position) {
    const std::string wanted = words.size() > position ? words[position] : "ok";
    REQUIRE((result ? "ok" : ToString(result.error().kind)) == wanted);
    if (!result)
      REQUIRE_FALSE(result.error().remedy.empty());
  }

  void CommitMany(const std::string& prefix, int count) {
    for (int i = 1; i <= count; ++i) {
      const std::string command = prefix + std::to_string(i);
      const NodeId leader = LeaderName();
      REQUIRE(m_cluster->Propose(leader, command));
      REQUIRE(m_cluster->RunUntil(
          [&] { return m_cluster->Machine(leader).Has(command); }));
    }
  }

  bool HoldsCondition(std::vector<std::string> words) {
    const bool is_negated = words.at(0) == "not";
    if (is_negated)
      words.erase(words.begin());
    return IsTrue(words) != is_negated;
  }

  bool IsTrue(const std::vector<std::string>& words) {
    const std::string& what = words.at(0);
    if (what == "leading")
      return !LeaderName().empty();
    const NodeId& node = words.at(1);
    if (what == "leader")
      return m_cluster->IsUp(node) && m_cluster->Node(node).IsLeader();
    if (what == "applied")
      return m_cluster->Machine(node).Has(words.at(2));
    if (what == "failed")
      return m_cluster->Node(node).Failure().has_value();
    if (what == "refused")
      return m_cluster->Node(node).IsRefused();
    if (what == "counter")
      return m_cluster->Node(node).counters().Get(words.at(2)) >=
             std::stoll(words.at(3));
    REQUIRE((what == "voter" || what == "learner"));
    if (LeaderName().empty())
      return false;
    const std::vector<Member> members = Leader().Members();
    return std::any_of(
        members.begin(), members.end(), [&](const Member& member) {
          return member.node == node && member.is_voter == (what == "voter");
        });
  }

  std::unique_ptr<ConsensusCluster> m_cluster;
  std::map<std::string, std::string> m_names;
};

void RunScenario(const std::filesystem::path& path) {
  std::ifstream file(path);
  Scenario scenario;
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    line = line.substr(0, line.find('#'));
    if (line.find_first_not_of(' ') == std::string::npos)
      continue;
    INFO(path.filename().string() << ":" << number << ": " << line);
    scenario.Execute(line);
    REQUIRE(scenario.Violation().empty());
  }
  CHECK(number > 0);
}

TEST_CASE("scenarios of elections, failures and membership changes") {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry :
       std::filesystem::directory_iterator(FULMARROCK_TEST_DATA)) {
    if (entry.path().extension() == ".scenario")
      paths.push_back(entry.path());
  }
  REQUIRE_FALSE(paths.empty());
  std::sort(paths.begin(), paths.end());
  for (const auto& path : paths) {
    DYNAMIC_SECTION(path.stem().string()) {
      RunScenario(path);
    }
  }
}

}  // namespace
}  // namespace fulmarrock::test
