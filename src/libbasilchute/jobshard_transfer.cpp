#include "libbasilchute/admissionload.h"
#include "libbasilchute/gangfit.h"
#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time between two rounds of transfers.
constexpr milliseconds TransferInterval{250};
/// A job is transferred only after it has waited for this long here.
constexpr milliseconds MinTransferAge{400};
/// Older jobs stay, so that no job is transferred back and forth for ever. A
/// long-running job may move later, each time after a longer wait.
constexpr milliseconds MaxTransferAge{8000};
/// Maximum number of jobs in one transfer; each job takes seven rows of a
/// commit.
constexpr size_t MaxTransfers = 12;
/// Maximum number of jobs for which a better shard is searched at a time.
constexpr size_t MaxTransferCandidates = 24;

/// Returns true if the task was placed on an evacuated worker. The capacity of
/// these is not part of a shard's load, so neither is what runs there.
bool isOnEvacuated(const std::map<std::string, WorkerSlot> &Slots,
                   const TaskState &Task) {
  if (Task.Phase != TaskPhase::Placed)
    return false;
  auto Slot = Slots.find(Task.Worker);
  return Slot != Slots.end() && Slot->second.Entry.IsEvacuated;
}

/// Returns the rank of a long-running job by the first of its waiting tasks.
QueueRank longRunningTransferRank(const JobEntry &Entry,
                                  const std::set<int> &Positions) {
  std::pair<bool, TimePoint> First = Entry.delegationRank(*Positions.begin());
  for (int Position : Positions)
    First = std::min(First, Entry.delegationRank(Position));
  return {
      -1, First.first ? 1 : 0, 0, 0,
      std::chrono::duration<double>(First.second.time_since_epoch()).count()};
}

} // namespace

void JobShard::Impl::addFillLoad(ShardLoad &Load) {
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Entry = m_jobs.at(Id);
    for (int Position : Positions)
      if (Entry.stepOf(Position).IsFill)
        Load.WaitingFillMillicores += Entry.stepOf(Position).Demand.Millicores;
  }
  std::vector<PlacementCandidate> Candidates = placementCandidates();
  double Left = 0;
  for (const PlacementCandidate &Candidate : Candidates)
    Left += Candidate.Fill.left();
  if (m_options.MeasuredFill)
    Load.FillMillicores = static_cast<int64_t>(Left);
  for (const auto &[Image, Kind] : m_models->kinds())
    if (m_fillKinds.count(Kind))
      Load.FillCapacity[Image] =
          fillCapacity(Candidates, Kind, m_interference, m_fillPlacement);
}

ShardLoad JobShard::Impl::load() {
  ShardLoad Out;
  addFillLoad(Out);
  for (const auto &[Id, Slot] : m_slots) {
    if (!Slot.isUsable())
      continue;
    Out.CapacityMillicores += Slot.Entry.Capacity.Millicores;
    Resources Room = Slot.eventualFreeCapacity();
    Out.LargestRoomMillicores =
        std::max(Out.LargestRoomMillicores, Room.Millicores);
    addRoomyWorker(Out, Room);
  }
  Out.WaitingRestarts = overdueRestarts();
  Out.JobBytes = m_held.Bytes;
  for (const auto &[Id, Entry] : m_jobs) {
    if (isFinal(Entry.State))
      continue;
    addRemainingWork(Out, Entry, [this](const TaskState &Task) {
      return !isOnEvacuated(m_slots, Task);
    });
    if (Entry.Spec.Steps.front().IsFill && latenessOf(Entry) < 2)
      Out.RemainingFillWork += Entry.remainingWork();
  }
  return Out;
}

