// Rows that other programs wrote, or that were damaged, must not end the hosts
// that read them or keep the hosts from following the other rows.

#include "libbasilchute/jobrows.h"
#include "schema/jobs.pb.h"
#include "testing/jobtestbed.h"

#include <doctest/doctest.h>
#include <limits>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr int MaxInt = std::numeric_limits<int>::max();
constexpr int64_t MaxInt64 = std::numeric_limits<int64_t>::max();
constexpr int64_t MinInt64 = std::numeric_limits<int64_t>::min();

void write(JobTestBed &Bed, const RowAddress &Address, std::string Value) {
  RowCommit Commit;
  Commit.Changes.push_back({.Address = Address, .Value = std::move(Value)});
  CHECK(Bed.Store.apply(Commit).has_value());
}

bool completes(JobTestBed &Bed, const std::string &Id) {
  return Bed.runUntil(
      [&] {
        Result<JobState> State = Bed.state(0, Id);
        return State.has_value() && State.value() == JobState::Completed;
      },
      20s);
}

v1::StoredJob storedJob(const std::string &Id) {
  v1::StoredJob Out;
  CHECK(Out.ParseFromString(encodeJob(chainJob(Id, 2, 2))));
  return Out;
}

/// Stores an empty progress row and a job row for the job \p Id.
void writeJob(JobTestBed &Bed, const std::string &Id,
              const v1::StoredJob &Value) {
  write(Bed, progressAddress(0, Id), encodeProgress(JobProgress{}));
  write(Bed, jobAddress(0, Id), Value.SerializeAsString());
}

} // namespace

// Guards against an owner that ends, as does each next owner, on a job whose
// steps cannot be counted.
TEST_CASE("A stored job with impossible steps is refused") {
  auto IsRefused = [](const std::function<void(v1::StoredJob &)> &Change) {
    v1::StoredJob Stored = storedJob("a");
    Change(Stored);
    return !decodeJob(Stored.SerializeAsString()).has_value();
  };
  CHECK_FALSE(IsRefused([](v1::StoredJob &) {}));
  CHECK(IsRefused([](auto &Stored) { Stored.clear_steps(); }));
  for (int Count : {-1, 0, 200000, MaxInt, -MaxInt}) {
    CAPTURE(Count);
    CHECK(IsRefused(
        [&](auto &Stored) { Stored.mutable_steps(1)->set_count(Count); }));
  }
  for (int Repetitions : {-1, 200000, MaxInt}) {
    CAPTURE(Repetitions);
    CHECK(
        IsRefused([&](auto &Stored) { Stored.set_repetitions(Repetitions); }));
  }
  for (int Earlier : {-1, 1, 2, MaxInt}) {
    CAPTURE(Earlier);
    CHECK(IsRefused(
        [&](auto &Stored) { Stored.mutable_steps(1)->set_after(0, Earlier); }));
  }
  CHECK(IsRefused(
      [](auto &Stored) { Stored.mutable_steps(0)->set_max_per_worker(-1); }));
}

TEST_CASE("Amounts and times of a stored job are brought into bounds") {
  for (int64_t Value : {MaxInt64, MinInt64}) {
    CAPTURE(Value);
    v1::StoredJob Stored = storedJob("a");
    Stored.set_first_run_ms(Value);
    Stored.set_interval_ms(Value);
    Stored.set_accepted_ms(Value);
    Stored.set_waited_ms(Value);
    Stored.mutable_steps(0)->set_millicores(Value);
    Stored.mutable_steps(0)->set_memory_mib(Value);
    Stored.mutable_steps(0)->set_accelerators(Value);
    Stored.mutable_steps(0)->set_estimate_ms(Value);
    Stored.mutable_steps(0)->set_tail_target_ms(Value);
    Result<Job> Read = decodeJob(Stored.SerializeAsString());
    REQUIRE(Read.has_value());
    const Job &Spec = Read.value();
    const JobStep &Step = Spec.Steps[0];
    constexpr int64_t MaxMillis =
        std::numeric_limits<int64_t>::max() / 1'000'000;
    for (milliseconds Time :
         {Spec.FirstRun, Spec.Interval, Spec.AcceptedAt,
          Spec.WaitedBeforeTransfer, Step.EstimatedRunTime, Step.TailTarget}) {
      CHECK(Time.count() >= 0);
      CHECK(Time.count() <= MaxMillis / 2);
    }
    for (int64_t Amount : {Step.Demand.Millicores, Step.Demand.MemoryMib,
                           Step.Demand.Accelerators}) {
      CHECK(Amount >= 0);
      CHECK(Amount <= MaxInt64 / 1'000'000);
    }
  }
}

