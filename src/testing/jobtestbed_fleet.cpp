// Planned and unplanned changes of hosts and workers.

#include "testing/jobtestbed.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time for which a process still runs after it has sent the removal of its
/// row.
constexpr milliseconds EndDelay{50};
/// Notice that an owner needs to move the tasks of a draining worker.
constexpr milliseconds MinNotice{1000};
/// Time after a host has heard of a lower capacity in which its orders that are
/// on their way may still be carried out.
constexpr milliseconds OrdersOnTheirWay{600};

} // namespace

Job longRunningJob(const std::string &Id, int Tasks, int Millicores) {
  Job Out = chainJob(Id, 1, Tasks);
  Out.Steps[0].LongRunning = true;
  Out.Steps[0].Demand.Millicores = Millicores;
  return Out;
}

void JobTestBed::restartHost(int Index, milliseconds Grace,
                             milliseconds Pause) {
  TestJobHost &Target = host(Index);
  if (!Target.Process || Target.IsStopping)
    return;
  trace(Index, "stopping", "");
  Target.IsStopping = true;
  deliver(Index, milliseconds(0),
          [this, Index] { host(Index).Process->leave(); });
  deliver(Index, Grace, [this, Index, Pause] {
    host(Index).Process->removeOwnRow();
    deliver(Index, EndDelay, [this, Index, Pause] {
      trace(Index, "stopped", "");
      int Ended = ++host(Index).Incarnation;
      host(Index).Process.reset();
      later(Pause, [this, Index, Ended] {
        if (host(Index).Incarnation == Ended)
          startHost(Index);
      });
    });
  });
}

int JobTestBed::addWorker() {
  m_workers.push_back(newWorker());
  ModelWorker &Added = *m_workers.back();
  m_workersById[Added.Entry.Id] = &Added;
  publishWorkers();
  return workers() - 1;
}

void JobTestBed::moveWorker(int Index) {
  worker(Index).crash();
  worker(Index).Entry.Address += "0";
  publishWorkers();
}

void JobTestBed::setCapacity(int Index, const Resources &Capacity) {
  worker(Index).setCapacity(
      Capacity, std::max(m_options.CapacityAllowance,
                         m_options.MaxListDelay + OrdersOnTheirWay));
  publishWorkers();
}

void JobTestBed::drainWorker(int Index, milliseconds Stay) {
  worker(Index).Entry.IsDraining = true;
  publishWorkers();
  bool IsPlanned = Stay >= m_options.MaxListDelay + MinNotice;
  later(Stay, [this, Index, IsPlanned] {
    worker(Index).IsDown = true;
    if (IsPlanned)
      worker(Index).leave();
    else
      worker(Index).crash();
    setWorkerListed(Index, false);
  });
}

void JobTestBed::loseWorker(int Index, milliseconds Listed) {
  worker(Index).IsDown = true;
  worker(Index).crash();
  later(Listed, [this, Index] { setWorkerListed(Index, false); });
}

void JobTestBed::crashWorkers(const std::vector<int> &Workers) {
  for (int Index : Workers)
    worker(Index).crashAndReturn();
}

void JobTestBed::endCrash(const std::string &Worker) {
  ModelWorker &Crashed = *workerById(Worker);
  if (m_options.Crashes != CrashStyle::Replaced) {
    Crashed.comeBack();
    publishWorkers();
    return;
  }
  for (int Index = 0; Index < workers(); ++Index)
    if (&worker(Index) == &Crashed)
      m_unlisted.insert(Index);
  m_workers.push_back(newWorker());
  ModelWorker &Added = *m_workers.back();
  Added.Entry.Address = Crashed.Entry.Address;
  Added.Approved = Crashed.Approved;
  m_workersById[Added.Entry.Id] = &Added;
  Crashed.ReplacedBy = &Added;
  publishWorkers();
}

bool JobTestBed::canRun(const Job &Value) const {
  return std::all_of(
      Value.Steps.begin(), Value.Steps.end(), [this](const JobStep &Step) {
        return std::any_of(
            m_workers.begin(), m_workers.end(),
            [&](const std::unique_ptr<ModelWorker> &Worker) {
              return Step.reservation().fits(Worker->Entry.Capacity) &&
                     (Step.RequiredLabel.empty() ||
                      Worker->Entry.hasLabel(Step.RequiredLabel));
            });
      });
}

void JobTestBed::countDownByTasks() {
  auto Down = std::count_if(m_workers.begin(), m_workers.end(),
                            [](const std::unique_ptr<ModelWorker> &Worker) {
                              return Worker->isDownByTask();
                            });
  m_maxDownByTasks = std::max(m_maxDownByTasks, static_cast<int>(Down));
}

bool JobTestBed::isWorkerUsable(int Index) {
  const ModelWorker &Worker = worker(Index);
  return !m_unlisted.count(Index) && !Worker.IsDown && !Worker.Hangs &&
         !Worker.Entry.IsDraining &&
         !m_evacuatedSince.count(Worker.Entry.FailureDomain);
}

bool JobTestBed::failTask(const TaskName &Task) {
  ModelWorker *Worker = workerById(Oracle.workerOf(Task));
  return Worker && Worker->fail(Task);
}

bool JobTestBed::isCalm() {
  if (Store.IsDown || Store.LostReplyPercent > 0 ||
      Store.DelayedCommitPercent > 0)
    return false;
  bool IsAnyHostUp = false;
  for (const TestJobHost &Host : m_hosts) {
    if (Host.IsPaused || Host.Store->IsRefused ||
        !Host.UnreachableWorkers.empty())
      return false;
    IsAnyHostUp |= Host.Process && !Host.IsStopping;
  }
  return IsAnyHostUp &&
         std::none_of(m_workers.begin(), m_workers.end(),
                      [](const std::unique_ptr<ModelWorker> &Worker) {
                        return Worker->DelayedStartPercent > 0;
                      });
}

void JobTestBed::checkRestarts() {
  RestartConditions Conditions{.Now = now(),
                               .LastFault = isCalm() ? m_lastKill : now()};
  for (int Index = 0; Index < workers(); ++Index) {
    Conditions.LastFault =
        std::max(Conditions.LastFault, worker(Index).lastCrash());
    if (isWorkerUsable(Index))
      Conditions.FreeCapacity.push_back(worker(Index).freeCapacity());
  }
  Restarts.check(Conditions, Oracle);
}

void JobTestBed::checkStops() {
  StopConditions Conditions{.Now = now(),
                            .LastFault = isCalm() ? m_lastKill : now()};
  for (int Index = 0; Index < workers(); ++Index) {
    Conditions.LastFault =
        std::max(Conditions.LastFault, worker(Index).lastCrash());
    if (m_unlisted.count(Index))
      Conditions.UnlistedWorkers.insert(worker(Index).Entry.Id);
  }
  Stops.check(Conditions, Oracle);
}

BASILCHUTE_NAMESPACE_END
