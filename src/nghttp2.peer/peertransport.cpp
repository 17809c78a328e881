#include "nghttp2.peer/peertransport.h"

#include "libutil/address.h"
#include "nghttp2.peer/http2session.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <set>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// A call whose response is outstanding.
struct PendingCall {
  PeerPort::CallDone Done;
  std::shared_ptr<asio::steady_timer> Timer;
};

/// The connection to one peer, and the calls that use it.
struct PeerConnection {
  std::shared_ptr<Http2Session> Session;
  bool IsConnecting = false;
  /// Calls made while the connection is being established; run with a null
  /// session if the attempt fails.
  std::vector<std::function<void(const std::shared_ptr<Http2Session> &)>>
      QueuedCalls;
  std::map<int32_t, PendingCall> PendingCalls;
};

} // namespace

class PeerTransport::Impl
    : public std::enable_shared_from_this<PeerTransport::Impl> {
public:
  explicit Impl(std::function<void(std::function<void()>)> Post)
      : m_post(std::move(Post)), m_workGuard(m_context.get_executor()),
        m_acceptor(m_context), m_thread([this] { m_context.run(); }) {}

  ~Impl() { stop(); }

  Result<std::string> listen(const std::string &Address, PeerHandler Handler) {
    Result<NumericAddress> Parsed = parseAddress(Address);
    if (!Parsed.has_value())
      return Parsed.error();
    m_handler = std::move(Handler);
    try {
      Tcp::endpoint ListenAddress(asio::ip::make_address(Parsed.value().Host),
                                  Parsed.value().Port);
      m_acceptor.open(ListenAddress.protocol());
      m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
      m_acceptor.bind(ListenAddress);
      m_acceptor.listen();
    } catch (const boost::system::system_error &Exception) {
      return makeError(
          ResultCode::BindFailed,
          fmt::format("address \"{}\": {}", Address, Exception.what()));
    }
    std::string BoundAddress = fmt::format("{}:{}", Parsed.value().Host,
                                           m_acceptor.local_endpoint().port());
    asio::post(m_context, [this] { acceptNext(); });
    return BoundAddress;
  }

  void call(const std::string &Address, std::string Request,
            milliseconds Timeout, CallDone Done) {
    asio::post(m_context, [this, Address, Request = std::move(Request), Timeout,
                           Done = std::move(Done)]() mutable {
      startCall(Address, std::move(Request), Timeout, std::move(Done));
    });
  }

  void stop() {
    if (!m_thread.joinable())
      return;
    asio::post(m_context, [this] { m_context.stop(); });
    m_thread.join();
  }

private:
  void acceptNext() {
    m_acceptor.async_accept(
        [this](const boost::system::error_code &ErrorCode, Tcp::socket Socket) {
          if (ErrorCode)
            return;
          serveConnection(std::move(Socket));
          acceptNext();
        });
  }

  void serveConnection(Tcp::socket Socket) {
    Socket.set_option(Tcp::no_delay(true));
    auto Session = std::make_shared<Http2Session>(std::move(Socket), true,
                                                  Http2SessionOptions{});
    std::weak_ptr<Http2Session> WeakSession = Session;
    Session->OnMessage = [this, WeakSession](int32_t Stream, std::string Body) {
      m_handler(
          std::move(Body), [this, WeakSession, Stream](std::string Response) {
            asio::post(m_context,
                       [WeakSession, Stream, Response = std::move(Response)] {
                         if (auto LiveSession = WeakSession.lock())
                           LiveSession->respond(Stream, Response);
                       });
          });
    };
    Session->OnClosed = [this, WeakSession] {
      m_serverSessions.erase(WeakSession.lock());
    };
    m_serverSessions.insert(Session);
    Session->start();
  }

  void startCall(const std::string &Address, std::string Request,
                 milliseconds Timeout, CallDone Done) {
    PeerConnection &Peer = m_connections[Address];
    if (Peer.Session)
      return send(Address, std::move(Request), Timeout, std::move(Done));
    Peer.QueuedCalls.push_back([this, Address, Request = std::move(Request),
                                Timeout, Done = std::move(Done)](
                                   const std::shared_ptr<Http2Session> &Ready) {
      if (Ready)
        return send(Address, Request, Timeout, Done);
      deliver(Done,
              makeError(ResultCode::Unavailable,
                        fmt::format("peer \"{}\" is unreachable", Address)));
    });
    if (!Peer.IsConnecting)
      connect(Address, Timeout);
  }

  void connect(const std::string &Address, milliseconds Timeout) {
    m_connections[Address].IsConnecting = true;
    Result<NumericAddress> Parsed = parseAddress(Address);
    if (!Parsed.has_value())
      return onConnected(Address, nullptr);
    auto Socket = std::make_shared<Tcp::socket>(m_context);
    auto Timer = std::make_shared<asio::steady_timer>(m_context, Timeout);
    Timer->async_wait([Socket](const boost::system::error_code &ErrorCode) {
      boost::system::error_code Ignored;
      if (!ErrorCode)
        Socket->close(Ignored);
    });
    Tcp::endpoint PeerAddress(asio::ip::make_address(Parsed.value().Host),
                              Parsed.value().Port);
    Socket->async_connect(
        PeerAddress, [this, Address, Socket,
                      Timer](const boost::system::error_code &ErrorCode) {
          Timer->cancel();
          if (ErrorCode)
            return onConnected(Address, nullptr);
          Socket->set_option(Tcp::no_delay(true));
          auto Session = std::make_shared<Http2Session>(
              std::move(*Socket), false, Http2SessionOptions{});
          setClientCallbacks(Address, *Session);
          Session->start();
          onConnected(Address, Session);
        });
  }

  void setClientCallbacks(const std::string &Address, Http2Session &Session) {
    Session.OnMessage = [this, Address](int32_t Stream, std::string Body) {
      completeCall(Address, Stream, std::move(Body));
    };
    Session.OnStreamFailed = [this, Address](int32_t Stream) {
      completeCall(Address, Stream, makeNoResponseError(Address));
    };
    Session.OnClosed = [this, Address] {
      PeerConnection &Peer = m_connections[Address];
      std::map<int32_t, PendingCall> PendingCalls =
          std::move(Peer.PendingCalls);
      Peer.PendingCalls.clear();
      Peer.Session.reset();
      for (auto &[Stream, Call] : PendingCalls) {
        Call.Timer->cancel();
        deliver(Call.Done, makeNoResponseError(Address));
      }
    };
  }

  void onConnected(const std::string &Address,
                   const std::shared_ptr<Http2Session> &Session) {
    PeerConnection &Peer = m_connections[Address];
    Peer.IsConnecting = false;
    Peer.Session = Session;
    auto QueuedCalls = std::move(Peer.QueuedCalls);
    Peer.QueuedCalls.clear();
    for (auto &StartCall : QueuedCalls)
      StartCall(Session);
  }

  void send(const std::string &Address, std::string Request,
            milliseconds Timeout, CallDone Done) {
    PeerConnection &Peer = m_connections[Address];
    int32_t Stream =
        Peer.Session ? Peer.Session->request(std::move(Request)) : -1;
    if (Stream < 0)
      return deliver(
          Done,
          makeError(
              ResultCode::Unavailable,
              fmt::format("connection to peer \"{}\" accepts no more requests",
                          Address)));
    auto Timer = std::make_shared<asio::steady_timer>(m_context, Timeout);
    Timer->async_wait(
        [this, Address, Stream](const boost::system::error_code &ErrorCode) {
          if (ErrorCode)
            return;
          if (auto Session = m_connections[Address].Session)
            Session->cancel(Stream);
          completeCall(Address, Stream, makeNoResponseError(Address));
        });
    Peer.PendingCalls[Stream] = {.Done = std::move(Done),
                                 .Timer = std::move(Timer)};
  }

  void completeCall(const std::string &Address, int32_t Stream,
                    Result<std::string> Response) {
    PeerConnection &Peer = m_connections[Address];
    auto It = Peer.PendingCalls.find(Stream);
    if (It == Peer.PendingCalls.end())
      return;
    PendingCall Call = std::move(It->second);
    Peer.PendingCalls.erase(It);
    Call.Timer->cancel();
    deliver(Call.Done, std::move(Response));
  }

  void deliver(CallDone Done, Result<std::string> Response) {
    m_post([Done = std::move(Done), Response = std::move(Response)]() mutable {
      Done(std::move(Response));
    });
  }

  static Error makeNoResponseError(const std::string &Address) {
    return makeError(ResultCode::OutcomeUnknown,
                     fmt::format("no response from peer \"{}\"", Address));
  }

  std::function<void(std::function<void()>)> m_post;
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
  Tcp::acceptor m_acceptor;
  PeerHandler m_handler;
  std::map<std::string, PeerConnection> m_connections;
  std::set<std::shared_ptr<Http2Session>> m_serverSessions;
  std::thread m_thread;
};

PeerTransport::PeerTransport(std::function<void(std::function<void()>)> Post)
    : m_impl(std::make_shared<Impl>(std::move(Post))) {}
PeerTransport::~PeerTransport() { stop(); }
Result<std::string> PeerTransport::listen(const std::string &Address,
                                          PeerHandler Handler) {
  return m_impl->listen(Address, std::move(Handler));
}
void PeerTransport::call(const std::string &Address, std::string Request,
                         milliseconds Timeout, CallDone Done) {
  m_impl->call(Address, std::move(Request), Timeout, std::move(Done));
}
void PeerTransport::stop() { m_impl->stop(); }

BASILCHUTE_NAMESPACE_END
