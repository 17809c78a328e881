/// \file
/// Strict parser of HTTP/1.1 requests.
#pragma once

#include "libutil/http.h"

#include <cstddef>

BASILCHUTE_NAMESPACE_BEGIN

/// Maximum sizes of a request.
struct RequestLimits {
  size_t MaxHeadBytes = 16 * 1024;
  size_t MaxHeaders = 100;
  size_t MaxBodyBytes = 8 * 1024 * 1024;
};

/// Returns the bytes that \p Text has allocated; short strings have none.
inline size_t allocatedBytes(const std::string &Text) {
  static const size_t InPlace = std::string().capacity();
  return Text.capacity() > InPlace ? Text.capacity() : 0;
}

/// Parses a byte stream into requests, one at a time. Rejects every request
/// whose framing another implementation could interpret differently, which
/// would allow request smuggling. After Rejected the connection must be closed.
class RequestReader {
public:
  enum class Progress { NeedMore, Done, Rejected };

  explicit RequestReader(RequestLimits Limits) : m_limits(Limits) {}

  /// Parses \p Input and sets \p Consumed to the number of bytes consumed.
  /// After Done the remaining bytes belong to the next request.
  Progress read(std::string_view Input, size_t &Consumed);
  /// Returns the complete request and prepares for the next one.
  HttpRequest take();
  /// Returns true, once per request, if the client waits for status 100.
  bool takeExpectContinue();
  /// Returns true if a request is partly read.
  bool isMidRequest() const {
    return m_stage != Stage::Head || !m_line.empty();
  }

  /// Changes the limits; only allowed between two requests.
  void setLimits(RequestLimits Limits) { m_limits = Limits; }
  /// Returns the memory in bytes that the request that is partly read takes.
  size_t bufferedBytes() const {
    return allocatedBytes(m_line) + m_headBytes +
           allocatedBytes(m_request.Body);
  }

  /// HTTP status and reason of the rejection, valid after Rejected.
  int errorStatus() const { return m_errorStatus; }
  const std::string &errorReason() const { return m_errorReason; }

private:
  enum class Stage {
    Head,
    FixedLengthBody,
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailer
  };

  Progress readHead(std::string_view Input, size_t &Consumed);
  Progress readBody(std::string_view Input, size_t &Consumed);
  Progress readFixedLength(std::string_view Input, size_t &Consumed);
  /// Appends to m_line; returns true once it holds a complete line. Sets
  /// m_isLineMalformed if the line is too long or has a bare CR or LF.
  bool readLine(std::string_view Input, size_t &Consumed, size_t Limit);
  Progress parseHead();
  Progress parseChunkLine();
  bool parseRequestLine(std::string_view Line);
  bool parseHeader(std::string_view Line);
  bool checkHost();
  bool parseFraming();
  bool parseContentLength(const std::string &Value);
  /// Stores the status and reason of the rejection; returns false.
  bool reject(int Status, std::string Reason);

  RequestLimits m_limits;
  Stage m_stage = Stage::Head;
  HttpRequest m_request;
  /// The head, or the current chunk or trailer line, as far as it was read.
  std::string m_line;
  /// Bytes still to be read of the body or of the current chunk.
  size_t m_remainingBytes = 0;
  size_t m_trailerBytes = 0;
  /// Memory of the request's method, target and headers.
  size_t m_headBytes = 0;
  bool m_isHttp10 = false;
  bool m_isContinueExpected = false;
  bool m_isLineMalformed = false;
  int m_errorStatus = 0;
  std::string m_errorReason;
};

BASILCHUTE_NAMESPACE_END
