#include "libutil/requestreader.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr size_t MaxChunkLineBytes = 256;

bool isTokenChar(char Char) {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(Char)) ||
         Punctuation.find(Char) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

bool isControl(char Char) {
  auto Byte = static_cast<unsigned char>(Char);
  return Byte < 0x20 || Byte == 0x7f;
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

/// Parses \p Text as an unsigned number. Returns false if it is empty, holds
/// anything but digits of \p Base, or overflows.
bool parseNumber(std::string_view Text, int Base, size_t &Out) {
  if (Text.empty() || !std::isxdigit(static_cast<unsigned char>(Text.front())))
    return false;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Out, Base);
  return Code == std::errc() && End == Text.data() + Text.size();
}

} // namespace

bool RequestReader::reject(int Status, std::string Reason) {
  m_errorStatus = Status;
  m_errorReason = std::move(Reason);
  return false;
}

RequestReader::Progress RequestReader::read(std::string_view Input,
                                            size_t &Consumed) {
  Consumed = 0;
  if (m_errorStatus != 0)
    return Progress::Rejected;
  if (m_stage == Stage::Head) {
    Progress Head = readHead(Input, Consumed);
    if (Head != Progress::NeedMore || m_stage == Stage::Head)
      return Head;
  }
  return readBody(Input, Consumed);
}

// Buffers the head with its line ends, so that parsing detects a bare CR or LF.
RequestReader::Progress RequestReader::readHead(std::string_view Input,
                                                size_t &Consumed) {
  constexpr std::string_view End = "\r\n\r\n";
  size_t OldSize = m_line.size();
  size_t MaxAppended = m_limits.MaxHeadBytes + End.size() - OldSize;
  m_line.append(Input.substr(0, MaxAppended));
  size_t EndPosition = m_line.find(End, OldSize < 3 ? 0 : OldSize - 3);
  if (EndPosition == std::string::npos) {
    Consumed = std::min(MaxAppended, Input.size());
    if (m_line.size() <= m_limits.MaxHeadBytes)
      return Progress::NeedMore;
    reject(431, fmt::format("the request head is longer than {} bytes",
                            m_limits.MaxHeadBytes));
    return Progress::Rejected;
  }
  m_line.resize(EndPosition);
  Consumed = EndPosition + End.size() - OldSize;
  return parseHead();
}

RequestReader::Progress RequestReader::parseHead() {
  std::string Head = std::move(m_line);
  m_line.clear();
  std::string_view Remaining = Head;
  bool IsFirst = true;
  while (!Remaining.empty() || IsFirst) {
    size_t End = Remaining.find("\r\n");
    std::string_view Line = Remaining.substr(0, End);
    Remaining = End == std::string_view::npos ? std::string_view()
                                              : Remaining.substr(End + 2);
    bool IsValid = IsFirst ? parseRequestLine(Line) : parseHeader(Line);
    IsFirst = false;
    if (!IsValid)
      return Progress::Rejected;
  }
  m_headBytes = Head.size() + m_request.Headers.capacity() * sizeof(HttpHeader);
  if (!checkHost() || !parseFraming())
    return Progress::Rejected;
  if (m_stage == Stage::FixedLengthBody && m_remainingBytes == 0)
    return Progress::Done;
  const std::string *Expect = findHeader(m_request.Headers, "expect");
  m_isContinueExpected = Expect && equalsNoCase(*Expect, "100-continue");
  return Progress::NeedMore;
}

bool RequestReader::parseRequestLine(std::string_view Line) {
  size_t FirstSpace = Line.find(' ');
  size_t LastSpace = Line.rfind(' ');
  if (FirstSpace == std::string_view::npos || FirstSpace == LastSpace)
    return reject(400, "the request line is malformed");
  std::string_view Method = Line.substr(0, FirstSpace);
  std::string_view Target =
      Line.substr(FirstSpace + 1, LastSpace - FirstSpace - 1);
  std::string_view Version = Line.substr(LastSpace + 1);
  bool IsTargetValid =
      !Target.empty() && (Target.front() == '/' || Target == "*") &&
      std::none_of(Target.begin(), Target.end(), [](char Char) {
        return isControl(Char) || Char == ' ' ||
               static_cast<unsigned char>(Char) >= 0x80;
      });
  if (!isToken(Method) || !IsTargetValid)
    return reject(400, "the request line is malformed");
  if (Version != "HTTP/1.1" && Version != "HTTP/1.0")
    return reject(505, "only HTTP/1.1 and HTTP/1.0 are supported");
  m_request.Method = Method;
  m_request.Target = Target;
  m_isHttp10 = Version == "HTTP/1.0";
  return true;
}

bool RequestReader::parseHeader(std::string_view Line) {
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || !isToken(Line.substr(0, Colon)))
    return reject(400, "a header line is malformed");
  std::string_view Value = trim(Line.substr(Colon + 1));
  bool HasControl = std::any_of(Value.begin(), Value.end(), [](char Char) {
    return isControl(Char) && Char != '\t';
  });
  if (HasControl)
    return reject(400, fmt::format("header \"{}\" contains a control character",
                                   Line.substr(0, Colon)));
  if (m_request.Headers.size() >= m_limits.MaxHeaders)
    return reject(431, fmt::format("the request has more than {} headers",
                                   m_limits.MaxHeaders));
  m_request.Headers.push_back(
      {std::string(Line.substr(0, Colon)), std::string(Value)});
  return true;
}

bool RequestReader::checkHost() {
  auto IsHost = [](const HttpHeader &Header) {
    return equalsNoCase(Header.Name, "host");
  };
  auto Count =
      std::count_if(m_request.Headers.begin(), m_request.Headers.end(), IsHost);
  if (Count > 1 || (Count == 0 && !m_isHttp10))
    return reject(400, "the request must have exactly one Host header");
  return true;
}

