#include "basilchute/jobfrontend.h"
#include "libbasilchute/jobrows.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr size_t MaxPayloadBytes = 4000;
constexpr int MaxTasks = 100000;
/// Maximum size of a job's row, and the part of it that is left for what a job
/// is given after it was checked: its id, its queue and times.
constexpr size_t MaxJobBytes = 65536;
constexpr size_t JobBytesForNames = 800;

Error invalidArgument(std::string Text) {
  return makeError(ResultCode::InvalidArgument, std::move(Text));
}

Status checkStep(const JobStep &Step, int Index) {
  if (Step.Count < 1 || Step.Count > MaxTasks)
    return invalidArgument(
        fmt::format("steps[{}]: the count must be positive and at most {}",
                    Index, MaxTasks));
  const Resources &Demand = Step.Demand;
  bool HasNegative = Demand.Millicores < 0 || Demand.MemoryMib < 0 ||
                     Demand.Accelerators < 0 || Step.MaxPerWorker < 0 ||
                     Step.MaxUnavailable < 0 ||
                     Step.EstimatedRunTime.count() < 0 ||
                     Step.TailTarget.count() < 0;
  if (HasNegative)
    return invalidArgument(
        fmt::format("steps[{}]: a demand, limit, estimate or tail "
                    "target is negative",
                    Index));
  for (int Earlier : Step.Predecessors)
    if (Earlier < 0 || Earlier >= Index)
      return invalidArgument(fmt::format(
          "steps[{}]: depends on step {}, which is not an earlier step", Index,
          Earlier));
  return okStatus();
}

// A job that is handed in has no id yet.
Status checkJobSize(const Job &Value) {
  size_t Bytes = encodeJob(Value).size();
  size_t Limit =
      Value.Id.empty() ? MaxJobBytes - JobBytesForNames : MaxJobBytes;
  if (Bytes <= Limit)
    return okStatus();
  return makeError(ResultCode::TooLarge,
                   fmt::format("the job's steps have {} bytes as stored; the "
                               "maximum is {}",
                               Bytes, Limit));
}

} // namespace

Status checkJob(const Job &Value) {
  if (Value.Payload.size() > MaxPayloadBytes)
    return makeError(ResultCode::TooLarge,
                     fmt::format("the payload has {} bytes; the maximum is {}",
                                 Value.Payload.size(), MaxPayloadBytes));
  if (Value.Steps.empty())
    return invalidArgument("the job has no steps");
  if (Value.Repetitions < 0 || Value.Interval.count() < 0)
    return invalidArgument("the repetitions or the interval is negative");
  // The product below then fits into 64 bits.
  if (Value.Repetitions > MaxTasks || Value.Steps.size() > MaxTasks)
    return invalidArgument(
        fmt::format("the job has more than {} repetitions or steps", MaxTasks));
  int64_t Tasks = 0;
  for (size_t Index = 0; Index < Value.Steps.size(); ++Index) {
    Status Checked = checkStep(Value.Steps[Index], static_cast<int>(Index));
    if (!Checked.has_value())
      return Checked;
    Tasks += Value.Steps[Index].Count;
  }
  Tasks *= Value.occurrences();
  if (Tasks > MaxTasks)
    return invalidArgument(fmt::format(
        "the job has {} tasks; the maximum is {}", Tasks, MaxTasks));
  return checkJobSize(Value);
}

BASILCHUTE_NAMESPACE_END
