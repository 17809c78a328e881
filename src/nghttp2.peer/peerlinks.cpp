#include "nghttp2.peer/peerlinks.h"

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

/// A call that waits for its answer.
struct PendingCall {
  PeerPort::CallDone Done;
  std::shared_ptr<asio::steady_timer> Timer;
};

/// The connection to one peer.
struct Link {
  std::shared_ptr<Http2Session> Session;
  bool Connecting = false;
  /// Calls that wait for the connection.
  std::vector<std::function<void(const std::shared_ptr<Http2Session> &)>>
      Waiting;
  std::map<int32_t, PendingCall> Pending;
};

} // namespace

class PeerLinks::Impl : public std::enable_shared_from_this<PeerLinks::Impl> {
public:
  explicit Impl(std::function<void(std::function<void()>)> Post)
      : m_post(std::move(Post)), m_work(m_context.get_executor()),
        m_acceptor(m_context), m_thread([this] { m_context.run(); }) {}

  ~Impl() { stop(); }

  Result<std::string> listen(const std::string &Address, PeerHandler Handler) {
    Result<NumericAddress> Where = parseAddress(Address);
    if (!Where.has_value())
      return Where.error();
    m_handler = std::move(Handler);
    try {
      Tcp::endpoint At(asio::ip::make_address(Where.value().Host),
                       Where.value().Port);
      m_acceptor.open(At.protocol());
      m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
      m_acceptor.bind(At);
      m_acceptor.listen();
    } catch (const boost::system::system_error &Fault) {
      return makeError(
          ResultCode::BindFailed,
          fmt::format("address \"{}\": {}", Address, Fault.what()));
    }
    std::string Taken = fmt::format("{}:{}", Where.value().Host,
                                    m_acceptor.local_endpoint().port());
    asio::post(m_context, [this] { accept(); });
    return Taken;
  }

  void call(const std::string &Address, std::string Request,
            milliseconds Timeout, CallDone Done) {
    asio::post(m_context, [this, Address, Request = std::move(Request), Timeout,
                           Done = std::move(Done)]() mutable {
      begin(Address, std::move(Request), Timeout, std::move(Done));
    });
  }

  void stop() {
    if (!m_thread.joinable())
      return;
    asio::post(m_context, [this] { m_context.stop(); });
    m_thread.join();
  }

private:
  void accept() {
    m_acceptor.async_accept(
        [this](const boost::system::error_code &Fault, Tcp::socket Socket) {
          if (Fault)
            return;
          serve(std::move(Socket));
          accept();
        });
  }

  void serve(Tcp::socket Socket) {
    Socket.set_option(Tcp::no_delay(true));
    auto Session = std::make_shared<Http2Session>(std::move(Socket), true,
                                                  Http2SessionOptions{});
    std::weak_ptr<Http2Session> Weak = Session;
    Session->OnMessage = [this, Weak](int32_t Stream, std::string Body) {
      m_handler(std::move(Body), [this, Weak, Stream](std::string Response) {
        asio::post(m_context, [Weak, Stream, Response = std::move(Response)] {
          if (auto Live = Weak.lock())
            Live->respond(Stream, Response);
        });
      });
    };
    Session->OnClosed = [this, Weak] { m_served.erase(Weak.lock()); };
    m_served.insert(Session);
    Session->start();
  }

  void begin(const std::string &Address, std::string Request,
             milliseconds Timeout, CallDone Done) {
    Link &To = m_links[Address];
    if (To.Session)
      return send(Address, std::move(Request), Timeout, std::move(Done));
    To.Waiting.push_back(
        [this, Address, Request = std::move(Request), Timeout,
         Done = std::move(Done)](const std::shared_ptr<Http2Session> &Ready) {
          if (Ready)
            return send(Address, Request, Timeout, Done);
          finish(Done,
                 makeError(ResultCode::Unavailable,
                           fmt::format("peer \"{}\" is unreachable", Address)));
        });
    if (!To.Connecting)
      connect(Address, Timeout);
  }

