#include "testing/modelworker.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <tuple>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Returns the step of \p Task; null if \p ParentJob is null or has no such
/// step.
const JobStep *stepOf(const ModelJob *ParentJob, const TaskName &Task) {
  if (!ParentJob || Task.Step < 0 ||
      Task.Step >= static_cast<int>(ParentJob->Spec.Steps.size()))
    return nullptr;
  return &ParentJob->Spec.Steps[static_cast<size_t>(Task.Step)];
}

/// Returns true if \p Step is a gang whose members end together.
bool isGang(const JobStep *Step) {
  return Step && Step->Gang && !Step->LongRunning;
}

TaskName firstMember(TaskName Member) {
  Member.Index = 0;
  return Member;
}

} // namespace

void JobOracle::violate(const TaskName &Task, int Run, std::string Problem) {
  m_violations.push_back(fmt::format("{}.{}.{}.{} run {}: {}", Task.Job,
                                     Task.Occurrence, Task.Step, Task.Index,
                                     Run, Problem));
}

void JobOracle::cancelled(const std::string &Job, TimePoint Now) {
  auto It = m_jobs.find(Job);
  if (It != m_jobs.end() && It->second.CancelledAt == TimePoint{})
    It->second.CancelledAt = Now;
}

const ModelJob *JobOracle::job(const std::string &Id) const {
  auto It = m_jobs.find(Id);
  return It == m_jobs.end() ? nullptr : &It->second;
}

const GangRun &JobOracle::gangRun(const TaskName &Task, int Run) const {
  return m_gangRuns.at({firstMember(Task), Run});
}

void JobOracle::updateGang(const TaskName &Task, int Run, bool IsPresent,
                           TimePoint Now) {
  const JobStep *Step = stepOf(job(Task.Job), Task);
  if (!isGang(Step))
    return;
  GangRun &Gang = m_gangRuns[{firstMember(Task), Run}];
  if (!IsPresent) {
    Gang.Present.erase(Task.Index);
    return;
  }
  Gang.Present.insert(Task.Index);
  if (Gang.WholeAt == TimePoint{} &&
      static_cast<int>(Gang.Present.size()) == Step->Count)
    Gang.WholeAt = Now;
}

void JobOracle::setDeadly(const TaskName &Task, milliseconds CrashAfter) {
  m_deadly[Task].CrashAfter = CrashAfter;
}

const DeadlyTask *JobOracle::deadly(const TaskName &Task) const {
  auto It = m_deadly.find(Task);
  return It == m_deadly.end() ? nullptr : &It->second;
}

bool JobOracle::mayGiveUp(const std::string &Job) const {
  return std::any_of(m_deadly.begin(), m_deadly.end(), [&](const auto &Deadly) {
    return Deadly.first.Job == Job &&
           Deadly.second.CrashesBeside >= CrashesUntilFailed;
  });
}

void JobOracle::countDeadlyStart(const TaskName &Task, int Run) {
  auto It = m_deadly.find(Task);
  if (It == m_deadly.end())
    return;
  DeadlyTask &Deadly = It->second;
  ++Deadly.Starts;
  if (OnDeadlyStart)
    OnDeadlyStart();
  if (Deadly.Crashes < CrashesUntilLimit)
    return;
  if (++Deadly.LateStarts > MaxLateStarts)
    violate(Task, Run,
            fmt::format("starts for the {}. time after it has crashed {} "
                        "workers",
                        Deadly.LateStarts, CrashesUntilLimit));
}

void JobOracle::onCrash(const std::vector<TaskName> &Tasks,
                        const TaskName *Cause) {
  for (const TaskName &Task : Tasks) {
    auto It = m_deadly.find(Task);
    if (It == m_deadly.end())
      continue;
    ++It->second.CrashesBeside;
    if (Cause && Task == *Cause)
      ++It->second.Crashes;
  }
}

