#include "basilchute/approval.h"

#include <algorithm>
#include <map>

BASILCHUTE_NAMESPACE_BEGIN

class ApprovalCache::Impl
    : public std::enable_shared_from_this<ApprovalCache::Impl> {
public:
  Impl(ApprovalCacheOptions Options, ApprovalService *Service,
       const Clock &Time)
      : m_options(Options), m_service(Service), m_time(Time) {}

  const std::string *ticket(const StepName &Step,
                            const ApprovalCandidate &Candidate) const {
    const Answer *Cached = find(Step, Candidate);
    bool IsValid = Cached && !Cached->Ticket.empty() &&
                   m_time.now() + m_options.ExpiryMargin < Cached->ValidUntil;
    return IsValid ? &Cached->Ticket : nullptr;
  }

  void want(const StepName &Step, size_t Tasks, milliseconds Validity,
            const std::vector<ApprovalCandidate> &Candidates) {
    if (!m_service || m_isCallPending || m_time.now() < m_nextCallAt)
      return;
    size_t MaxWorkers = std::clamp(
        Tasks * m_options.WorkersPerTask, m_options.MinWorkersPerCall,
        std::min(m_options.MaxWorkersPerCall, MaxWorkersPerApproval));
    std::vector<ApprovalCandidate> Named;
    for (const ApprovalCandidate &Candidate : Candidates) {
      if (Named.size() == MaxWorkers)
        break;
      if (!hasAnswer(Step, Candidate))
        Named.push_back(Candidate);
    }
    if (!Named.empty())
      ask(Step, Validity, std::move(Named));
  }

  void reject(const StepName &Step, const ApprovalCandidate &Candidate) {
    auto Workers = m_steps.find(Step);
    if (Workers != m_steps.end())
      Workers->second.erase(Candidate.Worker);
  }

  void forget(const std::string &Job) {
    auto First = m_steps.lower_bound({.Job = Job});
    auto Last = First;
    while (Last != m_steps.end() && Last->first.Job == Job)
      ++Last;
    m_steps.erase(First, Last);
  }

  uint64_t calls() const { return m_calls; }

private:
  /// The service's answer for one worker: an empty ticket if it refused
  /// approval.
  struct Answer {
    milliseconds Incarnation{0};
    std::string Ticket;
    TimePoint ValidUntil{};
  };
  using AnswersByWorker = std::map<std::string, Answer>;

  const Answer *find(const StepName &Step,
                     const ApprovalCandidate &Candidate) const {
    auto Workers = m_steps.find(Step);
    if (Workers == m_steps.end())
      return nullptr;
    auto It = Workers->second.find(Candidate.Worker);
    bool IsSameIncarnation = It != Workers->second.end() &&
                             It->second.Incarnation == Candidate.Incarnation;
    return IsSameIncarnation ? &It->second : nullptr;
  }

  // A refusal stays valid for the worker's incarnation, an approval until its
  // ticket expires.
  bool hasAnswer(const StepName &Step,
                 const ApprovalCandidate &Candidate) const {
    const Answer *Cached = find(Step, Candidate);
    return Cached && (Cached->Ticket.empty() || ticket(Step, Candidate));
  }

  void ask(const StepName &Step, milliseconds Validity,
           std::vector<ApprovalCandidate> Named) {
    std::vector<std::string> Workers;
    for (const ApprovalCandidate &Candidate : Named)
      Workers.push_back(Candidate.Worker);
    m_isCallPending = true;
    ++m_calls;
    // The service may count the lifetime of a ticket from the time of the call.
    TimePoint ValidUntil = m_time.now() + Validity;
    m_service->ask(Step, std::move(Workers),
                   [Weak = weak_from_this(), Step, Named = std::move(Named),
                    ValidUntil](Result<std::vector<Approval>> Approved) {
                     if (auto Self = Weak.lock())
                       Self->onAnswer(Step, Named, ValidUntil, Approved);
                   });
  }

  void onAnswer(const StepName &Step,
                const std::vector<ApprovalCandidate> &Named,
                TimePoint ValidUntil,
                const Result<std::vector<Approval>> &Approved) {
    m_isCallPending = false;
    if (!Approved.has_value()) {
      m_nextCallAt = m_time.now() + m_options.RetryInterval;
      return;
    }
    AnswersByWorker &Workers = m_steps[Step];
    for (const ApprovalCandidate &Candidate : Named)
      Workers[Candidate.Worker] = {.Incarnation = Candidate.Incarnation,
                                   .ValidUntil = ValidUntil};
    for (const Approval &Granted : Approved.value()) {
      auto It = Workers.find(Granted.Worker);
      if (It != Workers.end())
        It->second.Ticket = Granted.Ticket;
    }
  }

  ApprovalCacheOptions m_options;
  ApprovalService *m_service;
  const Clock &m_time;
  std::map<StepName, AnswersByWorker> m_steps;
  TimePoint m_nextCallAt{};
  bool m_isCallPending = false;
  uint64_t m_calls = 0;
};

ApprovalCache::ApprovalCache(ApprovalCacheOptions Options,
                             ApprovalService *Service, const Clock &Time)
    : m_impl(std::make_shared<Impl>(Options, Service, Time)) {}
ApprovalCache::~ApprovalCache() = default;
const std::string *
ApprovalCache::ticket(const StepName &Step,
                      const ApprovalCandidate &Candidate) const {
  return m_impl->ticket(Step, Candidate);
}
void ApprovalCache::request(const StepName &Step, size_t Tasks,
                            milliseconds Validity,
                            const std::vector<ApprovalCandidate> &Candidates) {
  m_impl->want(Step, Tasks, Validity, Candidates);
}
void ApprovalCache::removeTicket(const StepName &Step,
                                 const ApprovalCandidate &Candidate) {
  m_impl->reject(Step, Candidate);
}
void ApprovalCache::forget(const std::string &Job) { m_impl->forget(Job); }
uint64_t ApprovalCache::calls() const { return m_impl->calls(); }

BASILCHUTE_NAMESPACE_END
