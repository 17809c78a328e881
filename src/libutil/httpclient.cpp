#include "libutil/httpclient.h"

#include "libutil/curlpoller.h"
#include "libutil/keptconnections.h"

#include <algorithm>
#include <atomic>
#include <curl/curl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <urcu/wfcqueue.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds MaxPollWait{1000};
/// Connection limit if the process has no limit of descriptors.
constexpr long FallbackMaxConnections = 16384;

struct Transfer;

/// Node of the queue of new transfers.
struct QueueNode {
  cds_wfcq_node Link{};
  /// Written before the node is queued. The queue's own barriers are not part
  /// of the C++ memory model, and ThreadSanitizer does not see them.
  std::atomic<Transfer *> Owner{nullptr};
};

/// A request in progress.
struct Transfer {
  QueueNode Node;
  ClientRequest Request;
  HttpClient::Callback OnDone;
  HttpResponse Response;
  std::string Url;
  CURL *Easy = nullptr;
  curl_slist *HeaderLines = nullptr;
  size_t MaxBody = 0;
  /// True if the response has a header that delimits its body.
  bool HasFraming = false;
  bool IsTooLarge = false;
  /// Connections on which libcurl began to send the request.
  int Sends = 0;
  KeptConnections *Kept = nullptr;
  /// Connection on which the request was sent last, when, and when that
  /// connection had last answered.
  int LocalPort = 0;
  TimePoint SentAt{};
  std::optional<TimePoint> LastAnswer;
  /// When the last bytes of a response were received; SentAt if there were
  /// none.
  TimePoint LastReceived{};

  /// Returns false if the request must not be sent again. libcurl sends one
  /// again by itself if a kept connection ends before the first byte of the
  /// response, also a POST that the server may have carried out.
  bool maySend() const {
    return isIdempotent() || Sends == 0 || sentBytes() == 0;
  }
  /// Returns HOST:PORT of the server.
  std::string peer() const {
    return Request.Address.substr(0, Request.Address.find('/'));
  }
  bool hasResponse() const { return !Response.Headers.empty(); }
  bool isIdempotent() const {
    return Request.IsIdempotent || Request.Method == "GET" ||
           Request.Method == "HEAD";
  }
  /// Returns the number of bytes that were sent on all connections; zero if the
  /// kept connection had been reset while it was idle.
  long sentBytes() const {
    long Bytes = 0;
    curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &Bytes);
    return Bytes;
  }

  ~Transfer() {
    curl_slist_free_all(HeaderLines);
    if (Easy)
      curl_easy_cleanup(Easy);
  }
};

TimePoint now() { return SystemClock().now(); }

size_t onBody(char *Data, size_t Size, size_t Count, void *UserData) {
  auto *Current = static_cast<Transfer *>(UserData);
  Current->LastReceived = now();
  size_t Bytes = Size * Count;
  if (Current->Response.Body.size() + Bytes > Current->MaxBody) {
    Current->IsTooLarge = true;
    return 0;
  }
  Current->Response.Body.append(Data, Bytes);
  return Bytes;
}

size_t onHeader(char *Data, size_t Size, size_t Count, void *UserData) {
  auto *Current = static_cast<Transfer *>(UserData);
  Current->LastReceived = now();
  std::string_view Line(Data, Size * Count);
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n'))
    Line.remove_suffix(1);
  // A status line begins a new response: the headers of a preceding interim
  // response (1xx) are discarded.
  if (Line.starts_with("HTTP/")) {
    Current->Response.Headers.clear();
    Current->HasFraming = false;
    return Size * Count;
  }
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size * Count;
  std::string_view Value = Line.substr(Colon + 1);
  while (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  std::string_view Name = Line.substr(0, Colon);
  Current->HasFraming |= equalsNoCase(Name, "content-length") ||
                         equalsNoCase(Name, "transfer-encoding");
  Current->Response.Headers.push_back({std::string(Name), std::string(Value)});
  return Size * Count;
}

// Closes the connection when sent data stays unacknowledged for longer than the
// time-out of the request, however long the connection was idle before.
int onSocket(void *UserData, curl_socket_t Socket, curlsocktype) {
  auto *Current = static_cast<Transfer *>(UserData);
  if (!Current->maySend() || Current->Request.UseKeptConnection)
    return CURL_SOCKOPT_ERROR;
  auto Timeout = static_cast<unsigned>(Current->Request.Timeout.count());
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout, sizeof(Timeout));
  return CURL_SOCKOPT_OK;
}

