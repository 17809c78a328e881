#include "testing/jobtestbed.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds Tick{25};
constexpr milliseconds OrderTimeout{500};
/// Interval at which a pending poll checks the worker for completions.
constexpr milliseconds PollCheckInterval{20};
constexpr milliseconds CallTimeout{2800};
constexpr milliseconds ApprovalDelay{20};
constexpr const char *QueueName = "queue";
constexpr const char *ServiceName = "service";

Error noResponse() {
  return makeError(ResultCode::OutcomeUnknown, "no response");
}

} // namespace

Job chainJob(const std::string &Id, int Steps, int Width,
             milliseconds Estimate) {
  Job Out{.Id = Id, .Queue = QueueName, .Payload = "work"};
  for (int Index = 0; Index < Steps; ++Index) {
    JobStep Step{.Count = Width,
                 .Demand = {.Millicores = 1000, .MemoryMib = 1000},
                 .EstimatedRunTime = Estimate};
    if (Index > 0)
      Step.Predecessors = {Index - 1};
    Out.Steps.push_back(Step);
  }
  return Out;
}

void ModelApprovals::ask(const StepName &Step, std::vector<std::string> Workers,
                         Done Answer) {
  ++m_bed.ApprovalCalls;
  if (m_bed.AreApprovalsDown) {
    m_bed.deliver(m_host, OrderTimeout, [Answer] {
      Answer(makeError(ResultCode::Overloaded,
                       "too many approval calls are waiting"));
    });
    return;
  }
  std::vector<Approval> Approvals;
  for (const std::string &Id : Workers) {
    ModelWorker *Worker = m_bed.workerById(Id);
    if (Worker && Worker->approves(Step))
      Approvals.push_back({.Worker = Id, .Ticket = Worker->ticketFor(Step)});
  }
  milliseconds Delay = ApprovalDelay * (1 + static_cast<int>(Workers.size()));
  m_bed.deliver(m_host, Delay, [Answer, Approvals] { Answer(Approvals); });
}

void HostTaskWorkers::runOnProcessor(std::function<void()> Action) {
  nanoseconds Cost = m_bed.options().ProcessorTimePerOrder;
  if (Cost.count() == 0) {
    Action();
    return;
  }
  m_busyUntil = std::max(m_busyUntil, m_bed.now()) + Cost;
  m_bed.deliver(m_host, m_busyUntil - m_bed.now(), std::move(Action));
}

void HostTaskWorkers::send(std::function<void()> Action) {
  runOnProcessor([this, Action = std::move(Action)] {
    m_bed.later(m_bed.options().NetworkDelay, Action);
  });
}

void HostTaskWorkers::reply(milliseconds Delay, std::function<void()> Action) {
  m_bed.deliver(m_host, Delay,
                [this, Action = std::move(Action)] { runOnProcessor(Action); });
}

std::optional<HostTaskWorkers::CallFailure>
HostTaskWorkers::failureOf(const std::string &Worker,
                           const std::string &Address,
                           milliseconds Timeout) const {
  const ModelWorker *Model = m_bed.workerById(Worker);
  if (!Model || m_bed.host(m_host).UnreachableWorkers.count(Worker))
    return CallFailure{.Why = noResponse(), .After = Timeout};
  const ModelWorker *AtAddress = Model;
  while (AtAddress->ReplacedBy)
    AtAddress = AtAddress->ReplacedBy;
  milliseconds RoundTrip = 2 * m_bed.options().NetworkDelay;
  if (AtAddress->isRefusing())
    return CallFailure{
        .Why = makeError(ResultCode::Unavailable, "connection refused"),
        .After = RoundTrip};
  if (AtAddress->IsDown)
    return CallFailure{.Why = noResponse(), .After = Timeout};
  if (AtAddress != Model || Address != Model->Entry.Address)
    return CallFailure{.Why = makeError(ResultCode::WrongIncarnation,
                                        "another worker is at the address"),
                       .After = RoundTrip};
  return std::nullopt;
}

