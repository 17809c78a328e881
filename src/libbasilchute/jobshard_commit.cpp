#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds RetryDelay{150};
/// Each job in a commit needs a condition and a write.
constexpr size_t RowsPerJob = 2;
/// Time between two counts of the memory of all jobs.
constexpr milliseconds CountInterval{1000};
/// Delays before a job is committed again whose row was refused.
constexpr milliseconds FirstRefusedDelay{500};
constexpr milliseconds MaxRefusedDelay{5000};

} // namespace

void JobShard::Impl::commit() {
  bool HasUnstoredCompletions =
      std::any_of(m_slots.begin(), m_slots.end(), [](auto &Slot) {
        return Slot.second.LastSeenCompletion >
               Slot.second.LastStoredCompletion;
      });
  if (m_isCommitting || m_hasLostOwnership ||
      m_time.now() < std::max(m_commitNotBefore, m_commitAt))
    return;
  if (m_dirty.empty() && !HasUnstoredCompletions)
    return;
  RowCommit Commit;
  std::map<std::string, JobState> Jobs = addProgress(Commit);
  for (const auto &[Id, State] : Jobs)
    m_dirty.erase(Id);
  std::map<std::string, CoveredCompletion> Completions;
  for (const auto &[Id, Slot] : m_slots)
    Completions[Id] = {.Incarnation = Slot.Incarnation,
                       .Number = coveredNumber(Slot)};
  if (Jobs.empty()) {
    onCommitted({}, Completions, m_options.Epoch);
    return;
  }
  m_isCommitting = true;
  ++m_counts.Commits;
  m_store.commit(std::move(Commit), [Weak = weak_from_this(), Jobs,
                                     Completions](Result<uint64_t> Answer) {
    if (auto Self = Weak.lock())
      Self->onCommitted(Jobs, Completions, std::move(Answer));
  });
}

// The jobs that do not fit wait for the next commit.
std::map<std::string, JobState> JobShard::Impl::addProgress(RowCommit &Commit) {
  Commit.Conditions.push_back({.Address = shardOwnerAddress(m_options.Shard),
                               .Version = m_options.Epoch});
  std::map<std::string, JobState> Jobs;
  size_t Bytes = 0;
  for (const std::string &Id : jobsToCommit()) {
    JobEntry &Entry = *find(Id);
    std::vector<RowChange> Added = changesForAddedTasks(Entry);
    if (Commit.Conditions.size() + Commit.Changes.size() + Added.size() +
            RowsPerJob >
        MaxRowsPerCommit)
      break;
    std::string Value = encodeProgress(Entry.progress());
    Bytes += Value.size();
    if (Bytes > MaxCommitBytes && !Jobs.empty())
      break;
    Entry.onCommitSent();
    std::move(Added.begin(), Added.end(), std::back_inserter(Commit.Changes));
    RowAddress Address = progressAddressOf(Id);
    Commit.Conditions.push_back(
        {.Address = Address, .Version = Entry.RowVersion});
    Commit.Changes.push_back({.Address = Address, .Value = std::move(Value)});
    Jobs.emplace(Id, Entry.State);
  }
  return Jobs;
}

std::vector<std::string> JobShard::Impl::jobsToCommit() const {
  std::vector<std::string> Out;
  for (const std::string &Id : m_dirty) {
    auto Refused = m_refusedRows.find(Id);
    if (Refused == m_refusedRows.end())
      Out.push_back(Id);
    else if (m_time.now() >= Refused->second.RetryAt)
      return {Id};
  }
  return Out;
}

// The job of a completion that is not stored yet may be one of those that wait
// for a later commit.
uint64_t JobShard::Impl::coveredNumber(const WorkerSlot &Slot) const {
  for (const auto &[Number, Task] : Slot.UnstoredCompletions)
    if (m_dirty.count(Task.Job))
      return Number - 1;
  return Slot.LastSeenCompletion;
}

// A commit of several jobs does not show which of them is refused, so each is
// committed alone. A row that is refused alone waits longer each time.
void JobShard::Impl::onRefused(const std::map<std::string, JobState> &Jobs) {
  bool IsAlone = Jobs.size() == 1;
  for (const auto &[Id, State] : Jobs) {
    RefusedRow &Row = m_refusedRows[Id];
    if (!IsAlone)
      continue;
    Row.Delay = std::clamp(Row.Delay * 2, FirstRefusedDelay, MaxRefusedDelay);
    Row.RetryAt = m_time.now() + Row.Delay;
    ++m_counts.RowsRefused;
    log("row_refused", fmt::format("shard={} job={} retry_ms={}",
                                   m_options.Shard, Id, Row.Delay.count()));
  }
  m_commitNotBefore = m_time.now();
}

void JobShard::Impl::onCommitFailed(const std::map<std::string, JobState> &Jobs,
                                    const Error &Why) {
  for (const auto &[Id, State] : Jobs) {
    (void)find(Id)->onCommitEnded(false);
    markDirty(*find(Id));
  }
  m_commitNotBefore = m_time.now() + RetryDelay;
  log("commit_failed",
      fmt::format("shard={} jobs={} result={} message=\"{}\"", m_options.Shard,
                  Jobs.size(), resultCodeName(Why.Code), Why.Message));
  if (Why.Code == ResultCode::Internal)
    onRefused(Jobs);
  if (Why.Code == ResultCode::Conflict)
    verifyOwnership();
}