  void connect(const std::string &Address, milliseconds Timeout) {
    m_links[Address].Connecting = true;
    Result<NumericAddress> Where = parseAddress(Address);
    if (!Where.has_value())
      return onConnected(Address, nullptr);
    auto Socket = std::make_shared<Tcp::socket>(m_context);
    auto Timer = std::make_shared<asio::steady_timer>(m_context, Timeout);
    Timer->async_wait([Socket](const boost::system::error_code &Fault) {
      boost::system::error_code Ignored;
      if (!Fault)
        Socket->close(Ignored);
    });
    Tcp::endpoint To(asio::ip::make_address(Where.value().Host),
                     Where.value().Port);
    Socket->async_connect(To, [this, Address, Socket,
                               Timer](const boost::system::error_code &Fault) {
      Timer->cancel();
      if (Fault)
        return onConnected(Address, nullptr);
      Socket->set_option(Tcp::no_delay(true));
      auto Session = std::make_shared<Http2Session>(std::move(*Socket), false,
                                                    Http2SessionOptions{});
      prepareClient(Address, *Session);
      Session->start();
      onConnected(Address, Session);
    });
  }

  void prepareClient(const std::string &Address, Http2Session &Session) {
    Session.OnMessage = [this, Address](int32_t Stream, std::string Body) {
      settle(Address, Stream, std::move(Body));
    };
    Session.OnStreamFailed = [this, Address](int32_t Stream) {
      settle(Address, Stream, unknown(Address));
    };
    Session.OnClosed = [this, Address] {
      Link &Of = m_links[Address];
      std::map<int32_t, PendingCall> Pending = std::move(Of.Pending);
      Of.Pending.clear();
      Of.Session.reset();
      for (auto &[Stream, Each] : Pending) {
        Each.Timer->cancel();
        finish(Each.Done, unknown(Address));
      }
    };
  }

  void onConnected(const std::string &Address,
                   const std::shared_ptr<Http2Session> &Session) {
    Link &To = m_links[Address];
    To.Connecting = false;
    To.Session = Session;
    auto Waiting = std::move(To.Waiting);
    To.Waiting.clear();
    for (auto &Each : Waiting)
      Each(Session);
  }

  void send(const std::string &Address, std::string Request,
            milliseconds Timeout, CallDone Done) {
    Link &To = m_links[Address];
    int32_t Stream = To.Session ? To.Session->request(std::move(Request)) : -1;
    if (Stream < 0)
      return finish(
          Done,
          makeError(ResultCode::Unavailable,
                    fmt::format("peer \"{}\" takes no more calls", Address)));
    auto Timer = std::make_shared<asio::steady_timer>(m_context, Timeout);
    Timer->async_wait(
        [this, Address, Stream](const boost::system::error_code &Fault) {
          if (Fault)
            return;
          if (auto Session = m_links[Address].Session)
            Session->cancel(Stream);
          settle(Address, Stream, unknown(Address));
        });
    To.Pending[Stream] = {.Done = std::move(Done), .Timer = std::move(Timer)};
  }

  void settle(const std::string &Address, int32_t Stream,
              Result<std::string> With) {
    Link &Of = m_links[Address];
    auto Found = Of.Pending.find(Stream);
    if (Found == Of.Pending.end())
      return;
    PendingCall Call = std::move(Found->second);
    Of.Pending.erase(Found);
    Call.Timer->cancel();
    finish(Call.Done, std::move(With));
  }

  void finish(CallDone Done, Result<std::string> With) {
    m_post([Done = std::move(Done), With = std::move(With)]() mutable {
      Done(std::move(With));
    });
  }

  static Error unknown(const std::string &Address) {
    return makeError(ResultCode::OutcomeUnknown,
                     fmt::format("peer \"{}\" gave no answer", Address));
  }

  std::function<void(std::function<void()>)> m_post;
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  Tcp::acceptor m_acceptor;
  PeerHandler m_handler;
  std::map<std::string, Link> m_links;
  std::set<std::shared_ptr<Http2Session>> m_served;
  std::thread m_thread;
};

PeerLinks::PeerLinks(std::function<void(std::function<void()>)> Post)
    : m_impl(std::make_shared<Impl>(std::move(Post))) {}
PeerLinks::~PeerLinks() { stop(); }
Result<std::string> PeerLinks::listen(const std::string &Address,
                                      PeerHandler Handler) {
  return m_impl->listen(Address, std::move(Handler));
}
void PeerLinks::call(const std::string &Address, std::string Request,
                     milliseconds Timeout, CallDone Done) {
  m_impl->call(Address, std::move(Request), Timeout, std::move(Done));
}
void PeerLinks::stop() { m_impl->stop(); }

BASILCHUTE_NAMESPACE_END