// Returns the load with what the admission of new jobs depends on.
ShardLoad JobShard::Impl::reportedLoad() {
  ShardLoad Out = load();
  Out.HasAdmissionLoad = true;
  for (const auto &[Id, Slot] : m_slots)
    if (Slot.isUsable() && !m_plan.isKept(Slot.Entry))
      addOpenWorker(Out, Slot.eventualFreeCapacity(), Slot.freeCapacity());
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Entry = m_jobs.at(Id);
    const JobQueue *Queue = queueOf(Entry);
    bool HasValue = latenessOf(Entry) < 2;
    int Priority = Queue ? Queue->Priority : 0;
    for (int Position : Positions)
      if (fitOf(Entry, Position) != StepFit::Nowhere)
        addWaitingTask(Out, Entry.stepOf(Position), Priority, HasValue);
    // The rest of a step that is queued in part.
    int Last = *Positions.rbegin();
    int Rest = Entry.tasksLeftBeside(Last) - static_cast<int>(Positions.size());
    if (m_held.PartlyQueued.count(Id) && Rest > 0 &&
        fitOf(Entry, Last) != StepFit::Nowhere)
      addWaitingTask(Out, Entry.stepOf(Last), Priority, HasValue, Rest);
  }
  bool HasFillWork =
      std::any_of(m_jobs.begin(), m_jobs.end(), [](const auto &Job) {
        return !isFinal(Job.second.State) &&
               Job.second.Spec.Steps.front().IsFill;
      });
  m_rates.update(m_time.now(), Out.waitingFiniteWork() > 0, HasFillWork);
  Out.FinishedWorkPerSecond = m_rates.finishedPerSecond();
  Out.FinishedFillWorkPerSecond = m_rates.finishedFillPerSecond();
  Out.LongRunningArrivals = m_rates.longRunningArrivals();
  return Out;
}

// Only a job without any run, present or possible, is transferred: runs stay on
// the workers of this shard, which the owner of another shard does not poll.
bool JobShard::Impl::canTransfer(const JobEntry &Entry) const {
  TimePoint Now = m_time.now();
  if (isFinal(Entry.State) || Entry.IsTransferring ||
      m_dirty.count(Entry.Spec.Id) || Entry.Spec.Repetitions > 0 ||
      Entry.hasPlaced() || m_crashes.isTried(Entry.Spec.Id))
    return false;
  if (fitOf(Entry, *m_waiting.at(Entry.Spec.Id).begin()) == StepFit::Nowhere)
    return false;
  // The owner of a delegated task looks for the cancellation in the job's
  // present shard.
  if (Entry.HomeShard || Entry.WasDelegated || Entry.hasDelegated())
    return false;
  // If no worker of this shard can hold the job, it can only run in another
  // shard and is transferred at any age. So is a job that waits for
  // long-running tasks, because the capacity that such tasks take does not
  // become free.
  bool IsYoung = Now < Entry.ArrivedAt + MaxTransferAge;
  bool IsLongRunning = waitingStepOf(Entry).LongRunning;
  if (IsLongRunning && (Entry.hasStarted() || !IsYoung) &&
      !hasWaitedLongHere(Entry))
    return false;
  if (Now < Entry.ArrivedAt + MinTransferAge ||
      (!IsYoung && !IsLongRunning && hasWorkersFor(Entry)))
    return false;
  if (m_previousRuns.isWithinUnknownTime(Entry.JobVersion, Now) ||
      mayHavePreviousRuns(Entry))
    return false;
  return !Entry.hasStarted() || !hasRunsOf(Entry);
}

// A job that has waited elsewhere before stays for a while before it goes on.
bool JobShard::Impl::hasWaitedLongHere(const JobEntry &Entry) const {
  auto Waiting = m_waiting.find(Entry.Spec.Id);
  return Waiting != m_waiting.end() &&
         std::any_of(Waiting->second.begin(), Waiting->second.end(),
                     [&](int Position) {
                       return Entry.hasWaitedHere(Position, LongRunningMaxWait,
                                                  m_time.now());
                     });
}

// Returns true if every step of the job fits on some worker of this shard, and
// every gang on all of them. Evacuated workers do not count: a job that fits
// nowhere else here moves to a shard that can run it.
bool JobShard::Impl::hasWorkersFor(const JobEntry &Entry) const {
  const JobQueue *Queue = queueOf(Entry);
  const std::vector<JobStep> &Steps = Entry.Spec.Steps;
  if (Queue && hasGang(Entry.Spec)) {
    std::vector<WorkerEntry> Listed;
    for (const auto &[Id, Slot] : m_slots)
      if (Slot.IsListed && !Slot.Entry.IsEvacuated)
        Listed.push_back(Slot.Entry);
    if (firstUnfitGang(Entry.Spec, Queue->Service, Listed))
      return false;
  }
  return std::all_of(Steps.begin(), Steps.end(), [&](const JobStep &Step) {
    return std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &Slot) {
      const WorkerEntry &Worker = Slot.second.Entry;
      return Slot.second.IsListed && !Worker.IsEvacuated &&
             (!Queue || Worker.Service == Queue->Service) &&
             (Step.RequiredLabel.empty() ||
              Worker.hasLabel(Step.RequiredLabel)) &&
             Worker.canHold(Step);
    });
  });
}

