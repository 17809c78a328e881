#include "libbasilchute/crashhistory.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const FleetSize Workers{.Workers = 24};

TaskName task(const std::string &Job, int Index = 0) {
  return {.Job = Job, .Index = Index};
}

ExposedRun unseen(const std::string &Job, int Index = 0) {
  return {.Task = task(Job, Index), .MaxAge = 1000ms};
}

ExposedRun seen(const std::string &Job, milliseconds Age, int Crashes = 0) {
  return {
      .Task = task(Job), .KnownAge = Age, .MaxAge = Age, .Crashes = Crashes};
}

/// A worker that fell silent \p At after Start, give or take 0.1 s.
SilentWorker silent(const std::string &Id, milliseconds At,
                    std::vector<ExposedRun> Runs = {}) {
  return {.Id = Id,
          .AliveAt = Start + At - 100ms,
          .SilentAt = Start + At + 100ms,
          .Runs = std::move(Runs)};
}

/// One crash of a worker with \p Runs, found 3 s later.
std::map<TaskName, CrashEvidence> judgeOne(CrashHistory &History,
                                           const std::string &Id,
                                           milliseconds At,
                                           std::vector<ExposedRun> Runs) {
  return History.judge(silent(Id, At, std::move(Runs)), {}, Workers,
                       Start + At + 3s);
}

/// A task that crashes its worker \p RunTime after each start, alone on it.
struct DeadlyTask {
  milliseconds RunTime;
  CrashRecord Record;
  int Starts = 0;

  /// Starts the task until it is given up, or for \p Limit times, beside an
  /// innocent run that is unseen.
  void runOn(CrashHistory &History, int Limit, bool HasCompany) {
    milliseconds At{0};
    bool IsGivenUp = false;
    while (!IsGivenUp && Starts < Limit) {
      ++Starts;
      At += 10s;
      std::string Id = fmt::format("w{}", Starts);
      ExposedRun Run = seen("deadly", RunTime, Record.Crashes);
      bool IsTrial = Record.IsSuspect;
      bool Survives = IsTrial && RunTime >= CrashHistory::trialTime(Record);
      if (IsTrial) {
        History.begin(task("deadly"), {Id}, 1, Start + At);
        History.setStarted(task("deadly"));
      }
      if (Survives) {
        History.end(task("deadly"));
        CrashHistory::clear(Record);
        IsTrial = false;
      }
      std::vector<ExposedRun> Runs{Run};
      if (HasCompany && !IsTrial)
        Runs.push_back(unseen(fmt::format("innocent-{}", Starts)));
      SilentWorker Crashed = silent(Id, At, Runs);
      auto Judged = History.judge(Crashed, {}, Workers, Start + At + 3s);
      History.end(task("deadly"));
      if (Judged.count(task("deadly")))
        IsGivenUp =
            CrashHistory::count(Record, {.Run = Run,
                                         .Evidence = Judged[task("deadly")],
                                         .WasTrial = IsTrial});
    }
  }
};

} // namespace

TEST_CASE("The runs that no answer has shown to last are the suspects of a "
          "crash") {
  CrashHistory History;
  auto Judged = judgeOne(History, "w0", 0ms,
                         {unseen("new"), unseen("newer"), seen("young", 1s),
                          seen("old", 4s), seen("old-again", 4s, 1)});
  CHECK(Judged[task("new")] == CrashEvidence::Strong);
  CHECK(Judged[task("newer")] == CrashEvidence::Strong);
  CHECK(Judged[task("young")] == CrashEvidence::Weak);
  CHECK(Judged.count(task("old")) == 0);
  CHECK(Judged[task("old-again")] == CrashEvidence::Weak);
}

