/// \file
/// Which task may have crashed a worker, and when such a task may start again.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/job.h"

#include <map>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What the progress row of a job holds about crashes of workers under one
/// task. The members of a gang share the record of the first.
struct CrashRecord {
  /// Different workers that crashed while a run of the task on them was young.
  int Crashes = 0;
  /// Those of them with strong evidence or proof.
  int StrongCrashes = 0;
  /// The task starts as a trial only.
  bool IsSuspect = false;
  /// Longest time that a run can have lasted when its worker crashed; zero
  /// while the task is only known to crash workers at once.
  milliseconds RunAge{0};
  /// Worker, and its incarnation, that fell silent while a run of the task on
  /// it was young, or on which the task is tried. Empty if there is none. An
  /// owner that finds another incarnation there counts a crash.
  std::string Worker;
  milliseconds Incarnation{0};
  /// Probability with which the suspect crashes its worker, as far as it is
  /// known. Not stored.
  double Weight = 1;
  /// The workers that this owner counted, and the number of their further
  /// crashes. Not stored.
  std::set<std::string> CrashedWorkers;
  int RepeatedCrashes = 0;
  /// Crashes of failure domains while no answer had shown that its run on them
  /// lasted, so that the task may have crashed workers as well. Not stored.
  int DomainCrashes = 0;
  /// A previous owner has stored a crash under the task, or a worker that may
  /// crash under it, so that few crashes are hidden. Not stored.
  bool HasTrace = false;

  bool operator==(const CrashRecord &) const = default;
};

/// How certain it is that a task crashed a worker.
enum class CrashEvidence {
  None,
  /// The run was young, or many workers crashed at the same time.
  Weak,
  /// No answer of the worker shows that the run lasted.
  Strong,
  /// The run was a trial, and nothing else explains the crash.
  Proof
};

/// Why the end of a worker may be no crash under its runs.
enum class CrashDoubt {
  None,
  /// The worker is silent and has left the list. Nothing is proof, and runs
  /// that were not seen to last count only when the crash is confirmed.
  MayBeCutOff,
  /// The next incarnation began after the leases of the runs were over. The
  /// tasks become suspects, and nothing counts.
  MayHaveLapsed
};

/// Returns the lower-case name of \p Evidence.
std::string_view crashEvidenceName(CrashEvidence Evidence);

/// A run on a worker that fell silent.
struct ExposedRun {
  /// The task; the first member of the gang for a member of a gang.
  TaskName Task;
  /// Time for which the worker certainly lived after the start of the run.
  milliseconds KnownAge{0};
  /// Time for which the run can have lasted.
  milliseconds MaxAge{0};
  /// Crashes in the task's record.
  int Crashes = 0;
  /// Another owner started the run, so that it is older than is known.
  bool IsAdopted = false;

  /// Returns true if no answer of the worker shows that the run lasted.
  bool isUnseen() const;
  /// Returns true if the run can have crashed the worker.
  bool isYoung() const;
};

/// A worker that fell silent, or crashed.
struct SilentWorker {
  std::string Id;
  /// Failure domain; empty if it is not known.
  std::string Domain = {};
  /// Last answer, and the first call after it that had none.
  TimePoint AliveAt{};
  TimePoint SilentAt{};
  std::vector<ExposedRun> Runs;

  bool hasUnseenRuns() const;
};

/// Number of workers, in all and by failure domain.
struct FleetSize {
  size_t Workers = 0;
  std::map<std::string, size_t> Domains = {};
};

/// A crash of a worker, as it counts for one task.
struct CountedCrash {
  ExposedRun Run;
  /// Not None.
  CrashEvidence Evidence = CrashEvidence::Weak;
  /// Number of tasks with as much evidence.
  size_t Suspects = 1;
  /// The run was a trial.
  bool WasTrial = false;
  /// Owners were killed before, so that the task may have crashed workers
  /// without being counted.
  bool MayHaveHidden = false;
  /// Counts as another one than all before if it is empty.
  std::string Worker;
};

/// The possible crash of a worker that has left the list and may only be cut
/// off.
struct UnconfirmedCrash {
  milliseconds Incarnation{0};
  std::string Address;
  TimePoint Since{};
  /// The crash as it is counted for each task once it is confirmed.
  std::map<TaskName, CountedCrash> Tasks;
};

/// Work that a crash of a worker would end.
struct TrialHarm {
  int LongRunningTasks = 0;
  /// The worker may crash by itself.
  bool IsUnsteady = false;
  /// Runs whose start no answer has confirmed for long enough.
  int UnseenRuns = 0;
  /// Runs that can crash the worker too.
  int YoungRuns = 0;
  /// Work in progress, in millicores times seconds.
  double Work = 0;

  auto operator<=>(const TrialHarm &) const = default;
};

