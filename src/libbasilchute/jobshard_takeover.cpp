#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds WaitLogInterval{1000};
/// A task that waits for longer has stored that it has no run.
constexpr milliseconds MinStoredWait{250};
/// Maximum number of tasks of a job for which that is stored, because a row is
/// limited to MaxRowBytes.
constexpr size_t MaxStoredWaits = 1000;
/// Interval at which the stored list of workers is compared with the workers in
/// use.
constexpr milliseconds WorkerStoreInterval{250};
/// Maximum number of workers that a log line names.
constexpr size_t MaxLoggedWorkers = 5;

} // namespace

void JobShard::Impl::readHandover() {
  RowRange Range{.Table = HandoverTable,
                 .Partition = shardPartition(m_options.Shard)};
  m_store.read(Range, [Weak = weak_from_this()](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self || Self->m_hasLostOwnership)
      return;
    if (!Answer.has_value()) {
      Self->readHandover();
      return;
    }
    Self->onHandoverRows(Answer.value().Rows);
    Self->readJobs("", 0, true);
  });
}

// Rows of another version belong to an earlier handover. Owners since then may
// have started runs that these rows do not name.
void JobShard::Impl::onHandoverRows(const std::vector<StoredRow> &Rows) {
  std::vector<std::string> Values;
  for (const StoredRow &Row : Rows) {
    if (Row.Address == usedWorkersAddress(m_options.Shard))
      m_usedWorkers->restore(Row);
    else if (Row.Version == m_options.HandoverVersion)
      Values.push_back(Row.Value);
  }
  if (Values.empty()) {
    log("handover_missing",
        fmt::format("shard={} epoch={}", m_options.Shard, m_options.Epoch));
    return;
  }
  Result<HandoverRecord> Record = decodeHandover(Values);
  if (!Record.has_value()) {
    log("bad_row",
        fmt::format("table={} part={} message=\"{}\"", HandoverTable,
                    shardPartition(m_options.Shard), Record.error().Message));
    return;
  }
  m_handover = std::move(Record.value());
  log("handover_read",
      fmt::format("shard={} epoch={} workers={} unknown_ms={}", m_options.Shard,
                  m_options.Epoch, m_handover->Workers.size(),
                  m_handover->UnknownRemaining.count()));
}

void JobShard::Impl::initPreviousRuns() {
  if (!m_handover) {
    m_previousRuns.setUnknown(m_loadVersion, previousRunsEndAt());
  } else {
    if (m_handover->UnknownRemaining.count() > 0)
      m_previousRuns.setUnknown(
          m_handover->UnknownVersion,
          m_takeoverTime + maxLocalDuration(m_handover->UnknownRemaining),
          m_handover->ResolvedWorkers);
    for (const auto &[Worker, Runs] : m_handover->Workers) {
      m_previousRuns.addKnown(Worker, Runs.Tasks,
                              m_takeoverTime +
                                  maxLocalDuration(Runs.Remaining));
      if (Runs.Incarnation.count() != 0 &&
          !(Runs.Unseen.empty() && Runs.Young.empty()))
        m_handedOver[Worker] = {.Incarnation = Runs.Incarnation,
                                .Tasks = Runs.Unseen,
                                .Young = Runs.Young};
    }
    for (const std::string &Worker : m_handover->SilentWorkers)
      m_previousRuns.addWorker(Worker);
    m_handover.reset();
  }
  m_previousRuns.setListComplete(isFleetComplete());
  m_previousWorkers = m_usedWorkers->names();
  for (const std::string &Worker : m_previousWorkers)
    m_previousRuns.addWorker(Worker);
  for (auto &[Id, Slot] : m_slots) {
    m_previousRuns.addWorker(Id);
    // The previous owner may have extended the leases of runs on the worker.
    Slot.LeaseEnd = m_previousRuns.endsAt(Id);
  }
}

