// Open-loop load generator that checks every answer.

#include "basilchute-load/loadrun.h"
#include "libutil/program.h"

#include <fmt/format.h>
#include <fstream>

using namespace basilchute;

namespace {

std::vector<SettingSpec> loadSettings() {
  return {
      {.Key = "log.level",
       .Default = std::string("warning"),
       .Help = "Minimum severity of log lines: debug, info, warning or error."},
      {.Key = "load.entries",
       .Default = std::vector<std::string>(),
       .Help = "HOST:PORT of the entries' caller addresses, used in turn.",
       .Required = true},
      {.Key = "load.path",
       .Default = std::string("/orders"),
       .Help = "Path of every request, which names the service."},
      {.Key = "load.tenants",
       .Default = std::vector<std::string>{"default"},
       .Help = "Tenants of the requests, used in turn.",
       .Required = true},
      {.Key = "load.arrivals",
       .Default = std::string("poisson"),
       .Help = "Arrival process: poisson, bursts or steps."},
      {.Key = "load.rate",
       .Default = int64_t{100},
       .Help = "Mean number of requests per second.",
       .Min = 1,
       .Max = 1000000},
      {.Key = "load.duration_ms",
       .Default = int64_t{5000},
       .Help = "Duration of the run, in ms.",
       .Min = 1,
       .Max = 3600000},
      {.Key = "load.seed",
       .Default = int64_t{1},
       .Help = "Seed of the random numbers."},
      {.Key = "load.threads",
       .Default = int64_t{2},
       .Help = "HTTP client threads.",
       .Min = 1,
       .Max = 64},
      {.Key = "load.body_bytes",
       .Default = int64_t{256},
       .Help = "Size of every request's body, in bytes.",
       .Max = 67108864},
      {.Key = "load.work_ms",
       .Default = int64_t{1},
       .Help =
           "Time after which the endpoint of basilchute-standin answers, in "
           "ms.",
       .Max = 600000},
      {.Key = "load.non_idempotent_percent",
       .Default = int64_t{30},
       .Help = "Share of requests that are sent as non-idempotent, in percent.",
       .Max = 100},
      {.Key = "load.deadline_ms",
       .Default = int64_t{10000},
       .Help = "Deadline of every request, in ms.",
       .Min = 1,
       .Max = 600000},
      {.Key = "load.csv",
       .Default = std::string(),
       .Help =
           "CSV file for the percentiles of the latency; empty writes none."},
  };
}

double toMillis(nanoseconds Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

void printReport(const LoadReport &Report) {
  fmt::print("sent={} answered={} not_run={} lost={} wrong={} offered_again={} "
             "p50_ms={:.3f} p99_ms={:.3f} p99.9_ms={:.3f}\n",
             Report.Sent, Report.Answered, Report.NotRun, Report.Lost,
             Report.Wrong, Report.Retries, toMillis(Report.quantile(0.5)),
             toMillis(Report.quantile(0.99)), toMillis(Report.quantile(0.999)));
}

void printFailures(const LoadReport &Report) {
  for (const std::string &Failure : Report.Failures)
    fmt::print(stderr, "load: {}\n", Failure);
}

void writeCsv(const std::string &File, const LoadReport &Report) {
  std::ofstream Out(File);
  Out << "quantile,latency_ms\n";
  for (double Q : {0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 0.9999})
    Out << fmt::format("{},{:.3f}\n", Q, toMillis(Report.quantile(Q)));
}

} // namespace

int main(int ArgCount, char **Args) {
  Settings Values(loadSettings());
  ProgramInfo Info{
      .Name = "basilchute-load",
      .Description = "sends requests at a given rate and checks every answer"};
  if (auto Code = readCommandLine(Info, ArgCount, Args, Values))
    return static_cast<int>(*Code);
  Result<ArrivalKind> Kind = parseArrivalKind(Values.text("load.arrivals"));
  if (!Kind.has_value()) {
    fmt::print(stderr, "setting \"load.arrivals\": {}\n", Kind.error().Message);
    return static_cast<int>(ExitCode::SettingsInvalid);
  }
  LoadOptions Options{
      .Entries = Values.list("load.entries"),
      .Path = Values.text("load.path"),
      .Tenants = Values.list("load.tenants"),
      .Arrivals = {.Kind = Kind.value(),
                   .Rate = static_cast<double>(Values.integer("load.rate")),
                   .Duration = Values.duration("load.duration_ms"),
                   .Seed = static_cast<uint64_t>(Values.integer("load.seed"))},
      .Threads = static_cast<int>(Values.integer("load.threads")),
      .BodyBytes = static_cast<size_t>(Values.integer("load.body_bytes")),
      .WorkMillis = Values.integer("load.work_ms"),
      .NonIdempotentPercent = Values.integer("load.non_idempotent_percent"),
      .Deadline = Values.duration("load.deadline_ms"),
      .OnProgress = [](const std::string &Line) {
        fmt::print(stderr, "load: {}\n", Line);
      }};
  LoadReport Report = runLoad(Options);
  printReport(Report);
  printFailures(Report);
  if (!Values.text("load.csv").empty())
    writeCsv(Values.text("load.csv"), Report);
  bool AllAnswered =
      Report.Lost == 0 && Report.Wrong == 0 && Report.NotRun == 0;
  return static_cast<int>(AllAnswered ? ExitCode::Success : ExitCode::Failure);
}
