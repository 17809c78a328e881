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

constexpr milliseconds OfferPause{20};
constexpr milliseconds EntryRest{2000};
constexpr size_t MaxFaults = 10;
constexpr std::chrono::seconds ProgressEvery{1};

/// One request through all its offers.
struct Sending {
  std::string Id;
  std::string Tenant;
  std::string Body;
  bool Idempotent = true;
  TimePoint IntendedAt;
  uint32_t Offers = 0;
};

class LoadRun {
public:
  explicit LoadRun(const LoadOptions &Options)
      : m_options(Options), m_random(Options.Arrivals.Seed),
        m_run(fmt::format("{:08x}", std::random_device{}())),
        m_restsUntil(Options.Entries.size()),
        m_client({.Threads = Options.Threads}) {}

  LoadReport run() {
    std::vector<nanoseconds> Times = arrivalTimes(m_options.Arrivals);
    TimePoint Start = m_time.now();
    TimePoint NextProgress = Start + ProgressEvery;
    for (nanoseconds Each : Times) {
      sleepUntil(Start + Each);
      launch(Start + Each);
      if (m_time.now() < NextProgress || !m_options.OnProgress)
        continue;
      NextProgress += ProgressEvery;
      m_options.OnProgress(fmt::format("{} of {} sent, {} open", m_report.Sent,
                                       Times.size(), m_open.load()));
    }
    while (m_open > 0)
      std::this_thread::sleep_for(milliseconds(5));
    std::lock_guard Guard(m_lock);
    std::sort(m_report.Latencies.begin(), m_report.Latencies.end());
    return m_report;
  }

private:
  void sleepUntil(TimePoint At) const {
    nanoseconds Left = At - m_time.now();
    if (Left > nanoseconds(0))
      std::this_thread::sleep_for(Left);
  }

  void launch(TimePoint IntendedAt) {
    auto Fresh = std::make_shared<Sending>();
    Fresh->Id = fmt::format("{}-{}", m_run, ++m_report.Sent);
    Fresh->Tenant = m_options.Tenants[m_report.Sent % m_options.Tenants.size()];
    Fresh->Idempotent = static_cast<int64_t>(m_random() % 100) >=
                        m_options.NonIdempotentPercent;
    Fresh->Body = makeBody(Fresh->Id);
    Fresh->IntendedAt = IntendedAt;
    ++m_open;
    offer(Fresh);
  }

  std::string makeBody(const std::string &Id) {
    std::string Out = Id + ":";
    while (Out.size() < m_options.BodyBytes)
      Out += static_cast<char>('a' + m_random() % 26);
    return Out;
  }

  void offer(const std::shared_ptr<Sending> &Of) {
    size_t Entry = chooseEntry();
    ++Of->Offers;
    ClientRequest Request{
        .Method = "POST",
        .Address = fmt::format("{}{}?ms={}", m_options.Entries[Entry],
                               m_options.Path, m_options.WorkMillis),
        .Headers = {{"Basilchute-Request-Id", Of->Id},
                    {"Basilchute-Tenant", Of->Tenant},
                    {"Basilchute-Idempotent",
                     Of->Idempotent ? "true" : "false"},
                    {"Basilchute-Deadline-Ms",
                     fmt::format("{}", m_options.Deadline.count())},
                    {"Content-Type", "application/octet-stream"}},
        .Body = Of->Body,
        .Timeout = m_options.Deadline + milliseconds(2000),
        .NeverResend = !Of->Idempotent};
    m_client.send(std::move(Request),
                  [this, Of, Entry](Result<HttpResponse> Reply) {
                    onReply(Of, Entry, std::move(Reply));
                  });
  }

  // Entries take turns; one that refused as a whole rests for a while, as it
  // would behind a balancer.
  size_t chooseEntry() {
    int64_t Now = m_time.now().time_since_epoch().count();
    size_t First = m_nextEntry++;
    for (size_t I = 0; I < m_options.Entries.size(); ++I) {
      size_t Entry = (First + I) % m_options.Entries.size();
      if (m_restsUntil[Entry] <= Now)
        return Entry;
    }
    return First % m_options.Entries.size();
  }

  void rest(size_t Entry) {
    m_restsUntil[Entry] = (m_time.now() + EntryRest).time_since_epoch().count();
  }

  static bool isUnready(const Result<HttpResponse> &Reply) {
    if (!Reply.has_value())
      return Reply.error().Code == ResultCode::Unavailable;
    const std::string *Code =
        findHeader(Reply.value().Headers, "basilchute-code");
    return Code && *Code == "not_ready";
  }

  void onReply(const std::shared_ptr<Sending> &Of, size_t Entry,
               Result<HttpResponse> Reply) {
    if (isUnready(Reply))
      rest(Entry);
    bool NotRun = Reply.has_value()
                      ? isNotRun(Reply.value())
                      : Reply.error().Code == ResultCode::Unavailable;
    if (NotRun && Of->Offers < m_options.MaxOffers) {
      {
        std::lock_guard Guard(m_lock);
        ++m_report.Refused;
      }
      return m_loop.after(OfferPause, [this, Of] { offer(Of); });
    }
    count(*Of, Reply, NotRun);
    --m_open;
  }

  static bool isNotRun(const HttpResponse &Answer) {
    const std::string *Outcome =
        findHeader(Answer.Headers, "basilchute-outcome");
    return Outcome && *Outcome == "not-run";
  }

  void count(const Sending &Of, const Result<HttpResponse> &Reply,
             bool NotRun) {
    std::lock_guard Guard(m_lock);
    if (NotRun) {
      ++m_report.NotRun;
      return;
    }
    if (!Reply.has_value() || Reply.value().Status != 200) {
      ++m_report.Lost;
      noteFault(Of, Reply.has_value()
                        ? fmt::format("status {}: {}", Reply.value().Status,
                                      Reply.value().Body)
                        : Reply.error().Message);
      return;
    }
    const std::string *Id =
        findHeader(Reply.value().Headers, "basilchute-request-id");
    if (Reply.value().Body != Of.Body || !Id || *Id != Of.Id) {
      ++m_report.Wrong;
      noteFault(Of, fmt::format("answer of {} bytes for {}",
                                Reply.value().Body.size(), Of.Body.size()));
      return;
    }
    ++m_report.Answered;
    m_report.Latencies.push_back(m_time.now() - Of.IntendedAt);
  }

  void noteFault(const Sending &Of, std::string What) {
    if (m_report.Faults.size() >= MaxFaults)
      return;
    m_report.Faults.push_back(
        fmt::format("request {} after {} offers: {}", Of.Id, Of.Offers, What));
  }

  const LoadOptions &m_options;
  SystemClock m_time;
  std::mt19937_64 m_random;
  std::string m_run;
  std::mutex m_lock;
  LoadReport m_report;
  std::atomic<size_t> m_nextEntry{0};
  /// Point on the clock until which each entry gets nothing.
  std::vector<std::atomic<int64_t>> m_restsUntil;
  std::atomic<size_t> m_open{0};
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
