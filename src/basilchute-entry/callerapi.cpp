#include "basilchute-entry/callerapi.h"

#include "curl.endpoint/curlendpointport.h"
#include "libbasilchute/rows.h"

#include <charconv>
#include <fmt/format.h>
#include <map>
#include <shared_mutex>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr std::string_view DeadlineHeader = "Basilchute-Deadline-Ms";
constexpr std::string_view IdempotentHeader = "Basilchute-Idempotent";
constexpr std::string_view TenantHeader = "Basilchute-Tenant";
constexpr std::string_view CodeHeader = "Basilchute-Code";
constexpr std::string_view OutcomeUnknown = "unknown";
constexpr std::string_view DefaultTenant = "default";
/// Pairs of service and tenant with histograms of their own; the requests of
/// all further pairs are recorded under "other".
constexpr size_t MaxSeries = 500;

/// Methods that HTTP defines as idempotent.
bool isIdempotentMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD" || Method == "PUT" ||
         Method == "DELETE" || Method == "OPTIONS";
}

int httpStatusOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::InvalidArgument:
    return 400;
  case ResultCode::NotFound:
    return 404;
  case ResultCode::AnswerCut:
  case ResultCode::OutcomeUnknown:
    return 502;
  default:
    return 503;
  }
}

HttpResponse refusalAnswer(ResultCode Code, const std::string &Message) {
  std::string_view Outcome = meansNotRun(Code) ? OutcomeNotRun : OutcomeUnknown;
  HttpResponse Out{
      .Status = httpStatusOf(Code),
      .Headers = {{"Content-Type", "text/plain"},
                  {std::string(CodeHeader), std::string(resultCodeName(Code))},
                  {std::string(OutcomeHeader), std::string(Outcome)}},
      .Body = Message + "\n"};
  if (Out.Status == 503)
    Out.Headers.push_back({"Retry-After", "1"});
  return Out;
}

} // namespace

/// Histograms of one service and tenant.
struct CallerSeries {
  LatencyHistogram &Total;
  LatencyHistogram &Queued;
  LatencyHistogram &AtEndpoints;
};

/// Histograms by service and tenant, and counters of refusals by result code.
/// Finding existing histograms takes only a shared lock, so that lookups do not
/// block each other.
class CallerApi::RequestMetrics {
public:
  explicit RequestMetrics(Metrics &Registry) : m_registry(Registry) {}

  CallerSeries &seriesOf(const std::string &Service,
                         const std::string &Tenant) {
    std::pair<std::string, std::string> Key{Service, Tenant};
    {
      std::shared_lock Lock(m_lock);
      auto It = m_series.find(Key);
      if (It != m_series.end())
        return *It->second;
    }
    std::unique_lock Lock(m_lock);
    if (m_series.size() >= MaxSeries)
      Key = {"other", "other"};
    std::unique_ptr<CallerSeries> &Histograms = m_series[Key];
    if (!Histograms) {
      std::string Labels =
          fmt::format("service=\"{}\",tenant=\"{}\"", Key.first, Key.second);
      Histograms = std::make_unique<CallerSeries>(CallerSeries{
          m_registry.histogram("basilchute_request_seconds", Labels),
          m_registry.histogram("basilchute_request_queue_seconds", Labels),
          m_registry.histogram("basilchute_request_endpoint_seconds", Labels)});
    }
    return *Histograms;
  }

  void countRefusal(ResultCode Code) {
    m_registry
        .counter("basilchute_refusals_total",
                 fmt::format("code=\"{}\"", resultCodeName(Code)))
        .add();
  }

private:
  Metrics &m_registry;
  std::shared_mutex m_lock;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<CallerSeries>>
      m_series;
};

CallerApi::CallerApi(CallerApiOptions Options, Dispatcher &Requests,
                     const Router &Routes, Metrics &Registry, const Clock &Time,
                     const std::atomic<bool> &IsReady)
    : m_options(Options), m_dispatcher(Requests), m_router(Routes),
      m_time(Time), m_isReady(IsReady),
      m_metrics(std::make_unique<RequestMetrics>(Registry)) {}
CallerApi::~CallerApi() = default;

