/// \file
/// One HTTP/2 connection between two processes, on either side.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of an Http2Session.
struct Http2SessionOptions {
  /// Interval of PING frames; a peer that leaves one unanswered until the next
  /// is taken as gone.
  milliseconds PingEvery{1000};
  /// Bytes of one message at most.
  size_t MaxMessageBytes = 8 * 1024 * 1024;
};

/// Exchanges whole messages on the streams of one connection. All calls and
/// callbacks happen on the socket's executor, which one thread drives.
class Http2Session : public std::enable_shared_from_this<Http2Session> {
public:
  /// A whole message arrived on a stream; on the server it is a request.
  std::function<void(int32_t Stream, std::string Body)> OnMessage;
  /// A stream ended without its whole answer.
  std::function<void(int32_t Stream)> OnStreamFailed;
  /// The connection is gone; no further callback follows.
  std::function<void()> OnClosed;

  Http2Session(boost::asio::ip::tcp::socket Socket, bool Server,
               Http2SessionOptions Options);
  ~Http2Session();
  Http2Session(const Http2Session &) = delete;
  Http2Session &operator=(const Http2Session &) = delete;

  /// Begins to read, write and ping.
  void start();
  /// Client: sends a request; returns its stream, or a negative number.
  int32_t request(std::string Body);
  /// Server: answers the request of \p Stream.
  void respond(int32_t Stream, std::string Body);
  /// Client: gives up the request of \p Stream.
  void cancel(int32_t Stream);
  /// Closes the connection.
  void close();

private:
  /// Both directions of one stream.
  struct Stream {
    std::string Incoming;
    std::string Outgoing;
    size_t Sent = 0;
    bool Complete = false;
  };

  static nghttp2_session_callbacks *makeCallbacks();
  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame, void *User);
  static int onData(nghttp2_session *, uint8_t, int32_t Id, const uint8_t *Data,
                    size_t Size, void *User);
  static int onStreamClose(nghttp2_session *, int32_t Id, uint32_t, void *User);
  static ssize_t readOutgoing(nghttp2_session *, int32_t Id, uint8_t *Buffer,
                              size_t Size, uint32_t *Flags,
                              nghttp2_data_source *Source, void *User);

  nghttp2_data_provider provider();
  void read();
  void flush();
  void write();
  void ping();

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_pingTimer;
  Http2SessionOptions m_options;
  bool m_server;
  nghttp2_session *m_session = nullptr;
  std::map<int32_t, Stream> m_streams;
  std::vector<uint8_t> m_readBuffer;
  std::string m_writing;
  std::string m_toWrite;
  bool m_pingUnanswered = false;
  bool m_closed = false;
  bool m_flushing = false;
};

BASILCHUTE_NAMESPACE_END
