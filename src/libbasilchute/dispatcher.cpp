#include "basilchute/dispatcher.h"

#include "basilchute/layout.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <mutex>

BASILCHUTE_NAMESPACE_BEGIN

bool meansNotRun(ResultCode Code) {
  auto Number = static_cast<unsigned>(Code);
  return Number >= 100 && Number < 300;
}

namespace {

/// A request that is not answered yet. One thread at a time uses it.
struct PendingRequest {
  CallerRequest Request;
  Dispatcher::AnswerDone Done;
  /// Tasks whose endpoints were tried.
  std::vector<std::string> TriedTasks;
  TimePoint SubmittedAt;
  /// When the present wait for a slot began.
  TimePoint WaitingSince;
  nanoseconds Queued{0};
  nanoseconds AtEndpoints{0};
  uint32_t Attempts = 0;
  /// True once an attempt may have run.
  bool MayHaveRun = false;
};

constexpr size_t RetryBudgetCount = 1024;

using RequestPointer = std::shared_ptr<PendingRequest>;

} // namespace

class Dispatcher::Impl : public std::enable_shared_from_this<Dispatcher::Impl> {
public:
  Impl(DispatcherOptions Options, Router &Routes, EndpointPort &Endpoints,
       const Clock &Time)
      : m_options(Options), m_routes(Routes), m_endpoints(Endpoints),
        m_time(Time) {
    for (size_t I = 0; I < RetryBudgetCount; ++I)
      m_budgets.push_back(std::make_unique<RetryBudget>(Options.Retries));
  }

  void submit(CallerRequest Request, AnswerDone Done) {
    m_requests.fetch_add(1, std::memory_order_relaxed);
    m_pending.fetch_add(1, std::memory_order_relaxed);
    TimePoint Now = m_time.now();
    auto Pending = std::make_shared<PendingRequest>();
    Pending->Request = std::move(Request);
    Pending->Done = std::move(Done);
    Pending->SubmittedAt = Now;
    Pending->WaitingSince = Now;
    if (Now >= Pending->Request.Deadline)
      return fail(Pending, ResultCode::DeadlineExceeded,
                  "the deadline had passed when the request arrived");
    if (!m_routes.hasService(Pending->Request.Service))
      return fail(Pending, ResultCode::NotFound,
                  fmt::format("service \"{}\" does not exist",
                              Pending->Request.Service));
    // Requests that already wait for this service go first.
    bool HasEarlier = m_queued.load(std::memory_order_relaxed) > 0 &&
                      hasQueued(Pending->Request.Service);
    if (HasEarlier || !tryStart(Pending))
      enqueue(Pending);
  }

  void tick() {
    if (m_queued.load(std::memory_order_relaxed) == 0)
      return;
    std::vector<std::string> Services;
    std::vector<RequestPointer> Expired;
    {
      std::lock_guard Lock(m_queueMutex);
      TimePoint Limit = m_time.now() + m_options.ShedMargin;
      for (auto &[Service, Queue] : m_queues) {
        while (!Queue.empty() && Queue.begin()->first <= Limit) {
          Expired.push_back(Queue.begin()->second);
          Queue.erase(Queue.begin());
          --m_queued;
        }
        if (!Queue.empty())
          Services.push_back(Service);
      }
    }
    for (const RequestPointer &Pending : Expired) {
      m_shed.fetch_add(1, std::memory_order_relaxed);
      fail(Pending, ResultCode::DeadlineExceeded,
           "no slot became free before the deadline");
    }
    for (const std::string &Service : Services)
      startQueued(Service);
  }

  size_t queued() const { return m_queued; }
  size_t pending() const { return m_pending; }

  DispatcherCounters counters() const {
    return {.Requests = m_requests,
            .Answered = m_answered,
            .NotRun = m_notRun,
            .MaybeRun = m_unknown,
            .Retries = m_retries,
            .RetriesDenied = m_retriesDenied,
            .Shed = m_shed};
  }

private:
  /// Queued requests of one service in the order of their deadlines.
  using Queue = std::multimap<TimePoint, RequestPointer>;

