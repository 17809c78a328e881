#include "libutil/requestreader.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr size_t MaxChunkLineBytes = 256;

bool isTokenChar(char Each) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(Each)) ||
         Marks.find(Each) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

bool isControl(char Each) {
  auto Byte = static_cast<unsigned char>(Each);
  return Byte < 0x20 || Byte == 0x7f;
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

/// Parses all of \p Text as a number without sign; false on anything else.
bool parseNumber(std::string_view Text, int Base, size_t &Out) {
  if (Text.empty() || !std::isxdigit(static_cast<unsigned char>(Text.front())))
    return false;
  auto [End, Fault] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Out, Base);
  return Fault == std::errc() && End == Text.data() + Text.size();
}

} // namespace

bool RequestReader::bad(int Status, std::string Reason) {
  m_badStatus = Status;
  m_badReason = std::move(Reason);
  return false;
}

RequestReader::Progress RequestReader::read(std::string_view Input,
                                            size_t &Used) {
  Used = 0;
  if (m_badStatus != 0)
    return Progress::Bad;
  if (m_stage == Stage::Head) {
    Progress Head = readHead(Input, Used);
    if (Head != Progress::More || m_stage == Stage::Head)
      return Head;
  }
  return readBody(Input, Used);
}

// The head is kept with its line ends, so that a bare LF or CR shows.
RequestReader::Progress RequestReader::readHead(std::string_view Input,
                                                size_t &Used) {
  constexpr std::string_view End = "\r\n\r\n";
  size_t Before = m_line.size();
  size_t Room = m_limits.MaxHeadBytes + End.size() - Before;
  m_line.append(Input.substr(0, Room));
  size_t Found = m_line.find(End, Before < 3 ? 0 : Before - 3);
  if (Found == std::string::npos) {
    Used = std::min(Room, Input.size());
    if (m_line.size() <= m_limits.MaxHeadBytes)
      return Progress::More;
    bad(431, fmt::format("the request's head is longer than {} bytes",
                         m_limits.MaxHeadBytes));
    return Progress::Bad;
  }
  m_line.resize(Found);
  Used = Found + End.size() - Before;
  return onHead();
}

RequestReader::Progress RequestReader::onHead() {
  std::string Head = std::move(m_line);
  m_line.clear();
  std::string_view Rest = Head;
  bool First = true;
  while (!Rest.empty() || First) {
    size_t End = Rest.find("\r\n");
    std::string_view Line = Rest.substr(0, End);
    Rest = End == std::string_view::npos ? std::string_view()
                                         : Rest.substr(End + 2);
    bool Good = First ? parseRequestLine(Line) : parseHeader(Line);
    First = false;
    if (!Good)
      return Progress::Bad;
  }
  if (!judgeHost() || !judgeFraming())
    return Progress::Bad;
  if (m_stage == Stage::FixedBody && m_left == 0)
    return Progress::Done;
  const std::string *Expect = findHeader(m_request.Headers, "expect");
  m_continue = Expect && equalsNoCase(*Expect, "100-continue");
  return Progress::More;
}

bool RequestReader::parseRequestLine(std::string_view Line) {
  size_t First = Line.find(' ');
  size_t Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last)
    return bad(400, "the request line is malformed");
  std::string_view Method = Line.substr(0, First);
  std::string_view Target = Line.substr(First + 1, Last - First - 1);
  std::string_view Version = Line.substr(Last + 1);
  bool TargetGood = !Target.empty() &&
                    (Target.front() == '/' || Target == "*") &&
                    std::none_of(Target.begin(), Target.end(), [](char Each) {
                      return isControl(Each) || Each == ' ' ||
                             static_cast<unsigned char>(Each) >= 0x80;
                    });
  if (!isToken(Method) || !TargetGood)
    return bad(400, "the request line is malformed");
  if (Version != "HTTP/1.1" && Version != "HTTP/1.0")
    return bad(505, "only HTTP/1.1 and HTTP/1.0 are served");
  m_request.Method = Method;
  m_request.Target = Target;
  m_http10 = Version == "HTTP/1.0";
  return true;
}

bool RequestReader::parseHeader(std::string_view Line) {
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || !isToken(Line.substr(0, Colon)))
    return bad(400, "a header line is malformed");
  std::string_view Value = trim(Line.substr(Colon + 1));
  bool Control = std::any_of(Value.begin(), Value.end(), [](char Each) {
    return isControl(Each) && Each != '\t';
  });
  if (Control)
    return bad(400, fmt::format("header \"{}\" holds a control character",
                                Line.substr(0, Colon)));
  if (m_request.Headers.size() >= m_limits.MaxHeaders)
    return bad(431, fmt::format("the request has more than {} headers",
                                m_limits.MaxHeaders));
  m_request.Headers.push_back(
      {std::string(Line.substr(0, Colon)), std::string(Value)});
  return true;
}

bool RequestReader::judgeHost() {
  auto IsHost = [](const HttpHeader &Each) {
    return equalsNoCase(Each.Name, "host");
  };
  auto Count =
      std::count_if(m_request.Headers.begin(), m_request.Headers.end(), IsHost);
  if (Count > 1 || (Count == 0 && !m_http10))
    return bad(400, "the request must have exactly one Host header");
  return true;
}

