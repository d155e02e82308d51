#include "tests/system/script_generator.h"

#include <utility>

namespace fulmarrock::test {
namespace {

const std::vector<std::string> kMembers = {"c1", "c2", "c3"};
const std::vector<std::string> kEntries = {"e1", "e2"};
const std::vector<std::string> kAgents = {"a1", "a2", "a3"};
const std::vector<std::string> kAll = {"c1", "c2", "c3", "e1",
                                       "e2", "a1", "a2", "a3"};

constexpr char kHeader[] = R"(start control c1 c2 c3
start entry e1
start entry e2 dc=dc-b
start agent a1 service=wallwright cpu=8000 mem=16000 rack=r1
start agent a2 service=wallwright cpu=8000 mem=16000 rack=r2
start agent a3 service=wallwright cpu=8000 mem=16000 rack=r3
await 5000 leader not none
apply lists.json as=lists
await 5000 version e1 == 1
await 5000 version e2 == 1
)";

}  // namespace

std::string ScriptGenerator::Generate(int steps) {
  m_script = kHeader;
  for (int i = 0; i < steps; ++i) {
    AddStep();
    Add("advance " + Number(10, m_random.Below(4) == 0 ? 15'000 : 800));
  }
  HealAndFinish();
  return std::move(m_script);
}

void ScriptGenerator::AddStep() {
  const uint64_t kind = m_random.Below(10);
  if (kind < 5)
    AddWork();
  else if (kind < 7)
    AddProcessFailure();
  else if (kind < 9)
    AddNetworkFailure();
  else
    AddTargetOrWorkerFailure();
}

void ScriptGenerator::AddWork() {
  switch (m_random.Below(7)) {
    case 0:
    case 1: {
      const std::string job = "j" + std::to_string(++m_jobs);
      Add("try submit " + job +
          " customer=" + Pick({"north-gallery", "city-museum"}) +
          " tasks=" + Number(1, 6) + " cpu=" + Number(1, 4) +
          "000 mem=1000 attempts=20 payload=" + Number(100, 20'000) +
          (m_random.Below(2) == 0 ? " checkpoint" : ""));
      return;
    }
    case 2:
      if (m_jobs > 0)
        Add("try cancel j" + Number(1, static_cast<uint64_t>(m_jobs)));
      return;
    case 3:
      Add("try apply " + Pick({"lists.json", "lists-2.json", "lists-3.json"}) +
          " as=change" + std::to_string(++m_changes));
      return;
    case 4: {
      // Callers must not reuse a key for another request, so that the body
      // depends on the key.
      const std::string key = Number(1, 4);
      Add("try request r" + std::to_string(++m_requests) +
          " entry=" + Pick(kEntries) +
          " customer=north-gallery service=wallwright unsafe key=k" + key +
          " body=keyed" + key);
      return;
    }
    default:
      Add("try request r" + std::to_string(++m_requests) +
          " entry=" + Pick(kEntries) +
          " customer=north-gallery service=wallwright deadline=" +
          Number(200, 6000) + (m_random.Below(2) == 0 ? " unsafe" : ""));
  }
}

void ScriptGenerator::AddProcessFailure() {
  if (!m_down.empty() && m_random.Below(2) == 0) {
    RestartOne();
    return;
  }
  const std::string node = Pick(kAll);
  if (m_down.contains(node))
    return;
  m_down.insert(node);
  Add((m_random.Below(2) == 0 ? "kill " : "crash ") + node);
}

void ScriptGenerator::AddNetworkFailure() {
  switch (m_random.Below(5)) {
    case 0:
      Add("network isolate " + Pick(kAll));
      return;
    case 1:
      Add("network cut " + Pick(kAll) + " " + Pick(kAll) + " one-way");
      return;
    case 2:
      Add("network loss " + Number(0, 20) + " dup=" + Number(0, 20));
      return;
    case 3:
      Add("network delay " + Number(1, 5) + " jitter=" + Number(0, 60));
      return;
    default:
      Add("network heal");
  }
}

void ScriptGenerator::AddTargetOrWorkerFailure() {
  const std::string agent = Pick(kAgents);
  switch (m_random.Below(5)) {
    case 0:
      Add("target " + agent + " crash");
      return;
    case 1:
      Add("target " + agent + " hang");
      return;
    case 2:
      Add("worker " + agent + " fail");
      return;
    case 3:
      Add("worker " + agent + " work");
      return;
    default:
      Add("target " + agent + " recover answer time=" + Number(5, 1500));
  }
}

void ScriptGenerator::HealAndFinish() {
  Add("network heal");
  Add("network loss 0");
  Add("network delay 1");
  while (!m_down.empty())
    RestartOne();
  for (const std::string& agent : kAgents) {
    Add("target " + agent + " recover answer time=20");
    Add("worker " + agent + " work");
  }
  Add("await 10000 leader not none");
  for (int i = 1; i <= m_requests; ++i)
    Add("await 20000 request r" + std::to_string(i) + " not open");
  for (int i = 1; i <= m_jobs; ++i) {
    const std::string job = "j" + std::to_string(i);
    Add("await 900000 job " + job + " pending == 0");
    Add("await 900000 job " + job + " running == 0");
  }
  // An earlier change may still be in flight. It has to be applied first, since
  // the last one is based on the newest version.
  Add("advance 2000");
  Add("await 10000 leader not none");
  Add("apply lists-2.json as=last");
  Add("await 17000 result last not open");
  Add("expect result last not conflict");
}

void ScriptGenerator::RestartOne() {
  const std::string node = *m_down.begin();
  m_down.erase(m_down.begin());
  Add("restart " + node);
}

void ScriptGenerator::Add(const std::string& line) {
  m_script += line + "\n";
}

std::string ScriptGenerator::Pick(const std::vector<std::string>& names) {
  return names[m_random.Below(names.size())];
}

std::string ScriptGenerator::Number(uint64_t low, uint64_t high) {
  return std::to_string(low + m_random.Below(high - low + 1));
}

}  // namespace fulmarrock::test