// Called before each time that libcurl sends the request.
int onConnected(void *UserData, char *, char *, int, int LocalPort) {
  auto *Current = static_cast<Transfer *>(UserData);
  bool IsOther = Current->Request.LocalPort != 0 &&
                 Current->Request.LocalPort != LocalPort;
  if (!Current->maySend() || IsOther)
    return CURL_PREREQFUNC_ABORT;
  ++Current->Sends;
  Current->LocalPort = LocalPort;
  Current->SentAt = now();
  Current->LastReceived = Current->SentAt;
  Current->LastAnswer = Current->Kept->lastAnswer(Current->peer(), LocalPort);
  // libcurl would take another kept connection to send the request again, which
  // may be reset too, and close it when it is stopped.
  if (!Current->isIdempotent())
    curl_easy_setopt(Current->Easy, CURLOPT_FRESH_CONNECT, 1L);
  return CURL_PREREQFUNC_OK;
}

void prepareBody(Transfer &Current) {
  const ClientRequest &Request = Current.Request;
  curl_easy_setopt(Current.Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  if (Request.Method == "HEAD") {
    curl_easy_setopt(Current.Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (Request.Body.empty() && Request.Method == "GET")
    return;
  curl_easy_setopt(Current.Easy, CURLOPT_POSTFIELDS, Request.Body.data());
  curl_easy_setopt(Current.Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Request.Body.size()));
}

void prepareHeaders(Transfer &Current) {
  auto AddLine = [&](const std::string &Line) {
    Current.HeaderLines = curl_slist_append(Current.HeaderLines, Line.c_str());
  };
  bool HasType = false;
  for (const HttpHeader &Header : Current.Request.Headers) {
    HasType |= equalsNoCase(Header.Name, "content-type");
    // libcurl sends a header with an empty value only if it is given as
    // "Name;".
    AddLine(Header.Value.empty() ? Header.Name + ";"
                                 : Header.Name + ": " + Header.Value);
  }
  AddLine("Expect:");
  if (!HasType)
    AddLine("Content-Type:");
  if (!findHeader(Current.Request.Headers, "accept"))
    AddLine("Accept:");
  curl_easy_setopt(Current.Easy, CURLOPT_HTTPHEADER, Current.HeaderLines);
}

void prepare(Transfer &Current, const HttpClientOptions &Options) {
  Current.Easy = curl_easy_init();
  Current.MaxBody = Options.MaxBodyBytes;
  Current.Url = "http://" + Current.Request.Address;
  CURL *Easy = Current.Easy;
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Current);
  curl_easy_setopt(Easy, CURLOPT_URL, Current.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Current);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Current);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION, onSocket);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTDATA, &Current);
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, onConnected);
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Current);
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Current.Request.ConnectTimeout.count()));
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Current.Request.Timeout.count()));
  curl_easy_setopt(Easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(Options.MaxIdleTime.count()));
  if (Current.Request.UseNewConnection)
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
  prepareBody(Current);
  prepareHeaders(Current);
}

/// Returns how well the connection of a failed request had been proven, and how
/// much of the response was received.
std::string describeConnection(const Transfer &Failed) {
  std::string Proof =
      Failed.LastAnswer
          ? fmt::format("answered {} ms before",
                        (Failed.SentAt - *Failed.LastAnswer) / milliseconds(1))
          : "new";
  return fmt::format(" (connection: {}; {} bytes of a body, silent for {} ms)",
                     Proof, Failed.Response.Body.size(),
                     (now() - Failed.LastReceived) / milliseconds(1));
}

