#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds FeedWait{1000};
constexpr milliseconds RetryDelay{150};
/// Run numbers skipped after a takeover, because the previous owner may have
/// used some that it did not store.
constexpr int RunNumberGap = 64;
/// Weight of a new job in the moving mean of the work of its queue's jobs.
constexpr double MeanWorkGain = 0.05;
/// Upper bound on a job's age as computed from wall clocks. A larger value is
/// taken to be a difference between the clocks of two hosts.
constexpr milliseconds MaxJobAge{600000};

} // namespace

JobShard::Impl::Impl(JobShardOptions Options, RowStore &Store,
                     TaskWorkers &Workers, ApprovalService *Approvals,
                     const Clock &Time)
    : m_options(std::move(Options)), m_store(Store), m_workers(Workers),
      m_time(Time),
      m_plan(m_options.Placement), m_fillPlacement{.IsMeasured =
                                                       m_options.MeasuredFill},
      m_models(std::make_shared<ModelExchange>(modelOptions(), Store, Time,
                                               m_interference, m_plan.Times)),
      m_approvals({}, Approvals, Time), m_takeoverTime(Time.now()),
      m_previousLeases(m_options.Leases,
                       m_options.PreviousSoleUntil.value_or(m_takeoverTime),
                       m_options.PreviousWorkers),
      m_usedWorkers(
          std::make_shared<UsedWorkers>(usedWorkersOptions(), Store, Time)),
      m_leaseEvidence(m_options.Leases.MaxEvidenceAge,
                      [this](const std::string &Worker) {
                        return m_usedWorkers->isStored(Worker);
                      }) {}

ModelExchangeOptions JobShard::Impl::modelOptions() {
  return {.Shard = m_options.Shard,
          .Epoch = m_options.Epoch,
          .ShardCount = m_options.ShardCount,
          .CanSendOrders = [this] { return canSendOrders(); },
          .HasLostOwnership = [this] { return m_hasLostOwnership; },
          .StoresRunTimes = m_plan.isOn(),
          .Log = m_options.Log};
}

void JobShard::Impl::log(std::string_view Event,
                         std::string_view Fields) const {
  if (m_options.Log)
    m_options.Log(Event, Fields);
}

bool JobShard::Impl::canSendOrders() const {
  return m_isLoaded && !m_hasLostOwnership && !m_isHandingOver &&
         (!m_options.CanSendOrders || m_options.CanSendOrders());
}

void JobShard::Impl::loseOwnership(std::string_view Why) {
  if (m_hasLostOwnership)
    return;
  m_hasLostOwnership = true;
  log("shard_lost", fmt::format("shard={} epoch={} why={}", m_options.Shard,
                                m_options.Epoch, Why));
}

void JobShard::Impl::readRows() {
  m_models->restore();
  readHandover();
}

void JobShard::Impl::readJobs(const std::string &From, uint64_t FeedFrom,
                              bool IsInitialLoad) {
  RowRange Range{.Table = jobTable(m_options.Shard),
                 .Partition = shardPartition(m_options.Shard),
                 .From = From};
  m_store.read(Range, [Weak = weak_from_this(), From, FeedFrom,
                       IsInitialLoad](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self || Self->m_hasLostOwnership)
      return;
    if (!Answer.has_value()) {
      Self->m_commitNotBefore = Self->m_time.now() + RetryDelay;
      Self->readJobs(From, FeedFrom, IsInitialLoad);
      return;
    }
    RowPage &Page = Answer.value();
    uint64_t FeedStart = FeedFrom ? FeedFrom : Page.Version;
    for (StoredRow &Row : Page.Rows) {
      if (IsInitialLoad)
        Self->m_loadedJobs.push_back(Row);
      else
        Self->onJobRow(Row);
    }
    if (Page.HasMore && !Page.Rows.empty()) {
      std::string Next = Page.Rows.back().Address.Key + '\x01';
      Self->readJobs(Next, FeedStart, IsInitialLoad);
      return;
    }
    Self->m_feedFrom = FeedStart;
    if (IsInitialLoad) {
      Self->m_loadVersion = FeedStart;
      Self->readProgress("");
    } else {
      Self->followJobs();
    }
  });
}

