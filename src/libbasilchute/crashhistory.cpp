#include "libbasilchute/crashhistory.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A run that its worker survived for this long did not crash it at once.
constexpr milliseconds UnseenAge{300};
/// A run that lasted for longer is no cause of a crash; for a task under which
/// a worker crashed before, the bound is longer.
constexpr milliseconds YoungAge{3000};
constexpr milliseconds YoungAgeOfCounted{5000};
/// Crashes with weak evidence that make a suspect: without and with another run
/// on the worker for which there is strong evidence.
constexpr int WeakCrashes = 2;
constexpr int WeakCrashesBesideStrong = 3;
/// Crashes after which a task is given up.
constexpr int ProvenCrashes = 2;
/// The same if the last was during a trial but other workers crashed as well. A
/// task must not start three times after three crashes.
constexpr int UnprovenCrashes = 4;
/// Two crashes count as simultaneous if the times at which they can have
/// happened are closer than this.
constexpr milliseconds SameTime{300};
/// Time for which a crash is compared with later ones: workers that crashed
/// together are found within a second or two.
constexpr milliseconds RecentCrash{6000};
/// Part of the workers, and least number, that crash together without a task
/// as the cause.
constexpr size_t HerdPart = 6;
constexpr size_t MinHerd = 3;
/// One trial for this many workers may be on workers that answer. A worker that
/// crashed in a trial is away for some seconds, so that more trials are allowed
/// in all.
constexpr size_t WorkersPerTrial = 12;
constexpr size_t WorkersPerAnyTrial = 8;
constexpr size_t MinTrials = 3;

/// Returns true if no job has unseen runs on at least half of the workers.
bool isHerd(const SilentWorker &Crashed,
            const std::vector<const SilentWorker *> &Others, size_t Workers) {
  size_t Count = Others.size() + 1;
  if (Count < std::max(MinHerd, Workers / HerdPart))
    return false;
  std::map<std::string, size_t> WorkersOf;
  auto AddJobs = [&](const SilentWorker &Worker) {
    std::set<std::string> Jobs;
    for (const ExposedRun &Run : Worker.Runs)
      if (Run.isUnseen())
        Jobs.insert(Run.Task.Job);
    for (const std::string &Job : Jobs)
      ++WorkersOf[Job];
  };
  AddJobs(Crashed);
  for (const SilentWorker *Other : Others)
    AddJobs(*Other);
  return std::none_of(
      WorkersOf.begin(), WorkersOf.end(),
      [Count](const auto &Entry) { return Entry.second * 2 >= Count; });
}

} // namespace

std::string_view crashEvidenceName(CrashEvidence Evidence) {
  switch (Evidence) {
  case CrashEvidence::None:
    return "none";
  case CrashEvidence::Weak:
    return "weak";
  case CrashEvidence::Strong:
    return "strong";
  case CrashEvidence::Proof:
    return "proof";
  }
  return "unknown";
}

bool ExposedRun::isUnseen() const { return KnownAge < UnseenAge; }

bool SilentWorker::hasUnseenRuns() const {
  return std::any_of(Runs.begin(), Runs.end(),
                     [](const ExposedRun &Run) { return Run.isUnseen(); });
}

std::map<TaskName, CrashEvidence>
CrashHistory::judge(const SilentWorker &Crashed,
                    const std::vector<SilentWorker> &Silent, size_t Workers,
                    TimePoint Now) {
  std::erase_if(m_recent, [&](const auto &Recent) {
    return Recent.first + RecentCrash < Now;
  });
  std::vector<const SilentWorker *> Others = crashedWith(Crashed, Silent);
  bool InHerd = isHerd(Crashed, Others, Workers);
  bool HasOtherCause = InHerd || std::any_of(Others.begin(), Others.end(),
                                             [](const auto *Other) {
                                               return !Other->hasUnseenRuns();
                                             });
  std::set<TaskName> Unseen;
  for (const ExposedRun &Run : Crashed.Runs)
    if (Run.isUnseen())
      Unseen.insert(Run.Task);
  std::map<TaskName, CrashEvidence> Out;
  for (const ExposedRun &Run : Crashed.Runs) {
    auto Trial = m_trials.find(Run.Task);
    bool IsTrial = Trial != m_trials.end() && Trial->second.HasStarted &&
                   Trial->second.Workers.count(Crashed.Id);
    bool IsOnly =
        Unseen.empty() || (Unseen.size() == 1 && *Unseen.begin() == Run.Task);
    CrashEvidence Evidence = CrashEvidence::None;
    if (IsTrial)
      Evidence = IsOnly && !HasOtherCause ? CrashEvidence::Proof
                                          : CrashEvidence::Strong;
    else if (Run.isUnseen())
      Evidence = InHerd ? CrashEvidence::Weak : CrashEvidence::Strong;
    else if (Run.KnownAge < (Run.Crashes > 0 ? YoungAgeOfCounted : YoungAge))
      Evidence = CrashEvidence::Weak;
    if (Evidence == CrashEvidence::None)
      continue;
    CrashEvidence &Entry = Out[Run.Task];
    Entry = std::max(Entry, Evidence);
  }
  m_recent.push_back({Now, Crashed});
  return Out;
}