// Guards against jobs that fail because an innocent task was started beside a
// deadly one again and again.
TEST_CASE("Crashes that are no proof give no task up") {
  CrashHistory History;
  CrashRecord Record;
  for (int Number = 0; Number < 8; ++Number) {
    SilentWorker Crashed =
        silent("w", 10s * Number, {unseen("innocent"), unseen("deadly")});
    auto Judged =
        History.judge(Crashed, {}, Workers, Start + 10s * Number + 3s);
    REQUIRE(Judged[task("innocent")] == CrashEvidence::Strong);
    CHECK_FALSE(
        CrashHistory::count(Record, {.Run = Crashed.Runs[0],
                                     .Evidence = Judged[task("innocent")]}));
    CHECK(Record.IsSuspect);
    CrashHistory::clear(Record);
    CHECK_FALSE(Record.IsSuspect);
    CHECK(Record.Crashes == Number + 1);
  }
}

TEST_CASE("A crash in a trial is proof") {
  CrashHistory History;
  SilentWorker First = silent("w0", 0s, {unseen("deadly"), unseen("innocent")});
  auto Judged = History.judge(First, {}, Workers, Start + 3s);
  CHECK(Judged[task("deadly")] == CrashEvidence::Strong);
  History.begin(task("deadly"), {"w1"}, 1, Start + 4s);
  History.setStarted(task("deadly"));
  SilentWorker Second = silent("w1", 4s, {unseen("deadly"), seen("other", 2s)});
  Judged = History.judge(Second, {}, Workers, Start + 7s);
  CHECK(Judged[task("deadly")] == CrashEvidence::Strong);
  CHECK(Judged[task("other")] == CrashEvidence::Weak);
  Second = silent("w1", 14s, {unseen("deadly"), seen("other", 4s)});
  Judged = History.judge(Second, {}, Workers, Start + 17s);
  CHECK(Judged[task("deadly")] == CrashEvidence::Proof);
  CHECK(Judged.count(task("other")) == 0);
}

// Guards against innocent tasks that are given up since they were unlucky
// twice, and against a count that restarts when owners are killed.
TEST_CASE(
    "A task is given up at the third crash with proof, or the fourth in a "
    "trial, and one earlier after the owner's crash") {
  auto CrashesUntilGivenUp = [](CrashEvidence Evidence, bool WasTrial,
                                bool MayHaveHidden) {
    CrashRecord Record;
    for (int Crashes = 1; Crashes < 10; ++Crashes)
      if (CrashHistory::count(Record, {.Run = unseen("a"),
                                       .Evidence = Evidence,
                                       .WasTrial = WasTrial,
                                       .MayHaveHidden = MayHaveHidden}))
        return Crashes;
    return 0;
  };
  CHECK(CrashesUntilGivenUp(CrashEvidence::Proof, true, false) == 3);
  CHECK(CrashesUntilGivenUp(CrashEvidence::Strong, true, false) == 4);
  CHECK(CrashesUntilGivenUp(CrashEvidence::Strong, false, false) == 0);
  CHECK(CrashesUntilGivenUp(CrashEvidence::Proof, true, true) == 2);
  CHECK(CrashesUntilGivenUp(CrashEvidence::Strong, true, true) == 3);
  CHECK(CrashesUntilGivenUp(CrashEvidence::Strong, false, true) == 0);
}

// Guards against innocent tasks that are given up in their first trial since
// they were young when two workers crashed for other reasons.
TEST_CASE("A task that was only young at two crashes is tried twice") {
  CrashRecord Record;
  for (int Number = 0; Number < 2; ++Number)
    CHECK_FALSE(CrashHistory::count(Record, {.Run = seen("a", 1s)}));
  CHECK(Record.IsSuspect);
  CountedCrash Proof{
      .Run = seen("a", 1s), .Evidence = CrashEvidence::Proof, .WasTrial = true};
  CHECK_FALSE(CrashHistory::count(Record, Proof));
  CHECK(CrashHistory::count(Record, Proof));
}

// Guards against trials that are survived since an earlier crash was taken for
// one at the start: no answer came between the start and the crash.
TEST_CASE("A trial lasts for longer than a run without an answer can have") {
  CountedCrash InTrial{
      .Run = unseen("a"), .Evidence = CrashEvidence::Proof, .WasTrial = true};
  CountedCrash InHerd{.Run = unseen("a"), .Evidence = CrashEvidence::Weak};
  for (const CountedCrash &Crash : {InTrial, InHerd}) {
    CrashRecord Record;
    CHECK_FALSE(CrashHistory::count(Record, Crash));
    CHECK(CrashHistory::trialTime(Record) > Crash.Run.MaxAge);
  }
}