void HostTaskWorkers::start(const WorkerEntry &Worker, StartOrder Order,
                            StartDone Callback) {
  m_maxStartsInFlight = std::max(m_maxStartsInFlight, ++m_startsInFlight);
  StartDone Done = [this, Callback](Result<StartReply> Reply) {
    --m_startsInFlight;
    Callback(std::move(Reply));
  };
  if (std::optional<CallFailure> Failure =
          failureOf(Worker.Id, Worker.Address, OrderTimeout)) {
    reply(Failure->After, [Done, Why = Failure->Why] {
      if (Why.Code == ResultCode::WrongIncarnation)
        Done(StartReply{.Outcome = StartOutcome::WrongIncarnation});
      else
        Done(Why);
    });
    return;
  }
  ModelWorker *Model = m_bed.workerById(Worker.Id);
  bool IsForAny = Order.Incarnation.count() == 0;
  if ((IsForAny || Model->startTime() == Order.Incarnation) &&
      m_bed.Store.chance(Model->DelayedStartPercent)) {
    delayStart(*Model, Order, Done);
    return;
  }
  auto Arrived = [this, Model, Order, Done](nanoseconds Waited) {
    executeStart(*Model, Order, [Done, Waited](Result<StartReply> Reply) {
      if (Reply.has_value())
        Reply.value().Waited = Waited;
      Reply.value().ProbeRoundTrip = Waited;
      Done(std::move(Reply));
    });
  };
  auto Failed = [Done](const Error &Why) {
    if (Why.Code == ResultCode::WrongIncarnation)
      Done(StartReply{.Outcome = StartOutcome::WrongIncarnation});
    else
      Done(Why);
  };
  sendToProcess(*Model, {.Incarnation = Order.Incarnation,
                         .Arrived = std::move(Arrived),
                         .Failed = std::move(Failed)});
}

// As on connections: a probe goes first where none has been answered by the
// process, and what is on its way when the process ends is lost.
void HostTaskWorkers::sendToProcess(ModelWorker &Model, ProcessOrder Order) {
  auto Known = m_orderConnections.find(Model.Entry.Id);
  bool IsKnown =
      Known != m_orderConnections.end() && Known->second == Order.Incarnation;
  if (IsKnown || Order.Incarnation.count() == 0)
    return sendOnConnection(Model, Order, nanoseconds(0));
  std::vector<ProcessOrder> &Waiting = m_probes[Model.Entry.Id];
  Order.Since = m_bed.now();
  Waiting.push_back(std::move(Order));
  if (Waiting.size() > 1)
    return;
  send([this, &Model, Address = Model.Entry.Address] {
    bool IsAnswered = !Model.IsDown && Model.Entry.Address == Address;
    reply(IsAnswered ? m_bed.options().NetworkDelay : OrderTimeout,
          [this, &Model, IsAnswered, Answered = Model.startTime()] {
            endProbe(Model,
                     IsAnswered ? std::optional(Answered) : std::nullopt);
          });
  });
}

void HostTaskWorkers::endProbe(ModelWorker &Model,
                               std::optional<milliseconds> Answered) {
  std::vector<ProcessOrder> Waiting =
      std::move(m_probes.extract(Model.Entry.Id).mapped());
  if (Answered)
    m_orderConnections[Model.Entry.Id] = *Answered;
  for (const ProcessOrder &Order : Waiting) {
    if (!Answered)
      Order.Failed(makeError(ResultCode::Unavailable, "no answer to a probe"));
    else if (*Answered != Order.Incarnation)
      Order.Failed(
          makeError(ResultCode::WrongIncarnation, "another process is there"));
    else
      sendOnConnection(Model, Order, m_bed.now() - Order.Since);
  }
}

