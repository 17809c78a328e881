#include "libbasilchute/roomplan.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A reservation moves only if that gains at least this much: expected ends
/// change a little from round to round.
constexpr milliseconds MinMoveGain{100};
/// A start counts as in time up to this much after the reserved time: the end
/// of a run is seen by the next poll, and rounds take place every 15 to 45 ms.
constexpr milliseconds MetTolerance{250};

} // namespace

void RoomPlan::beginRound(std::vector<PlannedWorker> Workers, TimePoint Now) {
  m_workers = std::move(Workers);
  for (PlannedWorker &Worker : m_workers)
    std::sort(Worker.Releases.begin(), Worker.Releases.end(),
              [](const auto &A, const auto &B) { return A.At < B.At; });
  m_isTaken.assign(m_workers.size(), false);
  m_inRound = 0;
  m_now = Now;
  ++m_round;
}

std::optional<RoomReservation>
RoomPlan::earliest(const PlannedWorker &Worker, const Resources &Demand) const {
  RoomReservation Out{.At = m_now, .Demand = Demand, .Beside = Worker.Free};
  auto Next = Worker.Releases.begin();
  while (!Demand.fits(Out.Beside)) {
    if (Next == Worker.Releases.end())
      return std::nullopt;
    Out.Beside += Next->Amount;
    Out.At = std::max(Out.At, Next->At);
    ++Next;
  }
  Out.Beside -= Demand;
  return Out;
}

std::optional<std::pair<size_t, RoomReservation>>
RoomPlan::reserve(const TaskName &Task, const Resources &Demand,
                  const std::function<bool(size_t)> &CanRun) {
  if (m_inRound >= MaxReservations)
    return std::nullopt;
  auto Before = m_reserved.find(Task);
  std::optional<Found> Best;
  std::optional<Found> Present;
  for (size_t Index = 0; Index < m_workers.size(); ++Index) {
    if (m_isTaken[Index] || !CanRun(Index))
      continue;
    std::optional<RoomReservation> Room = earliest(m_workers[Index], Demand);
    if (!Room)
      continue;
    if (Before != m_reserved.end() &&
        Before->second.Worker == m_workers[Index].Id)
      Present = {Index, *Room};
    if (!Best || Room->At < Best->Room.At)
      Best = {Index, *Room};
  }
  if (!Best)
    return std::nullopt;
  if (Present && Present->Room.At < Best->Room.At + MinMoveGain)
    Best = Present;
  const std::string &Worker = m_workers[Best->Index].Id;
  if (Before == m_reserved.end()) {
    ++m_counts.Made;
    Before = m_reserved.emplace(Task, Reserved{Worker, Best->Room.At}).first;
  } else if (Before->second.Worker != Worker) {
    ++m_counts.Moved;
    Before->second.Worker = Worker;
  }
  Before->second.Round = m_round;
  m_isTaken[Best->Index] = true;
  ++m_inRound;
  return std::pair(Best->Index, Best->Room);
}

void RoomPlan::endRound() {
  std::erase_if(m_reserved, [this](const auto &Entry) {
    return Entry.second.Round != m_round;
  });
}

void RoomPlan::onStarted(const TaskName &Task, TimePoint Now) {
  auto It = m_reserved.find(Task);
  if (It == m_reserved.end())
    return;
  if (Now <= It->second.FirstAt + MetTolerance)
    ++m_counts.Met;
  else
    ++m_counts.Missed;
  m_reserved.erase(It);
}

BASILCHUTE_NAMESPACE_END
