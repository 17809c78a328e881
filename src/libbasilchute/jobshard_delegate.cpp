#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time between two searches for tasks to delegate.
constexpr milliseconds DelegationInterval{250};
/// Age of a waiting task of a job that runs nowhere, after which it is
/// delegated: a job that fits whole into another shard is transferred before.
constexpr milliseconds TransferTime{2500};
/// Tasks that began to wait by this much later than a task of another job go
/// before it, with a task of their job, so that one commit takes many.
constexpr milliseconds MaxOvertaking{500};
/// Time between two reads of the state of a job in its home shard. A cancelled
/// task runs on for this long, and must stop within 4 s.
constexpr milliseconds HomeReadInterval{1000};
/// Time until tasks of a job are delegated again after a failure, so that other
/// jobs have their turn.
constexpr milliseconds FailureDelay{1000};
/// Maximum number of jobs in one commit of delegations, and the number of rows
/// that each one takes.
constexpr size_t MaxDelegations = 16;
constexpr size_t RowsPerDelegation = 6;
/// A job of a commit that failed is tried again with this many times fewer.
constexpr size_t FewerDelegations = 4;

/// Returns true if the task never ran and would take room that restarts wait
/// for.
bool takesRoomOfRestarts(const JobEntry &Entry, int Position,
                         const RestartDemand &Restarts) {
  return !Entry.isRestart(Position) && Restarts.Millicores > 0 &&
         Restarts.Smallest.fits(Entry.stepOf(Position).reservation());
}

size_t bytesOf(const RowCommit &Commit) {
  size_t Out = 0;
  for (const RowChange &Change : Commit.Changes)
    Out += Change.Value.size();
  return Out;
}

} // namespace

RowAddress JobShard::Impl::progressAddressOf(const std::string &Id) const {
  return m_parts.count(Id) ? partProgressAddress(m_options.Shard, Id)
                           : progressAddress(m_options.Shard, Id);
}

bool JobShard::Impl::hasRunsOf(const TaskName &Task) const {
  return std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &Slot) {
    auto Run = Slot.second.Runs.lower_bound({Task, 0});
    return Run != Slot.second.Runs.end() && Run->first.first == Task;
  });
}

// Returns the long-running tasks of a started job that have waited long and of
// which no run is present or possible in this shard. A job of which nothing
// runs is transferred whole instead, if it fits into another shard. A part of a
// job passes tasks on that find no worker here either. The task that has waited
// longest comes first.
std::vector<int> JobShard::Impl::delegableTasks(const JobEntry &Entry) const {
  TimePoint Now = m_time.now();
  std::vector<int> Out;
  bool MayDelegate = !isFinal(Entry.State) && !Entry.IsTransferring &&
                     !m_dirty.count(Entry.Spec.Id) &&
                     Entry.Spec.Repetitions == 0 &&
                     Now >= Entry.NextDelegation && Entry.HasLongRunningStep;
  if (!MayDelegate)
    return Out;
  bool RunsNowhere = !Entry.HomeShard && !Entry.hasPlaced() &&
                     !Entry.WasDelegated && !Entry.hasDelegated();
  milliseconds Wait = RunsNowhere ? TransferTime : LongRunningMaxWait;
  for (int Position : m_waiting.at(Entry.Spec.Id)) {
    const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
    const JobStep &Step = Entry.stepOf(Position);
    if (Step.LongRunning && !Step.Gang && !Task.Crash.IsSuspect &&
        fitOf(Entry, Position) != StepFit::Nowhere &&
        Entry.hasWaitedHere(Position, Wait, Now) &&
        !hasRunsOf(Entry.nameOf(Position)) &&
        !mayHavePreviousRun(Entry, Position))
      Out.push_back(Position);
  }
  std::stable_sort(Out.begin(), Out.end(), [&](int First, int Second) {
    return Entry.delegationRank(First) < Entry.delegationRank(Second);
  });
  return Out;
}