bool RequestReader::parseFraming() {
  const std::string *Length = nullptr;
  const std::string *Encoding = nullptr;
  for (const HttpHeader &Header : m_request.Headers) {
    bool IsLength = equalsNoCase(Header.Name, "content-length");
    bool IsEncoding = equalsNoCase(Header.Name, "transfer-encoding");
    if ((IsLength && Length) || (IsEncoding && Encoding))
      return reject(
          400, fmt::format("header \"{}\" occurs more than once", Header.Name));
    if (IsLength)
      Length = &Header.Value;
    if (IsEncoding)
      Encoding = &Header.Value;
  }
  const std::string *Connection = findHeader(m_request.Headers, "connection");
  bool IsClose = Connection && equalsNoCase(*Connection, "close");
  bool IsKeepAlive = Connection && equalsNoCase(*Connection, "keep-alive");
  m_request.KeepAlive = m_isHttp10 ? IsKeepAlive : !IsClose;
  if (Length && Encoding)
    return reject(
        400, "headers Content-Length and Transfer-Encoding exclude each other");
  if (Encoding) {
    if (m_isHttp10 || !equalsNoCase(*Encoding, "chunked"))
      return reject(501, "the only supported transfer encoding is \"chunked\"");
    m_stage = Stage::ChunkSize;
    return true;
  }
  m_stage = Stage::FixedLengthBody;
  m_remainingBytes = 0;
  return !Length || parseContentLength(*Length);
}

bool RequestReader::parseContentLength(const std::string &Value) {
  bool IsNumber = std::all_of(Value.begin(), Value.end(), [](char Char) {
    return Char >= '0' && Char <= '9';
  });
  if (!IsNumber || !parseNumber(Value, 10, m_remainingBytes))
    return reject(400, "header \"Content-Length\" is not a valid number");
  if (m_remainingBytes > m_limits.MaxBodyBytes)
    return reject(413, fmt::format("the body is longer than {} bytes",
                                   m_limits.MaxBodyBytes));
  return true;
}

RequestReader::Progress RequestReader::readBody(std::string_view Input,
                                                size_t &Consumed) {
  while (true) {
    if (m_stage == Stage::FixedLengthBody)
      return readFixedLength(Input, Consumed);
    if (m_stage == Stage::ChunkData) {
      Progress Data = readFixedLength(Input, Consumed);
      if (Data != Progress::Done)
        return Data;
      m_stage = Stage::ChunkEnd;
    }
    if (!readLine(Input, Consumed, MaxChunkLineBytes)) {
      if (!m_isLineMalformed)
        return Progress::NeedMore;
      reject(400, "a chunk or trailer line is malformed");
      return Progress::Rejected;
    }
    Progress Line = parseChunkLine();
    if (Line != Progress::NeedMore)
      return Line;
  }
}

RequestReader::Progress RequestReader::readFixedLength(std::string_view Input,
                                                       size_t &Consumed) {
  std::string_view Part = Input.substr(Consumed).substr(0, m_remainingBytes);
  m_request.Body.append(Part);
  Consumed += Part.size();
  m_remainingBytes -= Part.size();
  return m_remainingBytes == 0 ? Progress::Done : Progress::NeedMore;
}

bool RequestReader::readLine(std::string_view Input, size_t &Consumed,
                             size_t Limit) {
  while (Consumed < Input.size()) {
    char Char = Input[Consumed++];
    bool IsAfterReturn = !m_line.empty() && m_line.back() == '\r';
    if (IsAfterReturn && Char == '\n') {
      m_line.pop_back();
      return true;
    }
    if (IsAfterReturn || Char == '\n' || m_line.size() >= Limit) {
      m_isLineMalformed = true;
      return false;
    }
    m_line += Char;
  }
  return false;
}

RequestReader::Progress RequestReader::parseChunkLine() {
  std::string Line = std::move(m_line);
  m_line.clear();
  if (m_stage == Stage::ChunkEnd) {
    m_stage = Stage::ChunkSize;
    if (Line.empty())
      return Progress::NeedMore;
    reject(400, "chunk data is longer than the chunk size");
    return Progress::Rejected;
  }
  if (m_stage == Stage::Trailer) {
    m_trailerBytes += Line.size();
    if (Line.empty())
      return Progress::Done;
    if (m_trailerBytes <= m_limits.MaxHeadBytes)
      return Progress::NeedMore;
    reject(431, "the trailers are too long");
    return Progress::Rejected;
  }
  std::string_view Size = std::string_view(Line).substr(0, Line.find(';'));
  if (!parseNumber(Size, 16, m_remainingBytes)) {
    reject(400, "a chunk size is not a hexadecimal number");
    return Progress::Rejected;
  }
  if (m_remainingBytes > m_limits.MaxBodyBytes - m_request.Body.size()) {
    reject(413, fmt::format("the body is longer than {} bytes",
                            m_limits.MaxBodyBytes));
    return Progress::Rejected;
  }
  m_stage = m_remainingBytes == 0 ? Stage::Trailer : Stage::ChunkData;
  return Progress::NeedMore;
}

HttpRequest RequestReader::take() {
  HttpRequest Request = std::move(m_request);
  m_request = {};
  m_stage = Stage::Head;
  m_line.clear();
  m_remainingBytes = 0;
  m_trailerBytes = 0;
  m_headBytes = 0;
  m_isContinueExpected = false;
  return Request;
}

bool RequestReader::takeExpectContinue() {
  return std::exchange(m_isContinueExpected, false);
}

BASILCHUTE_NAMESPACE_END
