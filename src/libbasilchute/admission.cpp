#include "basilchute/admission.h"

#include "libbasilchute/jobestimate.h"
#include "libbasilchute/queueorder.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

using Seconds = std::chrono::duration<double>;

/// Load is unknown if the last report is older. Owners write one each 0.5 s,
/// and idle hosts read them each second; a dead owner is replaced after about
/// 3 s.
constexpr milliseconds MaxReportAge{5000};
/// A report that this host sees this long after it has accepted a job includes
/// the job: two intervals between reports.
constexpr milliseconds ReportLag{1000};
/// Callers spread over the hosts at random. For each job that this host has
/// accepted since the reports, every other host is taken to have accepted this
/// part of one. All hosts together then accept at most twice the open room and
/// one job each in the time between two reports.
constexpr double OtherHostsPart = 0.5;
constexpr int MinRetrySeconds = 1;
constexpr int MaxRetrySeconds = 30;
/// Seconds until a long-running job that finds no room is tried again if the
/// rate at which such jobs come and go is not known, and if only the room that
/// other hosts may have given away is missing.
constexpr double UnknownRetrySeconds = 5;
constexpr double UncertainRetrySeconds = 2;
/// Utilization of the room for finite work at which tasks of about a second
/// wait little.
constexpr double TargetUtilization = 0.7;
/// Least and most part of the capacity that is room for finite work.
constexpr double MinFinitePart = 0.06;
constexpr double MaxFinitePart = 0.25;
/// Tenths of a core.
constexpr int64_t OpenRoomUnit = 100;

double fraction(const std::string &JobId) {
  return static_cast<double>(XXH64(JobId.data(), JobId.size(), 0) >> 11) *
         0x1p-53;
}

double seconds(milliseconds Time) { return Seconds(Time).count(); }

/// Returns the work that is started before a new job of \p Priority.
double workAhead(const ShardLoad &Load, int Priority) {
  double Out = 0;
  for (const auto &[Other, Work] : Load.WaitingWorkByPriority)
    if (Other <= Priority)
      Out += Work;
  return Out;
}

/// Returns the seconds until the work ahead is finished on the best of the
/// shards; zero if that is not known for one of them.
double shortestWait(const std::vector<const ShardLoad *> &Loads, int Priority,
                    double AcceptedWork) {
  double Rate = 0;
  double Shortest = std::numeric_limits<double>::max();
  for (const ShardLoad *Load : Loads) {
    if (Load->FinishedWorkPerSecond <= 0)
      return 0;
    Rate += Load->FinishedWorkPerSecond;
    Shortest = std::min(Shortest, workAhead(*Load, Priority) /
                                      Load->FinishedWorkPerSecond);
  }
  return Shortest + AcceptedWork / Rate;
}

/// Returns the millicores that fill tasks could use in addition: the most for
/// any image.
double unusedFillRoom(const ShardLoad &Load) {
  int64_t Out = Load.FillCapacity.empty() ? Load.CapacityMillicores : 0;
  for (const auto &[Image, Room] : Load.FillCapacity)
    Out = std::max(Out, Room);
  return static_cast<double>(Out);
}

/// Returns the seconds after which half of the fill work is finished: fill
/// tasks run side by side, so the median job waits for about half of it.
double medianFillWait(const std::vector<const ShardLoad *> &Loads,
                      double AcceptedWork) {
  double Work = AcceptedWork;
  double Rate = 0;
  for (const ShardLoad *Load : Loads) {
    Work += Load->RemainingFillWork;
    Rate += Load->FinishedFillWorkPerSecond + unusedFillRoom(*Load);
  }
  return Rate > 0 ? Work / Rate / 2 : 0;
}

} // namespace

AdmissionDemand admissionDemandOf(const Job &Value, const JobQueue &Queue) {
  AdmissionDemand Out{.JobId = Value.Id,
                      .Queue = Value.Queue,
                      .Priority = Queue.Priority,
                      .Chain = criticalPath(Value.Steps)};
  if (Value.hasLongRunningStep())
    Out.Kind = JobKind::LongRunning;
  else if (Value.Steps.front().IsFill)
    Out.Kind = JobKind::Fill;
  for (const JobStep &Step : Value.Steps) {
    // Finite tasks beside long-running ones give their room back.
    if (Out.Kind == JobKind::LongRunning && !Step.LongRunning)
      continue;
    Out.LargestTask = larger(Out.LargestTask, Step.Demand);
    Out.Tasks += static_cast<size_t>(Step.Count);
    if (Out.Kind != JobKind::LongRunning)
      Out.Work += Step.Count * taskWork(Step);
    auto Limit = static_cast<size_t>(Step.MaxPerWorker);
    if (Limit > 0)
      Out.MaxPerWorker =
          Out.MaxPerWorker == 0 ? Limit : std::min(Out.MaxPerWorker, Limit);
  }
  if (Out.Kind != JobKind::LongRunning && Value.Repetitions == 0)
    Out.Objective = objectiveOf(Out.Chain, Queue);
  return Out;
}

