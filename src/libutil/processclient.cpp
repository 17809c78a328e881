#include "libutil/processclient.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Peers that were not called for this long are forgotten; HttpClient closes
/// connections that are idle for longer by default.
constexpr milliseconds ForgetAfter{20000};
/// A peer that has ended so many connections in a row keeps none.
constexpr int EndsOfClosingPeer = 2;

} // namespace

class ProcessClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(ProcessClientOptions Options, HttpClient &Http, EventLoop &Loop)
      : m_options(std::move(Options)), m_http(&Http), m_loop(Loop) {}

  /// Sends nothing more, since the HTTP client may be destroyed after this.
  void close() {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_http = nullptr;
  }

  void send(ProcessRequest Request, Callback OnDone) {
    forgetIdlePeers();
    std::string Address = Request.Request.Address;
    Key Id = Address.substr(0, Address.find('/'));
    TimePoint Now = m_time.now();
    TimePoint Deadline = Now + Request.Request.Timeout;
    Peer &Target = m_peers[Id];
    Target.UsedAt = Now;
    Target.Waiting.push_back({.Call = std::move(Request),
                              .OnDone = std::move(OnDone),
                              .Deadline = Deadline,
                              .Since = Now});
    dispatch(Id);
  }

  uint64_t probes() const { return m_probes; }