void HostTaskWorkers::sendOnConnection(ModelWorker &Model,
                                       const ProcessOrder &Order,
                                       nanoseconds Waited) {
  send([this, &Model, Order, Waited, Address = Model.Entry.Address] {
    bool IsReached = Model.IsDown || Order.Incarnation.count() == 0 ||
                     Model.startTime() == Order.Incarnation;
    if (IsReached && Model.Entry.Address == Address)
      return Order.Arrived(Waited);
    m_orderConnections.erase(Model.Entry.Id);
    reply(IsReached ? OrderTimeout : m_bed.options().NetworkDelay,
          [Order] { Order.Failed(noResponse()); });
  });
}

void HostTaskWorkers::delayStart(ModelWorker &Model, const StartOrder &Order,
                                 const StartDone &Done) {
  milliseconds Delay = Model.StartDelay ? *Model.StartDelay
                                        : m_bed.Store.randomDelay(2000, 12000);
  bool IsAnswered = Delay < OrderTimeout;
  m_bed.later(Delay, [this, &Model, Order, Done, IsAnswered,
                      Incarnation = Model.incarnation()] {
    bool IsLost = !Model.DelayedStartsOutliveRestart &&
                  Model.incarnation() != Incarnation;
    Result<StartReply> Out = noResponse();
    if (!IsLost && !Model.IsDown)
      Out = Model.start(Order);
    if (IsAnswered)
      reply(m_bed.options().NetworkDelay, [Done, Out] { Done(Out); });
  });
  if (!IsAnswered)
    reply(OrderTimeout, [Done] { Done(noResponse()); });
}

void HostTaskWorkers::executeStart(ModelWorker &Model, const StartOrder &Order,
                                   const StartDone &Done) {
  Result<StartReply> Out = noResponse();
  bool WasDown = Model.IsDown;
  if (!WasDown)
    Out = Model.start(Order);
  // The order may have started a deadly task.
  if (Model.IsDown) {
    milliseconds After =
        Model.isRefusing() ? m_bed.options().NetworkDelay : OrderTimeout;
    reply(After, [Done] { Done(noResponse()); });
    return;
  }
  m_expiredStarts +=
      Out.has_value() && Out.value().Outcome == StartOutcome::TooLate;
  milliseconds Late = m_bed.host(m_host).StartReplyDelay;
  if (Late >= OrderTimeout && !m_bed.host(m_host).AnswersLateStarts)
    reply(OrderTimeout, [Done] { Done(noResponse()); });
  else
    reply(m_bed.options().NetworkDelay + Late, [Done, Out] { Done(Out); });
}

void HostTaskWorkers::stop(const WorkerEntry &Worker, StopOrder Order,
                           OrderDone Done) {
  if (std::optional<CallFailure> Failure =
          failureOf(Worker.Id, Worker.Address, OrderTimeout)) {
    reply(Failure->After, [Done, Why = Failure->Why] { Done(Why); });
    return;
  }
  ModelWorker *Model = m_bed.workerById(Worker.Id);
  if (Model->LosesStops) {
    reply(OrderTimeout, [Done] { Done(noResponse()); });
    return;
  }
  auto Arrived = [this, Model, Order, Done](nanoseconds) {
    Status Out = Model->IsDown ? Status(noResponse()) : Model->stop(Order);
    reply(m_bed.options().NetworkDelay, [Done, Out] { Done(Out); });
  };
  sendToProcess(*Model, {.Incarnation = Order.Incarnation,
                         .Arrived = std::move(Arrived),
                         .Failed = [Done](const Error &Why) { Done(Why); }});
}

void HostTaskWorkers::pace(const WorkerEntry &Worker, PaceOrder Order,
                           OrderDone Done) {
  if (ModelWorker *Model = m_bed.workerById(Worker.Id))
    Model->Paces.push_back(Order.Percent);
  reply(m_bed.options().NetworkDelay, [Done] { Done(okStatus()); });
}

void HostTaskWorkers::poll(const WorkerEntry &Worker, PollOrder Order,
                           PollDone Done) {
  runOnProcessor([this, Worker, Order, Done] {
    pollWorker(Worker.Id,
               {.Address = Worker.Address, .Order = Order, .Done = Done});
  });
}

