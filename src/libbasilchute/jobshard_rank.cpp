#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// The longest task of a step takes this many times the estimate of one.
constexpr double WidthFactor = 1.5;
constexpr milliseconds LeastChain{200};
/// A job is worth nothing after this many times its objective.
constexpr int LateFactor = 3;
constexpr milliseconds StateLogEvery{1000};
/// A long-running task that has waited for this long comes before short ones.
constexpr milliseconds LongPatience{1200};
/// Part of a job's worth that does not depend on its size.
constexpr double WorthOfAnyJob = 0.3;

} // namespace

void JobShard::Impl::dropWaiting(const JobEntry &Of, int Position) {
  auto Found = m_waiting.find(Of.Spec.Id);
  if (Found == m_waiting.end())
    return;
  Found->second.erase(Position);
  if (Found->second.empty())
    m_waiting.erase(Found);
}

// 0: can still end in time; 1: will be late, but worth something; 2: will be
// worth nothing.
int JobShard::Impl::latenessOf(const JobEntry &Of) const {
  const JobQueue *Queue = queueOf(Of);
  if (!Queue || Of.Spec.Repetitions > 0)
    return 0;
  auto Chain = std::chrono::duration_cast<milliseconds>(
      std::max(Of.longestChain(), LeastChain) * WidthFactor);
  auto Objective =
      std::chrono::duration_cast<milliseconds>(Chain * Queue->SlackFactor) +
      Queue->TargetDuration;
  auto End = m_time.now() - Of.Seen + Of.chainLeft();
  if (End < Objective)
    return 0;
  return End < LateFactor * Objective ? 1 : 2;
}

bool JobShard::Impl::hasAged(const JobEntry &Of) const {
  auto Waiting = m_waiting.find(Of.Spec.Id);
  if (Waiting == m_waiting.end())
    return false;
  TimePoint Limit = m_time.now() - LongPatience;
  return std::any_of(
      Waiting->second.begin(), Waiting->second.end(), [&](int Position) {
        return Of.Tasks[static_cast<size_t>(Position)].WaitingSince < Limit;
      });
}

JobShard::Impl::Rank JobShard::Impl::rankOf(const JobEntry &Of) const {
  const JobQueue *Queue = queueOf(Of);
  const JobStep &First = Of.Spec.Steps.front();
  int Priority = Queue ? Queue->Priority : 0;
  // Short tasks earn more on a core than long-running ones and leave it soon,
  // but long-running ones must not wait for ever.
  if (First.LongRunning)
    return {hasAged(Of) ? -1 : 1, 0, Priority, 0, 0};
  int Room = First.Fills ? 2 : 0;
  // In a shortage some jobs have to lose. Begun ones are finished first, and of
  // the others the youngest, which can best end in time: the choice does not
  // depend on size, and no work is spent on jobs that end too late.
  if (!Of.hasStarted())
    return {Room, latenessOf(Of), Priority, 1,
            std::chrono::duration<double>(m_time.now() - Of.Seen).count()};
  // Worth for each unit of work that is left: what is almost done comes first.
  auto Mean = m_meanWork.find(Of.Spec.Queue);
  double Usual = Mean == m_meanWork.end() ? Of.TotalWork : Mean->second;
  double Worth = WorthOfAnyJob * Usual + (1 - WorthOfAnyJob) * Of.TotalWork;
  double Left = std::max(Of.workLeft(), 1.0);
  return {Room, latenessOf(Of), Priority, 0, -Worth / Left};
}

void JobShard::Impl::queueReady(JobEntry &Of) {
  if (isFinal(Of.State) || Of.Moving)
    return;
  for (int Position = 0; Position < static_cast<int>(Of.Tasks.size());
       ++Position) {
    const TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
    if (Task.Phase != TaskPhase::Waiting || !Of.isReady(Position))
      continue;
    bool New = m_waiting[Of.Spec.Id].insert(Position).second;
    if (New)
      Of.Tasks[static_cast<size_t>(Position)].WaitingSince = m_time.now();
  }
}