Error makeFailure(const Transfer &Failed, CURLcode Code) {
  const std::string &Address = Failed.Request.Address;
  if (Failed.IsTooLarge)
    return makeError(ResultCode::AnswerCut,
                     fmt::format("response from \"{}\" is longer than {} bytes",
                                 Address, Failed.MaxBody));
  // libcurl reports why it gave up sending again, not why the connection ended.
  bool HasEndedEarly =
      !Failed.maySend() &&
      (Code == CURLE_ABORTED_BY_CALLBACK || Code == CURLE_COULDNT_CONNECT);
  bool HasNoKept = Failed.Request.UseKeptConnection && Failed.Sends == 0;
  std::string Message =
      fmt::format("request to \"{}\": {}", Address,
                  HasEndedEarly ? "the connection ended before the response"
                  : HasNoKept   ? "no kept connection"
                                : curl_easy_strerror(Code));
  if (Failed.sentBytes() == 0)
    return makeError(ResultCode::Unavailable, Message);
  return makeError(Failed.hasResponse() ? ResultCode::AnswerCut
                                        : ResultCode::OutcomeUnknown,
                   Message + describeConnection(Failed));
}

Result<HttpResponse> makeResult(Transfer &Ended, CURLcode Code) {
  if (Code != CURLE_OK)
    return makeFailure(Ended, Code);
  long Status = 0;
  curl_easy_getinfo(Ended.Easy, CURLINFO_RESPONSE_CODE, &Status);
  Ended.Response.Status = static_cast<int>(Status);
  Ended.Response.LocalPort = Ended.LocalPort;
  bool HasNoBody =
      Ended.Request.Method == "HEAD" || Status == 204 || Status == 304;
  if (!Ended.HasFraming && !HasNoBody)
    return makeError(
        ResultCode::AnswerCut,
        fmt::format("response from \"{}\" has neither Content-Length nor "
                    "Transfer-Encoding",
                    Ended.Request.Address));
  return std::move(Ended.Response);
}

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
      Active->OnDone(makeError(ResultCode::OutcomeUnknown,
                               "HTTP client stopped before the request ended"));
      delete Active;
    }
    curl_multi_cleanup(m_multi);
  }

  uint64_t opened() const { return m_openedConnections; }
  uint64_t resent() const { return m_resentRequests; }

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
      m_poller.poll(MaxPollWait);
      completeEnded();
    }
  }

  void startQueued() {
    while (cds_wfcq_node *Node =
               __cds_wfcq_dequeue_blocking(queueHead(), &m_queueTail)) {
      Transfer *New = reinterpret_cast<QueueNode *>(Node)->Owner.load(
          std::memory_order_acquire);
      New->Kept = &m_kept;
      prepare(*New, m_options);
      m_active.insert(New);
      curl_multi_add_handle(m_multi, New->Easy);
    }
  }

  void completeEnded() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_multi, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      CURLcode Code = Message->data.result;
      Transfer *Ended = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Ended);
      long Opened = 0;
      curl_easy_getinfo(Ended->Easy, CURLINFO_NUM_CONNECTS, &Opened);
      m_openedConnections += static_cast<uint64_t>(Opened);
      m_resentRequests += static_cast<uint64_t>(std::max(Ended->Sends - 1, 0));
      curl_multi_remove_handle(m_multi, Ended->Easy);
      m_active.erase(Ended);
      if (Code == CURLE_OK)
        m_kept.onAnswered(Ended->peer(), Ended->LocalPort, now());
      Ended->OnDone(makeResult(*Ended, Code));
      delete Ended;
    }
  }

  HttpClientOptions m_options;
  KeptConnections &m_kept;
  CURLM *m_multi;
  CurlPoller m_poller;
  cds_wfcq_head m_queueHead{};
  cds_wfcq_tail m_queueTail{};
  std::set<Transfer *> m_active;
  std::atomic<uint64_t> m_openedConnections{0};
  std::atomic<uint64_t> m_resentRequests{0};
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

  uint64_t opened() const {
    uint64_t Total = 0;
    for (const std::unique_ptr<ClientThread> &Thread : m_threads)
      Total += Thread->opened();
    return Total;
  }

  uint64_t resent() const {
    uint64_t Total = 0;
    for (const std::unique_ptr<ClientThread> &Thread : m_threads)
      Total += Thread->resent();
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
uint64_t HttpClient::openedConnections() const { return m_impl->opened(); }
uint64_t HttpClient::resentRequests() const { return m_impl->resent(); }

BASILCHUTE_NAMESPACE_END
