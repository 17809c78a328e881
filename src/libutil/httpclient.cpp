#include "libutil/httpclient.h"

#include "libutil/curlpoller.h"

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

constexpr milliseconds LongestPoll{1000};
/// Where the process may open any number of descriptors.
constexpr long MaxUnlimitedConnections = 16384;

struct Transfer;

/// A link of the queue of new transfers.
struct QueueNode {
  cds_wfcq_node Link{};
  Transfer *Owner = nullptr;
};

/// One request under way.
struct Transfer {
  QueueNode Queued;
  ClientRequest Request;
  HttpClient::Done Finished;
  HttpResponse Answer;
  std::string Url;
  CURL *Easy = nullptr;
  curl_slist *HeaderLines = nullptr;
  size_t MaxBody = 0;
  /// True if the answer says where its body ends.
  bool Framed = false;
  bool TooLarge = false;

  ~Transfer() {
    curl_slist_free_all(HeaderLines);
    if (Easy)
      curl_easy_cleanup(Easy);
  }
};

size_t onBody(char *Data, size_t Size, size_t Count, void *User) {
  auto *To = static_cast<Transfer *>(User);
  size_t Bytes = Size * Count;
  if (To->Answer.Body.size() + Bytes > To->MaxBody) {
    To->TooLarge = true;
    return 0;
  }
  To->Answer.Body.append(Data, Bytes);
  return Bytes;
}

size_t onHeader(char *Data, size_t Size, size_t Count, void *User) {
  auto *To = static_cast<Transfer *>(User);
  std::string_view Line(Data, Size * Count);
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n'))
    Line.remove_suffix(1);
  // Each status line starts anew, so that interim answers leave nothing.
  if (Line.starts_with("HTTP/")) {
    To->Answer.Headers.clear();
    To->Framed = false;
    return Size * Count;
  }
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size * Count;
  std::string_view Value = Line.substr(Colon + 1);
  while (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  std::string_view Name = Line.substr(0, Colon);
  To->Framed |= equalsNoCase(Name, "content-length") ||
                equalsNoCase(Name, "transfer-encoding");
  To->Answer.Headers.push_back({std::string(Name), std::string(Value)});
  return Size * Count;
}

// An unacknowledged byte closes the connection, however long it was silent.
int onSocket(void *User, curl_socket_t Socket, curlsocktype) {
  auto Timeout = static_cast<unsigned>(
      static_cast<Transfer *>(User)->Request.Timeout.count());
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout, sizeof(Timeout));
  return CURL_SOCKOPT_OK;
}

void prepareBody(Transfer &For) {
  const ClientRequest &Request = For.Request;
  curl_easy_setopt(For.Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  if (Request.Method == "HEAD") {
    curl_easy_setopt(For.Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (Request.Body.empty() && Request.Method == "GET")
    return;
  curl_easy_setopt(For.Easy, CURLOPT_POSTFIELDS, Request.Body.data());
  curl_easy_setopt(For.Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Request.Body.size()));
}

void prepareHeaders(Transfer &For) {
  auto Add = [&](const std::string &Line) {
    For.HeaderLines = curl_slist_append(For.HeaderLines, Line.c_str());
  };
  bool HasType = false;
  for (const HttpHeader &Each : For.Request.Headers) {
    HasType |= equalsNoCase(Each.Name, "content-type");
    // libcurl writes a header without a value only in this form.
    Add(Each.Value.empty() ? Each.Name + ";" : Each.Name + ": " + Each.Value);
  }
  Add("Expect:");
  if (!HasType)
    Add("Content-Type:");
  if (!findHeader(For.Request.Headers, "accept"))
    Add("Accept:");
  curl_easy_setopt(For.Easy, CURLOPT_HTTPHEADER, For.HeaderLines);
}

void prepare(Transfer &For, const HttpClientOptions &Options) {
  For.Easy = curl_easy_init();
  For.MaxBody = Options.MaxBodyBytes;
  For.Url = "http://" + For.Request.Address;
  CURL *Easy = For.Easy;
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &For);
  curl_easy_setopt(Easy, CURLOPT_URL, For.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &For);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &For);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION, onSocket);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTDATA, &For);
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(For.Request.ConnectTimeout.count()));
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(For.Request.Timeout.count()));
  curl_easy_setopt(Easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(Options.MaxIdleTime.count()));
  if (For.Request.NeverResend)
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
  prepareBody(For);
  prepareHeaders(For);
}

Error explainFailure(const Transfer &Of, CURLcode Code) {
  const std::string &To = Of.Request.Address;
  long Sent = 0;
  curl_easy_getinfo(Of.Easy, CURLINFO_REQUEST_SIZE, &Sent);
  if (Of.TooLarge)
    return makeError(ResultCode::AnswerCut,
                     fmt::format("the answer of \"{}\" is longer than {} bytes",
                                 To, Of.MaxBody));
  std::string Text =
      fmt::format("request to \"{}\": {}", To, curl_easy_strerror(Code));
  if (Sent == 0)
    return makeError(ResultCode::Unavailable, Text);
  bool Began = !Of.Answer.Headers.empty();
  return makeError(Began ? ResultCode::AnswerCut : ResultCode::OutcomeUnknown,
                   Text);
}