// A new owner first hears from its workers what runs and what room is left.
// Delegations of previous owners need no wait: their commits have the version
// of the owner row as a condition, and the rows were read after it had changed.
void JobShard::Impl::delegateTasks() {
  TimePoint Now = m_time.now();
  if (!m_options.FindShardWithRoom || Now < m_nextDelegation ||
      m_isCommitting || !canSendOrders() ||
      !(isTakeoverComplete() || wereAllWorkersPolled()))
    return;
  m_nextDelegation = Now + DelegationInterval;
  RowCommit Commit;
  Commit.Conditions = {{.Address = shardOwnerAddress(m_options.Shard),
                        .Version = m_options.Epoch}};
  std::vector<Delegation> Sent;
  size_t MaxJobs = MaxDelegations;
  for (const DelegableJob &Job : jobsToDelegate()) {
    if (Sent.size() >= MaxJobs ||
        Commit.Conditions.size() + Commit.Changes.size() + RowsPerDelegation >
            MaxRowsPerCommit ||
        bytesOf(Commit) > MaxCommitBytes - 3 * MaxProgressBytes)
      break;
    JobEntry &Entry = *find(Job.Id);
    size_t MaxJobsOfEntry = maxJobsWith(Entry);
    if (Sent.size() >= MaxJobsOfEntry)
      continue;
    std::set<int> Holders = Entry.PartShards;
    if (Entry.HomeShard)
      Holders.insert(*Entry.HomeShard);
    std::optional<DelegationTarget> Target =
        m_options.FindShardWithRoom(Entry.Spec, Holders, Job.Positions.size());
    if (!Target)
      continue;
    MaxJobs = std::min(MaxJobs, MaxJobsOfEntry);
    Sent.push_back(
        {.Id = Job.Id,
         .Target = Target->Shard,
         .IsAdded = addDelegation(Commit, Entry,
                                  delegatedTo(*Target, Entry, Job.Positions),
                                  Target->Shard)});
  }
  if (Sent.empty())
    return;
  m_isCommitting = true;
  m_store.commit(std::move(Commit), [Weak = weak_from_this(),
                                     Sent](const Result<uint64_t> &Answer) {
    if (auto Self = Weak.lock())
      Self->onDelegated(Sent, Answer);
  });
}

// The job whose task comes first is the first one. Of each job those tasks
// follow that come before the first one of the next job, or soon after it.
std::vector<JobShard::Impl::DelegableJob>
JobShard::Impl::jobsToDelegate() const {
  RestartDemand Restarts = overdueRestarts();
  if (m_options.RestartsElsewhere)
    Restarts.add(m_options.RestartsElsewhere());
  std::vector<DelegableJob> Out;
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Entry = m_jobs.at(Id);
    std::vector<int> Delegable = delegableTasks(Entry);
    std::erase_if(Delegable, [&](int Position) {
      return takesRoomOfRestarts(Entry, Position, Restarts);
    });
    if (Delegable.empty())
      continue;
    std::pair<bool, TimePoint> Rank = Entry.delegationRank(Delegable.front());
    Out.push_back({.Rank = Rank, .Id = Id, .Positions = std::move(Delegable)});
  }
  std::sort(Out.begin(), Out.end(),
            [](const DelegableJob &A, const DelegableJob &B) {
              return std::tie(A.Rank, A.Id) < std::tie(B.Rank, B.Id);
            });
  for (size_t Index = 0; Index + 1 < Out.size(); ++Index) {
    const JobEntry &Entry = m_jobs.at(Out[Index].Id);
    auto [IsNew, Since] = Out[Index + 1].Rank;
    std::pair<bool, TimePoint> Latest{IsNew, Since + MaxOvertaking};
    std::erase_if(Out[Index].Positions, [&](int Position) {
      return Entry.delegationRank(Position) > Latest;
    });
  }
  return Out;
}

// Any job can fail a commit for all: fewer and fewer are tried with one that
// was in a failed one.
size_t JobShard::Impl::maxJobsWith(const JobEntry &Entry) {
  size_t Out = MaxDelegations;
  for (int Failure = 0; Failure < Entry.FailedDelegations && Out > 1; ++Failure)
    Out /= FewerDelegations;
  return Out;
}

// A shard gets no more tasks than it can run. The others go to further shards.
std::vector<int>
JobShard::Impl::delegatedTo(const DelegationTarget &Target,
                            const JobEntry &Entry,
                            const std::vector<int> &Positions) {
  std::map<int, size_t> TasksOfStep;
  std::vector<int> Out;
  for (int Position : Positions) {
    auto MaxPerWorker =
        static_cast<size_t>(Entry.stepOf(Position).MaxPerWorker);
    size_t &Tasks = TasksOfStep[Entry.nameOf(Position).Step];
    if (Out.size() == Target.MaxTasks ||
        (MaxPerWorker > 0 && Tasks == MaxPerWorker * Target.Workers))
      continue;
    ++Tasks;
    Out.push_back(Position);
  }
  return Out;
}