size_t openTasks(const ShardLoad &Load, const Resources &Task,
                 size_t MaxPerWorker) {
  int64_t Millicores = std::max<int64_t>(Task.Millicores, 1);
  int64_t PerWorker = MaxPerWorker > 0 ? static_cast<int64_t>(MaxPerWorker)
                                       : std::numeric_limits<int64_t>::max();
  int64_t Fitting = 0;
  for (uint32_t Room : Load.OpenRooms)
    Fitting += std::min(Room * OpenRoomUnit / Millicores, PerWorker);
  if (Task.MemoryMib > 0)
    Fitting = std::min(Fitting, Load.OpenMemoryMib / Task.MemoryMib);
  int64_t Waiting =
      (Load.WaitingLongRunningMillicores + Millicores - 1) / Millicores;
  return static_cast<size_t>(std::max<int64_t>(Fitting - Waiting, 0));
}

std::chrono::seconds retryAfter(const std::string &JobId, double WaitSeconds) {
  auto Base = static_cast<int>(std::ceil(
      std::clamp<double>(WaitSeconds, MinRetrySeconds, MaxRetrySeconds)));
  int Spread = (Base + 1) / 2;
  return std::chrono::seconds(Base +
                              static_cast<int>(fraction(JobId) * (Spread + 1)));
}

int64_t roomForFiniteWork(const ShardLoad &Load) {
  auto Capacity = static_cast<double>(Load.CapacityMillicores);
  return static_cast<int64_t>(std::clamp(
      static_cast<double>(Load.FiniteDemandMillicores) / TargetUtilization,
      MinFinitePart * Capacity, MaxFinitePart * Capacity));
}

void Admission::setReport(int Shard, uint64_t Epoch, uint64_t Number,
                          const ShardLoad &Load, TimePoint Now) {
  KnownReports &Known = m_reports[Shard];
  if (Known.Number == Number)
    return;
  if (Known.Number != 0 && Known.Epoch == Epoch)
    Known.Previous = std::move(Known.Last);
  else
    Known.Previous.reset();
  Known.Epoch = Epoch;
  Known.Number = Number;
  Known.SeenAt = Now;
  Known.Last = Load;
}

std::vector<const Admission::KnownReports *>
Admission::currentReports(const std::vector<int> &Shards, TimePoint Now) const {
  std::vector<const KnownReports *> Out;
  for (int Shard : Shards) {
    auto Known = m_reports.find(Shard);
    if (Known == m_reports.end() || Now > Known->second.SeenAt + MaxReportAge ||
        !Known->second.Last.HasAdmissionLoad)
      return {};
    Out.push_back(&Known->second);
  }
  return Out;
}

TimePoint Admission::oldest(const std::vector<const KnownReports *> &Reports) {
  TimePoint Out = Reports.front()->SeenAt;
  for (const KnownReports *Known : Reports)
    Out = std::min(Out, Known->SeenAt);
  return Out;
}

std::optional<Refusal> Admission::check(const AdmissionDemand &Demand,
                                        const std::vector<int> &Shards,
                                        size_t Hosts, TimePoint Now) const {
  std::vector<const KnownReports *> Reports = currentReports(Shards, Now);
  if (Reports.empty())
    return std::nullopt;
  if (Demand.Kind == JobKind::LongRunning)
    return checkLongRunning(Demand, Reports, Hosts, Now);
  if (Demand.Objective.count() == 0)
    return std::nullopt;
  return Demand.Kind == JobKind::Fill ? checkFill(Demand, Reports)
                                      : checkFinite(Demand, Reports);
}