std::vector<const SilentWorker *>
CrashHistory::crashedWith(const SilentWorker &Crashed,
                          const std::vector<SilentWorker> &Silent) const {
  std::vector<const SilentWorker *> Out;
  auto AddIfSameTime = [&](const SilentWorker &Other) {
    if (Other.Id != Crashed.Id &&
        Other.AliveAt <= Crashed.SilentAt + SameTime &&
        Crashed.AliveAt <= Other.SilentAt + SameTime)
      Out.push_back(&Other);
  };
  for (const SilentWorker &Other : Silent)
    AddIfSameTime(Other);
  for (const auto &[Found, Other] : m_recent)
    AddIfSameTime(Other);
  return Out;
}

bool CrashHistory::count(CrashRecord &Record, const ExposedRun &Run,
                         const SilentWorker &Crashed, CrashEvidence Evidence,
                         bool WasTrial) {
  ++Record.Crashes;
  Record.Worker.clear();
  Record.Incarnation = milliseconds(0);
  if (!Run.isUnseen())
    Record.RunAge =
        std::max(Record.RunAge, std::min(Run.MaxAge, YoungAgeOfCounted));
  int Bound = !Run.isUnseen() && Crashed.hasUnseenRuns()
                  ? WeakCrashesBesideStrong
                  : WeakCrashes;
  Record.IsSuspect = Record.IsSuspect || Evidence >= CrashEvidence::Strong ||
                     Record.Crashes >= Bound;
  return (Evidence == CrashEvidence::Proof &&
          Record.Crashes >= ProvenCrashes) ||
         (WasTrial && Record.Crashes >= UnprovenCrashes);
}

bool CrashHistory::countUnseen(CrashRecord &Record) {
  ++Record.Crashes;
  Record.IsSuspect = true;
  Record.Worker.clear();
  Record.Incarnation = milliseconds(0);
  return Record.Crashes >= UnprovenCrashes;
}

void CrashHistory::clear(CrashRecord &Record) {
  Record.IsSuspect = false;
  Record.Worker.clear();
  Record.Incarnation = milliseconds(0);
}

// A task that crashed its worker only after some time is watched for longer
// than that.
milliseconds CrashHistory::trialTime(const CrashRecord &Record) {
  return UnseenAge + Record.RunAge * 3 / 2;
}

bool CrashHistory::mayBegin(size_t Workers, size_t Silent) const {
  size_t Answering = m_trials.size() - std::min(m_trials.size(), Silent);
  return Answering < std::max<size_t>(1, Workers / WorkersPerTrial) &&
         m_trials.size() < std::max(MinTrials, Workers / WorkersPerAnyTrial);
}

void CrashHistory::begin(const TaskName &Task, std::set<std::string> Workers,
                         TimePoint Now) {
  m_trials[Task] = {.Workers = std::move(Workers), .Since = Now};
}

void CrashHistory::setStarted(const TaskName &Task) {
  m_trials.at(Task).HasStarted = true;
}

void CrashHistory::addWorker(const TaskName &Task, const std::string &Worker) {
  auto It = m_trials.find(Task);
  if (It != m_trials.end())
    It->second.Workers.insert(Worker);
}

const CrashTrial *CrashHistory::trialOf(const TaskName &Task) const {
  auto It = m_trials.find(Task);
  return It == m_trials.end() ? nullptr : &It->second;
}

bool CrashHistory::isTrialWorker(const std::string &Worker) const {
  return std::any_of(m_trials.begin(), m_trials.end(), [&](const auto &Trial) {
    return Trial.second.Workers.count(Worker) > 0;
  });
}

bool CrashHistory::isTried(const std::string &Job) const {
  return std::any_of(m_trials.begin(), m_trials.end(),
                     [&](const auto &Trial) { return Trial.first.Job == Job; });
}

BASILCHUTE_NAMESPACE_END
