/// \file
/// Memory that accepted jobs take in the process that owns their shard, and the
/// refusal of jobs for it. Addresses clients whose short requests make jobs of
/// many tasks: the rows outlive each owner, so that every next one would run
/// out of memory too.
#pragma once

#include "basilchute/admission.h"
#include "basilchute/clock.h"
#include "basilchute/job.h"

#include <deque>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// Most waiting tasks of a job that an owner queues at a time.
inline constexpr size_t MaxQueuedTasks = 512;
/// The same once a quarter of the owner's memory for jobs is in use, and once
/// half of it is.
inline constexpr size_t ReducedQueuedTasks = 64;
inline constexpr size_t MinQueuedTasks = 16;

/// Returns the memory in bytes that the specification of a job takes.
size_t bytesOfSpec(const Job &Value);

/// Returns the memory in bytes that a job takes at most in its owner, as far as
/// that is known beforehand: its specification and the tasks that are queued at
/// a time.
size_t expectedBytes(const Job &Value);

/// Returns how many tasks of a job may be queued if an owner that can spare \p
/// MaxBytes for jobs (zero for no limit) needs \p Bytes.
size_t queueLimit(size_t Bytes, size_t MaxBytes);

/// Memory for jobs over all shards, as a host knows it.
struct JobMemoryState {
  /// Need of the owners for the jobs of all shards. Any host may have to own
  /// all of them.
  size_t Bytes = 0;
  /// Least memory that any host can spare for jobs; zero for no limit.
  size_t MaxBytes = 0;
  /// Number of hosts that accept jobs.
  size_t Hosts = 1;
};

/// Decides on new jobs by their memory. A job may take a part of the room that
/// is left, so that large jobs are refused long before small ones, and a crowd
/// of hosts that do not know yet what the others accept stays within the limit.
class JobMemory {
public:
  /// Returns true if no wait makes room for a job of \p Bytes.
  static bool isTooLarge(size_t Bytes, const JobMemoryState &State);
  /// Returns why a job of \p Bytes is refused at \p Now, or nothing. Call it in
  /// the order of time.
  std::optional<Refusal> check(const std::string &JobId, size_t Bytes,
                               const JobMemoryState &State, TimePoint Now);
  /// Records that a job of \p Bytes was accepted and is not reported yet.
  void recordAccepted(size_t Bytes, TimePoint Now);

private:
  void update(size_t Bytes, TimePoint Now);

  struct Accepted {
    TimePoint At;
    size_t Bytes;
  };
  std::deque<Accepted> m_accepted;
  size_t m_acceptedBytes = 0;
  /// Last known JobMemoryState::Bytes, and a moving mean of what ended jobs
  /// give back per second.
  size_t m_lastBytes = 0;
  TimePoint m_lastAt{};
  double m_freedPerSecond = 0;
};

BASILCHUTE_NAMESPACE_END
