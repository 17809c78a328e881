#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Maximum number of rows of one job that are taken before their removal is
/// stored, since one commit removes them all.
constexpr size_t MaxRowsTaken = 20;

} // namespace

// Such a row adds tasks to those of the job that this shard has, as its home or
// as a part. It exists until the progress that has the tasks is stored, so that
// each owner knows whether they are in the progress row already.
void JobShard::Impl::onAddedTasksRow(const std::string &Id,
                                     const StoredRow &Row) {
  if (!m_knownAddedRows.insert(Row.Address.Key).second)
    return;
  Result<JobPart> Added = decodePart(Row.Value);
  bool IsValid =
      Added.has_value() && Added.value().Added && Added.value().Spec.Id == Id;
  if (!IsValid) {
    log("bad_row",
        fmt::format("table={} key={} message=\"the row adds no tasks\"",
                    Row.Address.Table, Row.Address.Key));
    return;
  }
  m_addedTasks.push_back({.JobId = Id,
                          .Key = Row.Address.Key,
                          .Version = Row.Version,
                          .Part = std::move(Added.value())});
}

// Rows of jobs with a pending transfer or delegation wait: the tasks may have
// been on their way to the shard that sends them back.
void JobShard::Impl::takeAddedTasks() {
  std::erase_if(m_addedTasks,
                [this](const AddedTasks &Row) { return takeAdded(Row); });
}

bool JobShard::Impl::takeAdded(const AddedTasks &Row) {
  if (JobEntry *Entry = find(Row.JobId)) {
    bool MustWait =
        Entry->IsTransferring ||
        Entry->AddedTaskRows.size() + Entry->AddedTaskRowsInCommit.size() >=
            MaxRowsTaken;
    if (MustWait && !isFinal(Entry->State))
      return false;
    addTasks(*Entry, Row);
    return true;
  }
  // The job of this shard, or a part, is still being read.
  if (Row.Part.HomeShard == m_options.Shard || m_parts.count(Row.JobId))
    return false;
  JobPart Part = Row.Part;
  Part.Added.reset();
  m_parts.emplace(Row.JobId, std::move(Part));
  addJob(Row.Part.Spec, 0, &*Row.Part.Added);
  JobEntry &Entry = *find(Row.JobId);
  Entry.JobVersion = Row.Version;
  // A row from before the takeover does not show a cancellation since then.
  Entry.MayBeCancelledAtHome = Row.Version <= m_loadVersion;
  onTasksAdded(Entry, Row);
  return true;
}

void JobShard::Impl::addTasks(JobEntry &Entry, const AddedTasks &Row) {
  if (isFinal(Entry.State))
    return;
  for (const TaskProgress &Task : Row.Part.Added->Tasks) {
    bool IsValid = Task.Position >= 0 &&
                   Task.Position < static_cast<int>(Entry.Tasks.size()) &&
                   Entry.storesPlace(Task.Position) &&
                   Entry.Tasks[static_cast<size_t>(Task.Position)].Phase ==
                       TaskPhase::Done;
    if (!IsValid)
      continue;
    Entry.reopen(Task, m_time.now());
    m_previousRuns.setPlace(Entry.nameOf(Task.Position), "");
  }
  auto Part = m_parts.find(Row.JobId);
  if (Part != m_parts.end()) {
    Entry.HomeShard = Row.Part.HomeShard;
    Part->second.HomeShard = Row.Part.HomeShard;
    std::vector<int> &Positions = Part->second.Positions;
    Positions.insert(Positions.end(), Row.Part.Positions.begin(),
                     Row.Part.Positions.end());
    std::sort(Positions.begin(), Positions.end());
    Positions.erase(std::unique(Positions.begin(), Positions.end()),
                    Positions.end());
  }
  queueReady(Entry);
  onTasksAdded(Entry, Row);
}

void JobShard::Impl::onTasksAdded(JobEntry &Entry, const AddedTasks &Row) {
  Entry.AddedTaskRows.push_back(Row.Key);
  markDirty(Entry, milliseconds(0));
  log("tasks_added", fmt::format("job={} shard={} tasks={} home={}", Row.JobId,
                                 m_options.Shard, Row.Part.Positions.size(),
                                 Row.Part.HomeShard));
}

// The rows are removed without a condition: only the owner of this shard
// removes them, and a commit that is repeated finds them gone.
std::vector<RowChange> JobShard::Impl::changesForAddedTasks(JobEntry &Entry) {
  std::vector<RowChange> Out;
  if (Entry.AddedTaskRows.empty())
    return Out;
  const std::string &Id = Entry.Spec.Id;
  auto Part = m_parts.find(Id);
  if (Part != m_parts.end())
    Out.push_back({.Address = partAddress(m_options.Shard, Id),
                   .Value = encodePart(Part->second)});
  for (const std::string &Key : Entry.AddedTaskRows)
    Out.push_back(
        {.Address = jobAddress(m_options.Shard, Key), .IsRemoval = true});
  return Out;
}

BASILCHUTE_NAMESPACE_END
