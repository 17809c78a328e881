/// \file
/// Limits on what the connections of all servers of a process hold together.
#pragma once

#include "basilchute/clock.h"
#include "libbasilchute/linelimit.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Why a connection was closed.
enum class CloseReason {
  /// The caller closed it, or it failed.
  Caller,
  /// Its last response was written.
  Finished,
  /// A request was refused.
  Refused,
  Timeout,
  /// The budget for input was exceeded.
  Memory,
  /// There were too many connections.
  Connections,
  /// More input than one head was sent ahead of a response.
  ReadAhead,
  ServerStopped
};
inline constexpr size_t CloseReasonCount = 8;

/// Name of \p Reason in log lines and metrics.
const char *closeReasonName(CloseReason Reason);

/// What one connection holds, in bytes, and what it waits for.
struct InputUse {
  /// Buffered input, including a request that is partly read.
  size_t UnfinishedBytes = 0;
  /// The request in progress.
  size_t InProgressBytes = 0;
  /// Responses that are not completely written.
  size_t UnwrittenBytes = 0;
  bool IsInProgress = false;
  bool IsMidRequest = false;
  /// Since when the connection has waited for its caller.
  TimePoint WaitStart{};

  /// Bytes that are released when the connection closes.
  size_t releasableBytes() const { return UnfinishedBytes + UnwrittenBytes; }
  size_t bytes() const { return releasableBytes() + InProgressBytes; }
};

/// A connection that an InputBudget may close.
class InputHolder {
public:
  virtual ~InputHolder() = default;
  /// Closes the connection without a response and releases its buffers. Called
  /// from any thread, without a lock of the budget.
  virtual void closeFor(CloseReason Reason) = 0;
};

/// Limits of an InputBudget.
struct InputBudgetOptions {
  /// Maximum of all bytes held; 0 for no limit.
  size_t MaxBytes = 0;
  /// Maximum number of connections; 0 for no limit.
  size_t MaxConnections = 0;
  /// Writes a log line about a connection that was closed because of a limit.
  std::function<void(std::string_view Event, std::string_view Fields)> Log;
};

/// Counters of an InputBudget.
struct InputCounts {
  size_t OpenConnections = 0;
  uint64_t OpenedConnections = 0;
  /// By CloseReason.
  std::array<uint64_t, CloseReasonCount> Closed{};
  /// Number of requests that were refused while being read, by HTTP status.
  std::map<int, uint64_t> Refused;
  size_t HeldBytes = 0;
  size_t MostHeldBytes = 0;
};

/// Accounts for the input of all connections of a process and chooses which
/// ones to close at its limits. Connections that have waited longer than the
/// caller time-outs go first. Thread-safe; its lock is released before any
/// function of a connection is called.
class InputBudget {
public:
  using Id = uint64_t;

  explicit InputBudget(InputBudgetOptions Options);

  size_t maxConnections() const { return m_options.MaxConnections; }
  /// Sets the times after which a connection in the middle of a request, or
  /// between two requests, is among the first that are closed.
  void setTimeouts(nanoseconds MidRequest, nanoseconds Idle);
  /// Adds a connection.
  Id open(std::weak_ptr<InputHolder> Holder, TimePoint Now);
  /// Replaces what connection \p Connection holds. Returns true if a limit is
  /// exceeded: enforce() must follow when no lock is held.
  bool update(Id Connection, const InputUse &Use);
  /// Counts the connection as closed; only the first call counts. What a
  /// request in progress holds is counted until remove().
  void close(Id Connection, CloseReason Reason);
  void remove(Id Connection);
  /// Closes connections until the limits hold or none is left to choose.
  void enforce(TimePoint Now);
  void countRefusal(int Status);
  InputCounts counts() const;
  /// Returns the counters in the text format of Prometheus.
  std::string metricsText() const;

private:
  struct Account {
    std::weak_ptr<InputHolder> Holder;
    InputUse Use;
    bool IsClosed = false;
  };
  struct Victim {
    std::shared_ptr<InputHolder> Holder;
    CloseReason Reason;
    std::string LogFields;
  };
  using Accounts = std::map<Id, Account>;

  bool isOverBytes() const;
  bool isOverConnections() const;
  bool isOverdue(const InputUse &Use, TimePoint Now) const;
  /// Return m_accounts.end() if there is none to close.
  Accounts::iterator findByBytes(TimePoint Now);
  Accounts::iterator findByWait(TimePoint Now);
  void closeLocked(Account &Closed, CloseReason Reason);
  void setUse(Account &Changed, const InputUse &Use);
  Victim take(Id Connection, Account &Chosen, CloseReason Reason,
              TimePoint Now);
  std::vector<Victim> takeVictims(TimePoint Now);

  InputBudgetOptions m_options;
  mutable std::mutex m_lock;
  nanoseconds m_midRequestTimeout;
  nanoseconds m_idleTimeout;
  Accounts m_accounts;
  Id m_lastId = 0;
  InputCounts m_counts;
  LineLimit m_lines;
};

BASILCHUTE_NAMESPACE_END