// Guards against a task that survives each trial, since the runs under which
// its workers crashed were not seen to last: it crashed workers until the end
// of the day while owners changed.
TEST_CASE("The trial of a task that crashed twice lasts for longer than a run "
          "without an answer can have") {
  CountedCrash Crash{.Run = unseen("a"), .Evidence = CrashEvidence::Strong};
  CrashRecord Record;
  CHECK_FALSE(CrashHistory::count(Record, Crash));
  // Most suspects of one crash are innocent.
  CHECK(CrashHistory::trialTime(Record) == 300ms);
  CHECK_FALSE(CrashHistory::count(Record, Crash));
  CHECK(CrashHistory::trialTime(Record) > Crash.Run.MaxAge);

  CrashRecord Hidden;
  Crash.MayHaveHidden = true;
  CHECK_FALSE(CrashHistory::count(Hidden, Crash));
  CHECK(CrashHistory::trialTime(Hidden) > Crash.Run.MaxAge);
  CrashRecord Adopted;
  Crash.Run.IsAdopted = true;
  CHECK_FALSE(CrashHistory::count(Adopted, Crash));
  CHECK(CrashHistory::trialTime(Adopted) == 300ms);

  CrashRecord Earlier;
  CHECK_FALSE(CrashHistory::countUnseen(Earlier));
  CHECK(CrashHistory::trialTime(Earlier) == 300ms);
  CHECK_FALSE(CrashHistory::countUnseen(Earlier));
  CHECK(CrashHistory::trialTime(Earlier) > 1000ms);
}

// Guards against a trial that had not started, or on another worker, as proof.
TEST_CASE("Only the workers of a started trial prove anything") {
  CrashHistory History;
  History.begin(task("a"), {"w0"}, 1, Start);
  CHECK(judgeOne(History, "w0", 0s, {unseen("a")})[task("a")] ==
        CrashEvidence::Strong);
  History.setStarted(task("a"));
  CHECK(judgeOne(History, "w1", 10s, {unseen("a")})[task("a")] ==
        CrashEvidence::Strong);
  CHECK(judgeOne(History, "w0", 20s, {unseen("a"), unseen("b")})[task("a")] ==
        CrashEvidence::Strong);
  CHECK(judgeOne(History, "w0", 30s, {unseen("a")})[task("a")] ==
        CrashEvidence::Proof);
}

// Guards against jobs that fail because their task was tried when a rack went
// down.
TEST_CASE("A crash in a trial is no proof if a worker without unseen runs "
          "crashes at the same time") {
  for (bool IsFoundBefore : {false, true}) {
    CrashHistory History;
    History.begin(task("a"), {"w0"}, 1, Start);
    History.setStarted(task("a"));
    SilentWorker Other = silent("w1", 400ms, {seen("b", 5s)});
    if (IsFoundBefore)
      History.judge(Other, {}, Workers, Start + 3s);
    std::vector<SilentWorker> Silent;
    if (!IsFoundBefore)
      Silent.push_back(Other);
    auto Judged = History.judge(silent("w0", 0ms, {unseen("a")}), Silent,
                                Workers, Start + 3100ms);
    CHECK(Judged[task("a")] == CrashEvidence::Strong);
  }
  CrashHistory History;
  History.begin(task("a"), {"w0"}, 1, Start);
  History.setStarted(task("a"));
  auto Judged = History.judge(silent("w0", 0ms, {unseen("a")}),
                              {silent("w1", 1500ms, {seen("b", 5s)})}, Workers,
                              Start + 3100ms);
  CHECK(Judged[task("a")] == CrashEvidence::Proof);
}

