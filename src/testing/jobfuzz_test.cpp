// Random faults against job hosts, checked by the oracle.
//
// Usage: basilchute_jobfuzz FIRST_SEED COUNT [shards]. Prints each seed that
// broke a rule; the same seed always does the same. With "shards" there are two
// or three shards, and workers leave the list in numbers, so that jobs move
// between shards. BASILCHUTE_TRACE prints every decision.

#include "testing/jobbed.h"

#include <cstdlib>
#include <fmt/format.h>
#include <random>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr int Commands = 70;

/// One session of random commands.
class Session {
public:
  Session(uint64_t Seed, bool ManyShards)
      : m_random(Seed), m_manyShards(ManyShards),
        m_bed({.Hosts = 3,
               .Workers = ManyShards ? 6 : 5,
               .Shards = ManyShards ? 2 + static_cast<int>(Seed % 2)
                                    : 1 + static_cast<int>(Seed % 3),
               .FailPercent = 5,
               .MaxAttempts = 3,
               .Seed = Seed,
               .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr}) {}

  /// Returns what went wrong, none if nothing did.
  std::vector<std::string> run() {
    m_bed.run(3s);
    for (int Each = 0; Each < Commands; ++Each) {
      command();
      m_bed.run(milliseconds(pick(10, 700)));
    }
    heal();
    m_bed.run(60s);
    std::vector<std::string> Out = m_bed.Oracle.violations();
    for (const std::string &Id : m_accepted) {
      Result<JobState> State = m_bed.state(0, Id);
      if (!State.has_value() || !isFinal(State.value()))
        Out.push_back(fmt::format("job {} has not ended", Id));
    }
    return Out;
  }

private:
  int pick(int Least, int Most) {
    auto Span = static_cast<uint64_t>(Most - Least);
    return Least + static_cast<int>(m_random() % Span);
  }

  int anyHost() { return pick(0, m_bed.hosts()); }

  void command() {
    if (m_manyShards && pick(0, 6) == 0)
      return toggleList();
    switch (pick(0, 16)) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
      return submit();
    case 5:
      return cancel();
    case 6:
      return m_bed.kill(anyHost());
    case 7:
      return bootAll();
    case 8:
      return toggleFreeze();
    case 9:
      m_bed.Store.Down = !m_bed.Store.Down;
      return;
    case 10:
      m_bed.Store.LostPercent = pick(0, 2) * 30;
      m_bed.Store.LatePercent = pick(0, 2) * 20;
      return;
    case 11:
      return toggleCut();
    case 12:
      return toggleWorker();
    case 13:
      return lateOrders();
    case 14:
      m_bed.Store.dropHistory();
      return;
    default:
      return toggleRefusal();
    }
  }

  void submit() {
    Job Value = chainJob(fmt::format("job-{}", m_jobs++), pick(1, 4),
                         pick(1, 6), milliseconds(pick(100, 3000)));
    if (m_bed.submit(anyHost(), Value).has_value())
      m_accepted.push_back(Value.Id);
  }

  void cancel() {
    if (!m_accepted.empty())
      (void)m_bed.cancel(anyHost(), m_accepted[m_random() % m_accepted.size()]);
  }

  void bootAll() {
    for (int Each = 0; Each < m_bed.hosts(); ++Each)
      if (!m_bed.host(Each).Core)
        m_bed.boot(Each);
  }

  void toggleFreeze() {
    int Host = anyHost();
    if (m_bed.host(Host).Frozen)
      m_bed.thaw(Host);
    else
      m_bed.freeze(Host);
  }

  void toggleCut() {
    std::set<std::string> &Cut = m_bed.host(anyHost()).CutWorkers;
    std::string Worker = m_bed.worker(pick(0, m_bed.workers())).Entry.Id;
    if (!Cut.insert(Worker).second)
      Cut.erase(Worker);
  }

  void toggleWorker() {
    ModelWorker &Worker = m_bed.worker(pick(0, m_bed.workers()));
    Worker.Down = !Worker.Down;
    if (Worker.Down)
      Worker.crash();
  }

  void toggleList() {
    int Worker = pick(0, m_bed.workers());
    if (!m_unlisted.erase(Worker))
      m_unlisted.insert(Worker);
    m_bed.list(Worker, !m_unlisted.count(Worker));
  }

  void lateOrders() {
    m_bed.worker(pick(0, m_bed.workers())).LatePercent = pick(0, 3) * 15;
  }

  void toggleRefusal() {
    JobBedHost &Host = m_bed.host(anyHost());
    Host.Store->Refused = !Host.Store->Refused;
  }

  void heal() {
    m_bed.Store.Down = false;
    m_bed.Store.LostPercent = 0;
    m_bed.Store.LatePercent = 0;
    bootAll();
    for (int Each = 0; Each < m_bed.hosts(); ++Each) {
      m_bed.host(Each).CutWorkers.clear();
      m_bed.host(Each).Store->Refused = false;
      if (m_bed.host(Each).Frozen)
        m_bed.thaw(Each);
    }
    for (int Each = 0; Each < m_bed.workers(); ++Each) {
      m_bed.worker(Each).Down = false;
      m_bed.worker(Each).LatePercent = 0;
    }
    for (int Each : m_unlisted)
      m_bed.list(Each, true);
    m_bed.publishWorkers();
  }

  std::mt19937_64 m_random;
  bool m_manyShards;
  JobBed m_bed;
  std::set<int> m_unlisted;
  std::vector<std::string> m_accepted;
  int m_jobs = 0;
};

} // namespace

int main(int ArgCount, char **Args) {
  uint64_t First = ArgCount > 1 ? std::strtoull(Args[1], nullptr, 10) : 1;
  uint64_t Count = ArgCount > 2 ? std::strtoull(Args[2], nullptr, 10) : 20;
  bool ManyShards = ArgCount > 3 && std::string(Args[3]) == "shards";
  uint64_t Failed = 0;
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    std::vector<std::string> Wrong = Session(Seed, ManyShards).run();
    if (Wrong.empty())
      continue;
    ++Failed;
    for (const std::string &Each : Wrong)
      fmt::print("seed {}: {}\n", Seed, Each);
  }
  fmt::print("{} passed, {} failed\n", Count - Failed, Failed);
  return Failed == 0 ? 0 : 1;
}