void JobShard::Impl::countUnfenced(TimePoint Now) {
  // A worker whose process is gone accepts the epoch of no owner. While it is
  // listed, that may be with a new process, which may accept one.
  size_t Fenced = 0;
  size_t Silent = 0;
  size_t Unfenced = 0;
  for (const auto &[Id, Slot] : m_slots)
    if (Slot.IsFenced)
      ++Fenced;
    else if (Slot.IsListed || !m_previousRuns.isWorkerResolved(Id)) {
      ++Silent;
      Unfenced += m_previousWorkers.count(Id);
    }
  m_previousLeases.onFenced(Fenced, Silent, Now);
  if (!m_options.HasPreviousStoredEvidence || !m_usedWorkers->isReadable())
    return;
  for (const std::string &Worker : m_previousWorkers)
    if (!m_slots.count(Worker) && !m_previousRuns.isWorkerResolved(Worker))
      ++Unfenced;
  m_previousLeases.onUnfenced(Unfenced, Now);
}

void JobShard::Impl::limitPreviousRuns() {
  TimePoint Now = m_time.now();
  if (Now > m_previousRuns.unknownEndsAt() || !isFleetComplete())
    return;
  countUnfenced(Now);
  std::optional<TimePoint> End = m_previousLeases.endAt();
  if (!End || m_previousRuns.unknownEndsAt() <= *End)
    return;
  m_previousRuns.limitUnknown(*End);
  for (auto &[Id, Slot] : m_slots)
    if (!Slot.IsFenced)
      Slot.LeaseEnd = std::min(Slot.LeaseEnd, m_previousRuns.endsAt(Id));
  log("previous_leases_limited",
      fmt::format("shard={} epoch={} silent={} until_ms={}", m_options.Shard,
                  m_options.Epoch, m_previousRuns.silent().size(),
                  (*End - Now) / milliseconds(1)));
}

std::map<TaskName, milliseconds>
JobShard::Impl::youngRuns(const WorkerSlot &Slot) {
  std::map<TaskName, milliseconds> Out;
  if (Slot.Entry.IsDraining)
    return Out;
  TimePoint Until = Slot.SilentAt == TimePoint{} ? m_time.now() : Slot.SilentAt;
  for (const auto &[Key, Run] : Slot.Runs) {
    auto [Entry, Position] = findRunning(Key.first);
    // An adopted run is young only as far as this owner knows.
    if (!Entry || Run.Phase == RunPhase::Reserved || Run.IsAdopted)
      continue;
    ExposedRun Exposed{.KnownAge = Slot.knownAge(Run),
                       .Crashes = crashRecord(*Entry, Position).Crashes};
    if (!Exposed.isUnseen() && Exposed.isYoung())
      Out[Key.first] =
          std::chrono::duration_cast<milliseconds>(Until - Run.ObservedSince);
  }
  return Out;
}

std::optional<HandoverRecord> JobShard::Impl::handOver() {
  if (!m_isLoaded || m_hasLostOwnership)
    return std::nullopt;
  m_isHandingOver = true;
  TimePoint Now = m_time.now();
  auto RemainingUntil = [Now](TimePoint End) {
    return std::max(milliseconds(0),
                    std::chrono::ceil<milliseconds>(End - Now));
  };
  HandoverRecord Out;
  if (m_previousRuns.hasUnknown(Now)) {
    Out.UnknownRemaining = RemainingUntil(m_previousRuns.unknownEndsAt());
    Out.UnknownVersion = m_previousRuns.unknownVersion();
    Out.ResolvedWorkers = m_previousRuns.resolvedBefore();
    Out.SilentWorkers = m_previousRuns.silent();
    // A worker that has answered may have more completions than it has listed.
    for (const auto &[Id, Slot] : m_slots)
      if (m_previousRuns.isWorkerResolved(Id))
        Out.ResolvedWorkers.insert(Id);
  }
  for (const auto &[Worker, Known] : m_previousRuns.known(Now))
    Out.Workers[Worker] = {.Tasks = Known.Tasks,
                           .Remaining = RemainingUntil(Known.EndsAt)};
  for (const auto &[Id, Slot] : m_slots) {
    if (Slot.Runs.empty() && Slot.UnstoredCompletions.empty())
      continue;
    HandoverRecord::Runs &Runs = Out.Workers[Id];
    Runs.Remaining = std::max(Runs.Remaining, RemainingUntil(Slot.LeaseEnd));
    Runs.Incarnation = Slot.Incarnation;
    for (const auto &[Key, Run] : Slot.Runs) {
      if (Run.Phase == RunPhase::Reserved)
        continue;
      Runs.Tasks.insert(Key.first);
      if (ExposedRun{.KnownAge = Slot.knownAge(Run)}.isUnseen())
        Runs.Unseen.insert(Key.first);
    }
    Runs.Young = youngRuns(Slot);
    for (const auto &[Number, Task] : Slot.UnstoredCompletions)
      Runs.Tasks.insert(Task);
  }
  for (const auto &[Worker, Runs] : m_handedOver) {
    auto Passed = Out.Workers.find(Worker);
    if (Passed == Out.Workers.end() || Passed->second.Incarnation.count() != 0)
      continue;
    Passed->second.Incarnation = Runs.Incarnation;
    Passed->second.Unseen = Runs.Tasks;
    Passed->second.Young = Runs.Young;
  }
  size_t Tasks = 0;
  for (const auto &[Worker, Runs] : Out.Workers)
    Tasks += Runs.Tasks.size();
  log("shard_handover",
      fmt::format("shard={} epoch={} workers={} tasks={} unknown_ms={}",
                  m_options.Shard, m_options.Epoch, Out.Workers.size(), Tasks,
                  Out.UnknownRemaining.count()));
  return Out;
}

