#include "libbasilchute/jobrows.h"

#include "basilchute/jobfrontend.h"
#include "basilchute/limits.h"
#include "libbasilchute/extrafields.h"
#include "libbasilchute/progressrows.h"
#include "schema/jobs.pb.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr std::string_view CancelSuffix = ".cancel";
constexpr std::string_view PartSuffix = ".part";
constexpr std::string_view AddedTasksSuffix = ".added";
constexpr std::string_view ShardPartitionPrefix = "shard-";
constexpr const char *LayoutPartition = "layout";
/// Bounds of counts and sums in a host's report, which are added up over the
/// shards.
constexpr int MaxPendingJobs = 10'000'000;
constexpr int64_t MaxShardMillicores = 1'000'000 * MaxMillicores;
/// Largest renewal interval that a host's row may name: for so much longer the
/// host counts as alive without a renewal.
constexpr milliseconds MaxRenewInterval{10000};
/// Number of partitions that hold the index of jobs. Must never change, because
/// the partition of each stored index row depends on it.
constexpr uint64_t IndexPartitions = 16;

/// Number of a field of StoredHost.
constexpr int StoredEvidenceField = 8;

int64_t boundedMillicores(int64_t Millicores) {
  return std::clamp<int64_t>(Millicores, 0, MaxShardMillicores);
}

/// Returns zero if \p Value is not a positive finite number.
double positiveOrZero(double Value) {
  return std::isfinite(Value) ? std::max(Value, 0.0) : 0;
}

void storeStep(const JobStep &From, v1::StoredJobStep &To) {
  To.set_count(From.Count);
  To.set_millicores(From.Demand.Millicores);
  To.set_memory_mib(From.Demand.MemoryMib);
  To.set_accelerators(From.Demand.Accelerators);
  To.set_estimate_ms(From.EstimatedRunTime.count());
  for (int Step : From.Predecessors)
    To.add_after(Step);
  To.set_checkpointing(From.Checkpointing);
  To.set_gang(From.Gang);
  To.set_rack_sensitive(From.RackSensitive);
  To.set_speculative(From.Speculative);
  To.set_long_running(From.LongRunning);
  To.set_fills(From.IsFill);
  To.set_required_label(From.RequiredLabel);
  To.set_data_rack(From.DataRack);
  To.set_image(From.Image);
  To.set_max_per_worker(From.MaxPerWorker);
  To.set_tail_target_ms(From.TailTarget.count());
  To.set_miss_budget(From.MaxUnavailable);
}

JobStep loadStep(const v1::StoredJobStep &From) {
  return {.Count = From.count(),
          .Demand = {.Millicores = std::clamp<int64_t>(From.millicores(), 0,
                                                       MaxMillicores),
                     .MemoryMib = std::clamp<int64_t>(From.memory_mib(), 0,
                                                      MaxMemoryMib),
                     .Accelerators = std::clamp<int64_t>(From.accelerators(), 0,
                                                         MaxAccelerators)},
          .EstimatedRunTime = boundedTime(From.estimate_ms(), MaxDuration),
          .Predecessors = {From.after().begin(), From.after().end()},
          .Checkpointing = From.checkpointing(),
          .Gang = From.gang(),
          .RackSensitive = From.rack_sensitive(),
          .Speculative = From.speculative(),
          .LongRunning = From.long_running(),
          .IsFill = From.fills(),
          .RequiredLabel = From.required_label(),
          .DataRack = From.data_rack(),
          .Image = From.image(),
          .MaxPerWorker = From.max_per_worker(),
          .TailTarget = boundedTime(From.tail_target_ms(), MaxDuration),
          .MaxUnavailable = From.miss_budget()};
}

void storeJob(const Job &From, v1::StoredJob &To) {
  To.set_id(From.Id);
  To.set_queue(From.Queue);
  To.set_payload(From.Payload);
  for (const JobStep &Step : From.Steps)
    storeStep(Step, *To.add_steps());
  To.set_repetitions(From.Repetitions);
  To.set_first_run_ms(From.FirstRun.count());
  To.set_interval_ms(From.Interval.count());
  To.set_accepted_ms(From.AcceptedAt.count());
  To.set_waited_ms(From.WaitedBeforeTransfer.count());
  To.set_begun(From.HadStarted);
}

