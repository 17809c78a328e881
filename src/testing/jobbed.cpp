#include "testing/jobbed.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds Tick{25};
constexpr milliseconds OrderTimeout{500};
constexpr milliseconds LookPoll{20};
constexpr milliseconds Patience{2800};
constexpr milliseconds ApprovalTime{20};
constexpr const char *Queue = "queue";
constexpr const char *Service = "service";

Error noAnswer() { return makeError(ResultCode::OutcomeUnknown, "no answer"); }

} // namespace

Job chainJob(const std::string &Id, int Steps, int Width,
             milliseconds Estimate) {
  Job Out{.Id = Id, .Queue = Queue, .Payload = "work"};
  for (int Each = 0; Each < Steps; ++Each) {
    JobStep Step{.Count = Width,
                 .Demand = {.Millicores = 1000, .MemoryMib = 1000},
                 .Estimate = Estimate};
    if (Each > 0)
      Step.After = {Each - 1};
    Out.Steps.push_back(Step);
  }
  return Out;
}

void ModelApprovals::ask(const StepName &Step, std::vector<std::string> Workers,
                         Done Answer) {
  ++m_bed.ApprovalCalls;
  if (m_bed.ApprovalsDown) {
    m_bed.deliver(m_host, OrderTimeout, [Answer] {
      Answer(makeError(ResultCode::Overloaded, "too many calls wait"));
    });
    return;
  }
  std::vector<Approval> Out;
  for (const std::string &Each : Workers) {
    ModelWorker *At = m_bed.workerById(Each);
    if (At && At->approves(Step))
      Out.push_back({.Worker = Each, .Ticket = At->ticketFor(Step)});
  }
  milliseconds Took = ApprovalTime * (1 + static_cast<int>(Workers.size()));
  m_bed.deliver(m_host, Took, [Answer, Out] { Answer(Out); });
}

void HostTaskWorkers::spend(std::function<void()> Action) {
  nanoseconds Cost = m_bed.options().OrderCost;
  if (Cost.count() == 0) {
    Action();
    return;
  }
  m_busyUntil = std::max(m_busyUntil, m_bed.now()) + Cost;
  m_bed.deliver(m_host, m_busyUntil - m_bed.now(), std::move(Action));
}

void HostTaskWorkers::send(std::function<void()> Action) {
  spend([this, Action = std::move(Action)] {
    m_bed.later(m_bed.options().Way, Action);
  });
}

void HostTaskWorkers::answer(milliseconds Delay, std::function<void()> Action) {
  m_bed.deliver(m_host, Delay,
                [this, Action = std::move(Action)] { spend(Action); });
}

void HostTaskWorkers::start(const WorkerEntry &To, StartOrder Order,
                            StartDone Answered) {
  m_mostStarts = std::max(m_mostStarts, ++m_starts);
  StartDone Done = [this, Answered](Result<StartReply> Answer) {
    --m_starts;
    Answered(std::move(Answer));
  };
  ModelWorker *At = m_bed.workerById(To.Id);
  if (!At || At->Down || m_bed.host(m_host).CutWorkers.count(To.Id)) {
    answer(OrderTimeout, [Done] { Done(noAnswer()); });
    return;
  }
  if (m_bed.Store.chance(At->LatePercent)) {
    // The order waits inside the worker and dies with it.
    m_bed.later(m_bed.Store.between(2000, 12000),
                [At, Order, Life = At->life()] {
                  if (!At->Down && At->life() == Life)
                    (void)At->start(Order);
                });
    answer(OrderTimeout, [Done] { Done(noAnswer()); });
    return;
  }
  send([this, At, Order, Done] {
    if (At->Down) {
      answer(OrderTimeout, [Done] { Done(noAnswer()); });
      return;
    }
    Result<StartReply> Out = At->start(Order);
    m_lateStarts +=
        Out.has_value() && Out.value().Outcome == StartOutcome::TooLate;
    answer(m_bed.options().Way, [Done, Out] { Done(Out); });
  });
}

void HostTaskWorkers::stop(const WorkerEntry &To, StopOrder Order,
                           OrderDone Done) {
  ModelWorker *At = m_bed.workerById(To.Id);
  if (!At || At->Down || m_bed.host(m_host).CutWorkers.count(To.Id)) {
    answer(OrderTimeout, [Done] { Done(noAnswer()); });
    return;
  }
  send([this, At, Order, Done] {
    Status Out = At->Down ? Status(noAnswer()) : At->stop(Order);
    answer(m_bed.options().Way, [Done, Out] { Done(Out); });
  });
}

void HostTaskWorkers::pace(const WorkerEntry &, PaceOrder, OrderDone Done) {
  answer(m_bed.options().Way, [Done] { Done(okStatus()); });
}

void HostTaskWorkers::look(const WorkerEntry &To, LookOrder Order,
                           LookDone Done) {
  spend([this, Id = To.Id, Order, Done] { lookAt(Id, Order, Done); });
}

