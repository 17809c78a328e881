/// \file
/// The stand-in's platform and workers behind HTTP.
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

/// Sizes of the stand-in's fleet.
struct PlatformOptions {
  std::vector<std::string> Domains;
  uint32_t WorkersPerDomain = 3;
  uint32_t WorkersPerRack = 8;
  Resources Capacity{.Millicores = 32000, .MemoryMib = 125000};
  uint32_t Slots = 8;
};

/// What the stand-in saw, and every rule that was broken.
struct PlatformRecord {
  uint64_t Requests = 0;
  uint64_t Doubled = 0;
  uint64_t TaskStarts = 0;
  uint64_t TaskFinishes = 0;
  uint64_t TaskStops = 0;
  uint64_t Commits = 0;
  uint64_t Reads = 0;
  uint32_t MostRequestsAtOnce = 0;
  /// Requests that began three seconds or more after their worker was listed as
  /// leaving.
  uint64_t RequestsAtLeaving = 0;
  std::vector<std::string> Violations;
};

/// Tables, host list, workers and endpoints in one process. Every request is
/// handled under one lock.
class Platform {
public:
  explicit Platform(PlatformOptions Options);
  ~Platform();

  /// States the address that workers are reached under.
  void setAddress(std::string Address) { m_address = std::move(Address); }
  void handle(HttpRequest Request, Responder Answer);
  /// Lets tasks progress.
  void advance();

private:
  /// One worker with the requests that it answers.
  struct Worker {
    explicit Worker(Host Info, std::string Incarnation)
        : Model(std::move(Info), std::move(Incarnation)) {}
    WorkerModel Model;
    uint32_t InFlight = 0;
    bool Dead = false;
  };

  void addWorker(const std::string &Domain, uint32_t Index);
  HttpResponse scan(const HttpRequest &Request);
  HttpResponse commit(const HttpRequest &Request);
  HttpResponse hosts();
  HttpResponse control(const std::string &Query);
  HttpResponse record();
  void handleWorker(HttpRequest Request, Responder Answer);
  HttpResponse sync(Worker &Of, const HttpRequest &Request);
  void serveTask(const std::string &Name, const std::string &Task,
                 HttpRequest Request, Responder Answer);
  void finishTask(const std::string &Name, const std::string &Task,
                  HttpRequest Request, const std::shared_ptr<Responder> &To);
  void noteStart(const std::string &Name, const ModelTask &Task);
  void noteEnd(const std::string &Name, const ModelTask &Task);
  void violate(std::string What);
  milliseconds now() const;

  PlatformOptions m_options;
  std::string m_address;
  SystemClock m_time;
  TimePoint m_start;
  std::mutex m_lock;
  MemoryTables m_tables;
  std::map<std::string, Worker> m_workers;
  std::map<std::string, std::set<std::string>> m_running;
  std::set<TaskAttempt> m_started;
  /// Leaving workers with the time since when they are.
  std::map<std::string, milliseconds> m_leaving;
  std::map<std::string, uint32_t> m_requestIds;
  PlatformRecord m_record;
  bool m_storeDown = false;
  uint64_t m_incarnations = 0;
  EventLoop m_loop;
};

BASILCHUTE_NAMESPACE_END