void JobShard::Impl::readProgress(const std::string &From) {
  RowRange Range{.Table = ProgressTable,
                 .Partition = shardPartition(m_options.Shard),
                 .From = From};
  m_store.read(Range, [Weak = weak_from_this(), From](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self || Self->m_hasLostOwnership)
      return;
    if (!Answer.has_value()) {
      Self->readProgress(From);
      return;
    }
    RowPage &Page = Answer.value();
    for (StoredRow &Row : Page.Rows)
      Self->m_loadedProgress[Row.Address.Key] = Row;
    if (Page.HasMore && !Page.Rows.empty()) {
      Self->readProgress(Page.Rows.back().Address.Key + '\x01');
      return;
    }
    Self->finishLoad();
  });
}

void JobShard::Impl::finishLoad() {
  m_isLoaded = true;
  bool HasOwnerCrashed = !m_handover;
  initPreviousRuns();
  for (const StoredRow &Row : m_loadedJobs) {
    auto [Id, IsCancel] = parseJobKey(Row.Address.Key);
    // The job row and the progress row of a job are written and removed in one
    // commit. If only the job row was read, the job was transferred to another
    // shard between the two reads.
    if (IsCancel || m_loadedProgress.count(Id) ||
        parseAddedTasksKey(Row.Address.Key))
      onJobRow(Row);
  }
  for (auto &[Id, Entry] : m_jobs)
    Entry.MayHaveHiddenCrashes = HasOwnerCrashed;
  log("shard_loaded",
      fmt::format("shard={} epoch={} jobs={} took_ms={}", m_options.Shard,
                  m_options.Epoch, m_jobs.size(),
                  (m_time.now() - m_takeoverTime) / milliseconds(1)));
  m_loadedJobs.clear();
  m_loadedProgress.clear();
  takeAddedTasks();
  storeWorkersInUse();
  followJobs();
  pollWorkers();
}

void JobShard::Impl::followJobs() {
  m_store.readChanges(jobTable(m_options.Shard), m_feedFrom, FeedWait,
                      [Weak = weak_from_this()](Result<RowPage> Answer) {
                        auto Self = Weak.lock();
                        if (!Self || Self->m_hasLostOwnership)
                          return;
                        if (Answer.has_value()) {
                          for (const StoredRow &Row : Answer.value().Rows)
                            Self->onJobRow(Row);
                          Self->m_feedFrom = std::max(Self->m_feedFrom,
                                                      Answer.value().Version);
                          Self->followJobs();
                          Self->place();
                          return;
                        }
                        if (Answer.error().Code == ResultCode::NotFound)
                          Self->readJobs("", 0, false);
                        else
                          Self->followJobs();
                      });
}

void JobShard::Impl::onJobRow(const StoredRow &Row) {
  if (Row.IsRemoved)
    return;
  if (std::optional<std::string> PartId = parsePartKey(Row.Address.Key))
    return onPartRow(*PartId, Row);
  if (std::optional<std::string> JobId = parseAddedTasksKey(Row.Address.Key))
    return onAddedTasksRow(*JobId, Row);
  auto [Id, IsCancel] = parseJobKey(Row.Address.Key);
  // The rows of ended jobs are read again after the history of the feed is
  // lost.
  if (m_held.isReleased(Id))
    return;
  if (IsCancel) {
    m_cancelled.insert(Id);
    cancelJob(Id);
    return;
  }
  if (const JobEntry *Known = find(Id))
    return keepReturned(*Known, Row);
  if (wasTransferred(Id, Row.Version))
    return;
  Result<Job> Spec = decodeJob(Row.Value);
  if (!Spec.has_value()) {
    log("bad_row",
        fmt::format("table={} key={} message=\"{}\"", Row.Address.Table,
                    Row.Address.Key, Spec.error().Message));
    return;
  }
  if (Spec.value().Id != Id) {
    log("bad_row", fmt::format("table={} key={} message=\"the row names "
                               "another job\"",
                               Row.Address.Table, Row.Address.Key));
    return;
  }
  auto Stored = m_loadedProgress.find(Id);
  if (Stored != m_loadedProgress.end())
    addStored(Spec.value(), Stored->second);
  else if (Spec.value().HadStarted)
    adoptJob(Spec.value(), Row.Version);
  else
    addJob(Spec.value(), Row.Version, nullptr);
  if (JobEntry *Added = find(Id))
    Added->JobVersion = Row.Version;
  if (m_cancelled.count(Id))
    cancelJob(Id);
}

