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
  if (m_finishes[Id] > 0)
    violate(fmt::format("task {} starts again after it finished", Id));
}

void Oracle::onEnd(const std::string &Worker, const ModelTask &Task) {
  m_running[Task.Id.Task].erase(Worker);
  if (Task.State == AttemptState::Finished)
    ++m_finishes[Task.Id.Task];
}

void Oracle::onCapacity(const Host &Info, const Resources &Used) {
  if (Used.fits(Info.Capacity))
    return;
  violate(fmt::format("worker {} runs {} millicores and {} MiB of {} and {}",
                      Info.Worker, Used.Millicores, Used.MemoryMib,
                      Info.Capacity.Millicores, Info.Capacity.MemoryMib));
}

void Oracle::onWrite(const Write &What) {
  if (!What.Key.starts_with(ShardPrefix) || What.Remove)
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