bool JobShard::Impl::mayHavePreviousRun(const JobEntry &Entry,
                                        int Position) const {
  TimePoint Now = m_time.now();
  if (m_previousRuns.isResolved(Now))
    return false;
  if (!Entry.stepOf(Position).Gang)
    return m_previousRuns.mayRun(Entry.nameOf(Position), Entry.JobVersion, Now);
  std::vector<int> Members = Entry.groupPositions(Position);
  return std::any_of(Members.begin(), Members.end(), [&](int Member) {
    return m_previousRuns.mayRun(Entry.nameOf(Member), Entry.JobVersion, Now);
  });
}

bool JobShard::Impl::mayHavePreviousRuns(const JobEntry &Entry) const {
  if (m_previousRuns.isResolved(m_time.now()))
    return false;
  for (int Position = 0; Position < static_cast<int>(Entry.Tasks.size());
       ++Position)
    if (mayHavePreviousRun(Entry, Position))
      return true;
  return false;
}

void JobShard::Impl::storeNoRun(JobEntry &Entry, int Position) {
  const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  bool IsNew = Entry.storesPlace(Position) && Task.Place != "" &&
               !mayHavePreviousRun(Entry, Position) &&
               !hasRunsOf(Entry.nameOf(Position));
  if (!IsNew)
    return;
  Entry.clearPlace(Position);
  markDirty(Entry, milliseconds(0));
}

// Tasks that start soon have their worker stored instead.
void JobShard::Impl::storeWaits() {
  TimePoint Now = m_time.now();
  if (Now < m_nextWaitStore || !canSendOrders())
    return;
  m_nextWaitStore = Now + MinStoredWait;
  for (const auto &[Id, Positions] : m_waiting) {
    JobEntry &Entry = *find(Id);
    if (!canStart(Entry) || Entry.Tasks.size() > MaxStoredWaits)
      continue;
    for (int Position : Positions)
      if (Now >= Entry.Tasks[static_cast<size_t>(Position)].WaitingSince +
                     MinStoredWait)
        storeNoRun(Entry, Position);
  }
}

// A worker that left the list recently may still run tasks that the previous
// owner started, or hold completions of them.
void JobShard::Impl::addFormerWorkers(const std::vector<WorkerEntry> &Workers) {
  for (const WorkerEntry &Worker : Workers) {
    auto [It, Added] = m_slots.try_emplace(Worker.Id, Worker);
    if (!Added)
      continue;
    It->second.IsListed = false;
  }
}

UsedWorkersOptions JobShard::Impl::usedWorkersOptions() {
  return {.Shard = m_options.Shard,
          .Epoch = m_options.Epoch,
          .OnChanged = [this] { updateStoredFlags(); },
          .OnOwnerChanged = [this] { loseOwnership("conflict"); },
          .Log = m_options.Log};
}