void JobOracle::onStart(const std::string &Worker, const TaskName &Task,
                        int Run, TimePoint Now) {
  ++m_starts;
  const ModelJob *ParentJob = job(Task.Job);
  const JobStep *Step = stepOf(ParentJob, Task);
  if (!Step) {
    violate(Task, Run, "the task belongs to no submitted job");
    return;
  }
  if (!m_running[Task].empty())
    violate(Task, Run,
            fmt::format("starts on {} while running on {}", Worker,
                        *m_running[Task].begin()));
  if (m_acknowledgedDone.count(Task))
    violate(Task, Run, "starts after it was acknowledged as done");
  for (int DoneRun : m_doneRuns[Task])
    m_repeatedDone.insert({Task, DoneRun});
  if (static_cast<int>(m_acknowledgedFailures[Task].size()) >=
          ParentJob->MaxAttempts &&
      !Step->LongRunning)
    violate(Task, Run, "starts although all allowed attempts failed");
  for (int Predecessor : Step->Predecessors)
    for (int Index = 0;
         Index < ParentJob->Spec.Steps[static_cast<size_t>(Predecessor)].Count;
         ++Index)
      if (!m_doneTasks.count({Task.Job, Task.Occurrence, Predecessor, Index}))
        violate(
            Task, Run,
            fmt::format("starts before step {}, on which it depends, is done",
                        Predecessor));
  if (ParentJob->CancelledAt != TimePoint{} &&
      Now > ParentJob->CancelledAt + CancelTime)
    violate(Task, Run, "starts too long after its job was cancelled");
  countDeadlyStart(Task, Run);
  updateGang(Task, Run, true, Now);
  m_running[Task].insert(Worker);
}

void JobOracle::onEnd(const std::string &Worker, const TaskName &Task, int Run,
                      RunOutcome End) {
  m_running[Task].erase(Worker);
  updateGang(Task, Run, false, TimePoint{});
  if (End == RunOutcome::Failed)
    m_failures[Task].insert(Run);
  if (End != RunOutcome::Done)
    return;
  m_doneTasks.insert(Task);
  m_doneRuns[Task].insert(Run);
  const JobStep *Step = stepOf(job(Task.Job), Task);
  if (!isGang(Step))
    return;
  m_gangRuns[{firstMember(Task), Run}].IsDone = true;
  for (int Index = 0; Index < Step->Count; ++Index)
    m_doneTasks.insert({Task.Job, Task.Occurrence, Task.Step, Index});
}

void JobOracle::onAcknowledged(const TaskName &Task, int Run, RunOutcome End) {
  const JobStep *Step = stepOf(job(Task.Job), Task);
  if (End == RunOutcome::Done && Step && !Step->LongRunning)
    m_acknowledgedDone.insert(Task);
  bool IsOnce = !Step || !Step->LongRunning;
  if (End == RunOutcome::Done && IsOnce && m_repeatedDone.count({Task, Run}))
    violate(Task, Run, "was acknowledged as done after a later start");
  if (End == RunOutcome::Failed)
    m_acknowledgedFailures[Task].insert(Run);
}

void JobOracle::onCapacity(const std::string &Worker, const Resources &Used,
                           const Resources &Capacity) {
  if (!Used.fits(Capacity))
    m_violations.push_back(fmt::format(
        "capacity of worker {} exceeded: runs use {} of {} millicores, "
        "{} of {} MiB",
        Worker, Used.Millicores, Capacity.Millicores, Used.MemoryMib,
        Capacity.MemoryMib));
}

void JobOracle::onState(const std::string &Job, JobState State) {
  if (State == JobState::Completed && !allDone(Job))
    m_violations.push_back(fmt::format(
        "job {} is reported as completed although tasks are not done", Job));
  if (State != JobState::Failed)
    return;
  if (std::string Problem = problemOfFailure(Job); !Problem.empty())
    m_violations.push_back(
        fmt::format("job {} is reported as failed although {}", Job, Problem));
}

bool JobOracle::usedAllAttempts(const ModelJob &Job) const {
  // All members of a gang are started with the same run number, and a run of
  // the gang counts once.
  std::map<std::tuple<int, int, int>, std::set<int>> FailedRuns;
  for (const auto &[Task, Runs] : m_failures) {
    const JobStep *Step =
        Task.Job == Job.Spec.Id ? stepOf(&Job, Task) : nullptr;
    if (!Step || Step->LongRunning)
      continue;
    int Index = Step->Gang ? -1 : Task.Index;
    FailedRuns[{Task.Occurrence, Task.Step, Index}].insert(Runs.begin(),
                                                           Runs.end());
  }
  return std::any_of(
      FailedRuns.begin(), FailedRuns.end(), [&](const auto &Failed) {
        return static_cast<int>(Failed.second.size()) >= Job.MaxAttempts;
      });
}

