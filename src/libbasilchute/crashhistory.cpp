#include "libbasilchute/crashhistory.h"

#include <algorithm>
#include <cmath>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A run that its worker survived for this long did not crash it at once.
constexpr milliseconds UnseenAge{300};
/// A run that lasted for longer is no cause of a crash; for a task under which
/// a worker crashed before, the bound is longer.
constexpr milliseconds YoungAge{3000};
constexpr milliseconds YoungAgeOfCounted{5000};
/// Crashes that make a suspect of a task without strong evidence.
constexpr int WeakCrashes = 2;
/// Crashes after which a task is given up if the last is proof, and if the last
/// was during a trial but other workers crashed as well. Two are not enough: a
/// task can be unlucky twice. A task must not start three times after three
/// crashes.
constexpr int ProvenCrashes = 3;
constexpr int UnprovenCrashes = 4;
/// A task that was only young at the crashes before is not given up after the
/// first trial.
constexpr int MinStrongCrashes = 2;
/// Crashes after which a trial is longer than the time for which a run can have
/// lasted that was not seen to last, and that time if it is not known.
constexpr int LongTrialCrashes = 2;
constexpr milliseconds UnseenRunAge{1000};
/// A task that crashes each worker starts at most once more if it is released
/// after so many.
constexpr int MaxReleasedCrashes = 2;
/// By so many fewer a task is given up that may have crashed workers without
/// being counted.
constexpr int HiddenCrashes = 1;
/// Crashes of failure domains that may have hidden one of the task.
constexpr int MinDomainCrashes = 2;
/// Crashes of one worker are no proof against a task.
constexpr int MinCrashedWorkers = 2;
/// Two crashes count as simultaneous if the times at which they can have
/// happened are closer than this.
constexpr milliseconds SameTime{300};
/// Time for which a crash is compared with later ones: workers that crashed
/// together are found within a second or two.
constexpr milliseconds RecentCrash{6000};
/// A worker that crashed so often in this time may crash by itself.
constexpr milliseconds UnsteadyTime{20000};
constexpr size_t UnsteadyCrashes = 2;
/// Part of the workers, and least number, that crash together without a task
/// as the cause.
constexpr size_t HerdPart = 6;
constexpr size_t MinHerd = 3;
/// Crashes in one failure domain are its own if the chance is lower that
/// unrelated ones are all there.
constexpr double MaxDomainChance = 0.001;
/// The trials on workers that answer may be expected to crash one of this many
/// workers. A worker that crashed in a trial is away for some seconds, so that
/// more trials are allowed in all.
constexpr double WorkersPerCrash = 12;
constexpr double WorkersPerAnyCrash = 8;
constexpr double MinAnyCrashes = 3;
/// Nothing else starts on the workers of trials, so that few may have one.
constexpr size_t WorkersPerTrial = 4;
constexpr size_t MinTrials = 3;
constexpr double RoundingMargin = 0.001;

/// Returns the crashes that count towards giving the task up. A defective
/// worker can crash by itself again and again. Where only two workers suit the
/// task, their further crashes count, except one.
int countedCrashes(const CrashRecord &Record) {
  bool IsOneWorker = Record.Crashes < MinCrashedWorkers;
  return Record.Crashes +
         (IsOneWorker ? 0 : std::max(0, Record.RepeatedCrashes - 1));
}

/// Counts a crash of \p Worker.
void addCrash(CrashRecord &Record, const std::string &Worker) {
  bool IsNew = Worker.empty() || Record.CrashedWorkers.insert(Worker).second;
  ++(IsNew ? Record.Crashes : Record.RepeatedCrashes);
}

/// Returns true if \p Part of \p Count workers are so many that a common cause
/// must have crashed them.
bool isMost(size_t Part, size_t Count) { return Part * 4 >= Count * 3; }

/// Returns the failure domains that went down when \p Crashed and \p Others
/// crashed. The first crash is found while few of the others are: so many in
/// one domain are enough as are there by chance less often than
/// MaxDomainChance.
std::set<std::string>
downDomains(const SilentWorker &Crashed,
            const std::vector<const SilentWorker *> &Others,
            const FleetSize &Fleet) {
  std::map<std::string, std::set<std::string>> Down;
  Down[Crashed.Domain].insert(Crashed.Id);
  for (const SilentWorker *Other : Others)
    Down[Other->Domain].insert(Other->Id);
  std::set<std::string> Out;
  for (const auto &[Domain, Workers] : Down) {
    auto Size = Fleet.Domains.find(Domain);
    bool CanTell = !Domain.empty() && Size != Fleet.Domains.end() &&
                   Size->second < Fleet.Workers && Workers.size() >= MinHerd;
    if (!CanTell)
      continue;
    double Share =
        static_cast<double>(Size->second) / static_cast<double>(Fleet.Workers);
    double Chance = std::pow(Share, static_cast<double>(Workers.size()) - 1);
    if (isMost(Workers.size(), Size->second) || Chance <= MaxDomainChance)
      Out.insert(Domain);
  }
  return Out;
}