void JobShard::Impl::setWaiting(JobEntry &Of, int Position,
                                milliseconds Delay) {
  TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
  Task.Phase = TaskPhase::Waiting;
  Task.NeverRan = false;
  Task.NotBefore = m_time.now() + Delay;
  Task.WaitingSince = m_time.now();
  if (!isFinal(Of.State))
    m_waiting[Of.Spec.Id].insert(Position);
}

// Of the first fill task that waits: how many workers lack the room, are full,
// or serve tasks that it would disturb.
std::string JobShard::Impl::whyFillWaits(const std::vector<Spot> &Spots) const {
  size_t NoRoom = 0;
  size_t Full = 0;
  size_t Harm = 0;
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Of = m_jobs.at(Id);
    int Position = *Positions.begin();
    if (!Of.stepOf(Position).Fills)
      continue;
    for (const Spot &Each : Spots) {
      if (!isAllowed(Each, Of, Position))
        ++NoRoom;
      else if (isFull(Each))
        ++Full;
      else if (!isWorthwhile(Each, Of.stepOf(Position),
                             headroomWith(Each, Of, Position)))
        ++Harm;
    }
    break;
  }
  return fmt::format("no_room={} full={} harm={}", NoRoom, Full, Harm);
}

void JobShard::Impl::logState() {
  TimePoint Now = m_time.now();
  if (Now < m_nextStateLog)
    return;
  m_nextStateLog = Now + StateLogEvery;
  Resources Free;
  Resources Most;
  std::vector<Spot> Spots = spots();
  for (const Spot &Each : Spots) {
    Free += Each.Room;
    Most.Millicores = std::max(Most.Millicores, Each.Room.Millicores);
    Most.MemoryMib = std::max(Most.MemoryMib, Each.Room.MemoryMib);
  }
  std::array<size_t, 3> Waiting{};
  for (const auto &[Id, Positions] : m_waiting) {
    const JobStep &First = find(Id)->Spec.Steps.front();
    Waiting[First.LongRunning ? 1 : First.Fills ? 2 : 0] += Positions.size();
  }
  int64_t Used = 0;
  size_t Over = 0;
  for (const auto &[Id, Slot] : m_slots) {
    Used += Slot.usedMillicores();
    Over += Slot.runsOverTarget();
  }
  log("shard_state",
      fmt::format("shard={} workers={} usable={} free_cores={} most_cores={} "
                  "free_gib={} most_gib={} waiting_short={} waiting_long={} "
                  "waiting_fill={} fill_cores={} over_target={} {} {}",
                  m_options.Shard, m_slots.size(), Spots.size(),
                  Free.Millicores / 1000, Most.Millicores / 1000,
                  Free.MemoryMib / 1024, Most.MemoryMib / 1024, Waiting[0],
                  Waiting[1], Waiting[2], Used / 1000, Over,
                  whyFillWaits(Spots), placingFields()));
}

// How rounds of placing ended since the last line, and how long a start order
// took. Slow orders and rounds that end at the limit of starts mean that the
// owner, not the workers, holds work back.
std::string JobShard::Impl::placingFields() {
  const JobShardCounts &Now = counts();
  const JobShardCounts &Before = m_loggedCounts;
  uint64_t Answered = Now.StartsAnswered - Before.StartsAnswered;
  auto Took = std::chrono::duration_cast<milliseconds>(
      (Now.StartTime - Before.StartTime) /
      static_cast<int64_t>(std::max<uint64_t>(Answered, 1)));
  std::string Out = fmt::format(
      "rounds_whole={} rounds_start_limit={} rounds_step_limit={} starts={} "
      "starts_under_way={} starts_limit={} start_ms={} paces={}",
      Now.RoundsWhole - Before.RoundsWhole,
      Now.RoundsAtStartLimit - Before.RoundsAtStartLimit,
      Now.RoundsAtStepLimit - Before.RoundsAtStepLimit,
      Now.Starts - Before.Starts, Now.StartsUnderWay, m_starts.limit(),
      Took.count(), Now.Paces - Before.Paces);
  m_loggedCounts = Now;
  return Out;
}

BASILCHUTE_NAMESPACE_END