std::string JobOracle::problemOfFailure(const std::string &Id) const {
  const ModelJob *ParentJob = job(Id);
  if (!ParentJob)
    return "it was never submitted";
  if (!ParentJob->CanRun || mayGiveUp(Id) || usedAllAttempts(*ParentJob))
    return "";
  return fmt::format("no task of it has failed {} times and there is no deadly "
                     "one under which {} workers have crashed",
                     ParentJob->MaxAttempts, CrashesUntilFailed);
}

size_t JobOracle::running() const {
  size_t Out = 0;
  for (const auto &[Task, Workers] : m_running)
    Out += Workers.size();
  return Out;
}

std::map<TaskName, std::string> JobOracle::runs() const {
  std::map<TaskName, std::string> Out;
  for (const auto &[Task, Workers] : m_running)
    if (!Workers.empty())
      Out.emplace(Task, *Workers.begin());
  return Out;
}

std::string JobOracle::workerOf(const TaskName &Task) const {
  auto It = m_running.find(Task);
  return It == m_running.end() || It->second.empty() ? "" : *It->second.begin();
}

std::vector<TaskName> JobOracle::tasksOn(const std::string &Worker) const {
  std::vector<TaskName> Out;
  for (const auto &[Task, Workers] : m_running)
    if (Workers.count(Worker))
      Out.push_back(Task);
  return Out;
}

bool JobOracle::allDone(const std::string &Id) const {
  const ModelJob *ParentJob = job(Id);
  if (!ParentJob)
    return false;
  for (int Step = 0; Step < static_cast<int>(ParentJob->Spec.Steps.size());
       ++Step)
    for (int Index = 0; Index < stepOf(ParentJob, {Id, 0, Step, 0})->Count;
         ++Index)
      if (!m_doneTasks.count({Id, 0, Step, Index}))
        return false;
  return true;
}

milliseconds ModelWorker::clock() const {
  return std::chrono::duration_cast<milliseconds>(m_now() - m_incarnation);
}

Resources ModelWorker::used() const {
  Resources Out;
  for (const auto &[Task, Run] : m_runs)
    if (const JobStep *Step = stepOf(m_oracle.job(Task.Job), Task))
      Out += Step->reservation();
  return Out;
}

Resources ModelWorker::freeCapacity() const {
  Resources Out = Entry.Capacity;
  Out -= used();
  return Out;
}

void ModelWorker::setCapacity(const Resources &Capacity,
                              milliseconds Allowance) {
  m_formerCapacities.push_back(
      {.Capacity = Entry.Capacity, .Until = m_now() + Allowance});
  Entry.Capacity = Capacity;
}

void ModelWorker::checkCapacity() {
  std::erase_if(m_formerCapacities, [Now = m_now()](const auto &Former) {
    return Now > Former.Until;
  });
  Resources Used = used();
  bool FitsFormer = std::any_of(
      m_formerCapacities.begin(), m_formerCapacities.end(),
      [&](const auto &Former) { return Used.fits(Former.Capacity); });
  if (!FitsFormer)
    m_oracle.onCapacity(Entry.Id, Used, Entry.Capacity);
}

bool ModelWorker::fail(const TaskName &Task) {
  advance();
  if (!m_runs.count(Task))
    return false;
  end(Task, RunOutcome::Failed);
  return true;
}

void ModelWorker::end(const TaskName &Task, RunOutcome End) {
  int Run = m_runs[Task].Run;
  m_runs.erase(Task);
  m_highestRun[Task] = std::max(m_highestRun[Task], Run);
  m_ended.push_back(
      {.Number = ++m_lastEndNumber, .Task = Task, .Run = Run, .Outcome = End});
  m_expirationsAtEnd[m_lastEndNumber] = m_leaseExpirations;
  m_oracle.onEnd(Entry.Id, Task, Run, End);
}

std::optional<RunOutcome> ModelWorker::outcomeNow(const TaskName &Task,
                                                  const CurrentRun &Run) const {
  if (clock() > m_leaseUntil)
    return RunOutcome::LeaseExpired;
  if (Hangs)
    return std::nullopt;
  if (isGang(stepOf(m_oracle.job(Task.Job), Task)))
    return gangOutcomeNow(Task, Run);
  if (m_now() < Run.Ends)
    return std::nullopt;
  return Run.Fails ? RunOutcome::Failed : RunOutcome::Done;
}

