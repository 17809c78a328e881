/// \file
/// Model of a worker without transport: leases, fencing and the life cycle of
/// its tasks. Shared by the platform stand-in and the tests.
#pragma once

#include "basilchute/hostlist.h"
#include "basilchute/workerport.h"

#include <functional>
#include <map>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// One task attempt on a worker.
struct ModelTask {
  TaskAttempt Id;
  AttemptState State = AttemptState::Running;
  Resources Demand;
  std::string Service;
  std::string Checkpoint;
  std::string ResumedFrom;
  /// Run time that the task needs to finish.
  milliseconds Work{0};
  milliseconds Progress{0};
  milliseconds LeaseEnd{0};
  /// Requests that a service's replica is processing.
  uint32_t InFlight = 0;
  /// A stop was ordered; the attempt ends once no request is in flight.
  bool IsStopping = false;
};

/// State and behaviour of one worker. All times are on the worker's own clock.
class WorkerModel {
public:
  /// Called when an attempt starts and when it ends.
  std::function<void(const ModelTask &)> OnStart;
  std::function<void(const ModelTask &)> OnEnd;
  /// Returns the address at which a service's task accepts requests.
  std::function<std::string(const ModelTask &)> AddressOf;
  /// Returns true if the attempt fails as soon as it starts.
  std::function<bool(const ModelTask &)> ShouldFailOnStart;

  WorkerModel(Host Info, std::string Incarnation)
      : m_info(std::move(Info)), m_incarnation(std::move(Incarnation)) {}

  /// Validates \p Request, executes its orders and returns a report.
  SyncReply sync(const SyncRequest &Request, milliseconds Now);
  /// Advances all tasks to \p Now: they progress, finish, or stop because their
  /// lease expired or a stop was ordered.
  void advance(milliseconds Now);
  /// Simulates a restart: stops all tasks and drops all state.
  void restart(std::string Incarnation);

  const Host &info() const { return m_info; }
  Host &info() { return m_info; }
  std::map<std::string, ModelTask> &tasks() { return m_tasks; }
  /// Demand of all running attempts.
  Resources used() const;

private:
  ResultCode validate(const SyncRequest &Request, milliseconds Now) const;
  void execute(const Order &NewOrder, milliseconds LeaseEnd, milliseconds Now);
  void start(const Order &NewOrder, milliseconds LeaseEnd);
  void checkpoint(ModelTask &Task);
  void end(ModelTask &Task, AttemptState State);

  Host m_info;
  std::string m_incarnation;
  uint64_t m_epoch = 0;
  milliseconds m_now{0};
  /// Stamp of the last report; stamps strictly increase.
  milliseconds m_lastReportedStamp{0};
  /// Newest echoed stamp that a request with orders was accepted with; each
  /// stamp is accepted once.
  milliseconds m_lastAcceptedStamp{-1};
  std::map<std::string, ModelTask> m_tasks;
};

/// Maximum age of an echoed stamp that a worker accepts.
inline constexpr milliseconds MaxStampAge{5000};

BASILCHUTE_NAMESPACE_END
