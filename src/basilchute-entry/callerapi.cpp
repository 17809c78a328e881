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
/// Label values kept apart in the histograms; later ones count as "other".
constexpr size_t MaxSeries = 500;

/// Methods that HTTP defines as idempotent.
bool isIdempotentMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD" || Method == "PUT" ||
         Method == "DELETE" || Method == "OPTIONS";
}

int statusOf(ResultCode Code) {
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

HttpResponse refusal(ResultCode Code, const std::string &Message) {
  std::string_view Outcome = meansNotRun(Code) ? OutcomeNotRun : OutcomeUnknown;
  HttpResponse Out{
      .Status = statusOf(Code),
      .Headers = {{"Content-Type", "text/plain"},
                  {std::string(CodeHeader), std::string(resultCodeName(Code))},
                  {std::string(OutcomeHeader), std::string(Outcome)}},
      .Body = Message + "\n"};
  if (Out.Status == 503)
    Out.Headers.push_back({"Retry-After", "1"});
  return Out;
}

} // namespace

/// Series of one service and tenant.
struct CallerSeries {
  LatencyHistogram &Total;
  LatencyHistogram &Queued;
  LatencyHistogram &AtEndpoints;
};

/// Finds the series without a lock that excludes other readers.
class CallerApi::Numbers {
public:
  explicit Numbers(Metrics &Into) : m_into(Into) {}

  CallerSeries &of(const std::string &Service, const std::string &Tenant) {
    std::pair<std::string, std::string> Key{Service, Tenant};
    {
      std::shared_lock Guard(m_lock);
      auto Found = m_series.find(Key);
      if (Found != m_series.end())
        return *Found->second;
    }
    std::unique_lock Guard(m_lock);
    if (m_series.size() >= MaxSeries)
      Key = {"other", "other"};
    std::unique_ptr<CallerSeries> &Slot = m_series[Key];
    if (!Slot) {
      std::string Labels =
          fmt::format("service=\"{}\",tenant=\"{}\"", Key.first, Key.second);
      Slot = std::make_unique<CallerSeries>(CallerSeries{
          m_into.histogram("basilchute_request_seconds", Labels),
          m_into.histogram("basilchute_request_queue_seconds", Labels),
          m_into.histogram("basilchute_request_endpoint_seconds", Labels)});
    }
    return *Slot;
  }

  void refused(ResultCode Code) {
    m_into
        .counter("basilchute_refusals_total",
                 fmt::format("code=\"{}\"", resultCodeName(Code)))
        .add();
  }

private:
  Metrics &m_into;
  std::shared_mutex m_lock;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<CallerSeries>>
      m_series;
};

CallerApi::CallerApi(CallerApiOptions Options, Dispatcher &To,
                     const Router &Routes, Metrics &Into, const Clock &Time,
                     const std::atomic<bool> &Ready)
    : m_options(Options), m_to(To), m_routes(Routes), m_time(Time),
      m_ready(Ready), m_numbers(std::make_unique<Numbers>(Into)) {}
CallerApi::~CallerApi() = default;

// A service is named by the first label of the host or by the first segment of
// the path, which the endpoint does not get to see then.
std::string CallerApi::serviceOf(const HttpRequest &From,
                                 std::string &Path) const {
  Path = From.Target;
  const std::string *Host = findHeader(From.Headers, "host");
  if (Host) {
    std::string Label = Host->substr(0, Host->find_first_of(".:"));
    if (isValidName(Label) && m_routes.knows(Label))
      return Label;
  }
  size_t End = From.Target.find_first_of("/?", 1);
  std::string Name = From.Target.substr(
      1, End == std::string::npos ? std::string::npos : End - 1);
  Path = End == std::string::npos ? "/" : From.Target.substr(End);
  if (Path.front() != '/')
    Path = fmt::format("/{}", Path);
  return Name;
}

Result<TimePoint> CallerApi::deadlineOf(const HttpRequest &From) const {
  TimePoint Now = m_time.now();
  const std::string *Text = findHeader(From.Headers, DeadlineHeader);
  if (!Text)
    return Now + m_options.DefaultDeadline;
  int64_t Millis = 0;
  auto [End, Fault] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Millis);
  bool Good = Fault == std::errc() && End == Text->data() + Text->size() &&
              Millis > 0 && Millis <= m_options.MaxDeadline.count();
  if (!Good)
    return makeError(ResultCode::InvalidArgument,
                     fmt::format("header \"{}\" is not between 1 and {}",
                                 DeadlineHeader,
                                 m_options.MaxDeadline.count()));
  return Now + milliseconds(Millis);
}

Result<CallerRequest> CallerApi::read(HttpRequest From) const {
  CallerRequest Out;
  Out.Service = serviceOf(From, Out.Path);
  if (!isValidName(Out.Service))
    return makeError(ResultCode::NotFound,
                     "the request names no service by host or path");
  Result<TimePoint> Deadline = deadlineOf(From);
  if (!Deadline.has_value())
    return Deadline.error();
  Out.Deadline = Deadline.value();
  const std::string *Mark = findHeader(From.Headers, IdempotentHeader);
  if (Mark && *Mark != "true" && *Mark != "false")
    return makeError(ResultCode::InvalidArgument,
                     fmt::format("header \"{}\" is neither true nor false",
                                 IdempotentHeader));
  Out.Idempotent = Mark ? *Mark == "true" : isIdempotentMethod(From.Method);
  const std::string *Tenant = findHeader(From.Headers, TenantHeader);
  Out.Tenant = Tenant && isValidName(*Tenant) ? *Tenant : DefaultTenant;
  Out.Method = std::move(From.Method);
  Out.Headers = std::move(From.Headers);
  stripHopByHop(Out.Headers);
  std::erase_if(Out.Headers, [](const HttpHeader &Each) {
    return equalsNoCase(Each.Name, "expect");
  });
  Out.Body = std::move(From.Body);
  return Out;
}

void CallerApi::handle(HttpRequest Request, Responder Answer) {
  TimePoint Since = m_time.now();
  auto Refuse = [&](ResultCode Code, const std::string &Message) {
    m_numbers->refused(Code);
    Answer.send(refusal(Code, Message));
  };
  if (!m_ready)
    return Refuse(ResultCode::NotReady, "this entry takes no new requests");
  Result<CallerRequest> Read = read(std::move(Request));
  if (!Read.has_value())
    return Refuse(Read.error().Code, Read.error().Message);
  std::string Service = Read.value().Service;
  std::string Tenant = Read.value().Tenant;
  auto Shared = std::make_shared<Responder>(std::move(Answer));
  m_to.submit(std::move(Read.value()),
              [this, Since, Service, Tenant, Shared](CallerAnswer Reply) {
                if (Reply.Code != ResultCode::Ok) {
                  m_numbers->refused(Reply.Code);
                  return Shared->send(refusal(Reply.Code, Reply.Message));
                }
                CallerSeries &Series = m_numbers->of(Service, Tenant);
                Series.Total.record(m_time.now() - Since);
                Series.Queued.record(Reply.Queued);
                Series.AtEndpoints.record(Reply.AtEndpoints);
                Shared->send({.Status = Reply.Status,
                              .Headers = std::move(Reply.Headers),
                              .Body = std::move(Reply.Body)});
              });
}

BASILCHUTE_NAMESPACE_END
