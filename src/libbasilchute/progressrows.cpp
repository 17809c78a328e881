#include "libbasilchute/progressrows.h"

#include "basilchute/limits.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Highest run number that is read from a row; above what workers may report,
/// so that numbers go on rising, and with room for later runs.
constexpr int MaxStoredRun = 2 * MaxReportedRun;
/// Highest number of crashes that is read from a row.
constexpr int MaxStoredCrashes = 1000;
/// Progress of up to this size is stored as hosts of earlier versions read it.
constexpr size_t MaxPlainProgressBytes = 24000;
/// Added to StoredProgress.state in a large row.
constexpr int LargeRowState = 100;
/// Position of the entry that stands for all tasks without one in a large row.
constexpr int SharedEntry = -1;
/// Highest number of tasks that is read from a large row; checkJob() accepts no
/// more.
constexpr size_t MaxLargeRowTasks = 100000;
/// Upper bound on the tag and length of a field in a progress row.
constexpr size_t FieldOverhead = 6;
/// Latest time since 1970 that is read from a row.
constexpr milliseconds MaxWallTime = std::chrono::hours(300 * 365 * 24);
/// Values of StoredTask.place; others mean that the place is not known.
constexpr int NoPlace = 1;
constexpr int FirstWorkerPlace = 2;

std::optional<std::string> placeOf(const v1::StoredTask &Task,
                                   const v1::StoredProgress &Row) {
  if (Task.place() == NoPlace)
    return "";
  if (Task.place() < FirstWorkerPlace ||
      Task.place() - FirstWorkerPlace >= Row.workers_size())
    return std::nullopt;
  const std::string &Worker = Row.workers(Task.place() - FirstWorkerPlace);
  return Worker.empty() ? std::nullopt : std::optional(Worker);
}

CrashRecord loadCrash(const v1::StoredTask &From) {
  return {.Crashes = std::clamp(From.crashes(), 0, MaxStoredCrashes),
          .StrongCrashes =
              std::clamp(From.strong_crashes(), 0, MaxStoredCrashes),
          .IsSuspect = From.suspect(),
          .RunAge = boundedTime(From.crash_age_ms(), MaxDuration),
          .Worker = From.exposed_worker(),
          .Incarnation = milliseconds(From.exposed_incarnation())};
}

milliseconds waitingSinceOf(const v1::StoredTask &From) {
  return -std::clamp(milliseconds(From.waited_ms()), -MaxWallTime,
                     milliseconds(0));
}

void storeTask(const TaskProgress &Task, v1::StoredTask &Stored) {
  Stored.set_position(Task.Position);
  Stored.set_run(Task.Run);
  for (int Run : Task.FailedRuns)
    Stored.add_failed_runs(Run);
  Stored.set_done(Task.Done);
  Stored.set_checkpoint(Task.Checkpoint);
  Stored.set_crashes(Task.Crash.Crashes);
  Stored.set_strong_crashes(Task.Crash.StrongCrashes);
  Stored.set_suspect(Task.Crash.IsSuspect);
  Stored.set_crash_age_ms(Task.Crash.RunAge.count());
  Stored.set_exposed_worker(Task.Crash.Worker);
  Stored.set_exposed_incarnation(Task.Crash.Incarnation.count());
  Stored.set_waited_ms(Task.Waited.count() > 0 ? Task.Waited.count()
                                               : -Task.WaitingSince.count());
}

using StoredPlaces = std::map<std::string, int>;

void storePlace(const std::string &Worker, StoredPlaces &Places,
                v1::StoredTask &Stored, v1::StoredProgress &Out) {
  auto [Place, IsNew] =
      Places.try_emplace(Worker, FirstWorkerPlace + Out.workers_size());
  if (IsNew)
    Out.add_workers(Worker);
  Stored.set_place(Place->second);
}

/// Encodes progress whose plain row would be large. A task without an entry of
/// its own costs nothing or one bit, so that the row fits whatever the job
/// does.
class LargeProgress {
public:
  explicit LargeProgress(const JobProgress &Value) : m_value(Value) {}

  std::string encode() {
    m_row.set_format(RowFormat);
    m_row.set_state(LargeRowState + static_cast<int>(m_value.State));
    m_row.set_was_delegated(m_value.WasDelegated);
    storeSharedEntry();
    m_bytes = m_row.ByteSizeLong() + FieldOverhead;
    std::vector<std::pair<const TaskProgress *, int>> Entries;
    for (const TaskProgress &Task : m_value.Tasks)
      if (!Task.Done && hasMoreThanRun(Task) && addEntry(Task))
        Entries.emplace_back(&Task, m_row.tasks_size() - 1);
    for (auto [Task, Entry] : Entries)
      addCheckpoint(Task->Checkpoint, *m_row.mutable_tasks(Entry));
    return m_row.SerializeAsString();
  }

private:
  static bool hasMoreThanRun(const TaskProgress &Task) {
    return Task.Place || !Task.FailedRuns.empty() || !Task.Checkpoint.empty() ||
           Task.Crash != CrashRecord{};
  }