// Guards against run numbers that wrap below zero after a takeover.
TEST_CASE("Run numbers and positions of stored progress stay in bounds") {
  JobProgress Value{.State = JobState::Running};
  for (int Number : {MaxInt, MaxInt - 10, -MaxInt, -1})
    Value.Tasks.push_back(
        {.Position = Number, .Run = Number, .FailedRuns = {Number, 1}});
  Result<JobProgress> Read = decodeProgress(encodeProgress(Value));
  REQUIRE(Read.has_value());
  for (const TaskProgress &Task : Read.value().Tasks) {
    CHECK(Task.Run >= 0);
    CHECK(Task.Run <= MaxInt - 1'000'000);
  }
}

// Guards against a row that makes a task start while it may run: a place that
// cannot be read is not known.
TEST_CASE("Places of stored progress are read as stored, or not known") {
  JobProgress Value;
  for (const char *Worker : {"w1", "", "w0", "w1"})
    Value.Tasks.push_back(
        {.Position = static_cast<int>(Value.Tasks.size()), .Place = Worker});
  Value.Tasks.push_back({.Position = 4});
  v1::StoredProgress Stored;
  REQUIRE(Stored.ParseFromString(encodeProgress(Value)));
  CHECK(Stored.workers_size() == 2);
  Result<JobProgress> Read = decodeProgress(Stored.SerializeAsString());
  REQUIRE(Read.has_value());
  for (size_t Index = 0; Index < Value.Tasks.size(); ++Index)
    CHECK(Read.value().Tasks.at(Index).Place == Value.Tasks.at(Index).Place);
  for (int Place : {MaxInt, -MaxInt, -1, 4, 5}) {
    CAPTURE(Place);
    Stored.mutable_tasks(0)->set_place(Place);
    Read = decodeProgress(Stored.SerializeAsString());
    REQUIRE(Read.has_value());
    CHECK_FALSE(Read.value().Tasks.at(0).Place.has_value());
  }
}

// Guards against a count of crashes that is lost, or without bounds, after a
// change of owner.
TEST_CASE("Crashes in stored progress are read as written, within bounds") {
  JobProgress Value{.State = JobState::Running};
  Value.Tasks.push_back({.Position = 1,
                         .Run = 3,
                         .Crash = {.Crashes = 2,
                                   .StrongCrashes = 1,
                                   .IsSuspect = true,
                                   .RunAge = 1200ms,
                                   .Worker = "w\xff",
                                   .Incarnation = 1700000000000ms}});
  Result<JobProgress> Read = decodeProgress(encodeProgress(Value));
  REQUIRE(Read.has_value());
  CHECK(Read.value().Tasks[0].Crash == Value.Tasks[0].Crash);
  for (int Number : {MaxInt, -MaxInt}) {
    Value.Tasks[0].Crash.Crashes = Number;
    Value.Tasks[0].Crash.RunAge = milliseconds(Number) * 1000000;
    Read = decodeProgress(encodeProgress(Value));
    REQUIRE(Read.has_value());
    const CrashRecord &Crash = Read.value().Tasks[0].Crash;
    CHECK(Crash.Crashes >= 0);
    CHECK(Crash.Crashes <= MaxInt / 2);
    CHECK(CrashHistory::trialTime(Crash) >= 300ms);
    CHECK(CrashHistory::trialTime(Crash) <= 10s);
  }
}

TEST_CASE("The load in a stored host row is brought into bounds") {
  for (int64_t Value : {MaxInt64, MinInt64}) {
    CAPTURE(Value);
    v1::StoredHost Stored;
    Stored.set_weight(1);
    v1::StoredShardCount &Shard = *Stored.add_shards();
    Shard.set_capacity_millicores(Value);
    Shard.set_lasting_millicores(Value);
    Shard.set_fill_waiting_millicores(Value);
    Shard.set_backlog(std::numeric_limits<double>::quiet_NaN());
    v1::StoredFillRoom &Room = *Shard.add_fill_room();
    Room.set_image("i");
    Room.set_millicores(Value);
    v1::StoredQueueCount &Queue = *Shard.add_queues();
    Queue.set_queue("q");
    Queue.set_pending(Value < 0 ? -MaxInt : MaxInt);
    Result<HostRecord> Read = decodeHost(Stored.SerializeAsString());
    REQUIRE(Read.has_value());
    const ShardReport &Report = Read.value().Shards.at(0);
    for (int64_t Millicores :
         {Report.Load.CapacityMillicores, Report.Load.LongRunningMillicores,
          Report.Load.WaitingFillMillicores,
          Report.Load.FillCapacity.at("i")}) {
      CHECK(Millicores >= 0);
      CHECK(Millicores <= MaxInt64 / 1000);
    }
    CHECK(Report.Load.RemainingWork >= 0);
    // The counts of all shards are summed.
    CHECK(Report.PendingJobs.at("q") >= 0);
    CHECK(Report.PendingJobs.at("q") <= MaxInt / 64);
  }
  v1::StoredHost NoWeight;
  CHECK_FALSE(decodeHost(NoWeight.SerializeAsString()).has_value());
  NoWeight.set_weight(-5);
  CHECK_FALSE(decodeHost(NoWeight.SerializeAsString()).has_value());
}