// Guards against tasks that wait for trials after many workers went down
// together, which no task can cause.
TEST_CASE(
    "Many crashes at one time make suspects only of a job that is on most "
    "of the workers") {
  for (bool IsOneJob : {false, true}) {
    CrashHistory History;
    std::vector<SilentWorker> Silent;
    for (int Number = 1; Number < 8; ++Number)
      Silent.push_back(
          silent(fmt::format("w{}", Number), 0ms,
                 {unseen(IsOneJob && Number < 6 ? "a" : fmt::to_string(Number),
                         Number)}));
    auto Judged = History.judge(silent("w0", 0ms, {unseen("a")}), Silent,
                                Workers, Start + 3s);
    CHECK(Judged[task("a")] ==
          (IsOneJob ? CrashEvidence::Strong : CrashEvidence::Weak));
  }
}

// Guards against a herd again and again that no longer makes suspects: then a
// deadly task among many would never be one.
TEST_CASE("A task under which two workers crashed in herds is a suspect") {
  CrashRecord Record;
  SilentWorker Crashed = silent("w0", 0ms, {unseen("a")});
  CrashHistory::count(Record, {.Run = Crashed.Runs[0]});
  CHECK_FALSE(Record.IsSuspect);
  CrashHistory::count(Record, {.Run = Crashed.Runs[0]});
  CHECK(Record.IsSuspect);
}

// Guards against tasks that crash workers until the end of the day: after three
// crashes a task must not start three times more.
TEST_CASE("A task that crashes each worker starts at most twice after the "
          "third crash") {
  for (milliseconds RunTime :
       {0ms, 10ms, 250ms, 310ms, 500ms, 1000ms, 2000ms, 2900ms})
    for (bool HasCompany : {false, true}) {
      CAPTURE(RunTime.count());
      CAPTURE(HasCompany);
      CrashHistory History;
      DeadlyTask Deadly{.RunTime = RunTime};
      Deadly.runOn(History, 20, HasCompany);
      CHECK(Deadly.Record.Crashes >= 2);
      CHECK(Deadly.Starts <= 5);
    }
}

TEST_CASE("A trial lasts longer than the runs under which workers crashed") {
  CrashRecord Record;
  CHECK(CrashHistory::trialTime(Record) == 300ms);
  SilentWorker Crashed = silent("w0", 0ms, {seen("a", 2s)});
  CrashHistory::count(Record, {.Run = Crashed.Runs[0]});
  CHECK(CrashHistory::trialTime(Record) == 3300ms);
}

// Guards against a count that begins anew whenever the owner is killed.
TEST_CASE("Crashes that no owner saw are counted up to the bound") {
  CrashRecord Record;
  for (int Number = 0; Number < 3; ++Number) {
    Record.Worker = "w0";
    CHECK_FALSE(CrashHistory::countUnseen(Record));
    CHECK(Record.IsSuspect);
    CHECK(Record.Worker.empty());
  }
  CHECK(CrashHistory::countUnseen(Record));
}

// Guards against a sound job that fails: two workers crash for another reason
// under its task, and its owner is killed before it has stored that the trial
// was survived, or before the trial was started.
TEST_CASE(
    "A task is not given up after two crashes and one that no owner saw") {
  CrashRecord Record;
  for (const char *Worker : {"w0", "w1"}) {
    SilentWorker Crashed = silent(Worker, 0ms, {seen("a", 0ms)});
    CHECK_FALSE(CrashHistory::count(Record, {.Run = Crashed.Runs[0],
                                             .Evidence = CrashEvidence::Strong,
                                             .Suspects = 4,
                                             .Worker = Worker}));
  }
  Record.HasTrace = true;
  CHECK_FALSE(CrashHistory::countUnseen(Record, "w2"));
  CHECK(Record.Crashes == 3);
  CHECK(Record.IsSuspect);
}