  // The highest run number stands for those of all tasks without an entry.
  void storeSharedEntry() {
    int HighestRun = m_value.HighestRun;
    std::string Done;
    auto AddDone = [&Done](size_t Position) {
      if (Position >= MaxLargeRowTasks)
        return;
      Done.resize(std::max(Done.size(), Position / 8 + 1));
      Done[Position / 8] =
          static_cast<char>(static_cast<unsigned char>(Done[Position / 8]) |
                            (1U << (Position % 8)));
    };
    for (const TaskProgress &Task : m_value.Tasks) {
      HighestRun = std::max(HighestRun, Task.Run);
      if (Task.Done)
        AddDone(static_cast<size_t>(Task.Position));
    }
    for (size_t Position = 0; Position < m_value.DoneTasks.size(); ++Position)
      if (m_value.DoneTasks[Position])
        AddDone(Position);
    v1::StoredTask &Shared = *m_row.add_tasks();
    Shared.set_position(SharedEntry);
    Shared.set_run(HighestRun);
    Shared.set_checkpoint(Done);
  }

  /// Returns false if there is no room.
  bool addEntry(const TaskProgress &Task) {
    v1::StoredTask Entry;
    storeTask(Task, Entry);
    Entry.clear_checkpoint();
    size_t Bytes = Entry.ByteSizeLong() + 2 * FieldOverhead;
    if (Task.Place && !m_places.count(*Task.Place))
      Bytes += Task.Place->size() + FieldOverhead;
    if (!reserve(Bytes))
      return false;
    if (Task.Place)
      storePlace(*Task.Place, m_places, Entry, m_row);
    *m_row.add_tasks() = std::move(Entry);
    return true;
  }

  void addCheckpoint(const std::string &Checkpoint, v1::StoredTask &Entry) {
    if (!Checkpoint.empty() && reserve(Checkpoint.size() + FieldOverhead))
      Entry.set_checkpoint(Checkpoint);
  }

  bool reserve(size_t Bytes) {
    if (m_bytes + Bytes > MaxProgressBytes)
      return false;
    m_bytes += Bytes;
    return true;
  }

  const JobProgress &m_value;
  v1::StoredProgress m_row;
  StoredPlaces m_places{{"", NoPlace}};
  size_t m_bytes = 0;
};

bool isLarge(const v1::StoredProgress &From) {
  return From.state() >= LargeRowState && From.tasks_size() > 0;
}

int stateOf(const v1::StoredProgress &From) {
  return isLarge(From) ? From.state() - LargeRowState : From.state();
}

void loadDoneTasks(const std::string &Done, JobProgress &Out) {
  size_t Tasks = std::min(Done.size() * 8, MaxLargeRowTasks);
  for (size_t Position = 0; Position < Tasks; ++Position)
    if ((static_cast<unsigned char>(Done[Position / 8]) >> (Position % 8)) & 1U)
      Out.Tasks.push_back({.Position = static_cast<int>(Position),
                           .Run = Out.HighestRun,
                           .Done = true});
}

} // namespace

Error badRow(const char *Kind) {
  return makeError(
      ResultCode::InvalidArgument,
      fmt::format("the row does not contain a valid {} record", Kind));
}

milliseconds boundedTime(int64_t Millis, milliseconds Max) {
  return std::clamp(milliseconds(Millis), milliseconds(0), Max);
}

void storeProgress(const JobProgress &Value, v1::StoredProgress &Out) {
  StoredPlaces Places{{"", NoPlace}};
  Out.set_format(RowFormat);
  Out.set_state(static_cast<int>(Value.State));
  Out.set_was_delegated(Value.WasDelegated);
  for (const TaskProgress &Task : Value.Tasks) {
    v1::StoredTask &Stored = *Out.add_tasks();
    storeTask(Task, Stored);
    if (Task.Place)
      storePlace(*Task.Place, Places, Stored, Out);
  }
}

bool isStateValid(const v1::StoredProgress &From) {
  return stateOf(From) >= 0 &&
         stateOf(From) <= static_cast<int>(JobState::Cancelled);
}

JobProgress loadProgress(const v1::StoredProgress &From) {
  JobProgress Out{.State = static_cast<JobState>(stateOf(From)),
                  .WasDelegated = From.was_delegated()};
  if (isLarge(From)) {
    Out.HighestRun = std::clamp(From.tasks(0).run(), 0, MaxStoredRun);
    loadDoneTasks(From.tasks(0).checkpoint(), Out);
  }
  int First = isLarge(From) ? 1 : 0;
  for (int Index = First; Index < From.tasks_size(); ++Index) {
    const v1::StoredTask &Task = From.tasks(Index);
    Out.Tasks.push_back(
        {.Position = Task.position(),
         .Run = std::clamp(Task.run(), 0, MaxStoredRun),
         .FailedRuns = {Task.failed_runs().begin(), Task.failed_runs().end()},
         .Done = Task.done(),
         .Checkpoint = Task.checkpoint(),
         .Place = placeOf(Task, From),
         .Crash = loadCrash(Task),
         .Waited = boundedTime(Task.waited_ms(), MaxDuration),
         .WaitingSince = waitingSinceOf(Task)});
  }
  return Out;
}

std::string encodeProgress(const JobProgress &Value) {
  // A plain row has no highest run number.
  if (Value.HighestRun > 0 || !Value.DoneTasks.empty())
    return LargeProgress(Value).encode();
  v1::StoredProgress Out;
  storeProgress(Value, Out);
  if (Out.ByteSizeLong() <= MaxPlainProgressBytes)
    return Out.SerializeAsString();
  return LargeProgress(Value).encode();
}

Result<JobProgress> decodeProgress(const std::string &Bytes) {
  v1::StoredProgress From;
  if (!From.ParseFromString(Bytes) || !isStateValid(From))
    return badRow("progress");
  return loadProgress(From);
}

BASILCHUTE_NAMESPACE_END