std::optional<Error>
HostTaskWorkers::brokenConnection(const ModelWorker &Model,
                                  const PendingPoll &Poll) const {
  if (Poll.Process)
    return *Poll.Process == Model.incarnation() ? std::nullopt
                                                : std::optional(noResponse());
  auto Kept = m_pollConnections.find(Model.Entry.Id);
  bool IsKept =
      Kept != m_pollConnections.end() && Kept->second == Model.incarnation();
  if (Poll.Order.isForOneProcess() && !IsKept)
    return makeError(ResultCode::Unavailable, "no kept connection");
  return std::nullopt;
}

// A worker replies as soon as it has a completion to report.
void HostTaskWorkers::pollWorker(const std::string &Worker, PendingPoll Poll) {
  if (std::optional<CallFailure> Failure =
          failureOf(Worker, Poll.Address, Poll.Order.Wait + OrderTimeout)) {
    m_pollConnections.erase(Worker);
    reply(Failure->After,
          [Done = Poll.Done, Why = Failure->Why] { Done(Why); });
    return;
  }
  m_bed.later(m_bed.options().NetworkDelay,
              [this, Model = m_bed.workerById(Worker), Poll,
               Address = m_bed.workerById(Worker)->Entry.Address] {
                if (Model->Entry.Address == Address)
                  answerPoll(*Model, Poll);
                else
                  reply(OrderTimeout,
                        [Done = Poll.Done] { Done(noResponse()); });
              });
}

void HostTaskWorkers::answerPoll(ModelWorker &Model, PendingPoll Poll) {
  milliseconds NetworkDelay = m_bed.options().NetworkDelay;
  if (Model.IsDown) {
    m_pollConnections.erase(Model.Entry.Id);
    milliseconds After = Model.isRefusing() ? NetworkDelay : OrderTimeout;
    reply(After, [Done = Poll.Done] { Done(noResponse()); });
    return;
  }
  if (std::optional<Error> Why = brokenConnection(Model, Poll)) {
    m_pollConnections.erase(Model.Entry.Id);
    reply(NetworkDelay, [Done = Poll.Done, Why] { Done(*Why); });
    return;
  }
  Poll.Process = Model.incarnation();
  Result<PollReply> Out = Model.poll(Poll.Order);
  if (!Out.has_value() || Model.hasUnacknowledged() ||
      Poll.Order.Wait < PollCheckInterval) {
    reply(NetworkDelay, [this, Id = Model.Entry.Id, Poll, Out] {
      m_pollConnections[Id] = *Poll.Process;
      Poll.Done(Out);
    });
    return;
  }
  Poll.Order.Wait -= PollCheckInterval;
  m_bed.later(PollCheckInterval,
              [this, Id = Model.Entry.Id, Poll] { pollWorker(Id, Poll); });
}

JobTestBed::JobTestBed(JobTestBedOptions Options)
    : Store(
          [this](milliseconds Delay, std::function<void()> Action) {
            later(Delay, std::move(Action));
          },
          Options.Seed),
      m_options(Options), m_hosts(static_cast<size_t>(Options.Hosts)) {
  auto Queues = std::make_shared<JobQueues>();
  (*Queues)[QueueName] = {.Name = QueueName,
                          .Service = ServiceName,
                          .MaxAttempts = Options.MaxAttempts,
                          .SlackFactor = SlackFactor,
                          .TargetDuration = TargetDuration,
                          .ApprovalValidity = Options.ApprovalValidity};
  m_queues = Queues;
  for (int Index = 0; Index < Options.Workers; ++Index) {
    m_workers.push_back(newWorker());
    m_workersById[m_workers.back()->Entry.Id] = m_workers.back().get();
  }
  for (int Index = 0; Index < Options.Hosts; ++Index)
    startHost(Index);
  tickAll();
}