// The tasks count as done in this shard, so that no owner starts them here,
// also one of a version that knows no parts. To a shard that has tasks of the
// job, or may have some, they go in a row of their own: the rows of a part are
// written by the owner of its shard.
bool JobShard::Impl::addDelegation(RowCommit &Commit, JobEntry &Entry,
                                   const std::vector<int> &Positions,
                                   int Target) {
  const std::string &Id = Entry.Spec.Id;
  int HomeShard = Entry.HomeShard.value_or(m_options.Shard);
  bool IsAdded = Target == HomeShard || !Entry.PartShards.insert(Target).second;
  Entry.IsTransferring = true;
  Entry.Delegating = Positions;
  m_waiting.erase(Id);
  JobEntry Kept = Entry;
  JobProgress Moved{.State = Entry.State};
  for (int Position : Positions) {
    TaskState &Task = Kept.Tasks[static_cast<size_t>(Position)];
    Moved.Tasks.push_back(
        {.Position = Position,
         .Run = Task.LastRun,
         .FailedRuns = {Task.FailedRuns.begin(), Task.FailedRuns.end()},
         .Checkpoint = Task.Checkpoint,
         .Place = "",
         .Crash = Task.Crash,
         .Waited = std::chrono::duration_cast<milliseconds>(
             m_time.now() - Task.WaitingSince)});
    // Only tasks with a run number are stored.
    Task.LastRun = std::max(Task.LastRun, 1);
    Kept.finish(Position);
  }
  markRunning(Kept);
  Kept.WasDelegated = true;
  Moved.State = Kept.State;
  RowAddress Progress = progressAddressOf(Id);
  JobPart Part{
      .Spec = Entry.Spec, .HomeShard = HomeShard, .Positions = Positions};
  Commit.Conditions.push_back({.Address = cancellationAddress(HomeShard, Id)});
  Commit.Conditions.push_back(
      {.Address = Progress, .Version = Entry.RowVersion});
  Commit.Changes.push_back(
      {.Address = Progress, .Value = encodeProgress(Kept.progress())});
  if (IsAdded) {
    Part.Added = std::move(Moved);
    Commit.Changes.push_back(
        {.Address =
             addedTasksAddress(Target, Id, m_options.Shard, Entry.RowVersion),
         .Value = encodePart(Part)});
  } else {
    RowAddress Address = partAddress(Target, Id);
    Commit.Conditions.push_back({.Address = Address});
    Commit.Changes.push_back({.Address = Address, .Value = encodePart(Part)});
    Commit.Changes.push_back({.Address = partProgressAddress(Target, Id),
                              .Value = encodeProgress(Moved)});
  }
  return IsAdded;
}

void JobShard::Impl::onDelegated(const std::vector<Delegation> &Sent,
                                 const Result<uint64_t> &Answer) {
  m_isCommitting = false;
  // The next jobs need not wait for the interval.
  m_nextDelegation = m_time.now();
  if (Answer.has_value()) {
    for (const Delegation &Job : Sent) {
      JobEntry &Entry = *find(Job.Id);
      log("tasks_delegated",
          fmt::format("job={} tasks={} from={} to={}", Job.Id,
                      Entry.Delegating.size(), m_options.Shard, Job.Target));
      Entry.RowVersion = Answer.value();
      Entry.FailedDelegations = 0;
      finishDelegation(Entry);
    }
    return;
  }
  ResultCode Code = Answer.error().Code;
  log("delegation_failed",
      fmt::format("jobs={} first={} from={} result={} message=\"{}\"",
                  Sent.size(), Sent.front().Id, m_options.Shard,
                  resultCodeName(Code), Answer.error().Message));
  bool IsNotDone =
      Code == ResultCode::Unavailable || Code == ResultCode::Overloaded;
  bool IsAlone = Sent.size() == 1;
  for (const Delegation &Job : Sent) {
    JobEntry &Entry = *find(Job.Id);
    ++Entry.FailedDelegations;
    // A part that is there already is no reason to wait, another failure may
    // last: other jobs come first.
    if (IsAlone && (IsNotDone || Job.IsAdded))
      Entry.NextDelegation = m_time.now() + FailureDelay;
    if (IsNotDone)
      revertDelegation(Entry, Job);
    else
      // The commit may still take effect. No task is started until a commit of
      // the job's progress succeeds, which makes the delegation impossible, or
      // the progress row shows that it took effect.
      markDirty(Entry);
  }
  if (IsNotDone)
    m_nextDelegation = m_time.now() + DelegationInterval;
  if (Code == ResultCode::Conflict)
    verifyOwnership();
}

void JobShard::Impl::revertDelegation(JobEntry &Entry, const Delegation &Sent) {
  Entry.IsTransferring = false;
  if (!Sent.IsAdded)
    Entry.PartShards.erase(Sent.Target);
  Entry.Delegating.clear();
  queueReady(Entry);
}