  bool hasQueued(const std::string &Service) {
    std::lock_guard Lock(m_queueMutex);
    auto It = m_queues.find(Service);
    return It != m_queues.end() && !It->second.empty();
  }

  void enqueue(const RequestPointer &Pending) {
    {
      std::lock_guard Lock(m_queueMutex);
      Queue &ServiceQueue = m_queues[Pending->Request.Service];
      bool HasRoom = m_queued < m_options.MaxQueued &&
                     ServiceQueue.size() < m_options.MaxQueuedPerService;
      if (HasRoom) {
        ServiceQueue.emplace(Pending->Request.Deadline, Pending);
        ++m_queued;
        return;
      }
    }
    m_shed.fetch_add(1, std::memory_order_relaxed);
    fail(Pending, ResultCode::Overloaded,
         fmt::format("no room to queue a request for service \"{}\"",
                     Pending->Request.Service));
  }

  /// Starts queued requests of \p Service until no slot is free.
  void startQueued(const std::string &Service) {
    while (m_queued.load(std::memory_order_relaxed) > 0) {
      RequestPointer Next;
      {
        std::lock_guard Lock(m_queueMutex);
        auto It = m_queues.find(Service);
        if (It == m_queues.end() || It->second.empty())
          return;
        Next = It->second.begin()->second;
        It->second.erase(It->second.begin());
        --m_queued;
      }
      if (tryStart(Next))
        continue;
      std::lock_guard Lock(m_queueMutex);
      m_queues[Service].emplace(Next->Request.Deadline, Next);
      ++m_queued;
      return;
    }
  }

  /// Sends an attempt; returns false if no slot is free.
  bool tryStart(const RequestPointer &Pending) {
    std::optional<EndpointPick> Pick =
        m_routes.pick(Pending->Request.Service, Pending->TriedTasks);
    if (!Pick)
      return false;
    send(Pending, std::make_shared<EndpointPick>(std::move(*Pick)));
    return true;
  }

  void send(const RequestPointer &Pending, std::shared_ptr<EndpointPick> Pick) {
    TimePoint Now = m_time.now();
    Pending->Queued += Now - Pending->WaitingSince;
    if (Pending->Attempts == 0)
      budgetOf(Pending->Request.Tenant).deposit();
    ++Pending->Attempts;
    Pending->TriedTasks.push_back(Pick->endpoint().Task);
    auto Remaining = std::chrono::duration_cast<milliseconds>(
        Pending->Request.Deadline - Now);
    EndpointRequest Request{
        .Address = Pick->endpoint().Address + Pending->Request.Path,
        .Method = Pending->Request.Method,
        .Headers = Pending->Request.Headers,
        .Body = Pending->Request.Body,
        .Timeout =
            std::clamp(Remaining, milliseconds(1), m_options.AttemptTimeout),
        .MustNotResend = !Pending->Request.Idempotent};
    m_endpoints.send(
        std::move(Request),
        [Self = shared_from_this(), Pending,
         Pick = std::move(Pick)](Result<EndpointAnswer> Reply) mutable {
          Self->onReply(Pending, std::move(Pick), std::move(Reply));
        });
  }

  void onReply(const RequestPointer &Pending,
               std::shared_ptr<EndpointPick> Pick,
               Result<EndpointAnswer> Reply) {
    TimePoint Now = m_time.now();
    Pending->AtEndpoints += Now - Pick->pickedAt();
    Pending->WaitingSince = Now;
    bool IsRefused = Reply.has_value() && Reply.value().IsNotRun;
    m_routes.recordOutcome(*Pick, !Reply.has_value() ? AttemptOutcome::Failed
                                  : IsRefused        ? AttemptOutcome::Refused
                                              : AttemptOutcome::Answered);
    Pick.reset();
    std::string Service = Pending->Request.Service;
    if (Reply.has_value() && !IsRefused)
      succeed(Pending, std::move(Reply.value()));
    else
      retryOrFail(Pending,
                  IsRefused ? makeError(ResultCode::NotRun,
                                        "the endpoint did not run the request")
                            : Reply.error());
    startQueued(Service);
  }