// The members work from the moment when all of them run, and end together.
std::optional<RunOutcome>
ModelWorker::gangOutcomeNow(const TaskName &Task, const CurrentRun &Run) const {
  const JobStep *Step = stepOf(m_oracle.job(Task.Job), Task);
  const GangRun &Gang = m_oracle.gangRun(Task, Run.Run);
  if (Gang.IsDone)
    return RunOutcome::Done;
  if (Gang.WholeAt == TimePoint{}) {
    bool IsTimedOut = m_now() >= Run.StartedAt + GangTimeout;
    return IsTimedOut ? std::optional(RunOutcome::GangTimedOut) : std::nullopt;
  }
  if (static_cast<int>(Gang.Present.size()) < Step->Count)
    return RunOutcome::GangMemberEnded;
  if (m_now() < Gang.WholeAt + Step->EstimatedRunTime)
    return std::nullopt;
  return Run.Fails ? RunOutcome::Failed : RunOutcome::Done;
}

void ModelWorker::advance() {
  if (clock() > m_leaseUntil && !m_leaseExpired) {
    m_leaseExpired = true;
    ++m_leaseExpirations;
  }
  std::vector<std::pair<TaskName, RunOutcome>> EndedRuns;
  for (const auto &[Task, Run] : m_runs)
    if (std::optional<RunOutcome> Outcome = outcomeNow(Task, Run))
      EndedRuns.push_back({Task, *Outcome});
  for (const auto &[Task, End] : EndedRuns)
    end(Task, End);
}

std::string ModelWorker::ticketFor(const StepName &Step) const {
  return fmt::format("{}.{}.{}@{}#{}", Step.Job, Step.Occurrence, Step.Step,
                     Entry.Id, m_incarnation.time_since_epoch().count());
}

Result<StartReply> ModelWorker::start(const StartOrder &Order) {
  advance();
  StartReply Out{.Clock = clock()};
  if (Order.Epoch < m_epoch) {
    Out.Outcome = StartOutcome::StaleEpoch;
    return Out;
  }
  m_epoch = Order.Epoch;
  if (RefusedStarts > 0) {
    --RefusedStarts;
    Out.Outcome = StartOutcome::Unhealthy;
    return Out;
  }
  auto It = m_runs.find(Order.Task);
  if (It != m_runs.end() && It->second.Run == Order.Run)
    return Out;
  if (clock() > Order.LeaseUntil) {
    Out.Outcome = StartOutcome::TooLate;
    return Out;
  }
  if (It != m_runs.end() || Order.Run <= m_highestRun[Order.Task]) {
    Out.Outcome = StartOutcome::StaleRun;
    return Out;
  }
  StepName Name{.Job = Order.Task.Job,
                .Occurrence = Order.Task.Occurrence,
                .Step = Order.Task.Step};
  bool HasTicket = Approved && Order.Ticket == ticketFor(Name);
  if (NeedsTicket && !HasTicket) {
    Out.Outcome = StartOutcome::NoApproval;
    return Out;
  }
  extend(Order.LeaseUntil);
  const JobStep *Step = stepOf(m_oracle.job(Order.Task.Job), Order.Task);
  CurrentRun Run{.Run = Order.Run,
                 .StartedAt = m_now(),
                 .Ends = Step && !Step->LongRunning
                             ? m_now() + Step->EstimatedRunTime
                             : TimePoint::max()};
  size_t Hash = std::hash<std::string>()(
      fmt::format("{}.{}.{}.{}", Order.Task.Job, Order.Task.Step,
                  Order.Task.Index, Order.Run));
  Run.Fails = static_cast<int>(Hash % 100) < FailPercent;
  m_runs[Order.Task] = Run;
  m_oracle.onStart(Entry.Id, Order.Task, Order.Run, m_now());
  if (OnStart)
    OnStart(Order.Task);
  checkCapacity();
  if (const DeadlyTask *Deadly = m_oracle.deadly(Order.Task))
    scheduleCrash(Order.Task, Order.Run, Deadly->CrashAfter);
  return Out;
}

