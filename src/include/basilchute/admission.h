/// \file
/// Decision whether a new job is accepted, from the load that the shards'
/// owners report. Addresses long-running jobs that take the room which short
/// jobs need, and a backlog in which new jobs would end without value.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/job.h"
#include "basilchute/shardchoice.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Kinds of jobs, by the resources for which they compete.
enum class JobKind {
  /// Ends, and reserves processors.
  Finite,
  /// Ends, and uses processor time that other tasks leave.
  Fill,
  /// Has tasks that run until it is cancelled. Only these count.
  LongRunning,
};

/// Properties of a job on which its admission depends.
struct AdmissionDemand {
  std::string JobId;
  std::string Queue;
  JobKind Kind = JobKind::Finite;
  /// Priority of the queue; zero is the highest.
  int Priority = 0;
  /// The most of each resource that any task needs.
  Resources LargestTask;
  size_t Tasks = 0;
  /// Maximum number of tasks on one worker; zero for no limit.
  size_t MaxPerWorker = 0;
  /// Work in millicores times seconds; zero for a long-running job.
  double Work = 0;
  /// Run time of the longest chain of steps, by the submitter's estimates.
  milliseconds Chain{0};
  /// Time within which the job should end; zero if it may end at any time.
  milliseconds Objective{0};
};

/// Returns the demand of \p Value, which is submitted to \p Queue.
AdmissionDemand admissionDemandOf(const Job &Value, const JobQueue &Queue);

/// Why a job is refused.
struct Refusal {
  /// Name of the reason in logs and counters: "no_room" (long-running), "late"
  /// (finite) or "fill_late".
  std::string Reason;
  /// The inputs of the decision as key=value fields.
  std::string Fields;
  /// Time after which a caller should try again, spread by the job's id so that
  /// callers do not return together.
  std::chrono::seconds RetryAfter{0};
};

/// Returns the number of tasks of \p Task for which the open workers of a shard
/// have room, with at most \p MaxPerWorker on one worker (zero for no limit)
/// and less the long-running tasks that wait there.
size_t openTasks(const ShardLoad &Load, const Resources &Task,
                 size_t MaxPerWorker);

/// Returns \p Wait in whole seconds from 1 to 30, and up to half as much more
/// by a hash of the job's id.
std::chrono::seconds retryAfter(const std::string &JobId, double WaitSeconds);

/// Returns the room for finite work in millicores: the measured demand at the
/// target utilization, between the least and the most fraction of the capacity.
int64_t roomForFiniteWork(const ShardLoad &Load);

/// Keeps the last reports on all shards and what this host has accepted since.
///
/// Not thread-safe.
class Admission {
public:
  /// Records the report \p Number that the owner of epoch \p Epoch has written.
  /// A report that is already known is ignored.
  void setReport(int Shard, uint64_t Epoch, uint64_t Number,
                 const ShardLoad &Load, TimePoint Now);
  /// Returns why the job is refused, or nothing if it is accepted. \p Shards
  /// are all shards that can run the job and \p Hosts is the number of hosts
  /// that accept jobs. A job is accepted if the load of one of the shards is
  /// not known.
  std::optional<Refusal> check(const AdmissionDemand &Demand,
                               const std::vector<int> &Shards, size_t Hosts,
                               TimePoint Now) const;
  /// Records that this host has accepted the job, once for each id.
  void recordAccepted(const AdmissionDemand &Demand, TimePoint Now);
  void recordRefused(const AdmissionDemand &Demand, const Refusal &Why) {
    ++m_refusals[{Demand.Queue, Why.Reason}];
  }

  /// Number of refusals by queue and reason.
  using Counts = std::map<std::pair<std::string, std::string>, uint64_t>;
  const Counts &refusals() const { return m_refusals; }
  /// Returns the sum of roomForFiniteWork() over all shards, by the last
  /// reports.
  int64_t roomForFiniteWork() const;

private:
  /// The last two reports on a shard by the same owner.
  struct KnownReports {
    uint64_t Epoch = 0;
    uint64_t Number = 0;
    TimePoint SeenAt{};
    ShardLoad Last;
    std::optional<ShardLoad> Previous;
  };
  struct Accepted {
    TimePoint At{};
    AdmissionDemand Demand;
  };

  /// Returns the reports on \p Shards, none if one is missing or too old.
  std::vector<const KnownReports *>
  currentReports(const std::vector<int> &Shards, TimePoint Now) const;
  static TimePoint oldest(const std::vector<const KnownReports *> &Reports);
  std::optional<Refusal>
  checkLongRunning(const AdmissionDemand &Demand,
                   const std::vector<const KnownReports *> &Reports,
                   size_t Hosts, TimePoint Now) const;
  std::optional<Refusal>
  checkFinite(const AdmissionDemand &Demand,
              const std::vector<const KnownReports *> &Reports) const;
  std::optional<Refusal>
  checkFill(const AdmissionDemand &Demand,
            const std::vector<const KnownReports *> &Reports) const;
  /// Returns the work of jobs of \p Kind with \p Priority or a higher one that
  /// this host has accepted and that no report since \p ReportedAt includes.
  double acceptedWork(JobKind Kind, int Priority, TimePoint ReportedAt) const;

  std::map<int, KnownReports> m_reports;
  std::deque<Accepted> m_accepted;
  Counts m_refusals;
};

BASILCHUTE_NAMESPACE_END
