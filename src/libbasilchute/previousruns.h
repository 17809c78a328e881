/// \file
/// Tasks that previous owners of a shard may have left running.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/job.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What a new owner knows of runs that it did not start itself. A worker is
/// resolved once it has answered a poll of the new owner, so that it rejects
/// orders of previous owners and has reported its runs, or once its process has
/// certainly ended.
///
/// Two kinds of runs are kept apart:
/// - known runs: a previous owner has named the tasks by worker;
/// - unknown runs: any task of a job that is old enough may run on any worker
///   that is neither resolved now nor by a previous owner; a task whose place
///   is stored, on that worker only.
class PreviousRuns {
public:
  /// Known runs by worker.
  struct Known {
    std::set<TaskName> Tasks;
    /// Time by which all of them have ended.
    TimePoint EndsAt{};
  };

  /// Any task of a job that was accepted at a version up to \p Version may run
  /// until \p EndsAt on any worker but those in \p ResolvedBefore.
  void setUnknown(uint64_t Version, TimePoint EndsAt,
                  std::set<std::string> ResolvedBefore = {});
  /// Unknown runs have ended by \p EndsAt, if not by an earlier time.
  void limitUnknown(TimePoint EndsAt) {
    m_unknownEndsAt = std::min(m_unknownEndsAt, EndsAt);
  }
  /// \p Tasks may run on \p Worker until \p EndsAt.
  void addKnown(const std::string &Worker, const std::set<TaskName> &Tasks,
                TimePoint EndsAt);
  /// Adds a worker that may have unknown runs; no effect if a previous
  /// owner has resolved it.
  void addWorker(const std::string &Worker);
  /// Whether the list of workers is complete. As long as it is not, unknown
  /// runs may be on workers that addWorker() was not called for.
  void setListComplete(bool IsComplete) { m_isListComplete = IsComplete; }
  /// The row of \p Task's job names the only worker on which the task may run,
  /// also if that worker is in no list; empty if it runs nowhere. Must be
  /// called after setUnknown(), if at all.
  void setPlace(const TaskName &Task, const std::string &Worker);
  /// Marks \p Worker as resolved.
  void resolve(const std::string &Worker);
  /// A resolved worker has reported a run of \p Task. An owner starts a task
  /// only when the run before has certainly ended, so no run is elsewhere.
  void setReported(const TaskName &Task);
  /// Reverts setReported() as far as unknown runs are concerned. Must be called
  /// if the reported run ended in a way that a previous owner can have seen
  /// too, who may have started the task again.
  void clearReported(const TaskName &Task) { m_reported.erase(Task); }

  /// Returns true if a run of \p Task may be on a worker that is not resolved.
  /// \p Version is the version at which the task's job was accepted.
  bool mayRun(const TaskName &Task, uint64_t Version, TimePoint Now) const;
  /// Returns true if a run that a previous owner started may be on \p Worker.
  bool mayHaveRunsOn(const std::string &Worker, TimePoint Now) const;
  /// Returns true if there are no runs left to wait for.
  bool isResolved(TimePoint Now) const;
  /// Returns true if resolve() was called for \p Worker: it has answered, or
  /// its process is gone.
  bool isWorkerResolved(const std::string &Worker) const {
    return m_resolved.count(Worker) > 0;
  }
  /// Returns true while there may be unknown runs of a job that was accepted at
  /// \p Version, on workers that are not known either.
  bool isWithinUnknownTime(uint64_t Version, TimePoint Now) const {
    return Version <= m_unknownVersion && Now <= m_unknownEndsAt;
  }
  /// Returns the workers that are waited for.
  std::vector<std::string> workers(TimePoint Now) const;
  /// Returns the time by which all runs that are waited for have ended.
  TimePoint lastEnd(TimePoint Now) const;
  /// Returns the time by which all runs on \p Worker have ended.
  TimePoint endsAt(const std::string &Worker) const;
  /// Returns true while there may be unknown runs of tasks whose place is not
  /// stored.
  bool hasUnknown(TimePoint Now) const {
    return Now <= m_unknownEndsAt && (!m_isListComplete || !m_silent.empty());
  }
  uint64_t unknownVersion() const { return m_unknownVersion; }
  TimePoint unknownEndsAt() const { return m_unknownEndsAt; }
  const std::set<std::string> &resolvedBefore() const {
    return m_resolvedBefore;
  }
  /// Returns the workers that may have unknown runs.
  const std::set<std::string> &silent() const { return m_silent; }
  /// Returns the known runs on workers that are not resolved, by worker, and
  /// the unknown runs of tasks whose place is stored.
  std::map<std::string, Known> known(TimePoint Now) const;

private:
  /// Returns true while there may be unknown runs of tasks whose place is
  /// stored.
  bool hasUnknownPlaced(TimePoint Now) const {
    return Now <= m_unknownEndsAt && !m_silentPlaces.empty();
  }

  /// Time by which the known runs on a worker have ended.
  std::map<std::string, TimePoint> m_knownEnds;
  /// Workers with a known run, by task.
  std::map<TaskName, std::set<std::string>> m_workersOf;
  uint64_t m_unknownVersion = 0;
  TimePoint m_unknownEndsAt{};
  /// Workers that may have unknown runs.
  std::set<std::string> m_silent;
  std::set<std::string> m_resolvedBefore;
  std::set<std::string> m_resolved;
  /// Stored places, and those of them that are not resolved.
  std::map<TaskName, std::string> m_places;
  std::set<std::string> m_silentPlaces;
  std::set<TaskName> m_reported;
  bool m_isListComplete = true;
};

BASILCHUTE_NAMESPACE_END