// The service is the first label of the Host header if the router knows a
// service of that name, and otherwise the first segment of the path, which is
// then removed from the endpoint's path.
std::string CallerApi::serviceOf(const HttpRequest &Request,
                                 std::string &EndpointPath) const {
  EndpointPath = Request.Target;
  const std::string *Host = findHeader(Request.Headers, "host");
  if (Host) {
    std::string Label = Host->substr(0, Host->find_first_of(".:"));
    if (isValidName(Label) && m_router.hasService(Label))
      return Label;
  }
  size_t NameEnd = Request.Target.find_first_of("/?", 1);
  std::string Name = Request.Target.substr(
      1, NameEnd == std::string::npos ? std::string::npos : NameEnd - 1);
  EndpointPath =
      NameEnd == std::string::npos ? "/" : Request.Target.substr(NameEnd);
  if (EndpointPath.front() != '/')
    EndpointPath = fmt::format("/{}", EndpointPath);
  return Name;
}

Result<TimePoint> CallerApi::deadlineOf(const HttpRequest &Request) const {
  TimePoint Now = m_time.now();
  const std::string *Header = findHeader(Request.Headers, DeadlineHeader);
  if (!Header)
    return Now + m_options.DefaultDeadline;
  int64_t Millis = 0;
  auto [ParseEnd, ParseError] =
      std::from_chars(Header->data(), Header->data() + Header->size(), Millis);
  bool IsValid = ParseError == std::errc() &&
                 ParseEnd == Header->data() + Header->size() && Millis > 0 &&
                 Millis <= m_options.MaxDeadline.count();
  if (!IsValid)
    return makeError(
        ResultCode::InvalidArgument,
        fmt::format("header \"{}\" must be an integer from 1 to {}",
                    DeadlineHeader, m_options.MaxDeadline.count()));
  return Now + milliseconds(Millis);
}

Result<CallerRequest> CallerApi::parse(HttpRequest Request) const {
  CallerRequest Out;
  Out.Service = serviceOf(Request, Out.Path);
  if (!isValidName(Out.Service))
    return makeError(ResultCode::NotFound,
                     "neither the host nor the path names a valid service");
  Result<TimePoint> Deadline = deadlineOf(Request);
  if (!Deadline.has_value())
    return Deadline.error();
  Out.Deadline = Deadline.value();
  const std::string *Idempotent = findHeader(Request.Headers, IdempotentHeader);
  if (Idempotent && *Idempotent != "true" && *Idempotent != "false")
    return makeError(
        ResultCode::InvalidArgument,
        fmt::format("header \"{}\" must be true or false", IdempotentHeader));
  Out.Idempotent =
      Idempotent ? *Idempotent == "true" : isIdempotentMethod(Request.Method);
  const std::string *Tenant = findHeader(Request.Headers, TenantHeader);
  Out.Tenant = Tenant && isValidName(*Tenant) ? *Tenant : DefaultTenant;
  Out.Method = std::move(Request.Method);
  Out.Headers = std::move(Request.Headers);
  stripHopByHop(Out.Headers);
  std::erase_if(Out.Headers, [](const HttpHeader &Header) {
    return equalsNoCase(Header.Name, "expect");
  });
  Out.Body = std::move(Request.Body);
  return Out;
}

void CallerApi::handle(HttpRequest Request, Responder Answer) {
  TimePoint ReceivedAt = m_time.now();
  auto Refuse = [&](ResultCode Code, const std::string &Message) {
    m_metrics->countRefusal(Code);
    Answer.send(refusalAnswer(Code, Message));
  };
  if (!m_isReady)
    return Refuse(ResultCode::NotReady,
                  "this entry process takes no new requests at present");
  Result<CallerRequest> ParseResult = parse(std::move(Request));
  if (!ParseResult.has_value())
    return Refuse(ParseResult.error().Code, ParseResult.error().Message);
  std::string Service = ParseResult.value().Service;
  std::string Tenant = ParseResult.value().Tenant;
  auto SharedAnswer = std::make_shared<Responder>(std::move(Answer));
  m_dispatcher.submit(
      std::move(ParseResult.value()),
      [this, ReceivedAt, Service, Tenant, SharedAnswer](CallerAnswer Reply) {
        if (Reply.Code != ResultCode::Ok) {
          m_metrics->countRefusal(Reply.Code);
          return SharedAnswer->send(refusalAnswer(Reply.Code, Reply.Message));
        }
        CallerSeries &Series = m_metrics->seriesOf(Service, Tenant);
        Series.Total.record(m_time.now() - ReceivedAt);
        Series.Queued.record(Reply.QueueTime);
        Series.AtEndpoints.record(Reply.EndpointTime);
        SharedAnswer->send({.Status = Reply.Status,
                            .Headers = std::move(Reply.Headers),
                            .Body = std::move(Reply.Body)});
      });
}

BASILCHUTE_NAMESPACE_END