void JobShard::Impl::addStored(const Job &Spec, const StoredRow &Row) {
  Result<JobProgress> Progress = decodeProgress(Row.Value);
  if (!Progress.has_value()) {
    log("bad_row", fmt::format("table={} key={} message=\"{}\"", ProgressTable,
                               Spec.Id, Progress.error().Message));
    return;
  }
  if (isFinal(Progress.value().State)) {
    m_held.release(Spec.Id, m_parts.erase(Spec.Id) > 0
                                ? std::nullopt
                                : std::optional(Progress.value().State));
    return learnMeanWork(Spec.Queue, OccurrenceCounts(Spec).remainingWork(1));
  }
  addJob(Spec, Row.Version, &Progress.value());
  if (m_cancelled.count(Spec.Id))
    cancelJob(Spec.Id);
}

void JobShard::Impl::learnMeanWork(const std::string &Queue, double Work) {
  double &Mean = m_meanWork.try_emplace(Queue, Work).first->second;
  Mean += (Work - Mean) * MeanWorkGain;
}

void JobShard::Impl::addJob(const Job &Spec, uint64_t Version,
                            const JobProgress *Stored) {
  auto Added = m_jobs.try_emplace(Spec.Id, Spec, Version, m_time.now()).first;
  JobEntry &Entry = Added->second;
  if (m_options.WallTime)
    Entry.WallOffset = m_options.WallTime() - m_time.now().time_since_epoch();
  for (const JobStep &Step : Spec.Steps) {
    Entry.Kinds.push_back(m_models->kindOf(Step.Image));
    if (Step.IsFill)
      m_fillKinds.insert(Entry.Kinds.back());
    Entry.Classes.push_back(classOf(Spec.Queue, Step.Image));
    Entry.Groups.push_back(m_nextGroup++);
  }
  learnMeanWork(Spec.Queue, Entry.TotalWork);
  if (m_isLoaded && Entry.HasLongRunningStep)
    m_rates.addLongRunning(demandOf(Spec).Amount);
  if (Stored) {
    Entry.restore(*Stored, RunNumberGap,
                  m_options.WallTime ? m_options.WallTime() : milliseconds(0));
    Entry.Tasks.forEach([&](int Position, const TaskState &Task) {
      if (Task.Place && Task.Phase == TaskPhase::Waiting)
        m_previousRuns.setPlace(Entry.nameOf(Position), *Task.Place);
    });
    for (const TaskProgress &Task : Stored->Tasks)
      Entry.restoreWait(Task, m_time.now(),
                        m_options.WallTime ? m_options.WallTime()
                                           : milliseconds(0));
    if (m_options.WallTime)
      Entry.ArrivedAt -= std::clamp(m_options.WallTime() - Spec.AcceptedAt,
                                    milliseconds(0), MaxJobAge);
  }
  if (!Stored) {
    Entry.ArrivedAt -= Spec.WaitedBeforeTransfer;
    if (Spec.WaitedBeforeTransfer.count() > 0 && m_options.WallTime)
      Entry.skipRunNumbers(RunNumberGap, m_options.WallTime());
  }
  auto Part = m_parts.find(Spec.Id);
  if (Part != m_parts.end()) {
    Entry.HomeShard = Part->second.HomeShard;
    Entry.finishAllBut(Part->second.Positions);
  }
  if (isFinal(Entry.State)) {
    m_held.Ended.insert(Spec.Id);
    return;
  }
  if (Stored)
    restoreCrashes(Entry);
  if (!Stored)
    log("job_seen",
        fmt::format("job={} queue={} shard={} tasks={}", Spec.Id, Spec.Queue,
                    m_options.Shard, Entry.Tasks.size()));
  queueReady(Entry);
  m_held.Bytes += Entry.bytes();
}

