#include "basilchute-load/loadrun.h"

#include "libutil/eventloop.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <mutex>
#include <random>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds RetryDelay{20};
constexpr milliseconds UnreadyBackoff{2000};
constexpr size_t MaxReportedFailures = 10;
constexpr std::chrono::seconds ProgressInterval{1};

/// One request over all its attempts.
struct LoadRequest {
  std::string Id;
  std::string Tenant;
  std::string Body;
  bool Idempotent = true;
  TimePoint IntendedAt;
  uint32_t Attempts = 0;
};

class LoadRun {
public:
  explicit LoadRun(const LoadOptions &Options)
      : m_options(Options), m_random(Options.Arrivals.Seed),
        m_runId(fmt::format("{:08x}", std::random_device{}())),
        m_skipUntil(Options.Entries.size()),
        m_client({.Threads = Options.Threads}) {}

  LoadReport run() {
    std::vector<nanoseconds> Times = arrivalTimes(m_options.Arrivals);
    TimePoint Start = m_time.now();
    TimePoint NextProgress = Start + ProgressInterval;
    for (nanoseconds Time : Times) {
      sleepUntil(Start + Time);
      startRequest(Start + Time);
      if (m_time.now() < NextProgress || !m_options.OnProgress)
        continue;
      NextProgress += ProgressInterval;
      m_options.OnProgress(fmt::format("{} of {} requests sent, {} pending",
                                       m_report.Sent, Times.size(),
                                       m_pending.load()));
    }
    while (m_pending > 0)
      std::this_thread::sleep_for(milliseconds(5));
    std::lock_guard Guard(m_lock);
    std::sort(m_report.Latencies.begin(), m_report.Latencies.end());
    return m_report;
  }

private:
  void sleepUntil(TimePoint Time) const {
    nanoseconds Remaining = Time - m_time.now();
    if (Remaining > nanoseconds(0))
      std::this_thread::sleep_for(Remaining);
  }

  void startRequest(TimePoint IntendedAt) {
    auto Request = std::make_shared<LoadRequest>();
    Request->Id = fmt::format("{}-{}", m_runId, ++m_report.Sent);
    Request->Tenant =
        m_options.Tenants[m_report.Sent % m_options.Tenants.size()];
    Request->Idempotent = static_cast<int64_t>(m_random() % 100) >=
                          m_options.NonIdempotentPercent;
    Request->Body = makeBody(Request->Id);
    Request->IntendedAt = IntendedAt;
    ++m_pending;
    sendAttempt(Request);
  }

  std::string makeBody(const std::string &Id) {
    std::string Out = Id + ":";
    while (Out.size() < m_options.BodyBytes)
      Out += static_cast<char>('a' + m_random() % 26);
    return Out;
  }

  void sendAttempt(const std::shared_ptr<LoadRequest> &Request) {
    size_t Entry = chooseEntry();
    ++Request->Attempts;
    ClientRequest Call{
        .Method = "POST",
        .Address = fmt::format("{}{}?ms={}", m_options.Entries[Entry],
                               m_options.Path, m_options.WorkMillis),
        .Headers = {{"Basilchute-Request-Id", Request->Id},
                    {"Basilchute-Tenant", Request->Tenant},
                    {"Basilchute-Idempotent",
                     Request->Idempotent ? "true" : "false"},
                    {"Basilchute-Deadline-Ms",
                     fmt::format("{}", m_options.Deadline.count())},
                    {"Content-Type", "application/octet-stream"}},
        .Body = Request->Body,
        .Timeout = m_options.Deadline + milliseconds(2000),
        .IsIdempotent = Request->Idempotent,
        .UseNewConnection = !Request->Idempotent};
    m_client.send(std::move(Call),
                  [this, Request, Entry](Result<HttpResponse> Reply) {
                    onReply(Request, Entry, std::move(Reply));
                  });
  }