/// Returns the jobs that can have crashed \p Crashed if \p Others crashed at
/// the same time: those with unseen runs on most of the workers. None if so few
/// crashed that they can have crashed independently.
std::optional<std::set<std::string>>
commonJobs(const SilentWorker &Crashed,
           const std::vector<const SilentWorker *> &Others, size_t Workers) {
  size_t Count = Others.size() + 1;
  if (Count < std::max(MinHerd, Workers / HerdPart))
    return std::nullopt;
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
  std::set<std::string> Out;
  for (const auto &[Job, Part] : WorkersOf)
    if (isMost(Part, Count))
      Out.insert(Job);
  return Out;
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

bool ExposedRun::isYoung() const {
  return KnownAge < (Crashes > 0 ? YoungAgeOfCounted : YoungAge);
}

bool SilentWorker::hasUnseenRuns() const {
  return std::any_of(Runs.begin(), Runs.end(),
                     [](const ExposedRun &Run) { return Run.isUnseen(); });
}

std::map<TaskName, CrashEvidence>
CrashHistory::judge(const SilentWorker &Crashed,
                    const std::vector<SilentWorker> &Silent,
                    const FleetSize &Fleet, TimePoint Now) {
  std::erase_if(m_recent, [&](const auto &Recent) {
    return Recent.first + RecentCrash < Now;
  });
  std::vector<const SilentWorker *> Others = crashedWith(Crashed, Silent);
  std::set<std::string> Down = downDomains(Crashed, Others, Fleet);
  bool IsOfDomain = Down.count(Crashed.Domain) > 0;
  // The crash of another domain does not explain that of this worker.
  std::vector<const SilentWorker *> Unexplained = Others;
  if (!IsOfDomain)
    std::erase_if(Unexplained, [&](const SilentWorker *Other) {
      return Down.count(Other->Domain) > 0;
    });
  std::optional<std::set<std::string>> Common =
      commonJobs(Crashed, Unexplained, Fleet.Workers);
  bool HasOtherCause =
      Common || !Down.empty() ||
      std::any_of(Others.begin(), Others.end(),
                  [](const auto *Other) { return !Other->hasUnseenRuns(); });
  std::map<TaskName, CrashEvidence> Out;
  for (const ExposedRun &Run : Crashed.Runs) {
    auto Trial = m_trials.find(Run.Task);
    bool IsTrial = Trial != m_trials.end() && Trial->second.HasStarted &&
                   Trial->second.Workers.count(Crashed.Id);
    bool IsOnly = std::none_of(
        Crashed.Runs.begin(), Crashed.Runs.end(), [&](const ExposedRun &Other) {
          return Other.Task != Run.Task && Other.isYoung();
        });
    bool IsCommon = Common && Common->count(Run.Task.Job) && Run.isUnseen();
    CrashEvidence Evidence = CrashEvidence::None;
    if (IsOfDomain)
      Evidence = IsCommon ? CrashEvidence::Strong : CrashEvidence::None;
    else if (IsTrial)
      Evidence = IsOnly && !HasOtherCause ? CrashEvidence::Proof
                                          : CrashEvidence::Strong;
    else if (Run.isUnseen())
      Evidence =
          !Common || IsCommon ? CrashEvidence::Strong : CrashEvidence::Weak;
    else if (Run.isYoung())
      Evidence = CrashEvidence::Weak;
    if (Evidence == CrashEvidence::None)
      continue;
    CrashEvidence &Entry = Out[Run.Task];
    Entry = std::max(Entry, Evidence);
  }
  m_recent.push_back({Now, Crashed});
  for (auto &[Id, Times] : m_crashTimes)
    std::erase_if(Times,
                  [&](TimePoint Time) { return Time + UnsteadyTime < Now; });
  std::erase_if(m_crashTimes,
                [](const auto &Worker) { return Worker.second.empty(); });
  m_crashTimes[Crashed.Id].push_back(Now);
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

bool CrashHistory::isDomainCrash(const SilentWorker &Crashed,
                                 const std::vector<SilentWorker> &Silent,
                                 const FleetSize &Fleet) const {
  return downDomains(Crashed, crashedWith(Crashed, Silent), Fleet)
      .count(Crashed.Domain);
}

bool CrashHistory::count(CrashRecord &Record, const CountedCrash &Crash) {
  double Weight =
      1.0 / static_cast<double>(std::max<size_t>(Crash.Suspects, 1));
  Record.Weight =
      Record.Crashes > 0 ? std::min(1.0, Record.Weight + Weight) : Weight;
  addCrash(Record, Crash.Worker);
  Record.Worker.clear();
  Record.Incarnation = milliseconds(0);
  const ExposedRun &Run = Crash.Run;
  int Hidden = Crash.MayHaveHidden || Record.DomainCrashes >= MinDomainCrashes
                   ? HiddenCrashes
                   : 0;
  // A run in a trial, or among many crashes, can have lasted although no answer
  // came in the meantime. Most tasks with one crash are innocent, and not to be
  // tried for long.
  bool IsRepeated =
      Record.Crashes + (Run.IsAdopted ? 0 : Hidden) >= LongTrialCrashes;
  bool MayHaveLasted = !Run.isUnseen() || Crash.WasTrial || IsRepeated ||
                       Crash.Evidence == CrashEvidence::Weak;
  if (MayHaveLasted)
    Record.RunAge =
        std::max(Record.RunAge, std::min(Run.MaxAge, YoungAgeOfCounted));
  // An adopted run that was seen to last is young only as far as is known.
  bool MayBeOld = Run.IsAdopted && !Run.isUnseen();
  Record.IsSuspect = Record.IsSuspect ||
                     Crash.Evidence >= CrashEvidence::Strong ||
                     Record.Crashes >= WeakCrashes - (MayBeOld ? 0 : Hidden);
  if (Crash.Evidence >= CrashEvidence::Strong)
    Record.StrongCrashes = std::min(Record.StrongCrashes + 1, Record.Crashes);
  int Needed =
      Crash.Evidence == CrashEvidence::Proof ? ProvenCrashes : UnprovenCrashes;
  if (Hidden > 0 && Record.HasTrace)
    Needed = std::max(Needed - Hidden, ProvenCrashes) + Hidden;
  return Crash.WasTrial && countedCrashes(Record) >= Needed - Hidden &&
         Record.StrongCrashes >= MinStrongCrashes - Hidden;
}

void CrashHistory::suspect(CrashRecord &Record, const CountedCrash &Crash) {
  Record.IsSuspect = true;
  Record.Weight =
      std::max(Record.Crashes > 0 ? Record.Weight : 0.0,
               1.0 / static_cast<double>(std::max<size_t>(Crash.Suspects, 1)));
}

bool CrashHistory::mustWait(const CrashRecord &Record, int Unconfirmed) {
  return Unconfirmed > 0 &&
         countedCrashes(Record) + Unconfirmed >= UnprovenCrashes;
}

bool CrashHistory::countUnseen(CrashRecord &Record, const std::string &Worker) {
  addCrash(Record, Worker);
  Record.StrongCrashes = std::min(Record.StrongCrashes + 1, Record.Crashes);
  Record.IsSuspect = true;
  if (Record.Crashes >= LongTrialCrashes)
    Record.RunAge = std::max(Record.RunAge, UnseenRunAge);
  Record.Weight = 1;
  Record.Worker.clear();
  Record.Incarnation = milliseconds(0);
  return countedCrashes(Record) >= UnprovenCrashes;
}

void CrashHistory::clear(CrashRecord &Record) {
  Record.IsSuspect = false;
  Record.Weight = 0;
  Record.Worker.clear();
  Record.Incarnation = milliseconds(0);
}

bool CrashHistory::needsProof(const CrashRecord &Record, bool MayHaveHidden) {
  bool HasHidden = (MayHaveHidden && !Record.HasTrace) ||
                   Record.DomainCrashes >= MinDomainCrashes;
  return countedCrashes(Record) + 1 >=
         ProvenCrashes - (HasHidden ? HiddenCrashes : 0);
}

bool CrashHistory::mayRelease(const CrashRecord &Record) {
  return Record.Crashes + Record.RepeatedCrashes <= MaxReleasedCrashes;
}

// A task that crashed its worker only after some time is watched for longer
// than that.
milliseconds CrashHistory::trialTime(const CrashRecord &Record) {
  return UnseenAge + std::min(Record.RunAge, YoungAgeOfCounted) * 3 / 2;
}

// All suspects of one crash may be tried at once, since one of them at most
// crashes its worker again.
bool CrashHistory::mayBegin(const CrashRecord &Record, size_t Workers,
                            const std::set<std::string> &Silent,
                            bool HasWaitedLong) const {
  if (m_trials.size() >= std::max(MinTrials, Workers / WorkersPerTrial))
    return false;
  if (HasWaitedLong)
    return true;
  double Answering = Record.Weight;
  double Any = Record.Weight;
  for (const auto &[Task, Trial] : m_trials) {
    bool IsSilent = std::any_of(
        Trial.Workers.begin(), Trial.Workers.end(),
        [&](const std::string &Worker) { return Silent.count(Worker) > 0; });
    Answering += IsSilent ? 0 : Trial.Weight;
    Any += IsSilent ? 1 : Trial.Weight;
  }
  auto Count = static_cast<double>(Workers);
  return Answering <= std::max(1.0, Count / WorkersPerCrash) + RoundingMargin &&
         Any <= std::max(MinAnyCrashes, Count / WorkersPerAnyCrash) +
                    RoundingMargin;
}

bool CrashHistory::isUnsteady(const std::string &Worker, TimePoint Now) const {
  auto It = m_crashTimes.find(Worker);
  if (It == m_crashTimes.end())
    return false;
  size_t Crashes =
      std::count_if(It->second.begin(), It->second.end(),
                    [&](TimePoint Time) { return Now <= Time + UnsteadyTime; });
  return Crashes >= UnsteadyCrashes;
}

void CrashHistory::begin(const TaskName &Task, std::set<std::string> Workers,
                         double Weight, TimePoint Now) {
  m_trials[Task] = {
      .Workers = std::move(Workers), .Since = Now, .Weight = Weight};
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