bool RequestReader::judgeFraming() {
  const std::string *Length = nullptr;
  const std::string *Encoding = nullptr;
  for (const HttpHeader &Each : m_request.Headers) {
    bool IsLength = equalsNoCase(Each.Name, "content-length");
    bool IsEncoding = equalsNoCase(Each.Name, "transfer-encoding");
    if ((IsLength && Length) || (IsEncoding && Encoding))
      return bad(400, fmt::format("header \"{}\" stands twice", Each.Name));
    if (IsLength)
      Length = &Each.Value;
    if (IsEncoding)
      Encoding = &Each.Value;
  }
  const std::string *Connection = findHeader(m_request.Headers, "connection");
  bool Close = Connection && equalsNoCase(*Connection, "close");
  bool Keep = Connection && equalsNoCase(*Connection, "keep-alive");
  m_request.KeepAlive = m_http10 ? Keep : !Close;
  if (Length && Encoding)
    return bad(400, "Content-Length and Transfer-Encoding stand together");
  if (Encoding) {
    if (m_http10 || !equalsNoCase(*Encoding, "chunked"))
      return bad(501, "the only transfer encoding served is \"chunked\"");
    m_stage = Stage::ChunkSize;
    return true;
  }
  m_stage = Stage::FixedBody;
  m_left = 0;
  return !Length || judgeLength(*Length);
}

bool RequestReader::judgeLength(const std::string &Value) {
  bool Digits = std::all_of(Value.begin(), Value.end(), [](char Each) {
    return Each >= '0' && Each <= '9';
  });
  if (!Digits || !parseNumber(Value, 10, m_left))
    return bad(400, "header \"Content-Length\" is not a number");
  if (m_left > m_limits.MaxBodyBytes)
    return bad(413, fmt::format("the body is longer than {} bytes",
                                m_limits.MaxBodyBytes));
  m_request.Body.reserve(m_left);
  return true;
}

RequestReader::Progress RequestReader::readBody(std::string_view Input,
                                                size_t &Used) {
  while (true) {
    if (m_stage == Stage::FixedBody)
      return readFixed(Input, Used);
    if (m_stage == Stage::ChunkData) {
      Progress Data = readFixed(Input, Used);
      if (Data != Progress::Done)
        return Data;
      m_stage = Stage::ChunkEnd;
    }
    if (!readLine(Input, Used, MaxChunkLineBytes)) {
      if (!m_tooLong)
        return Progress::More;
      bad(400, "a chunk or trailer line is malformed");
      return Progress::Bad;
    }
    Progress Line = onChunkLine();
    if (Line != Progress::More)
      return Line;
  }
}

RequestReader::Progress RequestReader::readFixed(std::string_view Input,
                                                 size_t &Used) {
  std::string_view Part = Input.substr(Used).substr(0, m_left);
  m_request.Body.append(Part);
  Used += Part.size();
  m_left -= Part.size();
  return m_left == 0 ? Progress::Done : Progress::More;
}

bool RequestReader::readLine(std::string_view Input, size_t &Used,
                             size_t Limit) {
  while (Used < Input.size()) {
    char Next = Input[Used++];
    bool AfterReturn = !m_line.empty() && m_line.back() == '\r';
    if (AfterReturn && Next == '\n') {
      m_line.pop_back();
      return true;
    }
    if (AfterReturn || Next == '\n' || m_line.size() >= Limit) {
      m_tooLong = true;
      return false;
    }
    m_line += Next;
  }
  return false;
}

RequestReader::Progress RequestReader::onChunkLine() {
  std::string Line = std::move(m_line);
  m_line.clear();
  if (m_stage == Stage::ChunkEnd) {
    m_stage = Stage::ChunkSize;
    if (Line.empty())
      return Progress::More;
    bad(400, "a chunk is longer than its size");
    return Progress::Bad;
  }
  if (m_stage == Stage::Trailer) {
    m_trailerBytes += Line.size();
    if (Line.empty())
      return Progress::Done;
    if (m_trailerBytes <= m_limits.MaxHeadBytes)
      return Progress::More;
    bad(431, "the trailers are too long");
    return Progress::Bad;
  }
  std::string_view Size = std::string_view(Line).substr(0, Line.find(';'));
  if (!parseNumber(Size, 16, m_left)) {
    bad(400, "a chunk size is not a hexadecimal number");
    return Progress::Bad;
  }
  if (m_left > m_limits.MaxBodyBytes - m_request.Body.size()) {
    bad(413,
        fmt::format("the body is longer than {} bytes", m_limits.MaxBodyBytes));
    return Progress::Bad;
  }
  m_stage = m_left == 0 ? Stage::Trailer : Stage::ChunkData;
  return Progress::More;
}

HttpRequest RequestReader::take() {
  HttpRequest Out = std::move(m_request);
  m_request = {};
  m_stage = Stage::Head;
  m_line.clear();
  m_left = 0;
  m_trailerBytes = 0;
  m_continue = false;
  return Out;
}

bool RequestReader::takeContinue() { return std::exchange(m_continue, false); }

BASILCHUTE_NAMESPACE_END