void JobShard::Impl::onCommitted(
    const std::map<std::string, JobState> &Jobs,
    const std::map<std::string, CoveredCompletion> &Completions,
    Result<uint64_t> Answer) {
  m_isCommitting = false;
  if (!Answer.has_value()) {
    onCommitFailed(Jobs, Answer.error());
    return;
  }
  for (const auto &[Id, State] : Jobs) {
    m_refusedRows.erase(Id);
    JobEntry &Entry = *find(Id);
    for (int Position : Entry.onCommitEnded(true)) {
      const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
      m_storedStarts.push_back(
          {Task.Worker, {Entry.nameOf(Position), Task.LastRun}});
    }
    Entry.RowVersion = Answer.value();
    Entry.StoredState = State;
    if (Entry.IsTransferring) {
      Entry.IsTransferring = false;
      Entry.Delegating.clear();
      queueReady(Entry);
    }
  }
  for (const auto &[Id, Covered] : Completions) {
    auto Slot = m_slots.find(Id);
    // A new incarnation of the worker numbers its completions from 1 again.
    if (Slot == m_slots.end() ||
        Slot->second.Incarnation != Covered.Incarnation)
      continue;
    Slot->second.setStored(Covered.Number);
  }
  sendStoredStarts();
  pollWorkers();
  if (!Jobs.empty())
    commit();
}

// A conflict has one of two causes: another host has taken over the shard, or
// an earlier commit of this owner took effect although its answer was lost.
void JobShard::Impl::verifyOwnership() {
  m_isCommitting = true;
  RowAddress Address = shardOwnerAddress(m_options.Shard);
  RowRange Range{.Table = Address.Table,
                 .Partition = Address.Partition,
                 .From = Address.Key};
  m_store.read(Range, [Weak = weak_from_this()](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (!Answer.has_value()) {
      Self->m_isCommitting = false;
      return;
    }
    const std::vector<StoredRow> &Rows = Answer.value().Rows;
    if (Rows.empty() || Rows.front().Version != Self->m_options.Epoch) {
      Self->m_isCommitting = false;
      Self->loseOwnership("conflict");
      return;
    }
    Self->refreshRowVersions({Self->m_dirty.begin(), Self->m_dirty.end()});
  });
}

void JobShard::Impl::refreshRowVersions(std::vector<std::string> Jobs) {
  if (Jobs.empty()) {
    m_isCommitting = false;
    return;
  }
  std::string Id = Jobs.back();
  Jobs.pop_back();
  RowAddress Address = progressAddressOf(Id);
  RowRange Range{.Table = Address.Table,
                 .Partition = Address.Partition,
                 .From = Address.Key,
                 .To = Address.Key + '\x01'};
  m_store.read(
      Range, [Weak = weak_from_this(), Id, Jobs](Result<RowPage> Answer) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        // A part that was never stored has no row yet.
        bool IsGone = Answer.has_value() && Answer.value().Rows.empty();
        if (IsGone && Self->find(Id)->RowVersion != 0)
          Self->forgetJob(Id, Answer.value().Version);
        else if (IsGone)
          Self->m_dirty.insert(Id);
        else if (Answer.has_value())
          Self->onCurrentProgress(*Self->find(Id), Answer.value().Rows.front());
        Self->refreshRowVersions(Jobs);
      });
}

void JobShard::Impl::countJobBytes() {
  if (m_time.now() < m_held.NextCount)
    return;
  m_held.NextCount = m_time.now() + CountInterval;
  releaseEnded();
  m_held.Bytes = m_held.releasedBytes();
  for (auto &[Id, Entry] : m_jobs) {
    Entry.Tasks.compact();
    m_held.Bytes += Entry.bytes();
  }
}

// A job is needed until its end is stored and nothing of it runs. After that
// only its state is asked for, and runs of it that turn up are stopped.
void JobShard::Impl::releaseEnded() {
  if (m_isCommitting || m_held.Ended.empty())
    return;
  std::set<std::string> Running;
  for (const auto &[Id, Slot] : m_slots)
    for (const auto &[Key, Run] : Slot.Runs)
      Running.insert(Key.first.Job);
  const std::set<std::string> Ended = m_held.Ended;
  for (const std::string &Id : Ended) {
    const JobEntry *Entry = find(Id);
    if (!Entry) {
      m_held.Ended.erase(Id);
      continue;
    }
    bool IsNeeded = Entry->State != Entry->StoredState ||
                    Entry->IsTransferring || Entry->IsReadingHome ||
                    m_dirty.count(Id) || Running.count(Id);
    if (IsNeeded)
      continue;
    m_held.release(Id, Entry->HomeShard ? std::nullopt
                                        : std::optional(Entry->StoredState));
    m_cancelled.erase(Id);
    m_refusedRows.erase(Id);
    m_parts.erase(Id);
    m_jobs.erase(Id);
  }
}

BASILCHUTE_NAMESPACE_END
