/// \file
/// Record of how a host's copy of a table keeps up with the store.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"
#include "libbasilchute/linelimit.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

BASILCHUTE_NAMESPACE_BEGIN

/// Logs and counts the reads of one table that fail, and tells how old the
/// host's copy is. A failure is logged at most once a second, and the next
/// answer after one ends the gap with a line of its own.
class FeedRecord {
public:
  using LogFunction = std::function<void(std::string_view, std::string_view)>;

  FeedRecord(std::string Table, LogFunction Log, const Clock &Time);

  /// Records that a read was answered.
  void onAnswered();
  /// Records that a read which was sent at \p SentAt failed with \p Failure.
  void onFailed(const Error &Failure, TimePoint SentAt);

  /// Returns the time since the last answer, or since the start if there was
  /// none.
  nanoseconds age() const { return m_time.now() - m_lastAnswer; }
  uint64_t failures() const { return m_failures; }

private:
  std::string m_table;
  LogFunction m_log;
  const Clock &m_time;
  TimePoint m_lastAnswer;
  uint64_t m_failures = 0;
  /// Failures since the last answer.
  uint64_t m_failuresInGap = 0;
  LineLimit m_lines;
};

BASILCHUTE_NAMESPACE_END
