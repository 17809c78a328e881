#include "nghttp2.peer/http2session.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr size_t ReadBufferBytes = 64 * 1024;
constexpr int32_t WindowBytes = 4 * 1024 * 1024;

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  // nghttp2 copies name and value without modifying them, because the flags
  // do not disable the copy; the const_casts are therefore safe.
  return {reinterpret_cast<uint8_t *>(const_cast<char *>(Name.data())),
          reinterpret_cast<uint8_t *>(const_cast<char *>(Value.data())),
          Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE};
}

Http2Session *toSession(void *User) {
  return static_cast<Http2Session *>(User);
}

} // namespace

Http2Session::Http2Session(boost::asio::ip::tcp::socket Socket, bool IsServer,
                           Http2SessionOptions Options)
    : m_socket(std::move(Socket)), m_pingTimer(m_socket.get_executor()),
      m_options(Options), m_isServer(IsServer), m_readBuffer(ReadBufferBytes) {
  nghttp2_session_callbacks *Callbacks = makeCallbacks();
  if (IsServer)
    nghttp2_session_server_new(&m_session, Callbacks, this);
  else
    nghttp2_session_client_new(&m_session, Callbacks, this);
  nghttp2_session_callbacks_del(Callbacks);
  std::array<nghttp2_settings_entry, 2> Settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1000},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes},
  }};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, Settings.data(),
                          Settings.size());
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                        WindowBytes);
}

Http2Session::~Http2Session() { nghttp2_session_del(m_session); }

nghttp2_session_callbacks *Http2Session::makeCallbacks() {
  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_session_callbacks_new(&Callbacks);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks, onFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, onData);
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                         onStreamClose);
  return Callbacks;
}

