#include "libbasilchute/rows.h"
#include "testing/testbed.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

void Oracle::onStart(const std::string &Worker, const ModelTask &Task) {
  const std::string &Id = Task.Id.Task;
  ++m_starts[Id];
  if (!m_running[Id].empty())
    violate(fmt::format("task {} attempt {} starts on {} while running on {}",
                        Id, Task.Id.Attempt, Worker, *m_running[Id].begin()));
  m_running[Id].insert(Worker);
  if (!m_startedAttempts.insert(Task.Id).second)
    violate(fmt::format("attempt {} of task {} starts again on {}",
                        Task.Id.Attempt, Id, Worker));
  if (m_doneTasks.contains(Id))
    violate(fmt::format("task {} starts again after it was done", Id));
  if (Task.ResumedFrom.empty())
    return;
  if (!m_resumedCheckpoints.insert(Task.ResumedFrom + "@" + Id).second &&
      !m_interruptedTasks.contains(Id))
    violate(fmt::format("task {} resumes twice from {}", Id, Task.ResumedFrom));
  m_interruptedTasks.erase(Id);
}

void Oracle::onEnd(const std::string &Worker, const ModelTask &Task) {
  m_running[Task.Id.Task].erase(Worker);
  // A task whose attempt ended without a stop order may resume again from the
  // checkpoint that the attempt had resumed from.
  if (!Task.IsStopping)
    m_interruptedTasks.insert(Task.Id.Task);
}

void Oracle::onCapacity(const Host &Info, const Resources &Used) {
  if (Used.fits(Info.Capacity))
    return;
  violate(fmt::format("capacity of worker {} exceeded: tasks use {} millicores "
                      "and {} MiB of {} "
                      "millicores and {} MiB",
                      Info.Worker, Used.Millicores, Used.MemoryMib,
                      Info.Capacity.Millicores, Info.Capacity.MemoryMib));
}

void Oracle::onWrite(const Write &Applied) {
  if (Applied.Remove)
    return;
  // If a worker loses a completion before it reports it, no scheduler learns of
  // it. Therefore only a task row in state done counts as done.
  if (Applied.Key.starts_with("task/")) {
    v1::TaskRow Task;
    if (Task.ParseFromString(Applied.Value) && Task.state() == v1::TASK_DONE)
      m_doneTasks.insert(Task.id());
    return;
  }
  if (!Applied.Key.starts_with(ShardPrefix))
    return;
  v1::ShardRow Row;
  Row.ParseFromString(Applied.Value);
  uint64_t &Epoch = m_epochs[Applied.Key];
  bool IsClaim = !Row.owner().empty();
  if (IsClaim ? Row.epoch() <= Epoch : Row.epoch() < Epoch)
    violate(fmt::format("epoch of {} does not increase at {}", Applied.Key,
                        Row.epoch()));
  Epoch = Row.epoch();
}

BASILCHUTE_NAMESPACE_END