TEST_CASE("Few trials are on workers that answer, and not many more in all") {
  CrashHistory History;
  CrashRecord Record{.Weight = 1};
  CHECK(History.mayBegin(Record, 5, {}, false));
  History.begin(task("a"), {"w0"}, 1, Start);
  CHECK_FALSE(History.mayBegin(Record, 5, {}, false));
  CHECK(History.mayBegin(Record, 24, {}, false));
  CHECK(History.mayBegin(Record, 5, {"w0"}, false));
  History.begin(task("b"), {"w1"}, 1, Start);
  History.begin(task("c"), {"w2"}, 1, Start);
  CHECK_FALSE(History.mayBegin(Record, 24, {"w0", "w1", "w2"}, false));
  CHECK(History.mayBegin(Record, 48, {}, false));
  History.end(task("a"));
  CHECK(History.mayBegin(Record, 24, {"w1", "w2"}, false));
}

// Guards against innocent tasks that wait for long: of the suspects of one
// crash, one at most crashes a worker again.
TEST_CASE("The suspects of one crash are tried at the same time") {
  CrashHistory History;
  SilentWorker Crashed = silent("w0", 0ms, {});
  for (int Index = 0; Index < 5; ++Index)
    Crashed.Runs.push_back(unseen("a", Index));
  for (int Index = 0; Index < 5; ++Index) {
    CrashRecord Record;
    CrashHistory::count(Record,
                        {.Run = Crashed.Runs[static_cast<size_t>(Index)],
                         .Evidence = CrashEvidence::Strong,
                         .Suspects = 5});
    CHECK(History.mayBegin(Record, 24, {}, false));
    History.begin(task("a", Index), {fmt::format("w{}", Index + 1)},
                  Record.Weight, Start);
  }
  CHECK(History.mayBegin({.Weight = 1}, 24, {}, false));
  CHECK_FALSE(History.mayBegin({.Weight = 1}, 12, {}, false));
  History.begin(task("b"), {"w6"}, 1, Start);
  CHECK_FALSE(History.mayBegin({.Weight = 0.1}, 24, {}, false));
}

// Guards against innocent long-running tasks that wait behind the trials of
// deadly ones for longer than users are told.
TEST_CASE("A suspect that has waited long is held back by the number of trials "
          "only") {
  CrashHistory History;
  CrashRecord Record{.Weight = 1};
  for (int Index = 0; Index < 3; ++Index) {
    CHECK(History.mayBegin(Record, 12, {}, true));
    History.begin(task("a", Index), {fmt::format("w{}", Index)}, 1, Start);
    CHECK_FALSE(History.mayBegin(Record, 12, {}, false));
  }
  CHECK_FALSE(History.mayBegin(Record, 12, {}, true));
}

TEST_CASE("Workers and jobs of trials are known until the trials end") {
  CrashHistory History;
  History.begin(task("a"), {"w0", "w1"}, 1, Start);
  History.addWorker(task("a"), "w2");
  for (const char *Worker : {"w0", "w1", "w2"})
    CHECK(History.isTrialWorker(Worker));
  CHECK_FALSE(History.isTrialWorker("w3"));
  CHECK(History.isTried("a"));
  CHECK_FALSE(History.isTried("b"));
  REQUIRE(History.trialOf(task("a")));
  CHECK_FALSE(History.trialOf(task("a"))->HasStarted);
  History.end(task("a"));
  CHECK_FALSE(History.trialOf(task("a")));
  CHECK_FALSE(History.isTrialWorker("w0"));
}

// Guards against jobs that fail since one worker crashes by itself again and
// again, and against deadly tasks that only two workers suit and that are never
// given up.
TEST_CASE("Crashes of one worker count once against a task") {
  CountedCrash Crash{.Run = unseen("a"),
                     .Evidence = CrashEvidence::Proof,
                     .WasTrial = true,
                     .Worker = "w0"};
  for (bool MayHaveHidden : {false, true}) {
    Crash.MayHaveHidden = MayHaveHidden;
    CrashRecord Record;
    for (int Number = 0; Number < 8; ++Number) {
      CHECK_FALSE(CrashHistory::count(Record, Crash));
      CHECK_FALSE(CrashHistory::countUnseen(Record, "w0"));
    }
    CHECK(Record.Crashes == 1);
  }
  Crash.MayHaveHidden = false;
  CrashRecord Record;
  for (const char *Worker : {"w0", "w1", "w0"}) {
    Crash.Worker = Worker;
    CHECK_FALSE(CrashHistory::count(Record, Crash));
  }
  Crash.Worker = "w1";
  CHECK(CrashHistory::count(Record, Crash));
}