// A job whose first tasks run in another shard runs.
void JobShard::Impl::markRunning(JobEntry &Entry) {
  if (Entry.hasStarted())
    return;
  Entry.markStarted();
  Entry.State = JobState::Running;
  Entry.StoredState = JobState::Running;
}

void JobShard::Impl::finishDelegation(JobEntry &Entry) {
  // The job may have been cancelled meanwhile.
  if (!isFinal(Entry.State))
    markRunning(Entry);
  Entry.WasDelegated = true;
  for (int Position : Entry.Delegating) {
    TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
    Task.LastRun = std::max(Task.LastRun, 1);
    Entry.finish(Position);
  }
  m_counts.Delegations += Entry.Delegating.size();
  Entry.Delegating.clear();
  Entry.IsTransferring = false;
  queueReady(Entry);
}

// Takes over the version of a progress row that a commit found changed. After a
// delegation with an unknown outcome, the row shows whether it took effect.
void JobShard::Impl::onCurrentProgress(JobEntry &Entry, const StoredRow &Row) {
  Entry.RowVersion = Row.Version;
  if (Entry.Delegating.empty())
    return;
  Result<JobProgress> Stored = decodeProgress(Row.Value);
  if (!Stored.has_value())
    return;
  bool IsDelegated = std::any_of(
      Stored.value().Tasks.begin(), Stored.value().Tasks.end(),
      [&](const TaskProgress &Task) {
        return Task.Done && Task.Position == Entry.Delegating.front();
      });
  if (IsDelegated)
    finishDelegation(Entry);
}

// Adds tasks that another shard has delegated to this one.
void JobShard::Impl::onPartRow(const std::string &Id, const StoredRow &Row) {
  if (m_jobs.count(Id))
    return;
  Result<JobPart> Part = decodePart(Row.Value);
  if (!Part.has_value()) {
    log("bad_row",
        fmt::format("table={} key={} message=\"{}\"", Row.Address.Table,
                    Row.Address.Key, Part.error().Message));
    return;
  }
  const Job Spec = Part.value().Spec;
  m_parts.emplace(Id, std::move(Part.value()));
  auto Stored = m_loadedProgress.find(Row.Address.Key);
  if (Stored == m_loadedProgress.end())
    return adoptJob(Spec, Row.Version);
  addStored(Spec, Stored->second);
  if (JobEntry *Added = find(Id)) {
    Added->JobVersion = Row.Version;
    Added->MayBeCancelledAtHome = true;
  }
}

void JobShard::Impl::readHomesOfParts() {
  if (m_parts.empty() || m_time.now() < m_nextHomeRead)
    return;
  m_nextHomeRead = m_time.now() + HomeReadInterval;
  for (const auto &[Id, Part] : m_parts) {
    JobEntry *Entry = find(Id);
    if (Entry && !isFinal(Entry->State) && !Entry->IsReadingHome)
      readHome(*Entry);
  }
}

// Ends the delegated tasks once the job is cancelled or has ended in its home
// shard. The job's row and its cancellation row are neighbours.
void JobShard::Impl::readHome(JobEntry &Entry) {
  Entry.IsReadingHome = true;
  const std::string &Id = Entry.Spec.Id;
  RowAddress Cancellation = cancellationAddress(*Entry.HomeShard, Id);
  RowAddress Progress = progressAddress(*Entry.HomeShard, Id);
  m_store.read({.Table = Cancellation.Table,
                .Partition = Cancellation.Partition,
                .From = Cancellation.Key,
                .To = Cancellation.Key + '\x01'},
               [Weak = weak_from_this(), Id](const Result<RowPage> &Answer) {
                 auto Self = Weak.lock();
                 if (!Self || !Answer.has_value())
                   return;
                 if (!Answer.value().Rows.empty())
                   Self->cancelJob(Id);
                 else if (JobEntry *Found = Self->find(Id))
                   Found->MayBeCancelledAtHome = false;
               });
  m_store.read({.Table = Progress.Table,
                .Partition = Progress.Partition,
                .From = Progress.Key,
                .To = Progress.Key + '\x01'},
               [Weak = weak_from_this(), Id](const Result<RowPage> &Answer) {
                 auto Self = Weak.lock();
                 JobEntry *Found = Self ? Self->find(Id) : nullptr;
                 if (!Found)
                   return;
                 Found->IsReadingHome = false;
                 if (!Answer.has_value() || Answer.value().Rows.empty())
                   return;
                 Result<JobProgress> Home =
                     decodeProgress(Answer.value().Rows.front().Value);
                 if (Home.has_value() && isFinal(Home.value().State))
                   Self->cancelJob(Id);
               });
}

BASILCHUTE_NAMESPACE_END