int Http2Session::onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                          void *User) {
  Http2Session *Self = toSession(User);
  if (Frame->hd.type == NGHTTP2_PING && (Frame->hd.flags & NGHTTP2_FLAG_ACK))
    Self->m_isPingPending = false;
  bool CarriesMessage =
      Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
  if (!CarriesMessage || !(Frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
    return 0;
  Stream &State = Self->m_streams[Frame->hd.stream_id];
  State.IsComplete = true;
  std::string Body = std::move(State.ReceivedBody);
  State.ReceivedBody.clear();
  Self->OnMessage(Frame->hd.stream_id, std::move(Body));
  return 0;
}

int Http2Session::onData(nghttp2_session *, uint8_t, int32_t Id,
                         const uint8_t *Data, size_t Size, void *User) {
  Http2Session *Self = toSession(User);
  Stream &State = Self->m_streams[Id];
  if (State.ReceivedBody.size() + Size > Self->m_options.MaxMessageBytes)
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  State.ReceivedBody.append(reinterpret_cast<const char *>(Data), Size);
  return 0;
}

int Http2Session::onStreamClose(nghttp2_session *, int32_t Id, uint32_t,
                                void *User) {
  Http2Session *Self = toSession(User);
  auto It = Self->m_streams.find(Id);
  if (It == Self->m_streams.end())
    return 0;
  bool IsComplete = It->second.IsComplete;
  Self->m_streams.erase(It);
  if (!IsComplete && Self->OnStreamFailed)
    Self->OnStreamFailed(Id);
  return 0;
}

ssize_t Http2Session::readBodyToSend(nghttp2_session *, int32_t Id,
                                     uint8_t *Buffer, size_t Size,
                                     uint32_t *Flags, nghttp2_data_source *,
                                     void *User) {
  Stream &State = toSession(User)->m_streams[Id];
  size_t Count = std::min(Size, State.BodyToSend.size() - State.SentBytes);
  std::copy_n(State.BodyToSend.data() + State.SentBytes, Count, Buffer);
  State.SentBytes += Count;
  if (State.SentBytes == State.BodyToSend.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Count);
}

nghttp2_data_provider Http2Session::makeDataProvider() {
  nghttp2_data_provider Provider{};
  Provider.read_callback = readBodyToSend;
  return Provider;
}

void Http2Session::start() {
  read();
  flush();
  if (!m_isServer)
    ping();
}

int32_t Http2Session::request(std::string Body) {
  if (m_isClosed)
    return -1;
  std::array<nghttp2_nv, 4> Headers = {
      makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
      makeHeader(":authority", "peer"), makeHeader(":path", "/peer")};
  nghttp2_data_provider Provider = makeDataProvider();
  int32_t Id = nghttp2_submit_request(m_session, nullptr, Headers.data(),
                                      Headers.size(), &Provider, nullptr);
  if (Id < 0)
    return Id;
  m_streams[Id].BodyToSend = std::move(Body);
  flush();
  return Id;
}

void Http2Session::respond(int32_t Stream, std::string Body) {
  auto It = m_streams.find(Stream);
  if (m_isClosed || It == m_streams.end())
    return;
  It->second.BodyToSend = std::move(Body);
  std::array<nghttp2_nv, 1> Headers = {makeHeader(":status", "200")};
  nghttp2_data_provider Provider = makeDataProvider();
  nghttp2_submit_response(m_session, Stream, Headers.data(), Headers.size(),
                          &Provider);
  flush();
}

void Http2Session::cancel(int32_t Stream) {
  auto It = m_streams.find(Stream);
  if (m_isClosed || It == m_streams.end())
    return;
  It->second.IsComplete = true;
  nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, Stream,
                            NGHTTP2_CANCEL);
  flush();
}

void Http2Session::close() {
  if (std::exchange(m_isClosed, true))
    return;
  boost::system::error_code Ignored;
  m_socket.close(Ignored);
  m_pingTimer.cancel();
  if (OnClosed)
    OnClosed();
}

void Http2Session::read() {
  m_socket.async_read_some(
      boost::asio::buffer(m_readBuffer),
      [Self = shared_from_this()](const boost::system::error_code &ErrorCode,
                                  size_t Size) {
        if (Self->m_isClosed)
          return;
        if (ErrorCode)
          return Self->close();
        ssize_t Consumed = nghttp2_session_mem_recv(
            Self->m_session, Self->m_readBuffer.data(), Size);
        if (Consumed < 0)
          return Self->close();
        Self->flush();
        if (!Self->m_isClosed)
          Self->read();
      });
}

// nghttp2 must not be re-entered from one of its own callbacks. Frames that a
// callback submits are sent by the flush that follows the read.
void Http2Session::flush() {
  if (m_isFlushing || m_isClosed)
    return;
  m_isFlushing = true;
  while (true) {
    const uint8_t *Data = nullptr;
    ssize_t Size = nghttp2_session_mem_send(m_session, &Data);
    if (Size <= 0)
      break;
    m_queuedWrite.append(reinterpret_cast<const char *>(Data),
                         static_cast<size_t>(Size));
  }
  m_isFlushing = false;
  write();
  bool IsFinished = !nghttp2_session_want_read(m_session) &&
                    !nghttp2_session_want_write(m_session) &&
                    m_queuedWrite.empty();
  if (IsFinished)
    close();
}

void Http2Session::write() {
  if (!m_activeWrite.empty() || m_queuedWrite.empty())
    return;
  std::swap(m_activeWrite, m_queuedWrite);
  boost::asio::async_write(
      m_socket, boost::asio::buffer(m_activeWrite),
      [Self = shared_from_this()](const boost::system::error_code &ErrorCode,
                                  size_t) {
        Self->m_activeWrite.clear();
        if (Self->m_isClosed)
          return;
        if (ErrorCode)
          return Self->close();
        Self->write();
      });
}

void Http2Session::ping() {
  m_pingTimer.expires_after(m_options.PingInterval);
  m_pingTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &ErrorCode) {
        if (ErrorCode || Self->m_isClosed)
          return;
        if (Self->m_isPingPending)
          return Self->close();
        Self->m_isPingPending = true;
        nghttp2_submit_ping(Self->m_session, NGHTTP2_FLAG_NONE, nullptr);
        Self->flush();
        Self->ping();
      });
}

BASILCHUTE_NAMESPACE_END