// Guards against trials that all go to a worker that crashes by itself.
TEST_CASE("A worker that crashed twice lately is unsteady") {
  CrashHistory History;
  judgeOne(History, "w0", 0s, {});
  CHECK_FALSE(History.isUnsteady("w0", Start + 4s));
  judgeOne(History, "w0", 5s, {});
  CHECK(History.isUnsteady("w0", Start + 9s));
  CHECK_FALSE(History.isUnsteady("w1", Start + 9s));
  CHECK_FALSE(History.isUnsteady("w0", Start + 60s));
}

// Guards against tasks that become suspects since the failure domain that they
// are in goes down again and again, and against a deadly one beside it that
// does not.
TEST_CASE("The crash of a failure domain is evidence against no task on it") {
  const FleetSize Fleet{.Workers = 24, .Domains = {{"a", 8}, {"b", 16}}};
  auto Of = [](SilentWorker Worker, const std::string &Domain) {
    Worker.Domain = Domain;
    return Worker;
  };
  for (int Number = 0; Number < 8; ++Number) {
    CAPTURE(Number);
    CrashHistory History;
    History.begin(task("tried"), {"w0"}, 1, Start);
    History.setStarted(task("tried"));
    std::vector<SilentWorker> Silent;
    for (int Other = 1; Other <= Number; ++Other)
      Silent.push_back(Of(silent(fmt::format("w{}", Other), 0ms), "a"));
    SilentWorker Crashed =
        Of(silent("w0", 0ms, {unseen("new"), unseen("tried"), seen("old", 1s)}),
           "a");
    SilentWorker Outside = Of(silent("w9", 0ms, {unseen("deadly")}), "b");
    bool IsMost = Number >= 5;
    CHECK(History.isDomainCrash(Crashed, Silent, Fleet) == IsMost);
    CHECK(History.judge(Crashed, Silent, Fleet, Start + 3s).empty() == IsMost);
    CHECK_FALSE(History.isDomainCrash(Outside, Silent, Fleet));
    if (IsMost)
      CHECK(History.judge(Outside, Silent, Fleet, Start + 3s)[task("deadly")] ==
            CrashEvidence::Strong);
  }
}

// Guards against a fleet that names one failure domain or none, in which
// several deadly tasks that crash their workers together are never found.
TEST_CASE("Crashes of most workers are no crash of the only failure domain") {
  for (const char *Domain : {"", "a"}) {
    CrashHistory History;
    std::vector<SilentWorker> Silent;
    for (int Other = 1; Other < 24; ++Other) {
      Silent.push_back(silent(fmt::format("w{}", Other), 0ms));
      Silent.back().Domain = Domain;
    }
    SilentWorker Crashed = silent("w0", 0ms, {unseen("a")});
    Crashed.Domain = Domain;
    CHECK_FALSE(History.isDomainCrash(
        Crashed, Silent, {.Workers = 24, .Domains = {{Domain, 24}}}));
  }
}

// Guards against a deadly task that starts three times more than others, since
// each crash of its failure domain hides one of it.
TEST_CASE("A task that two crashes of failure domains may hide is given up one "
          "crash earlier") {
  for (int DomainCrashes : {0, 1, 2, 3}) {
    CrashRecord Record{.DomainCrashes = DomainCrashes};
    CountedCrash Proof{
        .Run = unseen("a"), .Evidence = CrashEvidence::Proof, .WasTrial = true};
    int Crashes = 1;
    while (!CrashHistory::count(Record, Proof))
      ++Crashes;
    CHECK(Crashes == (DomainCrashes < 2 ? 3 : 2));
  }
}