// Other hosts accept jobs by the same reports. What they have accepted since is
// estimated by the rate at which long-running tasks arrive, and in a burst, of
// which the reports do not tell yet, by what this host has accepted itself.
std::optional<Refusal>
Admission::checkLongRunning(const AdmissionDemand &Demand,
                            const std::vector<const KnownReports *> &Reports,
                            size_t Hosts, TimePoint Now) const {
  double Task =
      static_cast<double>(std::max<int64_t>(Demand.LargestTask.Millicores, 1));
  TimePoint ReportedAt = oldest(Reports);
  size_t Open = 0;
  double Arrivals = 0;
  for (const KnownReports *Known : Reports) {
    Open += openTasks(Known->Last, Demand.LargestTask, Demand.MaxPerWorker);
    Arrivals += Known->Last.LongRunningArrivals;
  }
  double Own = 0;
  for (const Accepted &Job : m_accepted)
    if (Job.Demand.Kind == JobKind::LongRunning &&
        Job.At + ReportLag > ReportedAt)
      Own += static_cast<double>(Job.Demand.Tasks) *
             static_cast<double>(Job.Demand.LargestTask.Millicores) / Task;
  double Age = Seconds(Now - ReportedAt + ReportLag).count();
  double Others =
      std::max(Arrivals * Age / Task,
               Own * OtherHostsPart *
                   static_cast<double>(std::max<size_t>(Hosts, 1) - 1));
  Others = Hosts > 1 ? std::floor(Others) : 0;
  double Left = static_cast<double>(Open) - Own - Others;
  auto Needed = static_cast<double>(Demand.Tasks);
  if (Needed <= Left)
    return std::nullopt;
  double Missing = Needed - (static_cast<double>(Open) - Own);
  double Wait = Missing <= 0   ? UncertainRetrySeconds
                : Arrivals > 0 ? Missing * Task / Arrivals
                               : UnknownRetrySeconds;
  return Refusal{
      .Reason = "no_room",
      .Fields = fmt::format(
          "tasks={} task_cores={:.1f} open_tasks={} own_tasks={:.0f} "
          "others_tasks={:.0f} arriving_cores_per_s={:.1f} report_age_ms={}",
          Demand.Tasks, Task / 1000, Open, Own, Others, Arrivals / 1000,
          (Now - ReportedAt) / milliseconds(1)),
      .RetryAfter = retryAfter(Demand.JobId, Wait)};
}

double Admission::acceptedWork(JobKind Kind, int Priority,
                               TimePoint ReportedAt) const {
  double Out = 0;
  for (const Accepted &Job : m_accepted)
    if (Job.Demand.Kind == Kind && Job.Demand.Priority <= Priority &&
        Job.At + ReportLag > ReportedAt)
      Out += Job.Demand.Work;
  return Out;
}

std::optional<Refusal>
Admission::checkFinite(const AdmissionDemand &Demand,
                       const std::vector<const KnownReports *> &Reports) const {
  std::vector<const ShardLoad *> Last;
  std::vector<const ShardLoad *> Previous;
  for (const KnownReports *Known : Reports) {
    if (!Known->Previous)
      return std::nullopt;
    Last.push_back(&Known->Last);
    Previous.push_back(&*Known->Previous);
  }
  double MaxWait = seconds(NoValueFactor * Demand.Objective - Demand.Chain);
  double Wait =
      shortestWait(Last, Demand.Priority,
                   acceptedWork(Demand.Kind, Demand.Priority, oldest(Reports)));
  double PreviousWait = shortestWait(Previous, Demand.Priority, 0);
  if (std::min(Wait, PreviousWait) <= MaxWait)
    return std::nullopt;
  return Refusal{.Reason = "late",
                 .Fields = fmt::format(
                     "wait_s={:.1f} previous_wait_s={:.1f} max_wait_s={:.1f} "
                     "priority={}",
                     Wait, PreviousWait, MaxWait, Demand.Priority),
                 .RetryAfter = retryAfter(Demand.JobId, Wait)};
}

std::optional<Refusal>
Admission::checkFill(const AdmissionDemand &Demand,
                     const std::vector<const KnownReports *> &Reports) const {
  std::vector<const ShardLoad *> Last;
  std::vector<const ShardLoad *> Previous;
  for (const KnownReports *Known : Reports) {
    if (!Known->Previous)
      return std::nullopt;
    Last.push_back(&Known->Last);
    Previous.push_back(&*Known->Previous);
  }
  double MaxWait = seconds(NoValueFactor * Demand.Objective - Demand.Chain);
  double Wait = medianFillWait(
      Last, acceptedWork(Demand.Kind, std::numeric_limits<int>::max(),
                         oldest(Reports)));
  double PreviousWait = medianFillWait(Previous, 0);
  if (std::min(Wait, PreviousWait) <= MaxWait)
    return std::nullopt;
  return Refusal{.Reason = "fill_late",
                 .Fields =
                     fmt::format("median_wait_s={:.1f} "
                                 "previous_wait_s={:.1f} max_wait_s={:.1f}",
                                 Wait, PreviousWait, MaxWait),
                 .RetryAfter = retryAfter(Demand.JobId, Wait)};
}

void Admission::recordAccepted(const AdmissionDemand &Demand, TimePoint Now) {
  while (!m_accepted.empty() &&
         m_accepted.front().At + MaxReportAge + ReportLag < Now)
    m_accepted.pop_front();
  // A caller without an answer submits its job again.
  bool IsRepeated = std::any_of(
      m_accepted.begin(), m_accepted.end(),
      [&](const Accepted &Job) { return Job.Demand.JobId == Demand.JobId; });
  if (IsRepeated)
    return;
  m_accepted.push_back({.At = Now, .Demand = Demand});
}

int64_t Admission::roomForFiniteWork() const {
  int64_t Out = 0;
  for (const auto &[Shard, Known] : m_reports)
    Out += basilchute::roomForFiniteWork(Known.Last);
  return Out;
}

BASILCHUTE_NAMESPACE_END
