#include "libutil/inputbudget.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Lines a second about closed connections, which anyone can cause.
constexpr int MaxCloseLines = 10;
/// Time-outs before a configuration arrives; those observed in installations.
constexpr milliseconds DefaultMidRequestTimeout{3000};
constexpr milliseconds DefaultIdleTimeout{15000};

} // namespace

const char *closeReasonName(CloseReason Reason) {
  switch (Reason) {
  case CloseReason::Caller:
    return "caller";
  case CloseReason::Finished:
    return "finished";
  case CloseReason::Refused:
    return "refused";
  case CloseReason::Timeout:
    return "timeout";
  case CloseReason::Memory:
    return "memory";
  case CloseReason::Connections:
    return "connections";
  case CloseReason::ReadAhead:
    return "read_ahead";
  case CloseReason::ServerStopped:
    return "server_stopped";
  }
  return "unknown";
}

InputBudget::InputBudget(InputBudgetOptions Options)
    : m_options(std::move(Options)),
      m_midRequestTimeout(DefaultMidRequestTimeout),
      m_idleTimeout(DefaultIdleTimeout),
      m_lines(MaxCloseLines, std::chrono::seconds(1)) {}

void InputBudget::setTimeouts(nanoseconds MidRequest, nanoseconds Idle) {
  std::lock_guard Guard(m_lock);
  m_midRequestTimeout = MidRequest;
  m_idleTimeout = Idle;
}

InputBudget::Id InputBudget::open(std::weak_ptr<InputHolder> Holder,
                                  TimePoint Now) {
  std::lock_guard Guard(m_lock);
  m_accounts[++m_lastId] = {.Holder = std::move(Holder),
                            .Use = {.WaitStart = Now}};
  ++m_counts.OpenConnections;
  ++m_counts.OpenedConnections;
  return m_lastId;
}

bool InputBudget::update(Id Connection, const InputUse &Use) {
  std::lock_guard Guard(m_lock);
  auto It = m_accounts.find(Connection);
  if (It == m_accounts.end())
    return false;
  InputUse Changed = Use;
  // Its buffers are being released.
  if (It->second.IsClosed)
    Changed.UnfinishedBytes = Changed.UnwrittenBytes = 0;
  setUse(It->second, Changed);
  return isOverBytes() || isOverConnections();
}

void InputBudget::setUse(Account &Changed, const InputUse &Use) {
  m_counts.HeldBytes = m_counts.HeldBytes - Changed.Use.bytes() + Use.bytes();
  m_counts.MostHeldBytes = std::max(m_counts.MostHeldBytes, m_counts.HeldBytes);
  Changed.Use = Use;
}

void InputBudget::closeLocked(Account &Closed, CloseReason Reason) {
  if (std::exchange(Closed.IsClosed, true))
    return;
  --m_counts.OpenConnections;
  ++m_counts.Closed[static_cast<size_t>(Reason)];
  InputUse Left = Closed.Use;
  Left.UnfinishedBytes = Left.UnwrittenBytes = 0;
  setUse(Closed, Left);
}

void InputBudget::close(Id Connection, CloseReason Reason) {
  std::lock_guard Guard(m_lock);
  auto It = m_accounts.find(Connection);
  if (It != m_accounts.end())
    closeLocked(It->second, Reason);
}

void InputBudget::remove(Id Connection) {
  std::lock_guard Guard(m_lock);
  auto It = m_accounts.find(Connection);
  if (It == m_accounts.end())
    return;
  closeLocked(It->second, CloseReason::Caller);
  setUse(It->second, {});
  m_accounts.erase(It);
}

bool InputBudget::isOverBytes() const {
  return m_options.MaxBytes > 0 && m_counts.HeldBytes > m_options.MaxBytes;
}

bool InputBudget::isOverConnections() const {
  return m_options.MaxConnections > 0 &&
         m_counts.OpenConnections > m_options.MaxConnections;
}

bool InputBudget::isOverdue(const InputUse &Use, TimePoint Now) const {
  if (Use.IsInProgress)
    return false;
  return Now - Use.WaitStart >
         (Use.IsMidRequest ? m_midRequestTimeout : m_idleTimeout);
}

