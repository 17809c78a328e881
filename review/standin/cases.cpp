// Plays one case of the review against the project's program. Run by the
// run.sh of each case: cases NAME FOLDER PROGRAM TEMPLATE TROUBLE.
// Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
#include "world.h"

#include <algorithm>
#include <filesystem>
#include <memory>

using namespace world;

namespace {

struct Arguments {
  std::string Folder;
  std::string Program;
  std::string Template;
  bool HasTrouble = true;
};

// Bound finish_s of the site.
constexpr double FinishS = 14;

// A small deployment: a store, workers of 32 cores and some of 48, hosts, and a
// client of each of two queues.
class Deployment {
public:
  static constexpr int SmallCpu = 32000;
  static constexpr int LargeCpu = 48000;

  Deployment(const Arguments &Given, int Workers, int LargeWorkers, int Hosts)
      : m_folder(std::filesystem::temp_directory_path() /
                 ("review-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(m_folder);
    Platform.start();
    configure(Platform, 1,
              {route("q-short", "/short/", 0), route("q-last", "/last/", 0)});
    for (int I = 0; I < Workers; ++I)
      Fleet.push_back(std::make_unique<Worker>(
          Platform, "i-" + idOf(1000 + I).substr(0, 8),
          "r1-" + std::to_string(1 + I % 2)));
    for (int I = 0; I < Hosts; ++I)
      Hosts_.push_back(std::make_unique<Host>(
          Given.Program, Given.Template, m_folder.string(),
          "edge-a-" + std::to_string(I + 1), Platform.port()));
    std::vector<Host *> All;
    for (auto &Each : Hosts_)
      All.push_back(Each.get());
    Short = std::make_unique<Client>(All, "desk.example", "/short/");
    Lasting = std::make_unique<Client>(All, "desk.example", "/last/");
    m_largeWorkers = LargeWorkers;
  }
  // Ends the hosts; KEEP_LOGS keeps their settings and logs. The stand-ins live on until the end of this process, since
  // their threads use them.
  void close() {
    Hosts_.clear();
    if (!getenv("KEEP_LOGS"))
      std::filesystem::remove_all(m_folder);
  }

  // Starts everything and waits, as traffic starts 10 s after the machines do.
  bool start() {
    for (size_t I = 0; I < Fleet.size(); ++I) {
      bool IsLarge = I < static_cast<size_t>(m_largeWorkers);
      Fleet[I]->start(IsLarge ? LargeCpu : SmallCpu, 128000,
                      IsLarge ? "large" : "small");
    }
    for (auto &Each : Hosts_)
      Each->start();
    sleepFor(10);
    for (auto &Each : Hosts_)
      if (!Each->isReady())
        return false;
    return true;
  }

  int64_t capacity() {
    int64_t Out = 0;
    for (auto &Each : Fleet)
      Out += Each->isUp() ? Each->cpu() : 0;
    return Out;
  }
  int64_t used() {
    int64_t Out = 0;
    for (auto &Each : Fleet)
      Out += Each->usedCpu();
    return Out;
  }
  // Number of tasks of a submission at work.
  int running(const std::string &Id) {
    int Out = 0;
    for (auto &Each : Fleet)
      for (const std::string &Task : Each->running())
        Out += Task.starts_with(Id) ? 1 : 0;
    return Out;
  }

  Store Platform;
  std::vector<std::unique_ptr<Worker>> Fleet;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::unique_ptr<Client> Short;
  std::unique_ptr<Client> Lasting;

private:
  std::filesystem::path m_folder;
  int m_largeWorkers = 0;
};

// Ends the hosts of a case at the end of its function.
struct Ending {
  Deployment &All;
  ~Ending() { All.close(); }
};

int report(bool IsBroken, const std::string &What) {
  Log.line("result: %s: %s", IsBroken ? "broken" : "held", What.c_str());
  printf("%s: %s\n", IsBroken ? "broken" : "held", What.c_str());
  return IsBroken ? 1 : 0;
}

int notRun(const std::string &Why) {
  Log.line("result: couldn't run: %s", Why.c_str());
  printf("couldn't run: %s\n", Why.c_str());
  return 2;
}

// ROUTE: a worker crashes and starts again under its id as another kind.
int playReborn(const Arguments &Given) {
  Deployment &All = *new Deployment(Given, 7, 3, 2);
  Ending End{All};
  std::mutex &Lock = *new std::mutex;
  int &Starts = *new int{0};
  int &Wrong = *new int{0};
  int &Over = *new int{0};
  for (auto &Each : All.Fleet)
    Each->OnStart = [&, Self = Each.get()](const std::string &Task, int Run,
                                           int64_t Used) {
      std::lock_guard Guard(Lock);
      ++Starts;
      std::string Needed = Sent.stepOf(Task).Requirements;
      if (!Needed.empty() && Needed != Self->kindNow()) {
        ++Wrong;
        Log.line("worker %s: WITHOUT THE LABEL: %s run %d needs %s, and the "
                 "worker is %s",
                 Self->Id.c_str(), Task.c_str(), Run, Needed.c_str(),
                 Self->kindNow().c_str());
      }
      if (Used > Self->cpuNow()) {
        ++Over;
        Log.line("worker %s: over its capacity: %lld of %d millicores",
                 Self->Id.c_str(), static_cast<long long>(Used),
                 Self->cpuNow());
      }
    };
  if (!All.start())
    return notRun("the hosts aren't ready");
  // Somewhat more work than the fleet can do, so that tasks wait.
  std::atomic<bool> IsOver{false};
  std::atomic<int> Accepted{0};
  std::thread Traffic([&] {
    for (int Number = 0; !IsOver; ++Number) {
      // Every second one needs a worker of the kind "large".
      Submission Value{.Id = idOf(Number),
                       .Steps = {{.Count = 6, .Cpu = 8000, .MemMb = 4000,
                                  .WorkMs = 7000,
                                  .Requirements = Number % 2 ? "large" : ""}}};
      Accepted += All.Short->submit(Value) ? 1 : 0;
      sleepFor(Number < 8 ? 0.05 : 1.2);
    }
  });
  sleepFor(5);
  for (int I = 0; I < 3; ++I) {
    Worker &Each = *All.Fleet[static_cast<size_t>(I)];
    // Tasks that have worked for long can't be the cause of the crash.
    for (int Wait = 0; Wait < 1000 && Each.youngest() < 3.5; ++Wait)
      sleepFor(0.01);
    if (Given.HasTrouble) {
      Each.crash();
      sleepFor(1.0);
      Each.start(Deployment::SmallCpu, 128000, "small");
    }
    sleepFor(12);
  }
  IsOver = true;
  Traffic.join();
  std::lock_guard Guard(Lock);
  if (Accepted < 20 || Starts < 60)
    return notRun("too little work was started");
  return report(Wrong > 0, std::to_string(Wrong) + " of " +
                               std::to_string(Starts) +
                               " starts were on a worker without the label, " +
                               std::to_string(Over) +
                               " brought a worker over its capacity");
}

// UNASKED: a worker is cut off just after it began a task; the submission is
// cancelled meanwhile.
int playCancel(const Arguments &Given) {
  constexpr double CutS = 2.5;
  constexpr double ContactS = 3.0;
  constexpr double CancelS = 3.0;
  constexpr double StopS = 0.4;
  Deployment &All = *new Deployment(Given, 7, 2, 2);
  Ending End{All};
  std::mutex &Lock = *new std::mutex;
  std::string &Target = *new std::string;
  Worker *&Cut = *new Worker *{nullptr};
  Clock::time_point &CutUntil = *new Clock::time_point{};
  for (auto &Each : All.Fleet) {
    Worker *Self = Each.get();
    Each->Before = [&, Self](const net::Request &)
        -> std::optional<net::Response> {
      std::lock_guard Guard(Lock);
      if (Cut == Self && Clock::now() < CutUntil)
        return net::Response{.Silent = true};
      return std::nullopt;
    };
    Each->Deliver = [&, Self](const net::Request &R, net::Response Answer) {
      std::lock_guard Guard(Lock);
      bool IsBegun = R.Path == "/basilchute/run-start" && Answer.Status == 200 &&
                     !Target.empty() &&
                     R.Body.find(Target) != std::string::npos;
      if (IsBegun && !Cut) {
        Cut = Self;
        if (Given.HasTrouble) {
          CutUntil = Clock::now() +
                     milliseconds(static_cast<int>(CutS * 1000));
          Log.line("worker %s: cut off for %.1f s", Self->Id.c_str(), CutS);
        }
      }
      // Answers to calls that came before the cut are held up too.
      if (Cut == Self && Clock::now() < CutUntil)
        Answer.Silent = true;
      return Answer;
    };
  }
  if (!All.start())
    return notRun("the hosts aren't ready");
  Submission Other{.Id = idOf(1),
                   .Steps = {{.Count = 6, .Cpu = 4000, .MemMb = 4000,
                              .WorkMs = 400, .IsLongRunning = true}}};
  Submission Value{.Id = idOf(2),
                   .Steps = {{.Count = 1, .Cpu = 4000, .MemMb = 4000,
                              .WorkMs = 400, .IsLongRunning = true}}};
  if (!All.Lasting->submit(Other))
    return notRun("a submission was refused");
  sleepFor(4);
  {
    std::lock_guard Guard(Lock);
    Target = Value.Id;
  }
  if (!All.Lasting->submit(Value))
    return notRun("a submission was refused");
  for (int I = 0; I < 500; ++I) {
    sleepFor(0.01);
    std::lock_guard Guard(Lock);
    if (Cut)
      break;
  }
  if (!Cut)
    return notRun("the task wasn't started");
  sleepFor(0.3);
  int Status = All.Lasting->send("DELETE", Value.Id).Status;
  if (Status != 200)
    return notRun("the cancelling wasn't acknowledged");
  double CancelledAt = seconds();
  // The rule's time starts once nothing has been impaired for ContactS.
  sleepFor((Given.HasTrouble ? CutS : 0) + ContactS + CancelS + StopS + 1.0);
  int Left = All.running(Value.Id);
  std::string State = All.Lasting->state(Value.Id);
  sleepFor(10);
  int StillLeft = All.running(Value.Id);
  Log.line("the submission is shown as %s", State.c_str());
  char Text[200];
  snprintf(Text, sizeof Text,
           "%d task of the cancelled submission at work %.1f s after the "
           "acknowledgement, %d after %.1f s; its state is %s",
           Left, seconds() - 10 - CancelledAt, StillLeft,
           seconds() - CancelledAt, State.c_str());
  return report(Left > 0 && StillLeft > 0, Text);
}

// LOST: a large submission is accepted; then lasting ones never start.
int playLarge(const Arguments &Given) {
  constexpr int Tasks = 3000;
  Deployment &All = *new Deployment(Given, 7, 2, 2);
  Ending End{All};
  if (!All.start())
    return notRun("the hosts aren't ready");
  auto Make = [](int Number, int Count) {
    return Submission{.Id = idOf(Number),
                      .Steps = {{.Count = Count, .Cpu = 1000, .MemMb = 200,
                                 .WorkMs = 1000, .IsCheckpointing = true}}};
  };
  // Without the trouble the same tasks come in submissions of 30 each.
  int Width = Given.HasTrouble ? Tasks : 30;
  std::vector<std::string> Ids;
  for (int Number = 0; Number * Width < Tasks; ++Number) {
    Submission Value = Make(Number, Width);
    if (!All.Short->submit(Value))
      return notRun("a submission was refused");
    Ids.push_back(Value.Id);
  }
  for (int I = 0; I < 60; ++I) {
    sleepFor(1);
    if (I > 15 && All.used() == 0)
      break;
  }
  Log.line("the tasks of the submissions have ended");
  Submission Lasting{.Id = idOf(5000),
                     .Steps = {{.Count = 6, .Cpu = 2000, .MemMb = 1000,
                                .WorkMs = 400, .IsLongRunning = true}}};
  if (!All.Lasting->submit(Lasting))
    return notRun("the lasting submission was refused");
  double AcceptedAt = seconds();
  double NothingSince = AcceptedAt;
  double Longest = 0;
  // The rule looks at 3 s, FinishS after the end of the traffic.
  while (seconds() < AcceptedAt + FinishS + 4) {
    sleepFor(0.05);
    bool IsIdle = All.running(Lasting.Id) == 0 &&
                  All.used() * 2 < All.capacity();
    if (!IsIdle)
      NothingSince = seconds();
    Longest = std::max(Longest, seconds() - NothingSince);
  }
  size_t Completed = 0;
  for (const std::string &Id : Ids)
    Completed += All.Short->state(Id) == "completed" ? 1 : 0;
  std::string State = All.Lasting->state(Lasting.Id);
  char Text[300];
  snprintf(Text, sizeof Text,
           "the lasting submission had nothing running for %.1f s while the "
           "workers were idle, state %s; %zu of %zu earlier submissions "
           "completed",
           Longest, State.c_str(), Completed, Ids.size());
  return report(Longest > FinishS + 3, Text);
}

// TWICE: the store is down while one worker ends more than 500 tasks.
int playEnds(const Arguments &Given) {
  constexpr double DownS = 4.5;
  constexpr int Jobs = 60;
  constexpr int Width = 36;
  Deployment &All = *new Deployment(Given, 4, 1, 2);
  Ending End{All};
  std::mutex &Lock = *new std::mutex;
  std::set<std::string> &Done = *new std::set<std::string>;
  std::vector<std::string> &Again = *new std::vector<std::string>;
  int &Starts = *new int{0};
  for (auto &Each : All.Fleet) {
    Each->OnStart = [&, Self = Each.get()](const std::string &Task, int Run,
                                           int64_t) {
      std::lock_guard Guard(Lock);
      ++Starts;
      if (!Done.count(Task))
        return;
      Again.push_back(Task);
      Log.line("worker %s: TWICE: %s run %d starts after a run ended done",
               Self->Id.c_str(), Task.c_str(), Run);
    };
    Each->OnEnd = [&](const std::string &Task, const std::string &How) {
      std::lock_guard Guard(Lock);
      if (How == "done")
        Done.insert(Task);
    };
  }
  if (!All.start())
    return notRun("the hosts aren't ready");
  // 96 of these tasks fit on the large worker at a time.
  std::vector<std::string> Ids;
  for (int Number = 0; Number < Jobs; ++Number) {
    Submission Value{.Id = idOf(Number),
                     .Steps = {{.Count = Width, .Cpu = 500, .MemMb = 256,
                                .WorkMs = 500, .Requirements = "large"}}};
    if (!All.Short->submit(Value))
      return notRun("a submission was refused");
    Ids.push_back(Value.Id);
  }
  sleepFor(1);
  if (Given.HasTrouble) {
    Log.line("store: down for %.1f s", DownS);
    All.Platform.IsDown = true;
    sleepFor(DownS);
    All.Platform.IsDown = false;
    Log.line("store: back");
  }
  size_t Completed = 0;
  for (int I = 0; I < 60 && Completed < Ids.size(); ++I) {
    sleepFor(1);
    for (Completed = 0; Completed < Ids.size(); ++Completed)
      if (All.Short->state(Ids[Completed]) != "completed")
        break;
  }
  sleepFor(2);
  size_t Listed = 0;
  for (auto &Each : All.Fleet)
    Listed += Each->unacknowledged();
  std::lock_guard Guard(Lock);
  char Text[300];
  snprintf(Text, sizeof Text,
           "%zu of %d starts were of tasks that had ended done; %zu tasks "
           "done, %zu ends not taken note of; %zu of %zu submissions completed",
           Again.size(), Starts, Done.size(), Listed, Completed, Ids.size());
  if (Starts < Jobs * Width)
    return notRun(Text);
  return report(!Again.empty(), Text);
}

// LOST: one of twelve workers is lost for good; then short submissions never
// start, though most of the fleet is free.
int playApart(const Arguments &Given) {
  constexpr int Workers = 12;
  constexpr int LastingJobs = 45;
  Deployment &All = *new Deployment(Given, Workers, 0, 2);
  Ending End{All};
  if (!All.start())
    return notRun("the hosts aren't ready");
  // One task of each on every worker.
  for (int Number = 0; Number < LastingJobs; ++Number) {
    Submission Value{.Id = idOf(Number),
                     .Steps = {{.Count = Workers, .Cpu = 300, .MemMb = 500,
                                .WorkMs = 400, .IsLongRunning = true,
                                .MaxPerServer = 1}}};
    if (!All.Lasting->submit(Value))
      return notRun("a lasting submission was refused");
  }
  int Running = 0;
  for (int I = 0; I < 300 && Running < LastingJobs * Workers; ++I) {
    sleepFor(0.1);
    Running = 0;
    for (int Number = 0; Number < LastingJobs; ++Number)
      Running += All.running(idOf(Number));
  }
  Log.line("%d lasting tasks at work, %lld of %lld millicores", Running,
           static_cast<long long>(All.used()),
           static_cast<long long>(All.capacity()));
  if (Running < LastingJobs * Workers)
    return notRun("not all lasting tasks are at work");
  sleepFor(3);
  if (Given.HasTrouble)
    All.Fleet.front()->crash();
  // The entry is removed after three status reports of silence, and all leases
  // on the worker have ended.
  sleepFor(4.5);
  if (Given.HasTrouble)
    All.Platform.remove("servers", All.Fleet.front()->Id);
  sleepFor(10);
  // The traffic: small submissions, two each second.
  std::vector<std::string> Short;
  for (int Number = 0; Number < 16; ++Number) {
    Submission Value{.Id = idOf(1000 + Number),
                     .Steps = {{.Count = 2, .Cpu = 1000, .MemMb = 500,
                                .WorkMs = 1500}}};
    if (!All.Short->submit(Value))
      return notRun("a short submission was refused");
    Short.push_back(Value.Id);
    sleepFor(0.5);
  }
  // FinishS after its end the rule looks at 3 s.
  sleepFor(FinishS);
  std::set<std::string> Begun;
  for (const std::string &Id : Short)
    if (All.Short->state(Id) == "completed")
      Begun.insert(Id);
  size_t Completed = Begun.size();
  int64_t MostUsed = 0;
  for (int I = 0; I < 60; ++I) {
    sleepFor(0.05);
    MostUsed = std::max(MostUsed, All.used());
    for (const std::string &Id : Short)
      if (All.running(Id) > 0)
        Begun.insert(Id);
  }
  char Text[300];
  snprintf(Text, sizeof Text,
           "%.0f s after the traffic %zu of %zu short submissions are "
           "completed and %zu had nothing running for 3 s, with at most %lld "
           "of %lld millicores of the service in use",
           FinishS, Completed, Short.size(), Short.size() - Begun.size(),
           static_cast<long long>(MostUsed),
           static_cast<long long>(All.capacity()));
  return report(Begun.size() < Short.size() && MostUsed * 2 < All.capacity(),
                Text);
}

// LOST: one worker crashes over and over; submissions whose tasks it began are
// shown as failed, though no task has ended failed.
int playFlapping(const Arguments &Given) {
  constexpr int Crashes = 9;
  Deployment &All = *new Deployment(Given, 7, 0, 2);
  Ending End{All};
  std::mutex &Lock = *new std::mutex;
  int &Failed = *new int{0};
  for (auto &Each : All.Fleet)
    Each->OnEnd = [&](const std::string &, const std::string &How) {
      std::lock_guard Guard(Lock);
      Failed += How == "failed" ? 1 : 0;
    };
  if (!All.start())
    return notRun("the hosts aren't ready");
  std::atomic<bool> IsOver{false};
  std::vector<std::string> Ids;
  bool WasRefused = false;
  std::thread Traffic([&] {
    for (int Number = 0; !IsOver; ++Number) {
      Submission Value{.Id = idOf(Number),
                       .Steps = {{.Count = 4, .Cpu = 4000, .MemMb = 4000,
                                  .WorkMs = 2000}}};
      if (All.Short->submit(Value))
        Ids.push_back(Value.Id);
      else
        WasRefused = true;
      sleepFor(0.25);
    }
  });
  sleepFor(4);
  Worker &Bad = *All.Fleet.front();
  for (int I = 0; I < Crashes; ++I) {
    if (Given.HasTrouble) {
      Bad.crash();
      sleepFor(0.6);
      Bad.start(Deployment::SmallCpu, 128000, "small");
    }
    sleepFor(0.5);
  }
  sleepFor(3);
  IsOver = true;
  Traffic.join();
  sleepFor(FinishS);
  if (WasRefused)
    return notRun("a submission was refused");
  size_t ShownFailed = 0;
  size_t Completed = 0;
  for (const std::string &Id : Ids) {
    std::string State = All.Short->state(Id);
    ShownFailed += State == "failed" ? 1 : 0;
    Completed += State == "completed" ? 1 : 0;
  }
  std::lock_guard Guard(Lock);
  char Text[300];
  snprintf(Text, sizeof Text,
           "%zu of %zu submissions are shown as failed and %zu as completed; "
           "%d runs ended failed",
           ShownFailed, Ids.size(), Completed, Failed);
  return report(ShownFailed > 0 && Failed == 0, Text);
}

// TWICE: a worker is cut off from the store, but not from the hosts, and its
// entry is removed; then all hosts are killed and start again.
int playUnlisted(const Arguments &Given) {
  constexpr double CutS = 5.0;
  Deployment &All = *new Deployment(Given, 7, 0, 2);
  Ending End{All};
  std::mutex &Lock = *new std::mutex;
  auto &Running = *new std::map<std::string, std::set<std::string>>;
  std::vector<std::string> &Twice = *new std::vector<std::string>;
  int &Starts = *new int{0};
  for (auto &Each : All.Fleet) {
    Each->OnStart = [&, Self = Each.get()](const std::string &Task, int Run,
                                           int64_t) {
      std::lock_guard Guard(Lock);
      ++Starts;
      for (const std::string &Other : Running[Task]) {
        Twice.push_back(Task);
        Log.line("worker %s: TWICE: %s run %d starts and works on %s too",
                 Self->Id.c_str(), Task.c_str(), Run, Other.c_str());
      }
      Running[Task].insert(Self->Id);
    };
    Each->OnEnd = [&, Self = Each.get()](const std::string &Task,
                                         const std::string &) {
      std::lock_guard Guard(Lock);
      Running[Task].erase(Self->Id);
    };
  }
  if (!All.start())
    return notRun("the hosts aren't ready");
  for (int Number = 0; Number < 8; ++Number) {
    Submission Value{.Id = idOf(Number),
                     .Steps = {{.Count = 7, .Cpu = 3000, .MemMb = 2000,
                                .WorkMs = 12000}}};
    if (!All.Short->submit(Value))
      return notRun("a submission was refused");
  }
  sleepFor(3);
  Worker &Cut = *All.Fleet.front();
  if (Given.HasTrouble) {
    // The cut begins before a report that is due.
    double LastBeat = Cut.cutFromStore(false);
    while (Cut.cutFromStore(false) == LastBeat)
      sleepFor(0.01);
    sleepFor(Worker::HeartbeatS - 0.1);
    LastBeat = Cut.cutFromStore(true);
    double CutAt = seconds();
    Log.line("worker %s: cut off from the store", Cut.Id.c_str());
    while (seconds() < LastBeat + 3 * Worker::HeartbeatS)
      sleepFor(0.01);
    All.Platform.remove("servers", Cut.Id);
    Log.line("store: the entry of %s is removed", Cut.Id.c_str());
    sleepFor(0.3);
    for (auto &Each : All.Hosts_)
      Each->signal(SIGKILL);
    for (auto &Each : All.Hosts_)
      Each->killAndWait();
    sleepFor(0.2);
    for (auto &Each : All.Hosts_)
      Each->start();
    while (seconds() < CutAt + CutS)
      sleepFor(0.01);
    (void)Cut.cutFromStore(false);
    Log.line("worker %s: reaches the store again", Cut.Id.c_str());
  }
  sleepFor(25);
  std::lock_guard Guard(Lock);
  char Text[200];
  snprintf(Text, sizeof Text,
           "%zu of %d starts were of tasks that worked on another worker",
           Twice.size(), Starts);
  return report(!Twice.empty(), Text);
}

} // namespace

int main(int Count, char **Words) {
  if (Count < 6)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  Arguments Given{.Folder = Words[2],
                  .Program = Words[3],
                  .Template = Words[4],
                  .HasTrouble = std::string(Words[5]) != "0"};
  Log.open(Given.Folder + "/record.txt");
  std::string Name = Words[1];
  int Result = 2;
  if (Name == "cancel")
    Result = playCancel(Given);
  else if (Name == "ends")
    Result = playEnds(Given);
  else if (Name == "apart")
    Result = playApart(Given);
  else if (Name == "unlisted")
    Result = playUnlisted(Given);
  else if (Name == "flapping")
    Result = playFlapping(Given);
  // These have no case of their own, see REPORT.md.
  else if (Name == "reborn")
    Result = playReborn(Given);
  else if (Name == "large")
    Result = playLarge(Given);
  fflush(stdout);
  // Threads of the stand-ins still wait for calls.
  _exit(Result);
}