bool JobShard::Impl::hasRunsOf(const JobEntry &Entry) const {
  return std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &Slot) {
    const auto &Runs = Slot.second.Runs;
    return std::any_of(Runs.begin(), Runs.end(), [&](const auto &Run) {
      return Run.first.first.Job == Entry.Spec.Id;
    });
  });
}

// Returns the jobs that may be transferred, in order of preference:
// long-running jobs first, because no capacity will become free for them here;
// then the jobs that would be started last in this shard.
std::vector<std::string> JobShard::Impl::transferable() const {
  std::vector<std::pair<QueueRank, std::string>> Ranked;
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Entry = m_jobs.at(Id);
    if (!canTransfer(Entry))
      continue;
    if (waitingStepOf(Entry).LongRunning)
      Ranked.push_back({longRunningTransferRank(Entry, Positions), Id});
    else if (latenessOf(Entry) == 0 || !hasWorkersFor(Entry))
      Ranked.push_back({{0, 0, 0, 0, -std::get<4>(rankOf(Entry))}, Id});
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Out;
  for (const auto &[Order, Id] : Ranked)
    if (Out.size() < MaxTransferCandidates)
      Out.push_back(Id);
  return Out;
}

void JobShard::Impl::transfer() {
  TimePoint Now = m_time.now();
  if (!m_options.ChooseTransferTarget || Now < m_nextTransfer ||
      m_isCommitting || !canSendOrders() || !wereAllWorkersPolled())
    return;
  m_nextTransfer = Now + TransferInterval;
  std::map<std::string, int> TargetShards;
  for (const std::string &Id : transferable()) {
    JobEntry &Entry = *find(Id);
    int Target = m_options.ChooseTransferTarget(Entry.Spec);
    Entry.ShardSearchAt = Now;
    Entry.HasBetterShard = Target >= 0;
    if (Target >= 0 && Target != m_options.Shard)
      TargetShards.emplace(Id, Target);
    if (TargetShards.size() == MaxTransfers)
      break;
  }
  if (!TargetShards.empty())
    sendTransfer(TargetShards);
}

void JobShard::Impl::sendTransfer(
    const std::map<std::string, int> &TargetShards) {
  RowCommit Commit;
  Commit.Conditions.push_back({.Address = shardOwnerAddress(m_options.Shard),
                               .Version = m_options.Epoch});
  for (const auto &[Id, Target] : TargetShards) {
    JobEntry &Entry = *find(Id);
    Entry.IsTransferring = true;
    m_waiting.erase(Id);
    RowAddress Progress = progressAddress(m_options.Shard, Id);
    Job Moved = Entry.Spec;
    Moved.WaitedBeforeTransfer = std::chrono::duration_cast<milliseconds>(
        m_time.now() - Entry.ArrivedAt);
    Moved.HadStarted = Entry.hasStarted();
    // The commit must fail if the job was cancelled meanwhile: the cancellation
    // row stays in this shard, and the other shard's owner would not see it.
    Commit.Conditions.push_back(
        {.Address = cancellationAddress(m_options.Shard, Id)});
    Commit.Conditions.push_back(
        {.Address = Progress, .Version = Entry.RowVersion});
    Commit.Changes.push_back({.Address = Progress, .IsRemoval = true});
    Commit.Changes.push_back(
        {.Address = jobAddress(m_options.Shard, Id), .IsRemoval = true});
    Commit.Changes.push_back(
        {.Address = jobAddress(Target, Id), .Value = encodeJob(Moved)});
    Commit.Changes.push_back(
        {.Address = progressAddress(Target, Id),
         .Value = encodeProgress(Entry.progressWithoutRuns(m_time.now()))});
    Commit.Changes.push_back(
        {.Address = jobIndexAddress(Id), .Value = encodeJobIndex(Target)});
  }
  m_isCommitting = true;
  m_store.commit(std::move(Commit), [Weak = weak_from_this(),
                                     TargetShards](Result<uint64_t> Answer) {
    if (auto Self = Weak.lock())
      Self->onTransferred(TargetShards, std::move(Answer));
  });
}

