/// \file
/// Strict reading of HTTP/1.1 requests from a byte stream.
#pragma once

#include "libutil/http.h"

#include <cstddef>

BASILCHUTE_NAMESPACE_BEGIN

/// Sizes that a request may not exceed.
struct RequestLimits {
  size_t MaxHeadBytes = 16 * 1024;
  size_t MaxHeaders = 100;
  size_t MaxBodyBytes = 8 * 1024 * 1024;
};

/// Reads one request at a time and refuses everything whose framing two
/// implementations could understand differently. After Bad the connection must
/// be closed.
class RequestReader {
public:
  enum class Progress { More, Done, Bad };

  explicit RequestReader(RequestLimits Limits) : m_limits(Limits) {}

  /// Reads from \p Input and sets \p Used to the bytes taken. After Done the
  /// rest belongs to the next request.
  Progress read(std::string_view Input, size_t &Used);
  /// Returns the finished request and starts the next.
  HttpRequest take();
  /// Returns true once if the sender waits for an interim answer.
  bool takeContinue();
  /// Returns true if a request has begun and is not whole.
  bool midRequest() const { return m_stage != Stage::Head || !m_line.empty(); }

  /// Status and text to answer after Bad.
  int badStatus() const { return m_badStatus; }
  const std::string &badReason() const { return m_badReason; }

private:
  enum class Stage { Head, FixedBody, ChunkSize, ChunkData, ChunkEnd, Trailer };

  Progress readHead(std::string_view Input, size_t &Used);
  Progress readBody(std::string_view Input, size_t &Used);
  Progress readFixed(std::string_view Input, size_t &Used);
  /// Collects one line; returns true once it is whole in m_line.
  bool readLine(std::string_view Input, size_t &Used, size_t Limit);
  Progress onHead();
  Progress onChunkLine();
  bool parseRequestLine(std::string_view Line);
  bool parseHeader(std::string_view Line);
  bool judgeHost();
  bool judgeFraming();
  bool judgeLength(const std::string &Value);
  bool bad(int Status, std::string Reason);

  RequestLimits m_limits;
  Stage m_stage = Stage::Head;
  HttpRequest m_request;
  std::string m_line;
  size_t m_left = 0;
  size_t m_trailerBytes = 0;
  bool m_http10 = false;
  bool m_continue = false;
  bool m_tooLong = false;
  int m_badStatus = 0;
  std::string m_badReason;
};

BASILCHUTE_NAMESPACE_END