  // Uses the entries in turn and leaves out those that were not ready recently,
  // as a load balancer would. If all are left out, the next one in turn is
  // used.
  size_t chooseEntry() {
    int64_t Now = m_time.now().time_since_epoch().count();
    size_t First = m_nextEntry++;
    for (size_t I = 0; I < m_options.Entries.size(); ++I) {
      size_t Entry = (First + I) % m_options.Entries.size();
      if (m_skipUntil[Entry] <= Now)
        return Entry;
    }
    return First % m_options.Entries.size();
  }

  void backOff(size_t Entry) {
    m_skipUntil[Entry] =
        (m_time.now() + UnreadyBackoff).time_since_epoch().count();
  }

  static bool isEntryUnready(const Result<HttpResponse> &Reply) {
    if (!Reply.has_value())
      return Reply.error().Code == ResultCode::Unavailable;
    const std::string *Code =
        findHeader(Reply.value().Headers, "basilchute-code");
    return Code && *Code == "not_ready";
  }

  void onReply(const std::shared_ptr<LoadRequest> &Request, size_t Entry,
               Result<HttpResponse> Reply) {
    if (isEntryUnready(Reply))
      backOff(Entry);
    bool NotRun = Reply.has_value()
                      ? isNotRun(Reply.value())
                      : Reply.error().Code == ResultCode::Unavailable;
    if (NotRun && Request->Attempts < m_options.MaxAttempts) {
      {
        std::lock_guard Guard(m_lock);
        ++m_report.Retries;
      }
      return m_loop.runAfter(RetryDelay,
                             [this, Request] { sendAttempt(Request); });
    }
    recordResult(*Request, Reply, NotRun);
    --m_pending;
  }

  static bool isNotRun(const HttpResponse &Answer) {
    const std::string *Outcome =
        findHeader(Answer.Headers, "basilchute-outcome");
    return Outcome && *Outcome == "not-run";
  }

  void recordResult(const LoadRequest &Request,
                    const Result<HttpResponse> &Reply, bool NotRun) {
    std::lock_guard Guard(m_lock);
    if (NotRun) {
      ++m_report.NotRun;
      return;
    }
    if (!Reply.has_value() || Reply.value().Status != 200) {
      ++m_report.Lost;
      recordFailure(Request,
                    Reply.has_value()
                        ? fmt::format("status {}: {}", Reply.value().Status,
                                      Reply.value().Body)
                        : Reply.error().Message);
      return;
    }
    const std::string *Id =
        findHeader(Reply.value().Headers, "basilchute-request-id");
    if (Reply.value().Body != Request.Body || !Id || *Id != Request.Id) {
      ++m_report.Wrong;
      recordFailure(
          Request,
          fmt::format("wrong answer of {} bytes to a request of {} bytes",
                      Reply.value().Body.size(), Request.Body.size()));
      return;
    }
    ++m_report.Answered;
    m_report.Latencies.push_back(m_time.now() - Request.IntendedAt);
  }

  void recordFailure(const LoadRequest &Request, std::string Description) {
    if (m_report.Failures.size() >= MaxReportedFailures)
      return;
    m_report.Failures.push_back(
        fmt::format("request {} failed at attempt {}: {}", Request.Id,
                    Request.Attempts, Description));
  }

  const LoadOptions &m_options;
  SystemClock m_time;
  std::mt19937_64 m_random;
  std::string m_runId;
  std::mutex m_lock;
  LoadReport m_report;
  std::atomic<size_t> m_nextEntry{0};
  /// For each entry the time until which it gets no requests, in ns of m_time.
  std::vector<std::atomic<int64_t>> m_skipUntil;
  std::atomic<size_t> m_pending{0};
  EventLoop m_loop;
  HttpClient m_client;
};

} // namespace

nanoseconds LoadReport::quantile(double Q) const {
  if (Latencies.empty())
    return nanoseconds(0);
  auto Index = static_cast<size_t>(Q * static_cast<double>(Latencies.size()));
  return Latencies[std::min(Index, Latencies.size() - 1)];
}

LoadReport runLoad(const LoadOptions &Options) {
  return LoadRun(Options).run();
}

BASILCHUTE_NAMESPACE_END
