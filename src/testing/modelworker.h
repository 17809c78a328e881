/// \file
/// A worker that runs tasks under leases, and the oracle that watches all of
/// them.
#pragma once

#include "basilchute/approval.h"
#include "basilchute/taskworker.h"
#include "testing/modelstore.h"

#include <map>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What tests know of a job beyond its specification.
struct ModelJob {
  Job Spec;
  int MaxAttempts = 3;
  /// When its cancellation was acknowledged; zero if it was not.
  TimePoint CancelledAt{};
};

/// Checks every start and end against what must always hold.
class JobOracle {
public:
  /// Cancelled jobs may still start tasks for this long.
  static constexpr milliseconds CancelTime{3000};

  void addJob(const ModelJob &Job) { m_jobs[Job.Spec.Id] = Job; }
  void cancelled(const std::string &Job, TimePoint Now);
  const ModelJob *job(const std::string &Id) const;

  void onStart(const std::string &Worker, const TaskName &Task, int Run,
               TimePoint Now);
  void onEnd(const std::string &Worker, const TaskName &Task, int Run,
             RunEnd End);
  /// The worker was told to forget the end.
  void onNoted(const TaskName &Task, int Run, RunEnd End);
  void onCapacity(const std::string &Worker, const Resources &Used,
                  const Resources &Capacity);
  /// Checks a state that a host has answered.
  void onState(const std::string &Job, JobState State);

  const std::vector<std::string> &violations() const { return m_violations; }
  int starts() const { return m_starts; }
  /// Runs that are present now.
  size_t running() const;
  bool allDone(const std::string &Job) const;

private:
  void violate(const TaskName &Task, int Run, std::string What);

  std::map<std::string, ModelJob> m_jobs;
  std::map<TaskName, std::set<std::string>> m_running;
  std::set<TaskName> m_done;
  std::set<TaskName> m_doneNoted;
  std::map<TaskName, std::set<int>> m_failedNoted;
  std::vector<std::string> m_violations;
  int m_starts = 0;
};

/// One worker. Time is the virtual clock's.
class ModelWorker {
public:
  ModelWorker(WorkerEntry Entry, JobOracle &Oracle,
              std::function<TimePoint()> Now)
      : Entry(std::move(Entry)), m_oracle(Oracle), m_now(std::move(Now)),
        m_born(m_now()) {}

  WorkerEntry Entry;
  /// It answers nothing.
  bool Down = false;
  /// Orders, in percent, that are carried out seconds later, unanswered.
  int LatePercent = 0;
  /// Runs, in percent, that fail.
  int FailPercent = 0;
  /// Steps run here only with the ticket of this life, where it is approved.
  bool NeedsTicket = false;
  bool Approved = true;
  /// Runs here make no progress.
  bool Hangs = false;

  Result<StartReply> start(const StartOrder &Order);
  Status stop(const StopOrder &Order);
  Result<LookReply> look(const LookOrder &Order);
  /// What the approval service says of the worker for any step.
  bool approves(const StepName &) const { return Approved; }
  std::string ticketFor(const StepName &Step) const;
  /// Ends runs whose work or lease is over.
  void advance();
  bool hasUnnoted() const { return !m_ended.empty(); }
  /// Start of the present life.
  TimePoint life() const { return m_born; }
  /// Ends all runs and begins another life.
  void crash();

private:
  struct Present {
    int Run = 0;
    TimePoint Ends{};
    bool Fails = false;
  };

  milliseconds clock() const;
  void extend(milliseconds LeaseUntil);
  void end(const TaskName &Task, RunEnd How);
  Resources used() const;

  JobOracle &m_oracle;
  std::function<TimePoint()> m_now;
  TimePoint m_born;
  uint64_t m_epoch = 0;
  milliseconds m_leaseUntil{0};
  /// The lease is over, and how often it was.
  bool m_lapsed = false;
  int m_lapses = 0;
  /// Lapses before each end.
  std::map<uint64_t, int> m_endedAt;
  std::map<TaskName, Present> m_runs;
  std::map<TaskName, int> m_highest;
  std::vector<EndedTask> m_ended;
  uint64_t m_lastEnd = 0;
};

BASILCHUTE_NAMESPACE_END
