// Benchmarks of the scheduler core on fake ports at several fleet sizes. Prints
// one JSON line per value.
//
// Processor times cover only the code of the schedulers; seconds are of the
// virtual clock.

#include "basilchute/credits.h"
#include "http.worker/workercodec.h"
#include "testing/testbed.h"

#include <algorithm>
#include <fmt/format.h>
#include <malloc.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t Domains = 6;
constexpr uint32_t Schedulers = 7;
constexpr uint32_t TasksPerWorker = 31;
/// Size of the HTTP headers of one exchange, request and response together.
constexpr size_t HeaderBytes = 330;

void printValue(std::string_view Name, double Value, std::string_view Unit,
                std::string_view Baseline) {
  fmt::print("{{\"name\":\"{}\",\"value\":{:.6g},\"unit\":\"{}\","
             "\"baseline\":\"{}\"}}\n",
             Name, Value, Unit, Baseline);
}

TestBedOptions fleetOptions(uint32_t Workers) {
  uint32_t PerDomain = Workers / Domains;
  return {.Schedulers = Schedulers,
          .Domains = Domains,
          .WorkersPerDomain = PerDomain,
          .ShardsPerDomain = std::max<uint32_t>(1, PerDomain / 28),
          .WorkerCapacity = {.Millicores = 32000, .MemoryMib = 125000},
          .Tick = 20ms};
}

double seconds(nanoseconds Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Fills the fleet with long tasks, with one job per shard.
std::vector<TestJob> fillFleet(TestBed &Bed, uint32_t Workers) {
  std::vector<TestJob> Jobs;
  std::map<std::string, uint32_t> WorkersPerShard;
  for (const auto &[Name, Model] : Bed.workers())
    ++WorkersPerShard[Bed.layout().shardOf(Name, Model.info().FailureDomain)];
  for (const auto &[Shard, Count] : WorkersPerShard)
    Jobs.push_back({.Name = "fill-" + std::to_string(Jobs.size()),
                    .Shard = Shard,
                    .Tasks = Count * TasksPerWorker,
                    .Demand = {.Millicores = 1000, .MemoryMib = 3000},
                    .Work = std::chrono::hours(10)});
  for (const TestJob &Job : Jobs)
    Bed.submit(Job);
  Bed.runUntil(
      [&] { return Bed.oracle().starts().size() >= Workers * TasksPerWorker; },
      120s);
  return Jobs;
}

/// Measures the cost of a full fleet on which nothing starts or ends.
void measureIdle(TestBed &Bed, uint32_t Workers, const std::string &Size) {
  constexpr auto Span = 20s;
  size_t Bytes = 0;
  uint64_t Syncs = 0;
  Bed.OnSync = [&](const SyncRequest &Request, const SyncReply &Report) {
    ++Syncs;
    Bytes += encodeSyncRequest(Request).ByteSizeLong() +
             encodeSyncReply(Report).ByteSizeLong() + HeaderBytes;
  };
  uint64_t Commits = Bed.commits();
  uint64_t Reads = Bed.storeReads();
  Bed.SchedulerTime = 0ns;
  Bed.run(Span);
  Bed.OnSync = {};
  double Seconds = seconds(Span);
  printValue("idle_store_commits_" + Size, (Bed.commits() - Commits) / Seconds,
             "1/s", "several hundred writes/s");
  printValue("idle_store_reads_" + Size, (Bed.storeReads() - Reads) / Seconds,
             "1/s", "2000 reads/s");
  printValue("idle_core_per_scheduler_" + Size,
             100.0 * seconds(Bed.SchedulerTime) / Seconds / Schedulers,
             "% of a core", "1.9");
  printValue("worker_link_bytes_" + Size, Bytes / Seconds / Workers,
             "B/s a worker", "30000");
  printValue("worker_syncs_" + Size, Syncs / Seconds, "1/s", "");
}

void measureMemory(TestBed &Bed, uint32_t Workers, const std::string &Size) {
  size_t Before = mallinfo2().uordblks;
  for (size_t I = 0; I < Bed.nodes().size(); ++I)
    Bed.killNode(I);
  size_t Freed = Before - mallinfo2().uordblks;
  printValue("sched_memory_" + Size,
             static_cast<double>(Freed) / Schedulers / 1048576,
             "MiB a scheduler", "32");
  printValue("sched_memory_per_task_" + Size,
             static_cast<double>(Freed) / (Workers * TasksPerWorker),
             "B a task with its share of all else", "");
}

/// Measures the takeover after a scheduler dies while the fleet is full.
void measureTakeover(TestBed &Bed, const std::string &Size) {
  size_t ShardCount = Bed.layout().shards().size();
  Bed.killNode(0);
  milliseconds DiedAt = Bed.now();
  Bed.SchedulerTime = 0ns;
  Bed.runUntil([&] { return Bed.ownedShards() == ShardCount; }, 60s);
  printValue("without_owner_" + Size, seconds(Bed.now() - DiedAt), "s", "6");
  printValue("takeover_core_" + Size, 1000 * seconds(Bed.SchedulerTime),
             "ms of processor time, all schedulers", "");
  Bed.startNode(0);
  Bed.run(20s);
}

/// Measures short tasks at the peak rate of the performance target.
void measureRate(TestBed &Bed, uint32_t Workers, const std::string &Size) {
  constexpr auto Span = 20s;
  constexpr uint32_t JobsPerSecond = 4;
  uint32_t TasksPerJob = std::max<uint32_t>(1, 30 * Workers / 840);
  std::vector<std::string> Shards = Bed.layout().shards();
  uint64_t Commits = Bed.commits();
  uint64_t Reads = Bed.storeReads();
  size_t Started = Bed.oracle().starts().size();
  Bed.SchedulerTime = 0ns;
  std::vector<TestJob> Jobs;
  for (int Second = 0; Second < Span / 1s; ++Second) {
    for (uint32_t I = 0; I < JobsPerSecond; ++I) {
      Jobs.push_back({.Name = fmt::format("rate-{}-{}", Second, I),
                      .Shard = Shards[Jobs.size() % Shards.size()],
                      .Tasks = TasksPerJob,
                      .Demand = {.Millicores = 100, .MemoryMib = 100},
                      .Work = 1s});
      Bed.submit(Jobs.back());
    }
    Bed.run(1s);
  }
  double Seconds = seconds(Span);
  double Starts =
      static_cast<double>(Bed.oracle().starts().size() - Started) / Seconds;
  printValue("starts_" + Size, Starts, "1/s", "120");
  printValue("busy_store_commits_" + Size, (Bed.commits() - Commits) / Seconds,
             "1/s", "several hundred writes/s");
  printValue("busy_store_reads_" + Size, (Bed.storeReads() - Reads) / Seconds,
             "1/s", "2000 reads/s");
  printValue("busy_core_per_scheduler_" + Size,
             100.0 * seconds(Bed.SchedulerTime) / Seconds / Schedulers,
             "% of a core", "1.9");
}

/// Measures the start delay of an urgent task while batch tasks occupy every
/// worker of its shard.
void measureUrgent() {
  std::vector<double> Delays;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    TestBed Bed({.Seed = Seed});
    Bed.run(3s);
    Bed.submit({.Name = "batch",
                .Shard = "a.0",
                .Tasks = 24,
                .Demand = {.Millicores = 1000, .MemoryMib = 1000},
                .Work = 600s});
    Bed.run(milliseconds(4000 + 37 * Seed));
    milliseconds SubmittedAt = Bed.now();
    Bed.submit({.Name = "urgent",
                .Shard = "a.0",
                .Demand = {.Millicores = 4000, .MemoryMib = 2000},
                .Work = 1s,
                .Urgent = true});
    Bed.runUntil([&] { return Bed.oracle().starts().contains("urgent/0"); },
                 60s);
    Delays.push_back(seconds(Bed.now() - SubmittedAt));
  }
  std::sort(Delays.begin(), Delays.end());
  printValue("urgent_start_median", Delays[Delays.size() / 2], "s", "9.5");
  printValue("urgent_start_worst_of_20", Delays.back(), "s", "9.5");
}

