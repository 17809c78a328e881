#include "libbasilchute/handover.h"

#include "libbasilchute/extrafields.h"
#include "libbasilchute/jobrows.h"
#include "schema/jobs.pb.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A row is closed at this size. One more job's tasks of the same worker can
/// follow, so that the row stays below MaxRowBytes.
constexpr size_t RowFillBytes = MaxRowBytes / 2;
/// Maximum number of tasks of one job in one list; longer lists are divided.
constexpr int MaxTasksPerList = 500;
/// No run lasts longer without an owner: an upper bound on every lease and on
/// every horizon.
constexpr milliseconds MaxRemaining{600000};
/// Number of a field of StoredTaskIndex.
constexpr int YoungField = 5;
/// Maximum number of rows of one record.
constexpr size_t MaxRows = MaxCommitBytes / MaxRowBytes;

/// Distributes a record over rows.
class RowWriter {
public:
  /// Starts a new row if the present one is full.
  v1::StoredHandover &row() {
    if (m_rows.empty() || m_size > RowFillBytes) {
      m_rows.emplace_back();
      m_size = 0;
    }
    return m_rows.back();
  }

  void addRuns(const std::string &Worker, const HandoverRecord::Runs &Runs) {
    v1::StoredWorkerRuns *Stored = nullptr;
    v1::StoredJobTasks *Tasks = nullptr;
    for (const TaskName &Task : Runs.Tasks) {
      bool IsSameList = Tasks && Tasks->job() == Task.Job &&
                        Tasks->tasks_size() < MaxTasksPerList;
      if (!IsSameList) {
        bool IsNewRow = !Stored || m_size > RowFillBytes;
        if (IsNewRow) {
          Stored = row().add_workers();
          Stored->set_worker(Worker);
          Stored->set_remaining_ms(Runs.Remaining.count());
          Stored->set_incarnation(Runs.Incarnation.count());
          m_size += Worker.size();
        }
        Tasks = Stored->add_jobs();
        Tasks->set_job(Task.Job);
        m_size += Task.Job.size();
      }
      v1::StoredTaskIndex &Index = *Tasks->add_tasks();
      Index.set_occurrence(Task.Occurrence);
      Index.set_step(Task.Step);
      Index.set_index(Task.Index);
      Index.set_unseen(Runs.Unseen.count(Task) > 0);
      if (auto Young = Runs.Young.find(Task); Young != Runs.Young.end())
        setExtraField(Index, YoungField,
                      static_cast<uint64_t>(Young->second.count()));
      m_size += Index.ByteSizeLong() + sizeof(uint32_t);
    }
  }

  void addResolved(const std::string &Worker) {
    row().add_resolved_workers(Worker);
    m_size += Worker.size() + sizeof(uint32_t);
  }

  void addSilent(const std::string &Worker) {
    row().add_silent_workers(Worker);
    m_size += Worker.size() + sizeof(uint32_t);
  }

  std::vector<std::string> finish() {
    std::vector<std::string> Out;
    for (v1::StoredHandover &Row : m_rows) {
      Row.set_rows(static_cast<int>(m_rows.size()));
      Out.push_back(Row.SerializeAsString());
    }
    return Out;
  }

private:
  std::vector<v1::StoredHandover> m_rows;
  /// Approximate size of the last row.
  size_t m_size = 0;
};

bool isTimeValid(int64_t Milliseconds) {
  return Milliseconds >= 0 && Milliseconds <= MaxRemaining.count();
}

bool isRowValid(const v1::StoredHandover &Row, size_t Rows) {
  return Row.rows() == static_cast<int>(Rows) &&
         isTimeValid(Row.unknown_ms()) &&
         std::all_of(Row.workers().begin(), Row.workers().end(),
                     [](const v1::StoredWorkerRuns &Runs) {
                       return isTimeValid(Runs.remaining_ms());
                     });
}

} // namespace

RowAddress handoverAddress(int Shard, size_t Index) {
  return {.Table = HandoverTable,
          .Partition = shardPartition(Shard),
          .Key = fmt::format("runs-{:03}", Index)};
}

std::vector<std::string> encodeHandover(const HandoverRecord &Record) {
  RowWriter Writer;
  v1::StoredHandover &First = Writer.row();
  First.set_unknown_ms(Record.UnknownRemaining.count());
  First.set_unknown_version(Record.UnknownVersion);
  for (const std::string &Worker : Record.ResolvedWorkers)
    Writer.addResolved(Worker);
  for (const std::string &Worker : Record.SilentWorkers)
    Writer.addSilent(Worker);
  for (const auto &[Worker, Runs] : Record.Workers)
    Writer.addRuns(Worker, Runs);
  std::vector<std::string> Out = Writer.finish();
  bool Fits = Out.size() <= MaxRows &&
              std::all_of(Out.begin(), Out.end(), [](const std::string &Row) {
                return Row.size() <= MaxRowBytes;
              });
  return Fits ? Out : std::vector<std::string>();
}

Result<HandoverRecord> decodeHandover(const std::vector<std::string> &Rows) {
  HandoverRecord Out;
  for (const std::string &Row : Rows) {
    v1::StoredHandover From;
    if (!From.ParseFromString(Row) || !isRowValid(From, Rows.size()))
      return makeError(ResultCode::InvalidArgument,
                       "the rows are not a complete handover record");
    if (From.unknown_ms() > 0) {
      Out.UnknownRemaining = milliseconds(From.unknown_ms());
      Out.UnknownVersion = From.unknown_version();
    }
    Out.ResolvedWorkers.insert(From.resolved_workers().begin(),
                               From.resolved_workers().end());
    Out.SilentWorkers.insert(From.silent_workers().begin(),
                             From.silent_workers().end());
    for (const v1::StoredWorkerRuns &Stored : From.workers()) {
      HandoverRecord::Runs &Runs = Out.Workers[Stored.worker()];
      Runs.Remaining =
          std::max(Runs.Remaining, milliseconds(Stored.remaining_ms()));
      Runs.Incarnation = milliseconds(Stored.incarnation());
      for (const v1::StoredJobTasks &Tasks : Stored.jobs())
        for (const v1::StoredTaskIndex &Index : Tasks.tasks()) {
          TaskName Task{.Job = Tasks.job(),
                        .Occurrence = Index.occurrence(),
                        .Step = Index.step(),
                        .Index = Index.index()};
          if (Index.unseen())
            Runs.Unseen.insert(Task);
          uint64_t Young = extraField(Index, YoungField);
          if (Young > 0 && Young <= MaxRemaining.count())
            Runs.Young[Task] = milliseconds(Young);
          Runs.Tasks.insert(std::move(Task));
        }
    }
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
