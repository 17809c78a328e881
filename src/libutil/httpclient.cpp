#include "libutil/httpclient.h"

#include "libutil/curlpoller.h"
#include "libutil/httptransfer.h"

#include <algorithm>
#include <set>
#include <sys/resource.h>
#include <thread>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds MaxPollWait{1000};
/// Connection limit if the process has no limit of descriptors.
constexpr long FallbackMaxConnections = 16384;

long maxConnections(const HttpClientOptions &Options) {
  if (Options.MaxConnections > 0)
    return Options.MaxConnections;
  rlimit Limit{};
  bool IsLimited =
      getrlimit(RLIMIT_NOFILE, &Limit) == 0 && Limit.rlim_cur != RLIM_INFINITY;
  return IsLimited ? static_cast<long>(Limit.rlim_cur) / 2
                   : FallbackMaxConnections;
}

/// A thread of the client with its connections.
class ClientThread {
public:
  ClientThread(const HttpClientOptions &Options, KeptConnections &Kept)
      : m_options(Options), m_kept(Kept), m_multi(curl_multi_init()),
        m_poller(m_multi) {
    cds_wfcq_init(&m_queueHead, &m_queueTail);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxConnections(m_options));
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      m_options.MaxConnectionsPerAddress);
    m_thread = std::thread([this] { loop(); });
  }

  ~ClientThread() {
    m_isStopping = true;
    m_poller.wake();
    m_thread.join();
    startQueued();
    for (Transfer *Active : m_active) {
      curl_multi_remove_handle(m_multi, Active->Easy);
      if (!Active->Twin || !Active->IsHedge)
        Active->OnDone(
            makeError(ResultCode::OutcomeUnknown,
                      "HTTP client stopped before the request ended"));
      delete Active;
    }
    curl_multi_cleanup(m_multi);
  }

  uint64_t opened() const { return m_openedConnections; }
  uint64_t resent() const { return m_resentRequests; }
  uint64_t refused() const { return m_refusedConnections; }
  uint64_t hedged() const { return m_hedgedRequests; }

  void send(ClientRequest Request, HttpClient::Callback OnDone) {
    auto *New = new Transfer;
    New->Request = std::move(Request);
    New->OnDone = std::move(OnDone);
    cds_wfcq_node_init(&New->Node.Link);
    New->Node.Owner.store(New, std::memory_order_release);
    cds_wfcq_enqueue(queueHead(), &m_queueTail, &New->Node.Link);
    m_poller.wake();
  }