Job loadJob(const v1::StoredJob &From) {
  Job Out{.Id = From.id(),
          .Queue = From.queue(),
          .Payload = From.payload(),
          .Repetitions = From.repetitions(),
          .FirstRun = boundedTime(From.first_run_ms(), MaxUnixTime),
          .Interval = boundedTime(From.interval_ms(), MaxDuration),
          .AcceptedAt = boundedTime(From.accepted_ms(), MaxUnixTime),
          .WaitedBeforeTransfer = boundedTime(From.waited_ms(), MaxDuration),
          .HadStarted = From.begun()};
  for (const v1::StoredJobStep &Step : From.steps())
    Out.Steps.push_back(loadStep(Step));
  return Out;
}

} // namespace

bool Job::hasLongRunningStep() const {
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const JobStep &Step) { return Step.LongRunning; });
}

std::string_view jobStateName(JobState State) {
  switch (State) {
  case JobState::Queued:
    return "queued";
  case JobState::Running:
    return "running";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

std::string shardPartition(int Shard) {
  return fmt::format("{}{}", ShardPartitionPrefix, Shard);
}
std::string jobTable(int Shard) { return fmt::format("jobs-{}", Shard); }

RowAddress jobAddress(int Shard, const std::string &JobId) {
  return {.Table = jobTable(Shard),
          .Partition = shardPartition(Shard),
          .Key = JobId};
}

RowAddress cancellationAddress(int Shard, const std::string &JobId) {
  return {.Table = jobTable(Shard),
          .Partition = shardPartition(Shard),
          .Key = JobId + std::string(CancelSuffix)};
}

RowAddress progressAddress(int Shard, const std::string &JobId) {
  return {
      .Table = ProgressTable, .Partition = shardPartition(Shard), .Key = JobId};
}

RowAddress partAddress(int Shard, const std::string &JobId) {
  return jobAddress(Shard, JobId + std::string(PartSuffix));
}

RowAddress addedTasksAddress(int Shard, const std::string &JobId, int Source,
                             uint64_t Version) {
  return jobAddress(Shard, fmt::format("{}.{}-{}{}", JobId, Source, Version,
                                       AddedTasksSuffix));
}

RowAddress partProgressAddress(int Shard, const std::string &JobId) {
  return progressAddress(Shard, JobId + std::string(PartSuffix));
}

RowAddress shardOwnerAddress(int Shard) {
  return {
      .Table = ShardTable, .Partition = shardPartition(Shard), .Key = "owner"};
}

RowAddress interferenceAddress(int Shard) {
  return {.Table = InterferenceTable,
          .Partition = shardPartition(Shard),
          .Key = "model"};
}

RowAddress hostAddress(const std::string &Host) {
  return {.Table = HostTable, .Partition = "", .Key = Host};
}

RowAddress assignmentAddress(const std::string &Worker) {
  return {.Table = AssignmentTable, .Partition = "", .Key = Worker};
}

RowAddress largestCapacityAddress(const std::string &Worker) {
  return {
      .Table = AssignmentTable, .Partition = CapacityPartition, .Key = Worker};
}

std::pair<std::string, bool> parseJobKey(const std::string &Key) {
  if (!Key.ends_with(CancelSuffix))
    return {Key, false};
  return {Key.substr(0, Key.size() - CancelSuffix.size()), true};
}

std::optional<std::string> parsePartKey(const std::string &Key) {
  if (!Key.ends_with(PartSuffix))
    return std::nullopt;
  return Key.substr(0, Key.size() - PartSuffix.size());
}

std::optional<std::string> parseAddedTasksKey(const std::string &Key) {
  if (!Key.ends_with(AddedTasksSuffix))
    return std::nullopt;
  std::string Rest = Key.substr(0, Key.size() - AddedTasksSuffix.size());
  size_t End = Rest.rfind('.');
  return End == std::string::npos ? std::nullopt
                                  : std::optional(Rest.substr(0, End));
}

RowAddress shardCountAddress() {
  return {
      .Table = AssignmentTable, .Partition = LayoutPartition, .Key = "shards"};
}

RowAddress jobIndexAddress(const std::string &JobId) {
  uint64_t Hash = XXH64(JobId.data(), JobId.size(), 0);
  return {.Table = IndexTable,
          .Partition = fmt::format("index-{}", Hash % IndexPartitions),
          .Key = JobId};
}

int shardOfPartition(const std::string &Partition) {
  if (!Partition.starts_with(ShardPartitionPrefix))
    return -1;
  const char *First = Partition.data() + ShardPartitionPrefix.size();
  const char *Last = Partition.data() + Partition.size();
  int Out = -1;
  auto [End, ErrorCode] = std::from_chars(First, Last, Out);
  return ErrorCode == std::errc() && End == Last ? Out : -1;
}

std::string encodeJob(const Job &Value) {
  v1::StoredJob Out;
  storeJob(Value, Out);
  return Out.SerializeAsString();
}

Result<Job> decodeJob(const std::string &Bytes) {
  v1::StoredJob From;
  if (!From.ParseFromString(Bytes) || From.id().empty())
    return badRow("job");
  Job Out = loadJob(From);
  Status Checked = checkJob(Out);
  if (!Checked.has_value())
    return Checked.error();
  return Out;
}

std::string encodePart(const JobPart &Value) {
  v1::StoredJobPart Out;
  storeJob(Value.Spec, *Out.mutable_job());
  Out.set_home_shard(Value.HomeShard);
  for (int Position : Value.Positions)
    Out.add_positions(Position);
  if (Value.Added)
    storeProgress(*Value.Added, *Out.mutable_added());
  return Out.SerializeAsString();
}

Result<JobPart> decodePart(const std::string &Bytes) {
  v1::StoredJobPart From;
  if (!From.ParseFromString(Bytes) || From.job().id().empty() ||
      From.home_shard() < 0 || !isStateValid(From.added()))
    return badRow("job part");
  JobPart Out{.Spec = loadJob(From.job()),
              .HomeShard = From.home_shard(),
              .Positions = {From.positions().begin(), From.positions().end()}};
  if (From.has_added())
    Out.Added = loadProgress(From.added());
  Status Checked = checkJob(Out.Spec);
  if (!Checked.has_value())
    return Checked.error();
  return Out;
}

namespace {

void encodeAdmissionLoad(const ShardLoad &Load, v1::StoredShardCount &To) {
  To.set_has_admission_load(Load.HasAdmissionLoad);
  for (uint32_t Room : Load.OpenRooms)
    To.add_open_rooms(Room);
  To.set_open_memory_mib(Load.OpenMemoryMib);
  To.set_waiting_lasting_millicores(Load.WaitingLongRunningMillicores);
  To.set_lasting_arrivals(Load.LongRunningArrivals);
  To.set_finite_demand_millicores(Load.FiniteDemandMillicores);
  for (const auto &[Priority, Work] : Load.WaitingWorkByPriority) {
    v1::StoredWaitingWork &Stored = *To.add_waiting_work();
    Stored.set_priority(Priority);
    Stored.set_work(Work);
  }
  To.set_finished_work_per_second(Load.FinishedWorkPerSecond);
  To.set_remaining_fill_work(Load.RemainingFillWork);
  To.set_finished_fill_work_per_second(Load.FinishedFillWorkPerSecond);
  To.set_job_bytes(Load.JobBytes);
}

void decodeAdmissionLoad(const v1::StoredShardCount &From, ShardLoad &Load) {
  Load.HasAdmissionLoad = From.has_admission_load();
  Load.OpenRooms = {From.open_rooms().begin(), From.open_rooms().end()};
  Load.OpenMemoryMib = std::max<int64_t>(From.open_memory_mib(), 0);
  Load.WaitingLongRunningMillicores =
      boundedMillicores(From.waiting_lasting_millicores());
  Load.LongRunningArrivals = positiveOrZero(From.lasting_arrivals());
  Load.FiniteDemandMillicores =
      boundedMillicores(From.finite_demand_millicores());
  for (const v1::StoredWaitingWork &Waiting : From.waiting_work())
    Load.WaitingWorkByPriority[Waiting.priority()] =
        positiveOrZero(Waiting.work());
  Load.FinishedWorkPerSecond = positiveOrZero(From.finished_work_per_second());
  Load.RemainingFillWork = positiveOrZero(From.remaining_fill_work());
  Load.FinishedFillWorkPerSecond =
      positiveOrZero(From.finished_fill_work_per_second());
  Load.JobBytes = From.job_bytes();
}

} // namespace

std::string encodeHost(const HostRecord &Value) {
  v1::StoredHost Out;
  Out.set_weight(Value.Weight);
  Out.set_beat(Value.RenewalCount);
  Out.set_leaving(Value.IsLeaving);
  Out.set_bounds_leases(Value.BoundsLeases);
  setExtraField(Out, StoredEvidenceField, Value.HasStoredEvidence ? 1 : 0);
  Out.set_renew_ms(Value.RenewInterval.count());
  Out.set_max_job_bytes(Value.MaxJobBytes);
  for (const auto &[Shard, Report] : Value.Shards) {
    v1::StoredShardCount &To = *Out.add_shards();
    To.set_shard(Shard);
    To.set_epoch(Report.Epoch);
    To.set_workers(Report.Workers);
    To.set_capacity_millicores(Report.Load.CapacityMillicores);
    To.set_lasting_millicores(Report.Load.LongRunningMillicores);
    To.set_takes_added_tasks(Report.TakesAddedTasks);
    To.set_largest_room_millicores(Report.Load.LargestRoomMillicores);
    for (uint32_t Workers : Report.Load.RoomyWorkers)
      To.add_roomy_workers(Workers);
    for (int64_t Memory : Report.Load.RoomyMemoryMib)
      To.add_roomy_memory_mib(Memory);
    const RestartDemand &Restarts = Report.Load.WaitingRestarts;
    To.set_waiting_restart_millicores(Restarts.Millicores);
    To.set_smallest_restart_millicores(Restarts.Smallest.Millicores);
    To.set_smallest_restart_memory_mib(Restarts.Smallest.MemoryMib);
    To.set_backlog(Report.Load.RemainingWork);
    To.set_fill_waiting_millicores(Report.Load.WaitingFillMillicores);
    encodeAdmissionLoad(Report.Load, To);
    To.set_fill_millicores(Report.Load.FillMillicores);
    for (const auto &[Image, Room] : Report.Load.FillCapacity) {
      v1::StoredFillRoom &StoredRoom = *To.add_fill_room();
      StoredRoom.set_image(Image);
      StoredRoom.set_millicores(Room);
    }
    for (const auto &[Queue, Count] : Report.PendingJobs) {
      v1::StoredQueueCount &StoredCount = *To.add_queues();
      StoredCount.set_queue(Queue);
      StoredCount.set_pending(Count);
    }
  }
  return Out.SerializeAsString();
}

Result<HostRecord> decodeHost(const std::string &Bytes) {
  v1::StoredHost From;
  if (!From.ParseFromString(Bytes) || From.weight() <= 0)
    return badRow("host");
  HostRecord Out{
      .Weight = From.weight(),
      .RenewalCount = From.beat(),
      .RenewInterval = boundedTime(From.renew_ms(), MaxRenewInterval),
      .IsLeaving = From.leaving(),
      .BoundsLeases = From.bounds_leases(),
      .HasStoredEvidence = extraField(From, StoredEvidenceField) != 0,
      .MaxJobBytes = From.max_job_bytes()};
  for (const v1::StoredShardCount &Shard : From.shards()) {
    ShardReport &Report = Out.Shards[Shard.shard()];
    Report.Epoch = Shard.epoch();
    Report.Workers = Shard.workers();
    Report.TakesAddedTasks = Shard.takes_added_tasks();
    Report.Load = {
        .CapacityMillicores = boundedMillicores(Shard.capacity_millicores()),
        .LongRunningMillicores = boundedMillicores(Shard.lasting_millicores()),
        .LargestRoomMillicores =
            boundedMillicores(Shard.largest_room_millicores()),
        .RoomyWorkers = {Shard.roomy_workers().begin(),
                         Shard.roomy_workers().end()},
        .RoomyMemoryMib = {Shard.roomy_memory_mib().begin(),
                           Shard.roomy_memory_mib().end()},
        .WaitingRestarts =
            {.Millicores =
                 boundedMillicores(Shard.waiting_restart_millicores()),
             .Smallest = {.Millicores = boundedMillicores(
                              Shard.smallest_restart_millicores()),
                          .MemoryMib = std::max<int64_t>(
                              Shard.smallest_restart_memory_mib(), 0)}},
        .RemainingWork = positiveOrZero(Shard.backlog()),
        .FillMillicores = boundedMillicores(Shard.fill_millicores()),
        .WaitingFillMillicores =
            boundedMillicores(Shard.fill_waiting_millicores())};
    decodeAdmissionLoad(Shard, Report.Load);
    for (const v1::StoredFillRoom &Room : Shard.fill_room())
      Report.Load.FillCapacity[Room.image()] =
          boundedMillicores(Room.millicores());
    for (const v1::StoredQueueCount &Queue : Shard.queues())
      Report.PendingJobs[Queue.queue()] =
          std::clamp(Queue.pending(), 0, MaxPendingJobs);
  }
  return Out;
}

namespace {

void storeLogMean(v1::StoredLogMean &To, const LogMean &From) {
  To.set_count(From.Count);
  To.set_mean(From.Mean);
  To.set_spread(From.Spread);
}

LogMean readLogMean(const v1::StoredLogMean &From) {
  return {.Count = From.count(), .Mean = From.mean(), .Spread = From.spread()};
}

} // namespace

std::string encodeInterference(const std::vector<ImagePair> &Value,
                               const std::vector<StoredRunTime> &Times) {
  v1::StoredInterference Out;
  Out.set_format(RowFormat);
  for (const ImagePair &Pair : Value) {
    v1::StoredPairSlope &Stored = *Out.add_pairs();
    Stored.set_serving(Pair.Serving);
    Stored.set_fill(Pair.Fill);
    Stored.set_slope(Pair.Slope);
    Stored.set_variance(Pair.Variance);
  }
  for (const StoredRunTime &Time : Times) {
    v1::StoredRunTime &Stored = *Out.add_run_times();
    Stored.set_queue(Time.Key.Queue);
    Stored.set_image(Time.Key.Image);
    Stored.set_step(Time.Key.Step);
    storeLogMean(*Stored.mutable_duration(), Time.Duration);
    storeLogMean(*Stored.mutable_ratio(), Time.Ratio);
  }
  return Out.SerializeAsString();
}

std::vector<StoredRunTime> decodeRunTimes(const std::string &Bytes) {
  v1::StoredInterference From;
  std::vector<StoredRunTime> Out;
  if (!From.ParseFromString(Bytes))
    return Out;
  for (const v1::StoredRunTime &Time : From.run_times())
    Out.push_back({.Key = {Time.queue(), Time.image(), Time.step()},
                   .Duration = readLogMean(Time.duration()),
                   .Ratio = readLogMean(Time.ratio())});
  return Out;
}

Result<std::vector<ImagePair>> decodeInterference(const std::string &Bytes) {
  v1::StoredInterference From;
  if (!From.ParseFromString(Bytes))
    return badRow("interference model");
  std::vector<ImagePair> Out;
  for (const v1::StoredPairSlope &Pair : From.pairs())
    if (std::isfinite(Pair.slope()) && std::isfinite(Pair.variance()) &&
        Pair.variance() >= 0)
      Out.push_back({.Serving = Pair.serving(),
                     .Fill = Pair.fill(),
                     .Slope = Pair.slope(),
                     .Variance = Pair.variance()});
  return Out;
}

std::string encodeShardCount(int Shards) {
  v1::StoredLayout Out;
  Out.set_shards(Shards);
  return Out.SerializeAsString();
}

Result<int> decodeShardCount(const std::string &Bytes) {
  v1::StoredLayout From;
  if (!From.ParseFromString(Bytes) || From.shards() < 1)
    return badRow("layout");
  return From.shards();
}

std::string encodeJobIndex(int Shard) {
  v1::StoredJobIndex Out;
  Out.set_format(RowFormat);
  Out.set_shard(Shard);
  return Out.SerializeAsString();
}

Result<int> decodeJobIndex(const std::string &Bytes) {
  v1::StoredJobIndex From;
  if (!From.ParseFromString(Bytes) || From.format() == 0 ||
      From.shard() < BarredShard)
    return badRow("job index");
  return From.shard();
}

std::string encodeRefusedJobIndex() {
  v1::StoredJobIndex Out;
  Out.set_format(RowFormat);
  Out.set_shard(BarredShard);
  Out.set_refused(true);
  return Out.SerializeAsString();
}

bool isRefusedJobIndex(const std::string &Bytes) {
  v1::StoredJobIndex From;
  return From.ParseFromString(Bytes) && From.shard() == BarredShard &&
         From.refused();
}

std::string encodeShardOwner(const std::string &Host) {
  v1::StoredShardOwner Out;
  Out.set_format(RowFormat);
  Out.set_host(Host);
  return Out.SerializeAsString();
}

Result<std::string> decodeShardOwner(const std::string &Bytes) {
  v1::StoredShardOwner From;
  if (!From.ParseFromString(Bytes))
    return badRow("shard owner");
  return From.host();
}

BASILCHUTE_NAMESPACE_END