private:
  /// HOST:PORT of a peer.
  using Key = std::string;

  struct Pending {
    ProcessRequest Call;
    Callback OnDone;
    TimePoint Deadline{};
    /// The connections that were known had ended before the request was sent.
    bool WasPutBack = false;
    TimePoint Since{};
    ProbeTimes Probe;
  };

  struct Peer {
    /// Process that has answered the last probe.
    milliseconds Process{0};
    /// Local ports of the kept connections to it, and the number of requests
    /// in progress on them.
    std::vector<int> Ports;
    size_t Busy = 0;
    /// Number of times that the connections were given up.
    int Generation = 0;
    bool IsProbing = false;
    TimePoint ProbedAt{};
    /// Number of connections in a row that the process has ended, announced or
    /// not, before a request could be sent on them.
    int EndedConnections = 0;
    std::deque<Pending> Waiting;
    TimePoint UsedAt{};

    void giveUpConnections() {
      Ports.clear();
      Busy = 0;
      ++Generation;
    }
    bool isIdle() const { return Waiting.empty() && Busy == 0 && !IsProbing; }
  };

  void forgetIdlePeers() {
    TimePoint Now = m_time.now();
    if (Now < m_lastForget + ForgetAfter)
      return;
    m_lastForget = Now;
    std::erase_if(m_peers, [Now](const auto &Entry) {
      return Entry.second.isIdle() && Now > Entry.second.UsedAt + ForgetAfter;
    });
  }

  // The requests in a queue are mostly for one process.
  void dispatch(const Key &Id) {
    endExpired(Id);
    Peer &Target = m_peers[Id];
    auto IsForKnown = [&Target] {
      return !Target.Waiting.empty() &&
             Target.Waiting.front().Call.Process == Target.Process;
    };
    while (IsForKnown() && Target.Busy < Target.Ports.size())
      sendFirst(Id, Target);
    bool NeedsProbe =
        !Target.Waiting.empty() &&
        (!IsForKnown() || Target.Ports.size() < m_options.MaxConnections);
    if (NeedsProbe && !Target.IsProbing)
      probe(Id, Target);
  }

  void endExpired(const Key &Id) {
    TimePoint Now = m_time.now();
    endWaiting(
        Id, makeError(ResultCode::Unavailable, "no connection became free"),
        [Now](const Pending &Request) { return Now > Request.Deadline; });
  }

  /// Ends the waiting requests that \p IsEnded selects. Callbacks run after
  /// the queue has changed, since they may send further requests.
  void endWaiting(const Key &Id, const Error &Why,
                  const std::function<bool(const Pending &)> &IsEnded) {
    std::deque<Pending> &Waiting = m_peers[Id].Waiting;
    auto First = std::stable_partition(
        Waiting.begin(), Waiting.end(),
        [&](const Pending &Request) { return !IsEnded(Request); });
    for (auto It = First; It != Waiting.end(); ++It)
      m_loop.post([OnDone = std::move(It->OnDone), Why] { OnDone(Why, {}); });
    Waiting.erase(First, Waiting.end());
  }

  void probe(const Key &Id, Peer &Target) {
    Target.IsProbing = true;
    Target.ProbedAt = m_time.now();
    ++m_probes;
    ClientRequest Request = Target.Waiting.front().Call.Probe;
    Request.UseNewConnection = true;
    sendOnLoop(std::move(Request), [Id](Impl &Self, const auto &Answer) {
      Self.onProbed(Id, Answer);
    });
  }

  void onProbed(const Key &Id, const Result<HttpResponse> &Answer) {
    Peer &Target = m_peers[Id];
    Target.IsProbing = false;
    // A port that was given up may be that of another connection now.
    if (Answer.has_value())
      std::erase(Target.Ports, Answer.value().LocalPort);
    Result<milliseconds> Process =
        Answer.has_value()
            ? m_options.Identify(Answer.value())
            : Result<milliseconds>(
                  makeError(ResultCode::Unavailable, Answer.error().Message));
    if (!Process.has_value())
      return onProbeFailed(Id, Process.error());
    if (Process.value() != Target.Process) {
      Target.giveUpConnections();
      Target.EndedConnections = 0;
    }
    Target.Process = Process.value();
    // A request that came later may be for a process that is newer still.
    endWaiting(Id,
               makeError(ResultCode::WrongIncarnation,
                         "another process answers at the address"),
               [&](const Pending &Request) {
                 return Request.Call.Process != Target.Process &&
                        Request.Since <= Target.ProbedAt;
               });
    recordProbe(Target);
    if (closesConnection(Answer.value()))
      ++Target.EndedConnections;
    else
      Target.Ports.push_back(Answer.value().LocalPort);
    if (Target.EndedConnections >= EndsOfClosingPeer)
      sendUnkept(Target);
    dispatch(Id);
  }

  void recordProbe(Peer &Target) {
    TimePoint Now = m_time.now();
    for (Pending &Request : Target.Waiting)
      Request.Probe = {.Waited = Now - Request.Since,
                       .RoundTrip = Now - Target.ProbedAt};
  }

  // Requests for the process to which connections are known go on waiting for
  // these.
  void onProbeFailed(const Key &Id, const Error &Why) {
    const Peer &Target = m_peers[Id];
    endWaiting(Id, Why, [&](const Pending &Request) {
      return Target.Ports.empty() || Request.Call.Process != Target.Process;
    });
  }

  // The next request finds out whether the peer keeps connections again.
  void sendUnkept(Peer &Target) {
    Target.EndedConnections = EndsOfClosingPeer - 1;
    std::deque<Pending> Waiting = std::move(Target.Waiting);
    Target.Waiting.clear();
    for (Pending &Request : Waiting) {
      if (Request.Call.Process != Target.Process) {
        Target.Waiting.push_back(std::move(Request));
        continue;
      }
      ClientRequest Call = inTime(Request);
      Call.UseNewConnection = true;
      sendOnLoop(std::move(Call),
                 [OnDone = std::move(Request.OnDone), Probe = Request.Probe](
                     Impl &, const auto &Answer) { OnDone(Answer, Probe); });
    }
  }

  /// Returns the request with the time that is left for it.
  ClientRequest inTime(const Pending &Request) const {
    ClientRequest Out = Request.Call.Request;
    Out.Timeout = std::max(
        milliseconds(1),
        std::chrono::ceil<milliseconds>(Request.Deadline - m_time.now()));
    return Out;
  }

  void sendFirst(const Key &Id, Peer &Target) {
    auto First = std::make_shared<Pending>(std::move(Target.Waiting.front()));
    Target.Waiting.pop_front();
    ++Target.Busy;
    ClientRequest Request = inTime(*First);
    Request.UseKeptConnection = true;
    Request.LocalPorts = Target.Ports;
    sendOnLoop(std::move(Request), [Id, First, Generation = Target.Generation](
                                       Impl &Self, const auto &Answer) {
      Self.onEnded(Id, Generation, *First, Answer);
    });
  }

  // An error does not tell which connection has ended. The others are closed
  // when they are found.
  void onEnded(const Key &Id, int Generation, Pending &Request,
               const Result<HttpResponse> &Answer) {
    Peer &Target = m_peers[Id];
    Target.UsedAt = m_time.now();
    if (Generation == Target.Generation) {
      --Target.Busy;
      if (!Answer.has_value())
        Target.giveUpConnections();
      else if (closesConnection(Answer.value()))
        std::erase(Target.Ports, Answer.value().LocalPort);
    }
    bool WasNotSent =
        !Answer.has_value() && Answer.error().Code == ResultCode::Unavailable;
    if (Answer.has_value())
      Target.EndedConnections = 0;
    else if (WasNotSent)
      ++Target.EndedConnections;
    if (WasNotSent && !Request.WasPutBack) {
      Request.WasPutBack = true;
      Target.Waiting.push_front(std::move(Request));
    } else {
      Request.OnDone(Answer, Request.Probe);
    }
    dispatch(Id);
  }

  /// Sends the request and runs \p OnDone on the event loop.
  void
  sendOnLoop(ClientRequest Request,
             std::function<void(Impl &, const Result<HttpResponse> &)> OnDone) {
    HttpClient::Callback Post = [Self = shared_from_this(),
                                 OnDone](Result<HttpResponse> Answer) {
      Self->m_loop.post([Self, OnDone, Answer = std::move(Answer)] {
        OnDone(*Self, Answer);
      });
    };
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_http)
      m_http->send(std::move(Request), std::move(Post));
    else
      Post(makeError(ResultCode::Unavailable, "the client has stopped"));
  }

  ProcessClientOptions m_options;
  std::mutex m_mutex;
  HttpClient *m_http;
  EventLoop &m_loop;
  SystemClock m_time;
  std::map<Key, Peer> m_peers;
  TimePoint m_lastForget{};
  uint64_t m_probes = 0;
};

ProcessClient::ProcessClient(ProcessClientOptions Options, HttpClient &Http,
                             EventLoop &Loop)
    : m_impl(std::make_shared<Impl>(std::move(Options), Http, Loop)) {}
ProcessClient::~ProcessClient() { m_impl->close(); }
void ProcessClient::send(ProcessRequest Request, Callback OnDone) {
  m_impl->send(std::move(Request), std::move(OnDone));
}
uint64_t ProcessClient::probes() const { return m_impl->probes(); }

BASILCHUTE_NAMESPACE_END