private:
  cds_wfcq_head_ptr_t queueHead() {
    cds_wfcq_head_ptr_t Head;
    Head.h = &m_queueHead;
    return Head;
  }

  void loop() {
    while (!m_isStopping) {
      startQueued();
      completeEnded();
      m_poller.poll(hedgeOverdue());
      completeEnded();
    }
  }

  void startQueued() {
    while (cds_wfcq_node *Node =
               __cds_wfcq_dequeue_blocking(queueHead(), &m_queueTail)) {
      Transfer *New = reinterpret_cast<QueueNode *>(Node)->Owner.load(
          std::memory_order_acquire);
      start(*New);
    }
  }

  void start(Transfer &New) {
    New.Kept = &m_kept;
    New.SentAt = m_time.now();
    prepareTransfer(New, m_options);
    m_active.insert(&New);
    if (New.mayHedge())
      m_hedgeable.insert(&New);
    curl_multi_add_handle(m_multi, New.Easy);
  }

  /// Sends the requests that have waited for too long a second time. Returns
  /// the time until the next one is due, at most MaxPollWait.
  milliseconds hedgeOverdue() {
    TimePoint Now = m_time.now();
    TimePoint Next = Now + MaxPollWait;
    std::vector<Transfer *> Overdue;
    for (Transfer *Waiting : m_hedgeable) {
      TimePoint At = Waiting->hedgeAt();
      if (At <= Now)
        Overdue.push_back(Waiting);
      else
        Next = std::min(Next, At);
    }
    for (Transfer *Late : Overdue) {
      m_hedgeable.erase(Late);
      hedge(*Late);
    }
    return std::chrono::ceil<milliseconds>(Next - Now);
  }

  void hedge(Transfer &Late) {
    auto *Hedge = new Transfer;
    Hedge->Request = Late.Request;
    Hedge->Request.UseNewConnection = true;
    Hedge->Request.HedgeAfter = milliseconds(0);
    Hedge->OnDone = Late.OnDone;
    Hedge->IsHedge = true;
    Hedge->Twin = &Late;
    Late.Twin = Hedge;
    ++m_hedgedRequests;
    start(*Hedge);
  }

  void completeEnded() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_multi, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      Transfer *Ended = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Ended);
      complete(*Ended, Message->data.result);
    }
  }

  void complete(Transfer &Ended, CURLcode Code) {
    if (Ended.IsRefused) {
      // The next kept connection is tried; with none left a new one is opened,
      // if the request may use one.
      Ended.IsRefused = false;
      Ended.EarlierBytes = Ended.sentBytes();
      ++m_refusedConnections;
      curl_multi_remove_handle(m_multi, Ended.Easy);
      curl_multi_add_handle(m_multi, Ended.Easy);
      return;
    }
    addToCounts(Ended);
    recordEvidence(Ended, Code);
    Transfer *Twin = std::exchange(Ended.Twin, nullptr);
    if (Twin && Code == CURLE_OK)
      abandon(*Twin);
    else if (Twin)
      Twin->Twin = nullptr;
    // A request whose twin goes on has not failed yet.
    if (!Twin || Code == CURLE_OK)
      Ended.OnDone(transferResult(Ended, Code));
    remove(Ended);
  }

  /// Ends the twin of a request that was answered.
  void abandon(Transfer &Unanswered) {
    TimePoint Now = m_time.now();
    if (!Unanswered.IsHedge && Unanswered.isOverdue(Now))
      m_kept.onSilent(Unanswered.peer(), Unanswered.silentSince(Now));
    addToCounts(Unanswered);
    remove(Unanswered);
  }

  // Before the callback, whose receiver may read the counters.
  void addToCounts(const Transfer &Ended) {
    long Opened = 0;
    curl_easy_getinfo(Ended.Easy, CURLINFO_NUM_CONNECTS, &Opened);
    m_openedConnections += static_cast<uint64_t>(Opened);
    m_resentRequests += static_cast<uint64_t>(std::max(Ended.Sends - 1, 0));
  }

  void remove(Transfer &Ended) {
    curl_multi_remove_handle(m_multi, Ended.Easy);
    m_active.erase(&Ended);
    m_hedgeable.erase(&Ended);
    delete &Ended;
  }

  void recordEvidence(const Transfer &Ended, CURLcode Code) {
    TimePoint Now = m_time.now();
    if (Code == CURLE_OK)
      m_kept.onAnswered(Ended.peer(), Ended.LocalPort, Now);
    else if (Ended.wasSilent(Code, Now))
      m_kept.onSilent(Ended.peer(), Ended.silentSince(Now));
  }

  HttpClientOptions m_options;
  KeptConnections &m_kept;
  SystemClock m_time;
  CURLM *m_multi;
  CurlPoller m_poller;
  cds_wfcq_head m_queueHead{};
  cds_wfcq_tail m_queueTail{};
  std::set<Transfer *> m_active;
  /// Active transfers that are sent a second time once they are overdue.
  std::set<Transfer *> m_hedgeable;
  std::atomic<uint64_t> m_openedConnections{0};
  std::atomic<uint64_t> m_resentRequests{0};
  std::atomic<uint64_t> m_refusedConnections{0};
  std::atomic<uint64_t> m_hedgedRequests{0};
  std::atomic<bool> m_isStopping{false};
  std::thread m_thread;
};

} // namespace

class HttpClient::Impl {
public:
  explicit Impl(const HttpClientOptions &Options)
      : m_kept(Options.MaxIdleTime) {
    static const CURLcode InitCode = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)InitCode;
    for (int I = 0; I < Options.Threads; ++I)
      m_threads.push_back(std::make_unique<ClientThread>(Options, m_kept));
  }

  void send(ClientRequest Request, Callback OnDone) {
    size_t Index = m_next.fetch_add(1, std::memory_order_relaxed);
    m_threads[Index % m_threads.size()]->send(std::move(Request),
                                              std::move(OnDone));
  }

  /// Returns the sum of \p Count over all threads.
  uint64_t total(uint64_t (ClientThread::*Count)() const) const {
    uint64_t Total = 0;
    for (const std::unique_ptr<ClientThread> &Thread : m_threads)
      Total += (Thread.get()->*Count)();
    return Total;
  }

private:
  KeptConnections m_kept;
  std::vector<std::unique_ptr<ClientThread>> m_threads;
  std::atomic<size_t> m_next{0};
};

HttpClient::HttpClient(HttpClientOptions Options)
    : m_impl(std::make_unique<Impl>(Options)) {}
HttpClient::~HttpClient() = default;
void HttpClient::send(ClientRequest Request, Callback OnDone) {
  m_impl->send(std::move(Request), std::move(OnDone));
}
uint64_t HttpClient::openedConnections() const {
  return m_impl->total(&ClientThread::opened);
}
uint64_t HttpClient::resentRequests() const {
  return m_impl->total(&ClientThread::resent);
}
uint64_t HttpClient::hedgedRequests() const {
  return m_impl->total(&ClientThread::hedged);
}
uint64_t HttpClient::refusedConnections() const {
  return m_impl->total(&ClientThread::refused);
}

BASILCHUTE_NAMESPACE_END