// The worker answers as soon as there is an end to tell of.
void HostTaskWorkers::lookAt(const std::string &Worker, const LookOrder &Order,
                             const LookDone &Done) {
  ModelWorker *At = m_bed.workerById(Worker);
  if (!At || At->Down || m_bed.host(m_host).CutWorkers.count(Worker)) {
    answer(Order.Wait + OrderTimeout, [Done] { Done(noAnswer()); });
    return;
  }
  m_bed.later(m_bed.options().Way, [this, At, Order, Done] {
    if (At->Down) {
      answer(OrderTimeout, [Done] { Done(noAnswer()); });
      return;
    }
    Result<LookReply> Out = At->look(Order);
    if (!Out.has_value() || At->hasUnnoted() || Order.Wait < LookPoll) {
      answer(m_bed.options().Way, [Done, Out] { Done(Out); });
      return;
    }
    LookOrder Rest = Order;
    Rest.Wait -= LookPoll;
    m_bed.later(LookPoll, [this, Id = At->Entry.Id, Rest, Done] {
      lookAt(Id, Rest, Done);
    });
  });
}

JobBed::JobBed(JobBedOptions Options)
    : Store(
          [this](milliseconds Delay, std::function<void()> Action) {
            later(Delay, std::move(Action));
          },
          Options.Seed),
      m_options(Options), m_hosts(static_cast<size_t>(Options.Hosts)) {
  auto Queues = std::make_shared<JobQueues>();
  (*Queues)[Queue] = {.Name = Queue,
                      .Service = Service,
                      .MaxAttempts = Options.MaxAttempts,
                      .SlackFactor = SlackFactor,
                      .TargetDuration = TargetDuration,
                      .ApprovalValidity = Options.ApprovalValidity};
  m_queues = Queues;
  for (int Each = 0; Each < Options.Workers; ++Each) {
    m_workers.push_back(std::make_unique<ModelWorker>(
        WorkerEntry{.Id = fmt::format("w{}", Each),
                    .Service = Service,
                    .Capacity = Options.WorkerCapacity},
        Oracle, [this] { return now(); }));
    m_workers.back()->FailPercent = Options.FailPercent;
    m_workers.back()->NeedsTicket = Options.ApprovalValidity.count() > 0;
    m_workers.back()->Approved = Each % 2 == 0;
    m_workersById[m_workers.back()->Entry.Id] = m_workers.back().get();
  }
  for (int Each = 0; Each < Options.Hosts; ++Each)
    boot(Each);
  tickAll();
}

void JobBed::later(nanoseconds Delay, std::function<void()> Action) {
  m_events.push({now() + Delay, m_order++, std::move(Action)});
}

void JobBed::deliver(int Host, nanoseconds Delay,
                     std::function<void()> Action) {
  int Life = host(Host).Life;
  later(Delay, [this, Host, Life, Action = std::move(Action)] {
    JobBedHost &To = host(Host);
    if (To.Life != Life || !To.Core)
      return;
    if (To.Frozen)
      To.Backlog.push_back(Action);
    else
      Action();
  });
}

void JobBed::boot(int Index) {
  JobBedHost &To = host(Index);
  ++To.Life;
  To.Frozen = false;
  To.Backlog.clear();
  auto Deliver = [this, Index](milliseconds Delay,
                               std::function<void()> Action) {
    deliver(Index, Delay, std::move(Action));
  };
  bool Refused = To.Store && To.Store->Refused;
  if (To.Store) {
    m_formerStores.push_back(std::move(To.Store));
    m_formerWorkers.push_back(std::move(To.Workers));
    m_formerApprovals.push_back(std::move(To.Approvals));
  }
  To.Store = std::make_unique<HostRowStore>(Store, Deliver);
  To.Store->Refused = Refused;
  To.Workers = std::make_unique<HostTaskWorkers>(*this, Index);
  To.Approvals = std::make_unique<ModelApprovals>(*this, Index);
  To.Core = std::make_unique<JobHost>(
      JobHostOptions{
          .HostName = fmt::format("host-{}", Index),
          .StartId = fmt::format("{}", To.Life),
          .LeastShards = m_options.Shards,
          .After = Deliver,
          .RefreshFleet =
              [this, Deliver, Index] {
                if (Store.Down || host(Index).Store->Refused)
                  return;
                Deliver(Store.Delay, [this, Index, Fleet = fleet()] {
                  giveFleet(host(Index), Fleet);
                });
              },
          .WallTime =
              [this] {
                return std::chrono::duration_cast<milliseconds>(
                    now().time_since_epoch());
              },
          .Log =
              [this, Index](std::string_view Event, std::string_view Fields) {
                trace(Index, Event, Fields);
              }},
      *To.Store, *To.Workers, To.Approvals.get(), m_clock);
  trace(Index, "booted", "");
  To.Core->setQueues(m_queues);
  To.Core->start();
  publishWorkers();
}