/// Measures the time of one call that lends slots of a worker to an entry
/// process, for all workers and seven entry processes.
void measureCredits() {
  constexpr uint32_t Workers = 840;
  constexpr uint32_t Entries = 7;
  std::vector<CreditLender> Lenders(Workers,
                                    CreditLender(CreditLenderOptions{}, {}));
  ManualClock Time;
  auto Begin = std::chrono::steady_clock::now();
  uint64_t LendCalls = 0;
  for (int Round = 0; Round < 50; ++Round) {
    for (uint32_t Entry = 0; Entry < Entries; ++Entry)
      for (CreditLender &Lender : Lenders) {
        Lender.lend(fmt::format("e{}", Entry), 1, 1 + Round % 3, Time.now());
        ++LendCalls;
      }
    Time.advance(100ms);
  }
  auto Elapsed = std::chrono::steady_clock::now() - Begin;
  printValue("credit_lend", static_cast<double>(Elapsed.count()) / LendCalls,
             "ns", "");
}

} // namespace

int main() {
  for (uint32_t Workers : {210U, 420U, 840U}) {
    std::string Size = std::to_string(Workers) + "w";
    TestBed Bed(fleetOptions(Workers));
    Bed.run(5s);
    Bed.SchedulerTime = 0ns;
    uint64_t Commits = Bed.commits();
    fillFleet(Bed, Workers);
    printValue("fill_core_" + Size,
               1e6 * seconds(Bed.SchedulerTime) / (Workers * TasksPerWorker),
               "us of processor time a placement", "");
    printValue("fill_commits_per_task_" + Size,
               static_cast<double>(Bed.commits() - Commits) /
                   (Workers * TasksPerWorker),
               "transactions a task", "2");
    measureIdle(Bed, Workers, Size);
    measureTakeover(Bed, Size);
    measureRate(Bed, Workers, Size);
    measureMemory(Bed, Workers, Size);
    if (!Bed.oracle().violations().empty()) {
      fmt::print(stderr, "{}\n", Bed.oracle().violations().front());
      return 1;
    }
  }
  measureUrgent();
  measureCredits();
  return 0;
}
