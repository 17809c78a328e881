/// \file
/// Client or server side of an HTTP/2 connection between two processes.
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
  /// Interval of PING frames. The connection is closed if a PING has not been
  /// acknowledged when the next one is due.
  milliseconds PingInterval{1000};
  /// Maximum size of a received message.
  size_t MaxMessageBytes = 8 * 1024 * 1024;
};

/// Exchanges messages on the streams of one connection, one request and one
/// response per stream. All calls and callbacks happen on the socket's
/// executor, which a single thread runs.
class Http2Session : public std::enable_shared_from_this<Http2Session> {
public:
  /// Called with each complete message: a request on the server side, a
  /// response on the client side.
  std::function<void(int32_t Stream, std::string Body)> OnMessage;
  /// Called when a stream is closed before its message was complete.
  std::function<void(int32_t Stream)> OnStreamFailed;
  /// Called when the connection is closed; no other callback follows.
  std::function<void()> OnClosed;

  Http2Session(boost::asio::ip::tcp::socket Socket, bool IsServer,
               Http2SessionOptions Options);
  ~Http2Session();
  Http2Session(const Http2Session &) = delete;
  Http2Session &operator=(const Http2Session &) = delete;

  /// Starts reading and writing; a client also starts to send PING frames.
  void start();
  /// Client: sends a request. Returns its stream, or a negative value on
  /// failure.
  int32_t request(std::string Body);
  /// Server: sends the response to the request of \p Stream.
  void respond(int32_t Stream, std::string Body);
  /// Client: cancels the request of \p Stream without a call of
  /// OnStreamFailed.
  void cancel(int32_t Stream);
  void close();

private:
  /// State of both directions of one stream.
  struct Stream {
    std::string ReceivedBody;
    std::string BodyToSend;
    size_t SentBytes = 0;
    bool IsComplete = false;
  };

  static nghttp2_session_callbacks *makeCallbacks();
  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame, void *User);
  static int onData(nghttp2_session *, uint8_t, int32_t Id, const uint8_t *Data,
                    size_t Size, void *User);
  static int onStreamClose(nghttp2_session *, int32_t Id, uint32_t, void *User);
  static ssize_t readBodyToSend(nghttp2_session *, int32_t Id, uint8_t *Buffer,
                                size_t Size, uint32_t *Flags,
                                nghttp2_data_source *Source, void *User);

  nghttp2_data_provider makeDataProvider();
  void read();
  void flush();
  void write();
  void ping();

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_pingTimer;
  Http2SessionOptions m_options;
  bool m_isServer;
  nghttp2_session *m_session = nullptr;
  std::map<int32_t, Stream> m_streams;
  std::vector<uint8_t> m_readBuffer;
  /// Bytes of the write in progress; empty if there is none.
  std::string m_activeWrite;
  /// Bytes to send after the write in progress.
  std::string m_queuedWrite;
  bool m_isPingPending = false;
  bool m_isClosed = false;
  bool m_isFlushing = false;
};

BASILCHUTE_NAMESPACE_END