void JobBed::trace(int Host, std::string_view Event,
                   std::string_view Fields) const {
  if (m_options.Trace)
    fmt::print("{:9.3f} host-{} {} {}\n",
               std::chrono::duration<double>(now().time_since_epoch()).count(),
               Host, Event, Fields);
}

void JobBed::kill(int Index) {
  trace(Index, "killed", "");
  JobBedHost &To = host(Index);
  ++To.Life;
  To.Core.reset();
  To.Backlog.clear();
}

void JobBed::thaw(int Index) {
  JobBedHost &To = host(Index);
  To.Frozen = false;
  std::vector<std::function<void()>> Backlog = std::move(To.Backlog);
  To.Backlog.clear();
  for (const std::function<void()> &Each : Backlog)
    if (To.Core)
      Each();
}

int JobBed::owner() const {
  for (size_t Each = 0; Each < m_hosts.size(); ++Each)
    if (m_hosts[Each].Core && m_hosts[Each].Core->ownedShards() > 0)
      return static_cast<int>(Each);
  return -1;
}

ModelWorker *JobBed::workerById(const std::string &Id) {
  auto Found = m_workersById.find(Id);
  return Found == m_workersById.end() ? nullptr : Found->second;
}

void JobBed::list(int Worker, bool Listed) {
  if (Listed)
    m_unlisted.erase(Worker);
  else
    m_unlisted.insert(Worker);
  publishWorkers();
}

std::vector<WorkerEntry> JobBed::fleet() {
  std::vector<WorkerEntry> Out;
  for (int Each = 0; Each < workers(); ++Each)
    if (!m_unlisted.count(Each))
      Out.push_back(worker(Each).Entry);
  return Out;
}

void JobBed::publishWorkers() {
  std::vector<WorkerEntry> Fleet = fleet();
  for (JobBedHost &Each : m_hosts)
    if (Each.Core && !Each.Frozen)
      giveFleet(Each, Fleet);
}

void JobBed::giveFleet(JobBedHost &To, const std::vector<WorkerEntry> &Fleet) {
  To.Core->setFleet(Fleet);
  To.Core->noteFleet(now());
}

void JobBed::tickAll() {
  for (const std::unique_ptr<ModelWorker> &Each : m_workers)
    Each->advance();
  for (JobBedHost &Each : m_hosts)
    if (Each.Core && !Each.Frozen)
      Each.Core->tick();
  later(Tick, [this] { tickAll(); });
}

void JobBed::run(milliseconds Span) {
  TimePoint Until = now() + Span;
  while (!m_events.empty() && m_events.top().At <= Until) {
    Event Next = m_events.top();
    m_events.pop();
    if (Next.At > now())
      m_clock.advance(Next.At - now());
    Next.Action();
  }
  m_clock.advance(Until - now());
}

bool JobBed::runUntil(const std::function<bool()> &Holds, milliseconds Most) {
  TimePoint Until = now() + Most;
  while (!Holds()) {
    if (now() >= Until)
      return false;
    run(Tick);
  }
  return true;
}

Status JobBed::submit(int Host, const Job &Value) {
  Oracle.addJob({.Spec = Value, .MaxAttempts = m_options.MaxAttempts});
  auto Out = std::make_shared<std::optional<Status>>();
  if (!host(Host).Core)
    return noAnswer();
  host(Host).Core->desk().submit(Value, now() + Patience,
                                 [Out](const Status &Done) { *Out = Done; });
  runUntil([Out] { return Out->has_value(); }, Patience * 2);
  return *Out ? **Out : Status(noAnswer());
}

Status JobBed::cancel(int Host, const std::string &Id) {
  auto Out = std::make_shared<std::optional<Status>>();
  if (!host(Host).Core)
    return noAnswer();
  host(Host).Core->desk().cancel(Id, now() + Patience,
                                 [Out](const Status &Done) { *Out = Done; });
  runUntil([Out] { return Out->has_value(); }, Patience * 2);
  if (*Out && (*Out)->has_value())
    Oracle.cancelled(Id, now());
  return *Out ? **Out : Status(noAnswer());
}

Result<JobState> JobBed::state(int Host, const std::string &Id) {
  auto Out = std::make_shared<std::optional<Result<JobState>>>();
  if (!host(Host).Core)
    return noAnswer();
  host(Host).Core->desk().state(
      Id, now() + Patience,
      [Out](const Result<JobState> &Done) { *Out = Done; });
  runUntil([Out] { return Out->has_value(); }, Patience * 2);
  if (!*Out)
    return noAnswer();
  if ((*Out)->has_value())
    Oracle.onState(Id, (*Out)->value());
  return **Out;
}

BASILCHUTE_NAMESPACE_END
