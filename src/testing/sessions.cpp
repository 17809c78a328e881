// Whole sessions on the test bed, printed as text for golden files.

#include "testing/testbed.h"

#include <fmt/format.h>
#include <map>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr Resources SmallReplica{.Millicores = 2000, .MemoryMib = 1000};

void finish(TestBed &Bed, const std::vector<TestJob> &Jobs) {
  bool Done = Bed.runUntil(
      [&] {
        return std::all_of(Jobs.begin(), Jobs.end(), [&](const TestJob &Each) {
          return Bed.jobFinished(Each);
        });
      },
      200s);
  fmt::print("{:>8} all jobs finished: {}\n", Bed.now().count(), Done);
  fmt::print("{:>8} commits {}, violations {}\n", Bed.now().count(),
             Bed.commits(), Bed.oracle().violations().size());
}

void say(const TestBed &Bed, std::string_view Text) {
  fmt::print("{:>8} --- {}\n", Bed.now().count(), Text);
}

size_t ownerOf(TestBed &Bed, const std::string &Shard) {
  for (size_t I = 0; I < Bed.nodes().size(); ++I) {
    if (!Bed.nodes()[I].Core)
      continue;
    for (const std::string &Each : Bed.nodes()[I].Core->ownedShards())
      if (Each == Shard)
        return I;
  }
  return 0;
}

void normalDay(TestBed &Bed) {
  Bed.run(3s);
  say(Bed, "a service and two jobs");
  Bed.configure(1, {{.Name = "orders", .Replicas = 3, .Demand = SmallReplica}},
                {});
  std::vector<TestJob> Jobs = {
      {.Name = "cuts", .Shard = "a.0", .Tasks = 4, .Work = 2s},
      {.Name = "proposals", .Shard = "b.0", .Tasks = 2, .Work = 3s}};
  for (const TestJob &Each : Jobs)
    Bed.submit(Each);
  Bed.run(6s);
  say(Bed, "worker b-w0 leaves");
  Bed.LeavingHosts.insert("b-w0");
  Bed.run(10s);
  say(Bed, "the service is deleted");
  Bed.configure(2, {}, {});
  Bed.run(8s);
  finish(Bed, Jobs);
}

void takeover(TestBed &Bed) {
  Bed.run(3s);
  TestJob Job{.Name = "cuts", .Shard = "a.0", .Tasks = 3, .Work = 20s};
  Bed.submit(Job);
  Bed.run(3s);
  size_t Owner = ownerOf(Bed, "a.0");
  say(Bed, "the owner of a.0 dies");
  Bed.killNode(Owner);
  Bed.run(10s);
  say(Bed, "it starts anew");
  Bed.startNode(Owner);
  finish(Bed, {Job});
}

void storeOutage(TestBed &Bed) {
  Bed.run(3s);
  std::vector<TestJob> Jobs = {
      {.Name = "long", .Shard = "a.0", .Tasks = 3, .Work = 40s}};
  Bed.submit(Jobs[0]);
  Bed.run(3s);
  say(Bed, "the store goes down");
  Bed.StoreDown = true;
  Bed.run(30s);
  say(Bed, "the owner of b.0 dies meanwhile");
  Bed.killNode(ownerOf(Bed, "b.0"));
  Bed.run(15s);
  say(Bed, "the store comes back");
  Bed.StoreDown = false;
  Jobs.push_back({.Name = "after", .Shard = "b.0", .Tasks = 2, .Work = 2s});
  Bed.submit(Jobs[1]);
  finish(Bed, Jobs);
}

void eviction(TestBed &Bed) {
  Bed.run(3s);
  std::vector<TestJob> Jobs = {
      {.Name = "heavy",
       .Shard = "a.0",
       .Tasks = 3,
       .Demand = {.Millicores = 7000, .MemoryMib = 9000},
       .Work = 15s}};
  Bed.submit(Jobs[0]);
  Bed.run(4s);
  say(Bed, "an urgent job finds every worker full");
  Jobs.push_back({.Name = "urgent",
                  .Shard = "a.0",
                  .Demand = {.Millicores = 4000, .MemoryMib = 2000},
                  .Work = 3s,
                  .Urgent = true});
  Bed.submit(Jobs[1]);
  finish(Bed, Jobs);
}

void cancelWave(TestBed &Bed) {
  Bed.run(3s);
  std::vector<TestJob> Jobs;
  for (int I = 0; I < 12; ++I)
    Jobs.push_back({.Name = fmt::format("wave{:02}", I),
                    .Shard = I % 2 ? "a.0" : "b.0",
                    .Tasks = 5,
                    .Work = 30s});
  for (const TestJob &Each : Jobs)
    Bed.submit(Each);
  Bed.run(4s);
  say(Bed, "all are cancelled");
  for (const TestJob &Each : Jobs)
    Bed.cancel(Each);
  finish(Bed, Jobs);
}

void ownerRace(TestBed &Bed) {
  Bed.run(3s);
  TestJob Job{.Name = "cuts", .Shard = "c.0", .Tasks = 2, .Work = 25s};
  Bed.submit(Job);
  Bed.run(3s);
  size_t Owner = ownerOf(Bed, "c.0");
  say(Bed, "the owner of c.0 is cut from the store only");
  Bed.nodes()[Owner].CutFromStore = true;
  Bed.run(12s);
  say(Bed, "the cut ends");
  Bed.nodes()[Owner].CutFromStore = false;
  finish(Bed, {Job});
}

} // namespace

int main(int ArgCount, char **Args) {
  const std::map<std::string, void (*)(TestBed &)> Sessions = {
      {"normal-day", normalDay},     {"takeover", takeover},
      {"store-outage", storeOutage}, {"eviction", eviction},
      {"cancel-wave", cancelWave},   {"owner-race", ownerRace}};
  auto Found = ArgCount == 2 ? Sessions.find(Args[1]) : Sessions.end();
  if (Found == Sessions.end()) {
    for (const auto &[Name, Run] : Sessions)
      fmt::print("{}\n", Name);
    return 2;
  }
  TestBed Bed({});
  Bed.OnLine = [](const std::string &Line) { fmt::print("{}\n", Line); };
  Found->second(Bed);
  return Bed.oracle().violations().empty() ? 0 : 1;
}