std::unique_ptr<ModelWorker> JobTestBed::newWorker() {
  auto Out = std::make_unique<ModelWorker>(
      WorkerEntry{.Id = fmt::format("w{}", workers()),
                  .Service = ServiceName,
                  .Address = fmt::format("worker-{}:80", workers()),
                  .Capacity = m_options.WorkerCapacity},
      Oracle, [this] { return now(); });
  if (m_options.FailureDomains > 0)
    Out->Entry.FailureDomain =
        fmt::format("zone-{}", workers() % m_options.FailureDomains);
  Out->OnStart = [this, Worker = Out.get()](const TaskName &Task) {
    onStart(Worker->Entry, Task);
  };
  Out->FailPercent = m_options.FailPercent;
  Out->NeedsTicket = m_options.ApprovalValidity.count() > 0;
  Out->Approved = workers() % 2 == 0;
  Out->RunAfter = [this](milliseconds Delay, std::function<void()> Action) {
    later(Delay, std::move(Action));
  };
  Out->ReturnAfter = m_options.WorkerReturn;
  Out->RefusesAfterCrash = m_options.Crashes != CrashStyle::Silent;
  Out->OnReturn = [this, Id = Out->Entry.Id] { endCrash(Id); };
  return Out;
}

void JobTestBed::later(nanoseconds Delay, std::function<void()> Action) {
  m_events.push({now() + Delay, m_nextEvent++, std::move(Action)});
}

void JobTestBed::deliver(int Host, nanoseconds Delay,
                         std::function<void()> Action) {
  int Incarnation = host(Host).Incarnation;
  later(Delay, [this, Host, Incarnation, Action = std::move(Action)] {
    TestJobHost &Target = host(Host);
    if (Target.Incarnation != Incarnation || !Target.Process)
      return;
    if (Target.IsPaused)
      Target.Backlog.push_back(Action);
    else
      Action();
  });
}

void JobTestBed::startHost(int Index) {
  TestJobHost &Target = host(Index);
  ++Target.Incarnation;
  Target.IsPaused = false;
  Target.IsStopping = false;
  Target.FleetAsOf = TimePoint{};
  Target.HasMissedFleet = false;
  Target.Backlog.clear();
  auto Deliver = [this, Index](milliseconds Delay,
                               std::function<void()> Action) {
    deliver(Index, Delay, std::move(Action));
  };
  bool Refused = Target.Store && Target.Store->IsRefused;
  if (Target.Store) {
    m_formerStores.push_back(std::move(Target.Store));
    m_formerWorkers.push_back(std::move(Target.Workers));
    m_formerApprovals.push_back(std::move(Target.Approvals));
  }
  Target.Store = std::make_unique<HostRowStore>(Store, Deliver);
  Target.Store->IsRefused = Refused;
  Target.Workers = std::make_unique<HostTaskWorkers>(*this, Index);
  Target.Approvals = std::make_unique<ModelApprovals>(*this, Index);
  Target.Process = std::make_unique<JobHost>(
      JobHostOptions{
          .HostName = fmt::format("host-{}", Index),
          .StartId = fmt::format("{}", Target.Incarnation),
          .Weight = m_options.HostWeight,
          .MaxJobBytes = m_options.MaxJobBytes,
          .ShardCount = {.WorkersPerWeight = m_options.WorkersPerWeight,
                         .MinShards = m_options.MinShards},
          .CanSpanPartitions = m_options.CanSpanPartitions,
          .MaxWorkerLease = m_options.MaxWorkerLease,
          .Placement = m_options.Placement,
          .RefusesJobs = m_options.RefusesJobs,
          .OrdersByShares = m_options.OrdersByShares,
          .MeasuredFill = m_options.MeasuredFill,
          .ChoosesShardsByKind = m_options.MeasuredFill,
          .RunAfter = Deliver,
          .RefreshFleet =
              [this, Deliver, Index] {
                if (Store.IsDown || host(Index).Store->IsRefused)
                  return;
                Deliver(Store.Delay, [this, Index, Fleet = fleet()] {
                  updateFleet(host(Index), Fleet, now());
                });
              },
          .RefreshEvacuated = m_options.HasEvacuations
                                  ? [this, Index] { readEvacuated(Index); }
                                  : std::function<void()>(),
          .WallTime = [this] { return wallTime(); },
          .Log =
              [this, Index](std::string_view Event, std::string_view Fields) {
                trace(Index, Event, Fields);
              }},
      *Target.Store, *Target.Workers, Target.Approvals.get(), m_clock);
  trace(Index, "booted", "");
  Target.SentEvacuations = m_evacuationChanges;
  Target.KnownEvacuations = m_evacuationChanges;
  if (!m_evacuatedSince.empty())
    Target.Process->setEvacuated(evacuated());
  Target.Process->setQueues(m_queues);
  Target.Process->start();
  publishWorkers();
}

