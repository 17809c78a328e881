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
  if (!m_started.insert(Task.Id).second)
    violate(fmt::format("attempt {} of task {} starts a second time, on {}",
                        Task.Id.Attempt, Id, Worker));
  if (m_done.contains(Id))
    violate(fmt::format("task {} starts again after it was done", Id));
  if (Task.ResumedFrom.empty())
    return;
  if (!m_resumed.insert(Task.ResumedFrom + "@" + Id).second &&
      !m_lostSince.contains(Id))
    violate(fmt::format("task {} resumes twice from {}", Id, Task.ResumedFrom));
  m_lostSince.erase(Id);
}

void Oracle::onEnd(const std::string &Worker, const ModelTask &Task) {
  m_running[Task.Id.Task].erase(Worker);
  // An attempt that ended otherwise than by an order may be repeated from the
  // checkpoint that it began with.
  if (!Task.Stopping)
    m_lostSince.insert(Task.Id.Task);
}

void Oracle::onCapacity(const Host &Info, const Resources &Used) {
  if (Used.fits(Info.Capacity))
    return;
  violate(fmt::format("worker {} runs {} millicores and {} MiB of {} and {}",
                      Info.Worker, Used.Millicores, Used.MemoryMib,
                      Info.Capacity.Millicores, Info.Capacity.MemoryMib));
}

void Oracle::onWrite(const Write &What) {
  if (What.Remove)
    return;
  // A finish that a worker forgot before it could report it is unknown to all,
  // so only what a row says counts as done.
  if (What.Key.starts_with("task/")) {
    v1::TaskRow Task;
    if (Task.ParseFromString(What.Value) && Task.state() == v1::TASK_DONE)
      m_done.insert(Task.id());
    return;
  }
  if (!What.Key.starts_with(ShardPrefix))
    return;
  v1::ShardRow Row;
  Row.ParseFromString(What.Value);
  uint64_t &Epoch = m_epochs[What.Key];
  bool Claims = !Row.owner().empty();
  if (Claims ? Row.epoch() <= Epoch : Row.epoch() < Epoch)
    violate(
        fmt::format("epoch of {} does not grow at {}", What.Key, Row.epoch()));
  Epoch = Row.epoch();
}

BASILCHUTE_NAMESPACE_END
