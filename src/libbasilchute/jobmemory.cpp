#include "libbasilchute/jobmemory.h"

#include "libbasilchute/jobestimate.h"
#include "libbasilchute/taskpages.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Memory of a queued task: its state, and its entries in the queue.
constexpr size_t BytesPerTask = sizeof(TaskState) + 128;
/// Memory of a job with a few tasks beside its specification.
constexpr size_t BytesPerJob = 2048;
/// A new job may take this part of the room that is left.
constexpr size_t PartsOfRoom = 8;
/// Time after which the reports of the owners include an accepted job.
constexpr milliseconds ReportLag{2000};
/// Weight of a second in the moving mean of what is freed.
constexpr double FreedGain = 0.1;
constexpr double LongestWait = 30;

} // namespace

size_t bytesOfSpec(const Job &Value) {
  size_t Out = Value.Id.size() + Value.Queue.size() + Value.Payload.size();
  for (const JobStep &Step : Value.Steps)
    Out += sizeof(JobStep) + 4 * sizeof(int) +
           Step.Predecessors.size() * sizeof(int) + Step.RequiredLabel.size() +
           Step.DataRack.size() + Step.Image.size();
  return Out;
}

// Of a schedule as many occurrences are at work as are due while one runs.
size_t expectedBytes(const Job &Value) {
  int64_t Tasks = 0;
  for (const JobStep &Step : Value.Steps)
    Tasks += Step.Count;
  int64_t Occurrences = Value.occurrences();
  if (Value.Interval.count() > 0)
    Occurrences =
        std::min(Occurrences, 1 + criticalPath(Value.Steps) / Value.Interval);
  Tasks = std::min(Tasks * Occurrences, static_cast<int64_t>(MaxQueuedTasks));
  return BytesPerJob + bytesOfSpec(Value) +
         static_cast<size_t>(Tasks) * BytesPerTask;
}

size_t queueLimit(size_t Bytes, size_t MaxBytes) {
  if (MaxBytes == 0 || Bytes < MaxBytes / 4)
    return MaxQueuedTasks;
  return Bytes < MaxBytes / 2 ? ReducedQueuedTasks : MinQueuedTasks;
}

bool JobMemory::isTooLarge(size_t Bytes, const JobMemoryState &State) {
  return State.MaxBytes > 0 && Bytes > State.MaxBytes / PartsOfRoom;
}

std::optional<Refusal> JobMemory::check(const std::string &JobId, size_t Bytes,
                                        const JobMemoryState &State,
                                        TimePoint Now) {
  if (State.MaxBytes == 0)
    return std::nullopt;
  update(State.Bytes, Now);
  size_t Taken = State.Bytes + m_acceptedBytes;
  size_t Room = State.MaxBytes - std::min(State.MaxBytes, Taken);
  // The other hosts may have accepted as much since the last reports.
  size_t OwnRoom = State.MaxBytes - std::min(State.MaxBytes, State.Bytes);
  bool IsWithinShare =
      m_acceptedBytes == 0 ||
      m_acceptedBytes + Bytes <= OwnRoom / std::max<size_t>(State.Hosts, 1);
  if (Bytes <= Room / PartsOfRoom && IsWithinShare)
    return std::nullopt;
  double Wait = LongestWait;
  size_t Needed = Bytes * PartsOfRoom;
  if (Needed <= Room)
    Wait = std::chrono::duration<double>(ReportLag).count();
  else if (m_freedPerSecond > 0)
    Wait = std::min(LongestWait,
                    static_cast<double>(Needed - Room) / m_freedPerSecond);
  return Refusal{
      .Reason = "memory",
      .Fields = fmt::format("job_kb={} jobs_kb={} accepted_kb={} max_kb={}",
                            Bytes / 1000, State.Bytes / 1000,
                            m_acceptedBytes / 1000, State.MaxBytes / 1000),
      .RetryAfter = retryAfter(JobId, Wait)};
}

void JobMemory::recordAccepted(size_t Bytes, TimePoint Now) {
  m_accepted.push_back({.At = Now, .Bytes = Bytes});
  m_acceptedBytes += Bytes;
}

void JobMemory::update(size_t Bytes, TimePoint Now) {
  while (!m_accepted.empty() && m_accepted.front().At + ReportLag < Now) {
    m_acceptedBytes -= m_accepted.front().Bytes;
    m_accepted.pop_front();
  }
  double Seconds =
      m_lastAt == TimePoint{}
          ? 0
          : std::min(std::chrono::duration<double>(Now - m_lastAt).count(),
                     1 / FreedGain);
  double Freed =
      Bytes < m_lastBytes ? static_cast<double>(m_lastBytes - Bytes) : 0;
  m_freedPerSecond += FreedGain * (Freed - Seconds * m_freedPerSecond);
  m_lastBytes = Bytes;
  m_lastAt = Now;
}

BASILCHUTE_NAMESPACE_END
