#include "libbasilchute/taskpages.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Memory of a task's entry in the queue of waiting tasks, and of the texts in
/// its state.
constexpr size_t BytesBesideState = 128;

} // namespace

TaskPages::TaskPages(const TaskPages &Other)
    : m_size(Other.m_size), m_present(Other.m_present),
      m_untouched(Other.m_untouched) {
  if (Other.m_done)
    m_done = std::make_unique<TaskState>(*Other.m_done);
  m_pages.resize(Other.m_pages.size());
  for (size_t Index = 0; Index < m_pages.size(); ++Index) {
    const Page &From = Other.m_pages[Index];
    m_pages[Index].Kind = From.Kind;
    if (From.Kind != PageKind::Present)
      continue;
    m_pages[Index].Tasks = std::make_unique<TaskState[]>(tasksIn(Index));
    std::copy_n(From.Tasks.get(), tasksIn(Index), m_pages[Index].Tasks.get());
  }
}

TaskState &TaskPages::operator[](size_t Position) {
  size_t Index = Position / PageSize;
  if (Index >= m_pages.size())
    m_pages.resize(Index + 1);
  Page &Current = m_pages[Index];
  if (Current.Kind != PageKind::Present) {
    Current.Tasks = std::make_unique<TaskState[]>(tasksIn(Index));
    std::fill_n(Current.Tasks.get(), tasksIn(Index),
                Current.Kind == PageKind::Done ? *m_done : m_untouched);
    Current.Kind = PageKind::Present;
    m_present += tasksIn(Index);
  }
  return Current.Tasks[Position % PageSize];
}

const TaskState &TaskPages::operator[](size_t Position) const {
  switch (pageKind(Position)) {
  case PageKind::Untouched:
    return m_untouched;
  case PageKind::Done:
    return *m_done;
  case PageKind::Present:
    break;
  }
  return m_pages[Position / PageSize].Tasks[Position % PageSize];
}

void TaskPages::setFirstRun(int Run) {
  m_untouched.LastRun = Run;
  forEach([Run](int, TaskState &Task) { Task.LastRun = Run; });
}

void TaskPages::compact(size_t Position) {
  size_t Index = Position / PageSize;
  if (m_size < MinCompactTasks || pageKind(Position) != PageKind::Present)
    return;
  Page &Current = m_pages[Index];
  size_t Count = tasksIn(Index);
  bool AreDone = std::all_of(
      Current.Tasks.get(), Current.Tasks.get() + Count,
      [](const TaskState &Task) { return Task.Phase == TaskPhase::Done; });
  if (!AreDone)
    return;
  if (!m_done)
    m_done = std::make_unique<TaskState>(TaskState{.Phase = TaskPhase::Done});
  for (size_t Within = 0; Within < Count; ++Within)
    m_done->LastRun = std::max(m_done->LastRun, Current.Tasks[Within].LastRun);
  Current.Tasks.reset();
  Current.Kind = PageKind::Done;
  m_present -= Count;
}

void TaskPages::compact() {
  if (m_size < MinCompactTasks)
    return;
  for (size_t Index = 0; Index < m_pages.size(); ++Index)
    compact(Index * PageSize);
}

size_t TaskPages::bytes() const {
  return m_present * (sizeof(TaskState) + BytesBesideState) +
         m_pages.capacity() * sizeof(Page);
}

BASILCHUTE_NAMESPACE_END
