// Simulated platform for tests: table store, host list, workers and their
// endpoints.

#include "basilchute-standin/platform.h"
#include "libutil/log.h"
#include "libutil/program.h"

#include <fmt/format.h>

using namespace basilchute;

namespace {

constexpr milliseconds AdvanceInterval{20};

std::vector<SettingSpec> standinSettings() {
  return {
      {.Key = "log.level",
       .Default = std::string("info"),
       .Help = "Minimum severity of log lines: debug, info, warning or error."},
      {.Key = "standin.listen",
       .Default = std::string("127.0.0.1:0"),
       .Help = "HOST:PORT to listen on."},
      {.Key = "standin.threads",
       .Default = int64_t{2},
       .Help = "HTTP server threads.",
       .Min = 1,
       .Max = 64},
      {.Key = "fleet.failure_domains",
       .Default = std::vector<std::string>{"a", "b", "c"},
       .Help = "Names of the failure domains that have workers."},
      {.Key = "fleet.workers_per_domain",
       .Default = int64_t{3},
       .Min = 1,
       .Max = 1000},
      {.Key = "fleet.workers_per_rack",
       .Default = int64_t{8},
       .Min = 1,
       .Max = 1000},
      {.Key = "fleet.worker_millicores",
       .Default = int64_t{32000},
       .Min = 1,
       .Max = 10000000},
      {.Key = "fleet.worker_memory_mib",
       .Default = int64_t{125000},
       .Min = 1,
       .Max = 100000000},
      {.Key = "fleet.worker_accelerators", .Default = int64_t{0}, .Max = 1000},
      {.Key = "fleet.worker_slots",
       .Default = int64_t{8},
       .Min = 1,
       .Max = 10000},
  };
}

PlatformOptions platformOptions(const Settings &Values) {
  return {
      .Domains = Values.list("fleet.failure_domains"),
      .WorkersPerDomain =
          static_cast<uint32_t>(Values.integer("fleet.workers_per_domain")),
      .WorkersPerRack =
          static_cast<uint32_t>(Values.integer("fleet.workers_per_rack")),
      .Capacity = {.Millicores = Values.integer("fleet.worker_millicores"),
                   .MemoryMib = Values.integer("fleet.worker_memory_mib"),
                   .Accelerators = Values.integer("fleet.worker_accelerators")},
      .Slots = static_cast<uint32_t>(Values.integer("fleet.worker_slots"))};
}

} // namespace

int main(int ArgCount, char **Args) {
  blockSignals();
  Settings Values(standinSettings());
  ProgramInfo Info{.Name = "basilchute-standin",
                   .Description = "simulates the platform for tests"};
  if (auto Code = readCommandLine(Info, ArgCount, Args, Values))
    return static_cast<int>(*Code);
  Platform SimulatedPlatform(platformOptions(Values));
  HttpServer Server(
      {.Listen = Values.text("standin.listen"),
       .Threads = static_cast<int>(Values.integer("standin.threads")),
       .Limits = {.MaxBodyBytes = 64 * 1024 * 1024}},
      [&](HttpRequest Request, Responder Answer) {
        SimulatedPlatform.handle(std::move(Request), std::move(Answer));
      });
  Result<std::string> Address = Server.start();
  if (!Address.has_value()) {
    logEvent(LogLevel::Error, "standin", "start_failed",
             Address.error().Message, Address.error().Code);
    return static_cast<int>(ExitCode::BindFailed);
  }
  SimulatedPlatform.setAddress(Address.value());
  EventLoop Loop;
  Loop.runEvery(AdvanceInterval, [&] { SimulatedPlatform.advance(); });
  logEvent(LogLevel::Info, "standin", "started",
           fmt::format("platform={}", Address.value()));
  waitForSignal();
  Loop.stop();
  Server.stop();
  return static_cast<int>(ExitCode::Success);
}