InputBudget::Accounts::iterator InputBudget::findByBytes(TimePoint Now) {
  auto Best = m_accounts.end();
  bool IsBestOverdue = false;
  for (auto It = m_accounts.begin(); It != m_accounts.end(); ++It) {
    const InputUse &Use = It->second.Use;
    if (It->second.IsClosed || Use.releasableBytes() == 0)
      continue;
    bool IsOverdueNow = isOverdue(Use, Now);
    bool IsBetter =
        Best == m_accounts.end() ||
        (IsOverdueNow != IsBestOverdue
             ? IsOverdueNow
             : Use.releasableBytes() > Best->second.Use.releasableBytes());
    if (!IsBetter)
      continue;
    Best = It;
    IsBestOverdue = IsOverdueNow;
  }
  return Best;
}

InputBudget::Accounts::iterator InputBudget::findByWait(TimePoint Now) {
  auto Best = m_accounts.end();
  bool IsBestOverdue = false;
  for (auto It = m_accounts.begin(); It != m_accounts.end(); ++It) {
    const InputUse &Use = It->second.Use;
    if (It->second.IsClosed || Use.IsInProgress)
      continue;
    bool IsOverdueNow = isOverdue(Use, Now);
    bool IsBetter = Best == m_accounts.end() ||
                    (IsOverdueNow != IsBestOverdue
                         ? IsOverdueNow
                         : Use.WaitStart < Best->second.Use.WaitStart);
    if (!IsBetter)
      continue;
    Best = It;
    IsBestOverdue = IsOverdueNow;
  }
  return Best;
}

InputBudget::Victim InputBudget::take(Id Connection, Account &Chosen,
                                      CloseReason Reason, TimePoint Now) {
  Victim Out{.Holder = Chosen.Holder.lock(), .Reason = Reason};
  if (m_options.Log && m_lines.take(Now))
    Out.LogFields = fmt::format(
        "reason={} connection={} unfinished={} unwritten={} in_progress={} "
        "waited_ms={} overdue={} held={} max_bytes={} connections={} "
        "max_connections={}{}",
        closeReasonName(Reason), Connection, Chosen.Use.UnfinishedBytes,
        Chosen.Use.UnwrittenBytes, Chosen.Use.InProgressBytes,
        (Now - Chosen.Use.WaitStart) / milliseconds(1),
        isOverdue(Chosen.Use, Now), m_counts.HeldBytes, m_options.MaxBytes,
        m_counts.OpenConnections, m_options.MaxConnections,
        m_lines.leftOutField());
  closeLocked(Chosen, Reason);
  return Out;
}

std::vector<InputBudget::Victim> InputBudget::takeVictims(TimePoint Now) {
  std::lock_guard Guard(m_lock);
  std::vector<Victim> Out;
  while (isOverConnections()) {
    auto It = findByWait(Now);
    if (It == m_accounts.end())
      break;
    Out.push_back(take(It->first, It->second, CloseReason::Connections, Now));
  }
  while (isOverBytes()) {
    auto It = findByBytes(Now);
    if (It == m_accounts.end())
      break;
    Out.push_back(take(It->first, It->second, CloseReason::Memory, Now));
  }
  return Out;
}

void InputBudget::enforce(TimePoint Now) {
  for (const Victim &Chosen : takeVictims(Now)) {
    if (Chosen.Holder)
      Chosen.Holder->closeFor(Chosen.Reason);
    if (!Chosen.LogFields.empty())
      m_options.Log("input_closed", Chosen.LogFields);
  }
}

void InputBudget::countRefusal(int Status) {
  std::lock_guard Guard(m_lock);
  ++m_counts.Refused[Status];
}

InputCounts InputBudget::counts() const {
  std::lock_guard Guard(m_lock);
  return m_counts;
}

std::string InputBudget::metricsText() const {
  InputCounts Counts = counts();
  std::string Out =
      fmt::format("basilchute_input_connections_open {}\n"
                  "basilchute_input_connections_total {}\n"
                  "basilchute_input_bytes {}\n"
                  "basilchute_input_bytes_most {}\n",
                  Counts.OpenConnections, Counts.OpenedConnections,
                  Counts.HeldBytes, Counts.MostHeldBytes);
  for (size_t Index = 0; Index < CloseReasonCount; ++Index)
    Out += fmt::format(
        "basilchute_input_connections_closed_total{{reason=\"{}\"}} {}\n",
        closeReasonName(static_cast<CloseReason>(Index)), Counts.Closed[Index]);
  for (const auto &[Status, Count] : Counts.Refused)
    Out += fmt::format(
        "basilchute_input_requests_refused_total{{status=\"{}\"}} {}\n", Status,
        Count);
  return Out;
}

BASILCHUTE_NAMESPACE_END
