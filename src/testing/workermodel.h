/// \file
/// The rules that a worker follows, without transport: leases, fencing and the
/// life of its tasks. The stand-in and the tests share it.
#pragma once

#include "basilchute/hostlist.h"
#include "basilchute/workerport.h"

#include <functional>
#include <map>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// One attempt on a worker.
struct ModelTask {
  TaskAttempt Id;
  AttemptState State = AttemptState::Running;
  Resources Demand;
  std::string Service;
  std::string Checkpoint;
  std::string ResumedFrom;
  milliseconds Work{0};
  milliseconds Progress{0};
  milliseconds LeaseEnd{0};
  uint32_t InFlight = 0;
  bool Stopping = false;
};

/// A worker's memory and behaviour. All times are on the worker's own clock.
class WorkerModel {
public:
  /// Called when an attempt begins and when it ends.
  std::function<void(const ModelTask &)> OnStart;
  std::function<void(const ModelTask &)> OnEnd;
  /// Returns where a service's task takes requests.
  std::function<std::string(const ModelTask &)> AddressOf;
  /// Returns true if the attempt fails as soon as it runs.
  std::function<bool(const ModelTask &)> FailsAtOnce;

  WorkerModel(Host Info, std::string Incarnation)
      : m_info(std::move(Info)), m_incarnation(std::move(Incarnation)) {}

  /// Carries \p Request out and reports.
  WorkerReport sync(const WorkerSync &Request, milliseconds Now);
  /// Lets tasks progress to \p Now, finish, and lose their leases.
  void advance(milliseconds Now);
  /// Ends all tasks and forgets everything, as a restart does.
  void restart(std::string Incarnation);

  const Host &info() const { return m_info; }
  Host &info() { return m_info; }
  std::map<std::string, ModelTask> &tasks() { return m_tasks; }
  /// Demand of all running attempts.
  Resources used() const;

private:
  ResultCode judge(const WorkerSync &Request, milliseconds Now) const;
  void obey(const Order &What, milliseconds LeaseEnd, milliseconds Now);
  void start(const Order &What, milliseconds LeaseEnd);
  void checkpoint(ModelTask &Task);
  void end(ModelTask &Task, AttemptState State);

  Host m_info;
  std::string m_incarnation;
  uint64_t m_epoch = 0;
  milliseconds m_now{0};
  milliseconds m_lastReported{0};
  /// Newest stamp that orders were taken with; each is taken once.
  milliseconds m_lastAccepted{-1};
  std::map<std::string, ModelTask> m_tasks;
};

/// Oldest echoed stamp that a worker accepts.
inline constexpr milliseconds MaxStampAge{5000};

BASILCHUTE_NAMESPACE_END