TEST_CASE("Slopes of a stored model that are not finite are left out") {
  double Infinity = std::numeric_limits<double>::infinity();
  double NaN = std::numeric_limits<double>::quiet_NaN();
  Result<std::vector<ImagePair>> Read =
      decodeInterference(encodeInterference({{"a", "b", 1.5, 0.1},
                                             {"c", "d", NaN, 0.1},
                                             {"e", "f", 1.0, Infinity},
                                             {"g", "h", -Infinity, 0.1},
                                             {"i", "j", 1.0, -1.0}}));
  REQUIRE(Read.has_value());
  REQUIRE(Read.value().size() == 1);
  CHECK(Read.value()[0].Serving == "a");
}

// Guards against hosts that end one after the other on one row.
TEST_CASE("Jobs run beside rows of jobs that are impossible") {
  JobTestBed Bed({});
  int Number = 0;
  for (int Count : {-1, MaxInt}) {
    v1::StoredJob Stored = storedJob("odd-" + std::to_string(++Number));
    Stored.mutable_steps(0)->set_count(Count);
    writeJob(Bed, Stored.id(), Stored);
  }
  v1::StoredJob Backward = storedJob("odd-after");
  Backward.mutable_steps(1)->set_after(0, -5);
  writeJob(Bed, Backward.id(), Backward);
  v1::StoredJob Empty = storedJob("odd-empty");
  Empty.clear_steps();
  writeJob(Bed, Empty.id(), Empty);
  writeJob(Bed, "other-key", storedJob("a-name"));
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 2, 3)).has_value());
  CHECK(completes(Bed, "a"));
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

// Guards against a host that allocates the shards of a damaged layout row.
TEST_CASE("A stored number of shards out of bounds is not followed") {
  for (int Shards : {MaxInt, 1000000, 0, -7}) {
    CAPTURE(Shards);
    JobTestBed Bed({});
    write(Bed, shardCountAddress(), encodeShardCount(Shards));
    Bed.run(4s);
    CHECK(Bed.submit(0, chainJob("a", 2, 3)).has_value());
    CHECK(completes(Bed, "a"));
    Result<int> Stored =
        decodeShardCount(Bed.Store
                             .read({.Table = AssignmentTable,
                                    .Partition = shardCountAddress().Partition})
                             .Rows.front()
                             .Value);
    REQUIRE(Stored.has_value());
    CHECK(Stored.value() == 1);
  }
}

// Guards against a layout that never assigns a worker again: all are assigned
// in one commit, which conflicts as long as one row is taken as missing.
TEST_CASE("A damaged assignment is written again") {
  for (const char *Value :
       {"-3", "nonsense", "99999999999999999999", "2147483647", "0x", "1e9"}) {
    CAPTURE(Value);
    JobTestBed Bed({});
    write(Bed, assignmentAddress("w1"), Value);
    Bed.run(5s);
    RowPage Page = Bed.Store.read({.Table = AssignmentTable, .Partition = ""});
    REQUIRE(Page.Rows.size() == static_cast<size_t>(Bed.workers()));
    for (const StoredRow &Row : Page.Rows)
      CHECK(Row.Value == "0");
    // The job needs all workers.
    CHECK(Bed.submit(0, chainJob("a", 1, 48, 1s)).has_value());
    CHECK(completes(Bed, "a"));
    CHECK(Bed.now() < TimePoint(1h) + 9s);
  }
}

// Guards against a log that a single row fills.
TEST_CASE("A damaged host row is logged once and does not count as a host") {
  JobTestBed Bed({});
  write(Bed, hostAddress("aaa"), "\xff\xff");
  write(Bed, hostAddress("bbb"), "");
  Bed.run(10s);
  CHECK(Bed.submit(0, chainJob("a", 2, 3)).has_value());
  CHECK(completes(Bed, "a"));
  CHECK(Bed.LogLines["bad_row"] == 2 * Bed.hosts());
}