void JobShard::Impl::onTransferred(
    const std::map<std::string, int> &TargetShards, Result<uint64_t> Answer) {
  m_isCommitting = false;
  if (Answer.has_value()) {
    for (const auto &[Id, Target] : TargetShards) {
      log("job_moved",
          fmt::format("job={} from={} to={}", Id, m_options.Shard, Target));
      forgetJob(Id, Answer.value());
    }
    m_counts.Transfers += TargetShards.size();
    return;
  }
  ResultCode Code = Answer.error().Code;
  bool IsNotDone =
      Code == ResultCode::Unavailable || Code == ResultCode::Overloaded;
  for (const auto &[Id, Target] : TargetShards) {
    JobEntry &Entry = *find(Id);
    if (IsNotDone) {
      Entry.IsTransferring = false;
      queueReady(Entry);
      continue;
    }
    // The commit may still take effect. No task is started until a commit of
    // the job's progress succeeds, which changes the row's version and thereby
    // makes the transfer impossible.
    markDirty(Entry);
  }
  log("transfer_failed",
      fmt::format("shard={} jobs={} result={} message=\"{}\"", m_options.Shard,
                  TargetShards.size(), resultCodeName(Code),
                  Answer.error().Message));
  if (Code == ResultCode::Conflict)
    verifyOwnership();
}

void JobShard::Impl::forgetJob(const std::string &Id, uint64_t Version) {
  JobEntry &Entry = *find(Id);
  for (int Group : Entry.Groups)
    m_interference.forget(Group);
  m_approvals.forget(Id);
  m_waiting.erase(Id);
  m_dirty.erase(Id);
  m_refusedRows.erase(Id);
  m_transferredJobs[Id] = Version;
  m_jobs.erase(Id);
  auto Returned = m_returnedJobs.extract(Id);
  if (Returned)
    onJobRow(Returned.mapped());
}

// The other shard may send a job back before the answer to the transfer is
// here. Until then the row can't be told from that of a job which never left.
void JobShard::Impl::keepReturned(const JobEntry &Entry, const StoredRow &Row) {
  if (Entry.IsTransferring && Row.Version > Entry.JobVersion)
    m_returnedJobs[Entry.Spec.Id] = Row;
}

// Adds a job that had started in another shard and was transferred here. Its
// progress is read from its progress row.
void JobShard::Impl::adoptJob(const Job &Spec, uint64_t JobVersion) {
  RowAddress Address = progressAddressOf(Spec.Id);
  RowRange Range{.Table = Address.Table,
                 .Partition = Address.Partition,
                 .From = Address.Key,
                 .To = Address.Key + '\x01'};
  m_store.read(Range, [Weak = weak_from_this(), Spec,
                       JobVersion](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self || Self->m_hasLostOwnership || Self->m_jobs.count(Spec.Id))
      return;
    if (!Answer.has_value()) {
      Self->adoptJob(Spec, JobVersion);
      return;
    }
    // The job was already transferred to a third shard.
    if (Answer.value().Rows.empty())
      return;
    Self->addStored(Spec, Answer.value().Rows.front());
    if (JobEntry *Added = Self->find(Spec.Id))
      Added->JobVersion = JobVersion;
  });
}

// Returns true for the row of a job that was transferred to another shard. A
// read that began before the transfer can still return that row.
bool JobShard::Impl::wasTransferred(const std::string &Id, uint64_t Version) {
  auto It = m_transferredJobs.find(Id);
  if (It == m_transferredJobs.end())
    return false;
  if (Version <= It->second)
    return true;
  m_transferredJobs.erase(It);
  return false;
}

BASILCHUTE_NAMESPACE_END