void JobTestBed::trace(int Host, std::string_view Event,
                       std::string_view Fields) {
  ++LogLines[std::string(Event)];
  if (OnLogLine)
    OnLogLine(Event, Fields);
  if (m_options.Trace)
    fmt::print("{:9.3f} host-{} {} {}\n",
               std::chrono::duration<double>(now().time_since_epoch()).count(),
               Host, Event, Fields);
}

void JobTestBed::killHost(int Index) {
  trace(Index, "killed", "");
  m_lastKill = now();
  TestJobHost &Target = host(Index);
  ++Target.Incarnation;
  Target.IsStopping = false;
  Target.Process.reset();
  Target.Backlog.clear();
}

void JobTestBed::resume(int Index) {
  TestJobHost &Target = host(Index);
  Target.IsPaused = false;
  std::vector<std::function<void()>> Backlog = std::move(Target.Backlog);
  Target.Backlog.clear();
  for (const std::function<void()> &Action : Backlog)
    if (Target.Process)
      Action();
}

int JobTestBed::ownerIndex() const {
  for (size_t Index = 0; Index < m_hosts.size(); ++Index)
    if (m_hosts[Index].Process && m_hosts[Index].Process->ownedShards() > 0)
      return static_cast<int>(Index);
  return -1;
}

ModelWorker *JobTestBed::workerById(const std::string &Id) {
  auto It = m_workersById.find(Id);
  return It == m_workersById.end() ? nullptr : It->second;
}

void JobTestBed::setWorkerListed(int Worker, bool Listed) {
  if (Listed)
    m_unlisted.erase(Worker);
  else
    m_unlisted.insert(Worker);
  publishWorkers();
}

std::vector<WorkerEntry> JobTestBed::fleet() {
  std::vector<WorkerEntry> Out;
  for (int Index = 0; Index < workers(); ++Index) {
    ModelWorker &Worker = worker(Index);
    // The list names a new incarnation once it is up.
    if (!Worker.IsDown)
      Worker.Entry.Incarnation = std::chrono::duration_cast<milliseconds>(
          Worker.incarnation().time_since_epoch());
    if (m_unlisted.count(Index))
      continue;
    Out.push_back(Worker.Entry);
    if (AlterEntry)
      AlterEntry(Out.back());
  }
  return Out;
}

void JobTestBed::publishWorkers() {
  std::vector<WorkerEntry> Fleet = fleet();
  for (int Index = 0; Index < hosts(); ++Index) {
    milliseconds Delay = m_options.MaxListDelay * (Index + 1) / hosts();
    TestJobHost &Target = host(Index);
    if (Delay.count() > 0)
      deliver(Index, Delay, [this, Index, Fleet, AsOf = now()] {
        if (!Store.IsDown && !host(Index).Store->IsRefused)
          updateFleet(host(Index), Fleet, AsOf);
      });
    else if (Target.Process && !Target.IsPaused)
      updateFleet(Target, Fleet, now());
  }
}

