/// \file
/// States of the tasks of a job. Addresses jobs of many tasks, of which few
/// wait or run at a time.
#pragma once

#include "basilchute/clock.h"
#include "libbasilchute/crashhistory.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Phase of a task: without a run, with a run on a worker, or completed
/// successfully.
enum class TaskPhase { Waiting, Placed, Done };

/// One task of a job.
struct TaskState {
  TaskPhase Phase = TaskPhase::Waiting;
  /// Highest run number that was used.
  int LastRun = 0;
  /// Numbers of the runs that failed. A set, because a completion can be
  /// processed twice, by two owners, and the completions of two workers arrive
  /// in any order.
  std::set<int> FailedRuns;
  /// Newest checkpoint of any run; empty for none.
  std::string Checkpoint;
  /// Worker of the current run, or of the last one.
  std::string Worker;
  /// The task is not started before this time.
  TimePoint EarliestStart{};
  /// The last run was ordered but certainly never began.
  bool LastRunNeverBegan = false;
  /// Duration of the run that succeeded; zero if unknown.
  milliseconds Duration{0};
  /// Run number in the progress row when this owner read it; zero if none.
  int StoredRun = 0;
  /// The only worker on which a run may be, as it is to be stored; empty if
  /// there is certainly no run, no value if that is not known. Only for tasks
  /// that JobEntry::storesPlace().
  std::optional<std::string> Place;
  /// Number of runs that were stopped because they lagged.
  int SlowStops = 0;
  /// Number of fill runs that were stopped to go on on another worker.
  int FillMoves = 0;
  /// Crashes of workers under the task. For a member of a gang only the worker
  /// and incarnation are its own.
  CrashRecord Crash;
  /// When the task became ready, or ready again after a run ended. Also in
  /// another shard or under another owner.
  TimePoint WaitingSince{};
  /// Since when this owner has the task, if it has waited elsewhere before.
  TimePoint HereSince{};
  /// The present wait was reported as overdue.
  bool IsOverdue = false;
};

/// The task states of one job by position, in pages. A page takes memory from
/// the first access that may change one of its tasks, and in a large job until
/// compact() finds all of them done. Of such tasks only the phase and the
/// highest run number of all of them are kept.
class TaskPages {
public:
  static constexpr size_t PageSize = 16;
  /// Pages of smaller jobs are kept.
  static constexpr size_t MinCompactTasks = 1024;

  TaskPages() = default;
  TaskPages(const TaskPages &Other);
  TaskPages &operator=(const TaskPages &Other) = delete;

  void resize(size_t Tasks) { m_size = Tasks; }
  size_t size() const { return m_size; }
  TaskState &operator[](size_t Position);
  const TaskState &operator[](size_t Position) const;
  /// Sets the last run number of all tasks that are not done.
  void setFirstRun(int Run);
  /// Frees the page of \p Position if all its tasks are done.
  void compact(size_t Position);
  /// Frees all such pages.
  void compact();
  /// Returns true if the page of \p Position was freed by compact().
  bool isCompact(size_t Position) const {
    return pageKind(Position) == PageKind::Done;
  }
  /// Returns true if no task of the page of \p Position was changed.
  bool isUntouched(size_t Position) const {
    return pageKind(Position) == PageKind::Untouched;
  }
  /// Highest run number of the tasks whose pages were freed.
  int highestDoneRun() const { return m_done ? m_done->LastRun : 0; }
  /// Returns the memory of all pages in bytes, with what the owner of a shard
  /// keeps for a task elsewhere.
  size_t bytes() const;

  /// Calls \p Visit with the position and the state of each task whose page
  /// takes memory.
  template <typename Visitor> void forEach(const Visitor &Visit) {
    visit(*this, Visit);
  }
  template <typename Visitor> void forEach(const Visitor &Visit) const {
    visit(*this, Visit);
  }

private:
  enum class PageKind : unsigned char { Untouched, Present, Done };
  struct Page {
    PageKind Kind = PageKind::Untouched;
    std::unique_ptr<TaskState[]> Tasks;
  };

  template <typename Self, typename Visitor>
  static void visit(Self &Pages, const Visitor &Visit) {
    for (size_t Index = 0; Index < Pages.m_pages.size(); ++Index) {
      auto &Current = Pages.m_pages[Index];
      if (Current.Kind != PageKind::Present)
        continue;
      for (size_t Within = 0; Within < Pages.tasksIn(Index); ++Within)
        Visit(static_cast<int>(Index * PageSize + Within),
              Current.Tasks[Within]);
    }
  }
  PageKind pageKind(size_t Position) const {
    size_t Index = Position / PageSize;
    return Index < m_pages.size() ? m_pages[Index].Kind : PageKind::Untouched;
  }
  /// Returns the number of tasks in a page; the last one may have fewer.
  size_t tasksIn(size_t Index) const {
    return std::min(PageSize, m_size - Index * PageSize);
  }

  size_t m_size = 0;
  std::vector<Page> m_pages;
  /// Number of tasks in pages that take memory.
  size_t m_present = 0;
  TaskState m_untouched;
  /// State of the tasks whose pages were freed; null if there are none.
  std::unique_ptr<TaskState> m_done;
};

BASILCHUTE_NAMESPACE_END