TaskClass JobShard::Impl::classOf(const std::string &Queue,
                                  const std::string &Image) {
  auto Next = static_cast<TaskClass>(m_classes.size());
  return m_classes.try_emplace({Queue, Image}, Next).first->second;
}

void JobShard::Impl::cancelJob(const std::string &Id) {
  JobEntry *Entry = find(Id);
  if (!Entry || isFinal(Entry->State))
    return;
  endJob(*Entry, JobState::Cancelled, "cancelled");
}

void JobShard::Impl::endJob(JobEntry &Entry, JobState State,
                            std::string_view Why) {
  Entry.State = State;
  markDirty(Entry);
  m_waiting.erase(Entry.Spec.Id);
  m_held.Ended.insert(Entry.Spec.Id);
  m_approvals.forget(Entry.Spec.Id);
  endTrialsOf(Entry.Spec.Id);
  for (int Group : Entry.Groups)
    m_interference.forget(Group);
  if (State != JobState::Completed)
    stopAll(Entry);
  log("job_ended",
      fmt::format("job={} queue={} state={} why={} age_ms={} tasks={}",
                  Entry.Spec.Id, Entry.Spec.Queue, jobStateName(State), Why,
                  (m_time.now() - Entry.ArrivedAt) / milliseconds(1),
                  Entry.Tasks.size()));
}

JobEntry *JobShard::Impl::find(const std::string &Id) {
  auto It = m_jobs.find(Id);
  return It == m_jobs.end() ? nullptr : &It->second;
}

const JobQueue *JobShard::Impl::queueOf(const JobEntry &Entry) const {
  auto It = m_queues.find(Entry.Spec.Queue);
  return It == m_queues.end() ? nullptr : &It->second;
}

void JobShard::Impl::markDirty(JobEntry &Entry, milliseconds Delay) {
  TimePoint CommitAt = m_time.now() + Delay;
  m_commitAt = m_dirty.empty() ? CommitAt : std::min(m_commitAt, CommitAt);
  m_dirty.insert(Entry.Spec.Id);
}

void JobShard::Impl::setQueues(std::shared_ptr<const JobQueues> Queues) {
  for (const auto &[Name, Queue] : *Queues)
    m_queues[Name] = Queue;
  ++m_workerList;
  for (auto &[Id, Entry] : m_jobs)
    queueReady(Entry);
  place();
}

void JobShard::Impl::setWorkers(std::vector<WorkerEntry> Own,
                                std::vector<WorkerEntry> Fleet) {
  m_fleet = std::move(Fleet);
  ++m_workerList;
  for (auto &[Id, Slot] : m_slots) {
    if (Slot.IsListed)
      Slot.UnlistedSince = m_time.now();
    Slot.IsListed = false;
  }
  for (WorkerEntry &Worker : Own) {
    auto [It, Added] = m_slots.try_emplace(Worker.Id, Worker);
    WorkerSlot &Slot = It->second;
    if (Added && m_isLoaded) {
      m_previousRuns.addWorker(Worker.Id);
      Slot.LeaseEnd = m_previousRuns.endsAt(Worker.Id);
    }
    Slot.IsListed = true;
    // A new incarnation of the worker may have another address.
    Slot.Entry = Worker;
  }
  for (const auto &[Id, Slot] : m_slots)
    if (!Slot.IsListed)
      m_leaseEvidence.forget(Id);
  storeWorkersInUse();
  pollWorkers();
  place();
}

