#include "basilchute/approval.h"

#include <algorithm>
#include <map>

BASILCHUTE_NAMESPACE_BEGIN

class ApprovalBook::Impl
    : public std::enable_shared_from_this<ApprovalBook::Impl> {
public:
  Impl(ApprovalBookOptions Options, ApprovalService *Service, const Clock &Time)
      : m_options(Options), m_service(Service), m_time(Time) {}

  const std::string *ticket(const StepName &Step,
                            const ApprovalCandidate &Of) const {
    const Answer *Known = find(Step, Of);
    bool Holds = Known && !Known->Ticket.empty() &&
                 m_time.now() + m_options.Margin < Known->Until;
    return Holds ? &Known->Ticket : nullptr;
  }

  void want(const StepName &Step, size_t Tasks, milliseconds Validity,
            const std::vector<ApprovalCandidate> &Candidates) {
    if (!m_service || m_asking || m_time.now() < m_notBefore)
      return;
    size_t Most = std::clamp(Tasks * m_options.PerTask, m_options.Least,
                             std::min(m_options.Most, MaxWorkersPerApproval));
    std::vector<ApprovalCandidate> Asked;
    for (const ApprovalCandidate &Each : Candidates) {
      if (Asked.size() == Most)
        break;
      if (!isKnown(Step, Each))
        Asked.push_back(Each);
    }
    if (!Asked.empty())
      ask(Step, Validity, std::move(Asked));
  }

  void reject(const StepName &Step, const ApprovalCandidate &Of) {
    auto Workers = m_steps.find(Step);
    if (Workers != m_steps.end())
      Workers->second.erase(Of.Worker);
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
  /// What the service said of one worker; without a ticket it said no.
  struct Answer {
    milliseconds Born{0};
    std::string Ticket;
    TimePoint Until{};
  };
  using Answers = std::map<std::string, Answer>;

  const Answer *find(const StepName &Step, const ApprovalCandidate &Of) const {
    auto Workers = m_steps.find(Step);
    if (Workers == m_steps.end())
      return nullptr;
    auto Found = Workers->second.find(Of.Worker);
    bool Same = Found != Workers->second.end() && Found->second.Born == Of.Born;
    return Same ? &Found->second : nullptr;
  }

  // A no lasts; a yes lasts as long as its ticket.
  bool isKnown(const StepName &Step, const ApprovalCandidate &Of) const {
    const Answer *Known = find(Step, Of);
    return Known && (Known->Ticket.empty() || ticket(Step, Of));
  }

  void ask(const StepName &Step, milliseconds Validity,
           std::vector<ApprovalCandidate> Asked) {
    std::vector<std::string> Workers;
    for (const ApprovalCandidate &Each : Asked)
      Workers.push_back(Each.Worker);
    m_asking = true;
    ++m_calls;
    // The service may have counted the ticket's time from the call.
    TimePoint Until = m_time.now() + Validity;
    m_service->ask(Step, std::move(Workers),
                   [Weak = weak_from_this(), Step, Asked = std::move(Asked),
                    Until](Result<std::vector<Approval>> Given) {
                     if (auto Self = Weak.lock())
                       Self->onAnswer(Step, Asked, Until, Given);
                   });
  }

  void onAnswer(const StepName &Step,
                const std::vector<ApprovalCandidate> &Asked, TimePoint Until,
                const Result<std::vector<Approval>> &Given) {
    m_asking = false;
    if (!Given.has_value()) {
      m_notBefore = m_time.now() + m_options.RetryPause;
      return;
    }
    Answers &Workers = m_steps[Step];
    for (const ApprovalCandidate &Each : Asked)
      Workers[Each.Worker] = {.Born = Each.Born, .Until = Until};
    for (const Approval &Each : Given.value()) {
      auto Found = Workers.find(Each.Worker);
      if (Found != Workers.end())
        Found->second.Ticket = Each.Ticket;
    }
  }

  ApprovalBookOptions m_options;
  ApprovalService *m_service;
  const Clock &m_time;
  std::map<StepName, Answers> m_steps;
  TimePoint m_notBefore{};
  bool m_asking = false;
  uint64_t m_calls = 0;
};

ApprovalBook::ApprovalBook(ApprovalBookOptions Options,
                           ApprovalService *Service, const Clock &Time)
    : m_impl(std::make_shared<Impl>(Options, Service, Time)) {}
ApprovalBook::~ApprovalBook() = default;
const std::string *ApprovalBook::ticket(const StepName &Step,
                                        const ApprovalCandidate &Of) const {
  return m_impl->ticket(Step, Of);
}
void ApprovalBook::want(const StepName &Step, size_t Tasks,
                        milliseconds Validity,
                        const std::vector<ApprovalCandidate> &Candidates) {
  m_impl->want(Step, Tasks, Validity, Candidates);
}
void ApprovalBook::reject(const StepName &Step, const ApprovalCandidate &Of) {
  m_impl->reject(Step, Of);
}
void ApprovalBook::forget(const std::string &Job) { m_impl->forget(Job); }
uint64_t ApprovalBook::calls() const { return m_impl->calls(); }

BASILCHUTE_NAMESPACE_END