  void retryOrFail(const RequestPointer &Pending, const Error &Failure) {
    bool MayHaveRun = Failure.Code != ResultCode::Unavailable &&
                      Failure.Code != ResultCode::NotRun;
    Pending->MayHaveRun |= MayHaveRun;
    bool IsSafe = !Pending->MayHaveRun || Pending->Request.Idempotent;
    bool HasTime =
        m_time.now() + m_options.ShedMargin < Pending->Request.Deadline;
    bool HasAttempts = Pending->Attempts < m_options.MaxAttempts;
    if (!IsSafe || !HasTime || !HasAttempts)
      return fail(Pending, Failure.Code, Failure.Message);
    if (!budgetOf(Pending->Request.Tenant).withdraw()) {
      m_retriesDenied.fetch_add(1, std::memory_order_relaxed);
      return fail(Pending, Failure.Code, Failure.Message);
    }
    m_retries.fetch_add(1, std::memory_order_relaxed);
    if (!tryStart(Pending))
      enqueue(Pending);
  }

  void succeed(const RequestPointer &Pending, EndpointAnswer Answer) {
    m_answered.fetch_add(1, std::memory_order_relaxed);
    finish(Pending, {.Status = Answer.Status,
                     .Headers = std::move(Answer.Headers),
                     .Body = std::move(Answer.Body)});
  }

  void fail(const RequestPointer &Pending, ResultCode Code,
            std::string Message) {
    // Codes that mean "not run" are not used once any attempt may have run.
    if (Code == ResultCode::Unavailable)
      Code = ResultCode::NotRun;
    if (Pending->MayHaveRun && meansNotRun(Code))
      Code = ResultCode::OutcomeUnknown;
    auto &Counter = meansNotRun(Code) ? m_notRun : m_unknown;
    Counter.fetch_add(1, std::memory_order_relaxed);
    finish(Pending, {.Code = Code, .Message = std::move(Message)});
  }

  void finish(const RequestPointer &Pending, CallerAnswer Answer) {
    Answer.QueueTime = Pending->Queued;
    Answer.EndpointTime = Pending->AtEndpoints;
    Answer.Attempts = Pending->Attempts;
    Pending->Done(std::move(Answer));
    m_pending.fetch_sub(1, std::memory_order_relaxed);
  }

  // Tenants are hashed to a fixed number of budgets, so that requests with
  // made-up tenant names do not use more memory.
  RetryBudget &budgetOf(const std::string &Tenant) {
    return *m_budgets[stableHash(Tenant) % m_budgets.size()];
  }

  DispatcherOptions m_options;
  Router &m_routes;
  EndpointPort &m_endpoints;
  const Clock &m_time;
  std::mutex m_queueMutex;
  std::map<std::string, Queue> m_queues;
  std::vector<std::unique_ptr<RetryBudget>> m_budgets;
  std::atomic<size_t> m_queued{0};
  std::atomic<size_t> m_pending{0};
  std::atomic<uint64_t> m_requests{0};
  std::atomic<uint64_t> m_answered{0};
  std::atomic<uint64_t> m_notRun{0};
  std::atomic<uint64_t> m_unknown{0};
  std::atomic<uint64_t> m_retries{0};
  std::atomic<uint64_t> m_retriesDenied{0};
  std::atomic<uint64_t> m_shed{0};
};

Dispatcher::Dispatcher(DispatcherOptions Options, Router &Routes,
                       EndpointPort &Endpoints, const Clock &Time)
    : m_impl(std::make_shared<Impl>(Options, Routes, Endpoints, Time)) {}
Dispatcher::~Dispatcher() = default;
void Dispatcher::submit(CallerRequest Request, AnswerDone Done) {
  m_impl->submit(std::move(Request), std::move(Done));
}
void Dispatcher::tick() { m_impl->tick(); }
size_t Dispatcher::queued() const { return m_impl->queued(); }
size_t Dispatcher::pending() const { return m_impl->pending(); }
DispatcherCounters Dispatcher::counters() const { return m_impl->counters(); }

BASILCHUTE_NAMESPACE_END
