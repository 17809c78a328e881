#include "libbasilchute/feedrecord.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr std::chrono::seconds FailureLineInterval{1};

int64_t toMillis(nanoseconds Duration) { return Duration / milliseconds(1); }

} // namespace

FeedRecord::FeedRecord(std::string Table, LogFunction Log, const Clock &Time)
    : m_table(std::move(Table)), m_log(std::move(Log)), m_time(Time),
      m_lastAnswer(Time.now()), m_lines(1, FailureLineInterval) {}

void FeedRecord::onAnswered() {
  if (m_failuresInGap > 0)
    m_log("feed_regained",
          fmt::format("table={} gap_ms={} failures={}", m_table,
                      toMillis(age()), m_failuresInGap));
  m_failuresInGap = 0;
  m_lastAnswer = m_time.now();
}

void FeedRecord::onFailed(const Error &Failure, TimePoint SentAt) {
  ++m_failures;
  ++m_failuresInGap;
  if (!m_lines.take(m_time.now()))
    return;
  m_log("feed_failed",
        fmt::format("table={} waited_ms={} since_answer_ms={} result={} "
                    "message=\"{}\"{}",
                    m_table, toMillis(m_time.now() - SentAt), toMillis(age()),
                    resultCodeName(Failure.Code), Failure.Message,
                    m_lines.leftOutField()));
}

BASILCHUTE_NAMESPACE_END