void JobTestBed::updateFleet(TestJobHost &Target,
                             const std::vector<WorkerEntry> &Fleet,
                             TimePoint AsOf) {
  Target.HasMissedFleet |= Target.IsFleetStale;
  if (AsOf < Target.FleetAsOf || Target.IsFleetStale)
    return;
  Target.FleetAsOf = AsOf;
  Target.Process->setFleet(Fleet, !Target.HasMissedFleet);
  Target.HasMissedFleet = false;
  Target.Process->setFleetTime(AsOf);
}

void JobTestBed::tickAll() {
  for (const std::unique_ptr<ModelWorker> &Worker : m_workers)
    Worker->advance();
  for (TestJobHost &Target : m_hosts)
    if (Target.Process && !Target.IsPaused)
      Target.Process->tick();
  for (int Index = 0; Index < hosts(); ++Index)
    updateEvacuated(Index);
  checkRestarts();
  checkStops();
  countDownByTasks();
  later(Tick, [this] { tickAll(); });
}

void JobTestBed::run(milliseconds Span) {
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

bool JobTestBed::runUntil(const std::function<bool()> &Condition,
                          milliseconds Limit) {
  TimePoint Until = now() + Limit;
  while (!Condition()) {
    if (now() >= Until)
      return false;
    run(Tick);
  }
  return true;
}

Status JobTestBed::submit(int Host, const Job &Value) {
  Oracle.addJob({.Spec = Value,
                 .MaxAttempts = m_options.MaxAttempts,
                 .CanRun = canRun(Value)});
  auto Out = std::make_shared<std::optional<Status>>();
  if (!host(Host).Process)
    return noResponse();
  host(Host).Process->frontend().submit(
      Value, now() + CallTimeout, [Out](const Status &Reply) { *Out = Reply; });
  runUntil([Out] { return Out->has_value(); }, CallTimeout * 2);
  if (*Out && (*Out)->has_value())
    Restarts.onAccepted(Value, now());
  return *Out ? **Out : Status(noResponse());
}

void JobTestBed::beginSubmit(int Host, const Job &Value,
                             std::function<void()> OnAccepted) {
  Oracle.addJob({.Spec = Value,
                 .MaxAttempts = m_options.MaxAttempts,
                 .CanRun = canRun(Value)});
  if (!host(Host).Process)
    return;
  host(Host).Process->frontend().submit(Value, now() + CallTimeout,
                                        [OnAccepted](const Status &Reply) {
                                          if (Reply.has_value())
                                            OnAccepted();
                                        });
}

Status JobTestBed::cancel(int Host, const std::string &Id) {
  Restarts.onCancelling(Id);
  auto Out = std::make_shared<std::optional<Status>>();
  if (!host(Host).Process)
    return noResponse();
  host(Host).Process->frontend().cancel(
      Id, now() + CallTimeout, [Out](const Status &Reply) { *Out = Reply; });
  runUntil([Out] { return Out->has_value(); }, CallTimeout * 2);
  if (*Out && (*Out)->has_value())
    Oracle.cancelled(Id, now());
  return *Out ? **Out : Status(noResponse());
}

void JobTestBed::beginCancel(int Host, const std::string &Id) {
  Restarts.onCancelling(Id);
  if (!host(Host).Process)
    return;
  host(Host).Process->frontend().cancel(Id, now() + CallTimeout,
                                        [this, Id](const Status &Reply) {
                                          if (Reply.has_value())
                                            Oracle.cancelled(Id, now());
                                        });
}

Result<JobState> JobTestBed::state(int Host, const std::string &Id) {
  auto Out = std::make_shared<std::optional<Result<JobState>>>();
  if (!host(Host).Process)
    return noResponse();
  host(Host).Process->frontend().state(
      Id, now() + CallTimeout,
      [Out](const Result<JobState> &Reply) { *Out = Reply; });
  runUntil([Out] { return Out->has_value(); }, CallTimeout * 2);
  if (!*Out)
    return noResponse();
  if ((*Out)->has_value())
    Oracle.onState(Id, (*Out)->value());
  return **Out;
}

BASILCHUTE_NAMESPACE_END