Result<HttpResponse> conclude(Transfer &Of, CURLcode Code) {
  if (Code != CURLE_OK)
    return explainFailure(Of, Code);
  long Status = 0;
  curl_easy_getinfo(Of.Easy, CURLINFO_RESPONSE_CODE, &Status);
  Of.Answer.Status = static_cast<int>(Status);
  bool Bodiless = Of.Request.Method == "HEAD" || Status == 204 || Status == 304;
  if (!Of.Framed && !Bodiless)
    return makeError(ResultCode::AnswerCut,
                     fmt::format("the answer of \"{}\" has no definite end",
                                 Of.Request.Address));
  return std::move(Of.Answer);
}

long maxConnections(const HttpClientOptions &Options) {
  if (Options.MaxConnections > 0)
    return Options.MaxConnections;
  rlimit Descriptors{};
  bool Known = getrlimit(RLIMIT_NOFILE, &Descriptors) == 0 &&
               Descriptors.rlim_cur != RLIM_INFINITY;
  return Known ? static_cast<long>(Descriptors.rlim_cur) / 2
               : MaxUnlimitedConnections;
}

/// One thread with its connections.
class ClientThread {
public:
  explicit ClientThread(const HttpClientOptions &Options)
      : m_options(Options), m_multi(curl_multi_init()), m_poller(m_multi) {
    cds_wfcq_init(&m_head, &m_tail);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxConnections(m_options));
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      m_options.MaxConnectionsPerAddress);
    m_thread = std::thread([this] { loop(); });
  }

  ~ClientThread() {
    m_stopping = true;
    m_poller.wake();
    m_thread.join();
    takeQueued();
    for (Transfer *Each : m_active) {
      curl_multi_remove_handle(m_multi, Each->Easy);
      Each->Finished(
          makeError(ResultCode::OutcomeUnknown, "the client was stopped"));
      delete Each;
    }
    curl_multi_cleanup(m_multi);
  }

  uint64_t opened() const { return m_opened; }

  void send(ClientRequest Request, HttpClient::Done Finished) {
    auto *Fresh = new Transfer;
    Fresh->Request = std::move(Request);
    Fresh->Finished = std::move(Finished);
    Fresh->Queued.Owner = Fresh;
    cds_wfcq_node_init(&Fresh->Queued.Link);
    cds_wfcq_enqueue(headPointer(), &m_tail, &Fresh->Queued.Link);
    m_poller.wake();
  }

private:
  cds_wfcq_head_ptr_t headPointer() {
    cds_wfcq_head_ptr_t Out;
    Out.h = &m_head;
    return Out;
  }

  void loop() {
    while (!m_stopping) {
      takeQueued();
      finishDone();
      m_poller.poll(LongestPoll);
      finishDone();
    }
  }

  void takeQueued() {
    while (cds_wfcq_node *Node =
               __cds_wfcq_dequeue_blocking(headPointer(), &m_tail)) {
      Transfer *Next = reinterpret_cast<QueueNode *>(Node)->Owner;
      prepare(*Next, m_options);
      m_active.insert(Next);
      curl_multi_add_handle(m_multi, Next->Easy);
    }
  }

  void finishDone() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_multi, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      CURLcode Code = Message->data.result;
      Transfer *Of = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Of);
      long Opened = 0;
      curl_easy_getinfo(Of->Easy, CURLINFO_NUM_CONNECTS, &Opened);
      m_opened += static_cast<uint64_t>(Opened);
      curl_multi_remove_handle(m_multi, Of->Easy);
      m_active.erase(Of);
      Of->Finished(conclude(*Of, Code));
      delete Of;
    }
  }

  HttpClientOptions m_options;
  CURLM *m_multi;
  CurlPoller m_poller;
  cds_wfcq_head m_head{};
  cds_wfcq_tail m_tail{};
  std::set<Transfer *> m_active;
  std::atomic<uint64_t> m_opened{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

} // namespace

class HttpClient::Impl {
public:
  explicit Impl(const HttpClientOptions &Options) {
    static const CURLcode Ready = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)Ready;
    for (int I = 0; I < Options.Threads; ++I)
      m_threads.push_back(std::make_unique<ClientThread>(Options));
  }

  void send(ClientRequest Request, Done Finished) {
    size_t Index = m_next.fetch_add(1, std::memory_order_relaxed);
    m_threads[Index % m_threads.size()]->send(std::move(Request),
                                              std::move(Finished));
  }

  uint64_t opened() const {
    uint64_t Out = 0;
    for (const std::unique_ptr<ClientThread> &Each : m_threads)
      Out += Each->opened();
    return Out;
  }

private:
  std::vector<std::unique_ptr<ClientThread>> m_threads;
  std::atomic<size_t> m_next{0};
};

HttpClient::HttpClient(HttpClientOptions Options)
    : m_impl(std::make_unique<Impl>(Options)) {}
HttpClient::~HttpClient() = default;
void HttpClient::send(ClientRequest Request, Done Finished) {
  m_impl->send(std::move(Request), std::move(Finished));
}
uint64_t HttpClient::opened() const { return m_impl->opened(); }

BASILCHUTE_NAMESPACE_END