void JobShard::Impl::tick() {
  if (!m_isLoaded || m_hasLostOwnership)
    return;
  m_previousRuns.setListComplete(isFleetComplete());
  limitPreviousRuns();
  removeUnlistedWorkers();
  if (m_time.now() >= m_nextWorkerStore)
    storeWorkersInUse();
  relocateStalledRuns();
  pollWorkers();
  commit();
  takeAddedTasks();
  transfer();
  delegateTasks();
  readHomesOfParts();
  storeWaits();
  sendStoredStarts();
  countJobBytes();
  queueMore();
  m_plan.update(m_slots, m_time.now());
  place();
  logTakeover();
  m_models->save();
  m_models->readPeers();
  logState();
}

std::optional<JobState> JobShard::Impl::state(const std::string &Job) const {
  auto It = m_jobs.find(Job);
  if (It == m_jobs.end())
    return m_held.releasedState(Job);
  if (It->second.HomeShard)
    return std::nullopt;
  return It->second.StoredState;
}

const JobShardCounts &JobShard::Impl::counts() {
  m_counts.ApprovalCalls = m_approvals.calls();
  m_counts.StartsInFlight = m_startWindow.inFlight();
  m_plan.report(m_counts);
  return m_counts;
}

std::map<std::string, int> JobShard::Impl::pendingJobs() const {
  std::map<std::string, int> Counts;
  for (const auto &[Id, Entry] : m_jobs)
    if (!isFinal(Entry.State) && !Entry.hasStarted())
      ++Counts[Entry.Spec.Queue];
  return Counts;
}

JobShard::JobShard(JobShardOptions Options, RowStore &Store,
                   TaskWorkers &Workers, ApprovalService *Approvals,
                   const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Workers,
                                    Approvals, Time)) {}
JobShard::~JobShard() = default;
void JobShard::load() { m_impl->readRows(); }
void JobShard::setWorkers(std::vector<WorkerEntry> Own,
                          std::vector<WorkerEntry> Fleet) {
  m_impl->setWorkers(std::move(Own), std::move(Fleet));
}
void JobShard::addFormerWorkers(const std::vector<WorkerEntry> &Workers) {
  m_impl->addFormerWorkers(Workers);
}
void JobShard::setQueues(std::shared_ptr<const JobQueues> Queues) {
  m_impl->setQueues(std::move(Queues));
}
void JobShard::tick() { m_impl->tick(); }
std::optional<HandoverRecord> JobShard::handOver() {
  return m_impl->handOver();
}
void JobShard::resume() { m_impl->resume(); }
std::optional<JobState> JobShard::state(const std::string &Job) const {
  return m_impl->state(Job);
}
std::map<std::string, int> JobShard::pendingJobs() const {
  return m_impl->pendingJobs();
}
ShardLoad JobShard::currentLoad() { return m_impl->load(); }
std::map<std::string, double> JobShard::queueShares() {
  return m_impl->heldShares().shares();
}
ShardLoad JobShard::reportedLoad() { return m_impl->reportedLoad(); }
size_t JobShard::jobBytes() const { return m_impl->jobBytes(); }
bool JobShard::isLoaded() const { return m_impl->isLoaded(); }
size_t JobShard::listedWorkers() const { return m_impl->listedWorkers(); }
uint64_t JobShard::epoch() const { return m_impl->epoch(); }
bool JobShard::isTakeoverComplete() const {
  return m_impl->isTakeoverComplete();
}
bool JobShard::hasLostOwnership() const { return m_impl->hasLostOwnership(); }
const JobShardCounts &JobShard::counts() const { return m_impl->counts(); }

BASILCHUTE_NAMESPACE_END
