/// \file
/// Simulated platform with its workers, served over HTTP for tests.
#pragma once

#include "basilchute/clock.h"
#include "libutil/eventloop.h"
#include "libutil/httpserver.h"
#include "memory.tablestore/memorytables.h"
#include "testing/workermodel.h"

#include <map>
#include <mutex>
#include <set>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Number and size of the simulated workers.
struct PlatformOptions {
  std::vector<std::string> Domains;
  uint32_t WorkersPerDomain = 3;
  uint32_t WorkersPerRack = 8;
  Resources Capacity{.Millicores = 32000, .MemoryMib = 125000};
  uint32_t Slots = 8;
};

/// Counts of served operations, and all violated invariants.
struct PlatformRecord {
  uint64_t Requests = 0;
  /// Repeated runs of requests that are not idempotent.
  uint64_t Doubled = 0;
  uint64_t TaskStarts = 0;
  uint64_t TaskFinishes = 0;
  uint64_t TaskStops = 0;
  uint64_t Commits = 0;
  uint64_t Reads = 0;
  /// Highest number of requests in flight on one worker.
  uint32_t MostRequestsAtOnce = 0;
  /// Requests that arrived three seconds or more after their worker was listed
  /// as leaving.
  uint64_t RequestsAtLeaving = 0;
  /// Description of each violation.
  std::vector<std::string> Violations;
};

/// Table store, host list, workers and endpoints in one process. Requests are
/// handled under one lock.
class Platform {
public:
  explicit Platform(PlatformOptions Options);
  ~Platform();

  /// Sets the HOST:PORT under which the workers are reached.
  void setAddress(std::string Address) { m_address = std::move(Address); }
  void handle(HttpRequest Request, Responder Answer);
  /// Advances all tasks to the present time.
  void advance();

private:
  /// One worker with its number of requests in flight.
  struct Worker {
    explicit Worker(Host Info, std::string Incarnation)
        : Model(std::move(Info), std::move(Incarnation)) {}
    WorkerModel Model;
    uint32_t InFlight = 0;
    bool IsDead = false;
  };

  void addWorker(const std::string &Domain, uint32_t Index);
  HttpResponse scan(const HttpRequest &Request);
  HttpResponse commit(const HttpRequest &Request);
  HttpResponse hosts();
  HttpResponse control(const std::string &Query);
  HttpResponse record();
  void handleWorker(HttpRequest Request, Responder Answer);
  HttpResponse sync(Worker &Target, const HttpRequest &Request);
  void serveTask(const std::string &Name, const std::string &Task,
                 HttpRequest Request, Responder Answer);
  void finishTask(const std::string &Name, const std::string &Task,
                  HttpRequest Request,
                  const std::shared_ptr<Responder> &Answer);
  void onTaskStart(const std::string &Name, const ModelTask &Task);
  void onTaskEnd(const std::string &Name, const ModelTask &Task);
  void recordViolation(std::string Violation);
  milliseconds now() const;

  PlatformOptions m_options;
  std::string m_address;
  SystemClock m_time;
  TimePoint m_start;
  std::mutex m_lock;
  MemoryTables m_tables;
  std::map<std::string, Worker> m_workers;
  /// Workers that run each task, by task id.
  std::map<std::string, std::set<std::string>> m_workersByTask;
  std::set<TaskAttempt> m_startedAttempts;
  /// Leaving workers with the time since which each is listed as leaving.
  std::map<std::string, milliseconds> m_leavingSince;
  /// Number of runs by request id.
  std::map<std::string, uint32_t> m_runsByRequest;
  PlatformRecord m_record;
  bool m_isStoreDown = false;
  /// Number of incarnations of all workers so far.
  uint64_t m_incarnations = 0;
  EventLoop m_loop;
};

BASILCHUTE_NAMESPACE_END
