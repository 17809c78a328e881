/// \file
/// Model of a worker that runs tasks under leases, and the oracle that checks
/// the invariants over all workers.
#pragma once

#include "basilchute/approval.h"
#include "basilchute/taskworker.h"
#include "testing/modelstore.h"

#include <map>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A submitted job as the oracle tracks it.
struct ModelJob {
  Job Spec;
  int MaxAttempts = 3;
  /// When the cancellation was acknowledged to the caller; zero if it was not.
  TimePoint CancelledAt{};
};

/// Checks every start and completion of a run against the invariants.
class JobOracle {
public:
  /// Time for which a cancelled job may still start tasks.
  static constexpr milliseconds CancelTime{3000};

  void addJob(const ModelJob &Job) { m_jobs[Job.Spec.Id] = Job; }
  void cancelled(const std::string &Job, TimePoint Now);
  const ModelJob *job(const std::string &Id) const;

  void onStart(const std::string &Worker, const TaskName &Task, int Run,
               TimePoint Now);
  void onEnd(const std::string &Worker, const TaskName &Task, int Run,
             RunOutcome End);
  /// Called when a host acknowledged the completion to the worker.
  void onAcknowledged(const TaskName &Task, int Run, RunOutcome End);
  void onCapacity(const std::string &Worker, const Resources &Used,
                  const Resources &Capacity);
  /// Checks a job state that a host reported.
  void onState(const std::string &Job, JobState State);

  /// Records a violation that another check found.
  void report(std::string Violation) {
    m_violations.push_back(std::move(Violation));
  }

  const std::vector<std::string> &violations() const { return m_violations; }
  /// Number of starts of all tasks so far.
  int starts() const { return m_starts; }
  /// Number of runs that are currently on a worker.
  size_t running() const;
  /// Worker on which \p Task runs; empty if it does not run.
  std::string workerOf(const TaskName &Task) const;
  /// Tasks that run on \p Worker.
  std::vector<TaskName> tasksOn(const std::string &Worker) const;
  bool allDone(const std::string &Job) const;
  /// Returns true if runs of one task of \p Job have ended as failed as often
  /// as its queue allows.
  bool hasCauseToFail(const std::string &Job) const;

private:
  void violate(const TaskName &Task, int Run, std::string Problem);

  std::map<std::string, ModelJob> m_jobs;
  /// Workers on which each task runs.
  std::map<TaskName, std::set<std::string>> m_running;
  std::set<TaskName> m_doneTasks;
  std::set<TaskName> m_acknowledgedDone;
  /// Numbers of the failed runs of each task that were acknowledged.
  std::map<TaskName, std::set<int>> m_acknowledgedFailures;
  /// Numbers of all failed runs of each task.
  std::map<TaskName, std::set<int>> m_failures;
  std::vector<std::string> m_violations;
  int m_starts = 0;
};

/// One worker on the virtual clock.
class ModelWorker {
public:
  ModelWorker(WorkerEntry Entry, JobOracle &Oracle,
              std::function<TimePoint()> Now)
      : Entry(std::move(Entry)), m_oracle(Oracle), m_now(std::move(Now)),
        m_incarnation(m_now()) {}

  WorkerEntry Entry;
  /// While set, the worker does not reply.
  bool IsDown = false;
  /// Percentage of start orders that are executed seconds later and get no
  /// reply.
  int DelayedStartPercent = 0;
  /// Percentage of runs that fail.
  int FailPercent = 0;
  /// While set, runs start only if the worker is approved and the order has the
  /// ticket of the current incarnation of the worker.
  bool NeedsTicket = false;
  bool Approved = true;
  /// While set, runs make no progress.
  bool Hangs = false;
  /// Changes each answer to a poll, if set.
  std::function<void(PollReply &)> AlterAnswer;
  /// Percentages of all pace orders that were received, in their order.
  std::vector<int> Paces;

  Result<StartReply> start(const StartOrder &Order);
  Status stop(const StopOrder &Order);
  Result<PollReply> poll(const PollOrder &Order);
  /// Decision of the approval service on this worker; the same for every step.
  bool approves(const StepName &) const { return Approved; }
  std::string ticketFor(const StepName &Step) const;
  /// Ends runs whose work is done or whose lease expired.
  void advance();
  /// Returns true if \p Task runs on this worker.
  bool runs(const TaskName &Task) const { return m_runs.count(Task) > 0; }
  /// Returns true if there are completions that were not acknowledged.
  bool hasUnacknowledged() const { return !m_ended.empty(); }
  bool hasRuns() const { return !m_runs.empty(); }
  /// Start time of the current incarnation, which identifies it.
  TimePoint incarnation() const { return m_incarnation; }
  /// Ends all runs as failed.
  void failRuns();
  /// Ends all runs, drops all state and starts a new incarnation.
  void crash();
  /// The same as planned work.
  void leave();
  /// When the worker last crashed; zero if it never did.
  TimePoint lastCrash() const { return m_lastCrash; }
  /// Ends the run of \p Task as failed. Returns false if there is none.
  bool fail(const TaskName &Task);
  /// Changes the capacity; runs go on. For \p Allowance, starts may still fill
  /// the worker up to the previous capacity, since owners learn of the change
  /// later.
  void setCapacity(const Resources &Capacity, milliseconds Allowance);
  /// Capacity that no run uses.
  Resources freeCapacity() const;

private:
  struct CurrentRun {
    int Run = 0;
    TimePoint Ends{};
    bool Fails = false;
  };

  /// Time since the start of the incarnation.
  milliseconds clock() const;
  void extend(milliseconds LeaseUntil);
  void end(const TaskName &Task, RunOutcome End);
  Resources used() const;
  /// Reports a start that has brought the worker over its capacity.
  void checkCapacity();

  JobOracle &m_oracle;
  std::function<TimePoint()> m_now;
  TimePoint m_incarnation;
  TimePoint m_lastCrash{};
  uint64_t m_epoch = 0;
  milliseconds m_leaseUntil{0};
  bool m_leaseExpired = false;
  /// Number of times that the lease has expired.
  int m_leaseExpirations = 0;
  /// Value of m_leaseExpirations at each completion, by completion number.
  std::map<uint64_t, int> m_expirationsAtEnd;
  std::map<TaskName, CurrentRun> m_runs;
  /// Highest run number of each task that ended or was stopped; start orders
  /// for it and lower ones are rejected.
  std::map<TaskName, int> m_highestRun;
  std::vector<Completion> m_ended;
  uint64_t m_lastEndNumber = 0;
  /// A capacity up to which the worker may still be filled.
  struct FormerCapacity {
    Resources Capacity;
    TimePoint Until{};
  };
  std::vector<FormerCapacity> m_formerCapacities;
};

BASILCHUTE_NAMESPACE_END