// Nothing starts on a worker that drains or has left the list.
bool JobShard::Impl::isDone(const WorkerSlot &Slot) const {
  bool Leaves = Slot.Entry.IsDraining || !Slot.IsListed;
  return Leaves && Slot.IsFenced && Slot.Runs.empty() &&
         Slot.UnstoredCompletions.empty() &&
         m_previousRuns.isWorkerResolved(Slot.Entry.Id);
}

std::set<std::string> JobShard::Impl::workersInUse() const {
  std::set<std::string> Out;
  for (const auto &[Id, Slot] : m_slots)
    if (!isDone(Slot))
      Out.insert(Id);
  for (const std::string &Worker : m_usedWorkers->names())
    if (m_previousRuns.mayHaveRunsOn(Worker, m_time.now()))
      Out.insert(Worker);
  return Out;
}

void JobShard::Impl::storeWorkersInUse() {
  if (!m_isLoaded || !canSendOrders())
    return;
  m_nextWorkerStore = m_time.now() + WorkerStoreInterval;
  m_usedWorkers->update(workersInUse());
  updateStoredFlags();
}

void JobShard::Impl::updateStoredFlags() {
  for (auto &[Id, Slot] : m_slots)
    Slot.IsStored = m_usedWorkers->isStored(Id);
}

bool JobShard::Impl::isTakeoverComplete() const {
  return m_isLoaded && m_previousRuns.isResolved(m_time.now());
}

bool JobShard::Impl::wereAllWorkersPolled() const {
  return std::all_of(m_slots.begin(), m_slots.end(), [](const auto &Slot) {
    return Slot.second.IsFenced || Slot.second.MissedPolls > 0;
  });
}

size_t JobShard::Impl::countHeldBackTasks() const {
  size_t Out = 0;
  for (const auto &[Id, Positions] : m_waiting)
    for (int Position : Positions)
      Out += mayHavePreviousRun(m_jobs.at(Id), Position) ? 1 : 0;
  return Out;
}

// Logs that tasks wait for previous runs, at once and then each second, and
// when the wait is over.
void JobShard::Impl::logTakeover() {
  if (m_isTakeoverLogged)
    return;
  TimePoint Now = m_time.now();
  if (isTakeoverComplete()) {
    bool HaveAllAnswered =
        std::all_of(m_slots.begin(), m_slots.end(),
                    [](const auto &Slot) { return Slot.second.IsFenced; });
    m_isTakeoverLogged = true;
    m_counts.TakeoverSilentWorkers = 0;
    m_counts.TasksHeldBack = 0;
    log("takeover_complete",
        fmt::format("shard={} epoch={} took_ms={} why={}", m_options.Shard,
                    m_options.Epoch, (Now - m_takeoverTime) / milliseconds(1),
                    HaveAllAnswered ? "all_answered" : "runs_over"));
    return;
  }
  if (Now < m_nextTakeoverLog)
    return;
  m_nextTakeoverLog = Now + WaitLogInterval;
  std::vector<std::string> Silent = m_previousRuns.workers(Now);
  m_counts.TakeoverSilentWorkers = Silent.size();
  m_counts.TasksHeldBack = countHeldBackTasks();
  TimePoint Until = m_previousRuns.lastEnd(Now);
  size_t SilentCount = Silent.size();
  Silent.resize(std::min(SilentCount, MaxLoggedWorkers));
  std::string Names =
      Silent.empty() ? "-" : fmt::format("{}", fmt::join(Silent, ","));
  log("takeover_waits",
      fmt::format("shard={} epoch={} silent={} workers={} worker_list={} "
                  "tasks={} counted={} until_ms={}",
                  m_options.Shard, m_options.Epoch, SilentCount, Names,
                  isFleetComplete() ? "complete" : "old",
                  m_counts.TasksHeldBack, m_options.PreviousWorkers,
                  (Until - Now) / milliseconds(1)));
}

BASILCHUTE_NAMESPACE_END