void ModelWorker::scheduleCrash(const TaskName &Task, int Run,
                                milliseconds Delay) {
  if (!RunAfter)
    return;
  if (Delay.count() == 0) {
    goDown(&Task);
    return;
  }
  RunAfter(Delay, [this, Task, Run, Resets = m_resets] {
    auto It = m_runs.find(Task);
    if (m_resets == Resets && It != m_runs.end() && It->second.Run == Run)
      goDown(&Task);
  });
}

void ModelWorker::crashAndReturn() {
  if (!IsDown)
    goDown(nullptr);
}

void ModelWorker::goDown(const TaskName *Cause) {
  m_oracle.onCrash(tasks(), Cause);
  IsDown = true;
  m_crashedByTask = Cause != nullptr;
  leave();
  m_lastCrash = m_now();
  m_refuses = RefusesAfterCrash;
  RunAfter(ReturnAfter, [this, Resets = m_resets] {
    if (IsDown && m_resets == Resets)
      OnReturn();
  });
}

void ModelWorker::comeBack() {
  IsDown = false;
  m_incarnation = m_now();
}

std::vector<TaskName> ModelWorker::tasks() const {
  std::vector<TaskName> Out;
  for (const auto &[Task, Run] : m_runs)
    Out.push_back(Task);
  return Out;
}

Status ModelWorker::stop(const StopOrder &Order) {
  advance();
  if (Order.Epoch < m_epoch)
    return makeError(ResultCode::StaleEpoch,
                     "the worker has an owner with a newer epoch");
  m_epoch = Order.Epoch;
  auto It = m_runs.find(Order.Task);
  if (It != m_runs.end() && It->second.Run <= Order.Run)
    end(Order.Task, RunOutcome::Stopped);
  m_highestRun[Order.Task] = std::max(m_highestRun[Order.Task], Order.Run);
  return okStatus();
}

Result<PollReply> ModelWorker::poll(const PollOrder &Order) {
  advance();
  if (Order.Epoch < m_epoch)
    return makeError(ResultCode::StaleEpoch,
                     "the worker has an owner with a newer epoch");
  m_epoch = Order.Epoch;
  if (Order.LeaseUntil)
    extend(*Order.LeaseUntil);
  // An acknowledgement does not count for a completion after which the lease
  // expired.
  for (const Completion &Ended : m_ended)
    if (Ended.Number <= Order.AcknowledgedCompletions &&
        m_expirationsAtEnd[Ended.Number] == m_leaseExpirations)
      m_oracle.onAcknowledged(Ended.Task, Ended.Run, Ended.Outcome);
  std::erase_if(m_ended, [&](const Completion &Ended) {
    return Ended.Number <= Order.AcknowledgedCompletions;
  });
  PollReply Out{
      .Clock = clock(), .Incarnation = startTime(), .Completions = m_ended};
  if (Out.Completions.size() >= MaxListedCompletions) {
    Out.Completions.resize(MaxListedCompletions);
    Out.HasMoreCompletions = true;
  }
  for (const auto &[Task, Run] : m_runs)
    Out.Running.push_back({.Task = Task, .Run = Run.Run, .Percent = 100});
  if (AlterAnswer)
    AlterAnswer(Out);
  return Out;
}

void ModelWorker::extend(milliseconds LeaseUntil) {
  if (MaxLease)
    LeaseUntil = std::min(LeaseUntil, clock() + *MaxLease);
  m_leaseUntil = std::max(m_leaseUntil, LeaseUntil);
  m_leaseExpired = clock() > m_leaseUntil;
}

void ModelWorker::failRuns() {
  while (!m_runs.empty()) {
    TaskName Task = m_runs.begin()->first;
    end(Task, RunOutcome::Failed);
  }
}

void ModelWorker::crash() {
  m_oracle.onCrash(tasks(), nullptr);
  m_crashedByTask = false;
  m_refuses = false;
  leave();
  m_lastCrash = m_now();
}

void ModelWorker::leave() {
  ++m_resets;
  for (const auto &[Task, Run] : m_runs)
    m_oracle.onEnd(Entry.Id, Task, Run.Run, RunOutcome::LeaseExpired);
  m_runs.clear();
  m_highestRun.clear();
  m_ended.clear();
  m_expirationsAtEnd.clear();
  m_lastEndNumber = 0;
  m_epoch = 0;
  m_leaseUntil = milliseconds(0);
  m_incarnation = m_now();
}

BASILCHUTE_NAMESPACE_END