// An entry that turns odd is left out of the list like one that disappeared.
TEST_CASE("The tasks of a worker that leaves the list go on until their leases "
          "end") {
  for (milliseconds RunTime : {6s, 30s}) {
    CAPTURE(RunTime.count());
    JobTestBed Bed({});
    Bed.run(3s);
    CHECK(Bed.submit(0, chainJob("a", 1, 24, RunTime)).has_value());
    Bed.run(1s);
    CHECK(Bed.Oracle.starts() == 24);
    Bed.setWorkerListed(0, false);
    CHECK(Bed.runUntil(
        [&] { return Bed.state(0, "a").value() == JobState::Completed; }, 60s));
    // Four tasks ran on the worker.
    CHECK(Bed.Oracle.starts() == (RunTime < 10s ? 24 : 28));
    for (const std::string &Violation : Bed.Oracle.violations())
      FAIL_CHECK(Violation);
  }
}

TEST_CASE("The tasks of a worker that is listed again go on") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 24, 15s)).has_value());
  Bed.run(1s);
  Bed.setWorkerListed(0, false);
  Bed.run(5s);
  Bed.setWorkerListed(0, true);
  CHECK(completes(Bed, "a"));
  CHECK(Bed.Oracle.starts() == 24);
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

// Guards against tasks that run twice: an owner that starts after a worker left
// the list does not know the worker, however long it answers.
TEST_CASE("No task runs twice if the owner of an unlisted worker ends") {
  for (milliseconds Wait : {1s, 2s, 4s, 6s, 8s, 9s, 10s, 11s, 15s, 30s}) {
    for (bool IsPlanned : {false, true}) {
      CAPTURE(Wait.count());
      CAPTURE(IsPlanned);
      JobTestBed Bed({});
      Bed.run(3s);
      CHECK(Bed.submit(0, chainJob("a", 1, 24, 60s)).has_value());
      Bed.run(1s);
      Bed.setWorkerListed(0, false);
      Bed.run(Wait);
      if (IsPlanned)
        Bed.host(Bed.ownerIndex()).Process->leave();
      else
        Bed.killHost(Bed.ownerIndex());
      Bed.run(15s);
      for (const std::string &Violation : Bed.Oracle.violations())
        FAIL_CHECK(Violation);
    }
  }
}

// Guards against a job that is accepted and never runs: the payload is opaque,
// and so is a worker's checkpoint.
TEST_CASE("A job with bytes that are no text is read as it was stored") {
  std::string Bytes("\xff\xfe\0\xed\xb0\x80", 6);
  Job Spec = chainJob("a", 1, 1);
  Spec.Payload = Bytes;
  Spec.Steps[0].Image = Bytes;
  Result<Job> Read = decodeJob(encodeJob(Spec));
  REQUIRE(Read.has_value());
  CHECK(Read.value().Payload == Bytes);
  CHECK(Read.value().Steps[0].Image == Bytes);
  Result<JobProgress> Progress = decodeProgress(encodeProgress(
      {.Tasks = {{.Position = 0, .Run = 1, .Checkpoint = Bytes}}}));
  REQUIRE(Progress.has_value());
  CHECK(Progress.value().Tasks.at(0).Checkpoint == Bytes);
}

TEST_CASE("A job with a payload that is no text runs") {
  JobTestBed Bed({});
  Bed.run(3s);
  Job Spec = chainJob("a", 1, 1);
  Spec.Payload = "\xff\xfe";
  CHECK(Bed.submit(0, Spec).has_value());
  CHECK(completes(Bed, "a"));
}

// Guards against an owner that ends on a row that adds tasks to a job, but
// names another one, or none of its tasks.
TEST_CASE("A damaged row that adds tasks does not end the owner") {
  Job Lasting = longRunningJob("lasting", 2);
  JobPart Valid{.Spec = Lasting,
                .HomeShard = 7,
                .Positions = {0},
                .Added = JobProgress{.State = JobState::Running,
                                     .Tasks = {{.Position = 0, .Run = 1}}}};
  JobPart NoTasks = Valid;
  NoTasks.Added.reset();
  JobPart OddPositions = Valid;
  OddPositions.Positions = {-1, MaxInt};
  OddPositions.Added->Tasks = {{.Position = -1, .Run = MaxInt},
                               {.Position = MaxInt, .Run = -1}};
  for (const std::string &Value :
       {std::string("\xff\xff"), std::string(), encodePart(NoTasks),
        encodePart(OddPositions), encodePart(Valid)})
    for (const char *Id : {"other", "lasting", "a"}) {
      CAPTURE(Value.size());
      CAPTURE(Id);
      JobTestBed Bed({.Hosts = 1});
      Bed.run(3s);
      CHECK(Bed.submit(0, chainJob("a", 2, 2)).has_value());
      write(Bed, addedTasksAddress(0, Id, 1, 5), Value);
      CHECK(completes(Bed, "a"));
      Bed.killHost(0);
      Bed.startHost(0);
      CHECK(Bed.submit(0, chainJob("b", 2, 2)).has_value());
      CHECK(completes(Bed, "b"));
    }
}