/// A suspect that is alone in being started on its workers.
struct CrashTrial {
  std::set<std::string> Workers;
  TimePoint Since{};
  /// Weight of the suspect.
  double Weight = 1;
  /// False until the start orders are sent.
  bool HasStarted = false;
};

/// Decides which tasks are suspects after a crash, and keeps the trials.
///
/// A crash makes suspects of the runs that no answer had shown to last. Tasks
/// that ran for longer start again at once. A suspect is tried alone on one
/// worker: a crash then proves that the task is the cause, unless other workers
/// crashed as well, or the worker crashed under the task before. A trial that
/// lasts, or ends by itself, clears the suspicion, but the crashes stay
/// counted. The crash of a whole failure domain counts against no task, except
/// one of a job that had just started on most of its workers.
class CrashHistory {
public:
  /// Judges the runs on \p Crashed, a worker of which another incarnation was
  /// found at \p Now. \p Silent are the other workers that do not answer,
  /// \p Fleet is the number of workers. Tasks without evidence are left out.
  std::map<TaskName, CrashEvidence>
  judge(const SilentWorker &Crashed, const std::vector<SilentWorker> &Silent,
        const FleetSize &Fleet, TimePoint Now);
  /// Returns true if \p Crashed went down together with its failure domain:
  /// one event with a cause of its own, that says nothing about a task.
  bool isDomainCrash(const SilentWorker &Crashed,
                     const std::vector<SilentWorker> &Silent,
                     const FleetSize &Fleet) const;
  /// Counts a crash in the task's record. Returns true if the task is to be
  /// given up.
  static bool count(CrashRecord &Record, const CountedCrash &Crash);
  /// Lets the task start as a trial only, before a crash is confirmed.
  static void suspect(CrashRecord &Record, const CountedCrash &Crash);
  /// Returns true if a task waits with \p Unconfirmed crashes until they are
  /// confirmed or refuted: a deadly task starts a limited number of times.
  static bool mustWait(const CrashRecord &Record, int Unconfirmed);
  /// Counts a crash that a previous owner did not see, on the worker that the
  /// record names. Returns true if the task is to be given up. The run may not
  /// have been started at all, or have ended by itself before, so that as many
  /// crashes are needed as without proof. That the record names the worker
  /// shows that few others are hidden.
  static bool countUnseen(CrashRecord &Record, const std::string &Worker = {});
  /// Returns true if \p Worker crashed several times lately, so that its next
  /// crash shows little about a task.
  bool isUnsteady(const std::string &Worker, TimePoint Now) const;
  /// Records that a run of the task lasted or ended by itself.
  static void clear(CrashRecord &Record);
  /// Returns true if a crash in the next trial may give the task up, so that it
  /// must be proof.
  static bool needsProof(const CrashRecord &Record, bool MayHaveHidden);
  /// Returns true if so few crashes are counted that the task may start without
  /// a trial once more.
  static bool mayRelease(const CrashRecord &Record);
  /// Returns the time after which a trial counts as survived.
  static milliseconds trialTime(const CrashRecord &Record);

  /// Returns true if the trial of a suspect may begin in a shard of \p Workers
  /// workers, of which \p Silent do not answer. A suspect that \p HasWaitedLong
  /// is held back by the number of trials only.
  bool mayBegin(const CrashRecord &Record, size_t Workers,
                const std::set<std::string> &Silent, bool HasWaitedLong) const;
  void begin(const TaskName &Task, std::set<std::string> Workers, double Weight,
             TimePoint Now);
  /// Records that the start orders are sent.
  void setStarted(const TaskName &Task);
  /// Adds a worker of a trial that has started: a member of the gang starts
  /// again there.
  void addWorker(const TaskName &Task, const std::string &Worker);
  void end(const TaskName &Task) { m_trials.erase(Task); }
  /// Returns null if \p Task is not tried.
  const CrashTrial *trialOf(const TaskName &Task) const;
  /// Returns true if a trial is on \p Worker, so that nothing else may start
  /// there.
  bool isTrialWorker(const std::string &Worker) const;
  /// Returns true if a task of \p Job is tried.
  bool isTried(const std::string &Job) const;
  const std::map<TaskName, CrashTrial> &trials() const { return m_trials; }

private:
  /// Returns the workers that may have crashed at the same time as \p Crashed.
  std::vector<const SilentWorker *>
  crashedWith(const SilentWorker &Crashed,
              const std::vector<SilentWorker> &Silent) const;

  std::map<TaskName, CrashTrial> m_trials;
  /// Workers that crashed lately, with the time when that was found.
  std::vector<std::pair<TimePoint, SilentWorker>> m_recent;
  /// When the crashes of each worker were found, for UnsteadyTime.
  std::map<std::string, std::vector<TimePoint>> m_crashTimes;
};

BASILCHUTE_NAMESPACE_END
