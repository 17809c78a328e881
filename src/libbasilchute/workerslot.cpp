#include "libbasilchute/workerslot.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Part of a reservation that long-running tasks use on average; others use
/// all of theirs.
constexpr double LongRunningUse = 0.5;
/// Part of a measurement below what was expected that is taken to last.
constexpr double UnexplainedPart = 0.6;
constexpr double MostUnexplained = 0.8;

} // namespace

std::string_view runEndName(RunEnd End) {
  switch (End) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::Lapsed:
    return "lapsed";
  case RunEnd::Broken:
    return "broken";
  case RunEnd::Alone:
    return "alone";
  }
  return "unknown";
}

milliseconds HeldRun::overFor(TimePoint Now) const {
  if (!OverSince)
    return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(Now - *OverSince);
}

void WorkerSlot::setClock(milliseconds Clock, TimePoint Now) {
  m_clock = Clock;
  m_clockAt = Now;
}

milliseconds WorkerSlot::clockAt(TimePoint Now) const {
  return m_clock + std::chrono::duration_cast<milliseconds>(Now - m_clockAt);
}

Resources WorkerSlot::room() const {
  Resources Out = Entry.Capacity;
  for (const auto &[Key, Run] : Held)
    Out -= Run.Reserved;
  return Out;
}

Resources WorkerSlot::movableRoom() const {
  Resources Out = Entry.Capacity;
  for (const auto &[Key, Run] : Held)
    if (Run.LongRunning)
      Out -= Run.Reserved;
  return Out;
}

double WorkerSlot::reservedLoad() const {
  double Used = 0;
  for (const auto &[Key, Run] : Held)
    Used += (Run.LongRunning ? LongRunningUse : 1.0) *
            static_cast<double>(Run.Reserved.Millicores);
  return Used / millicores();
}

double WorkerSlot::load() const {
  double Used = 0;
  for (const auto &[Key, Run] : Held)
    Used += static_cast<double>(Run.FillMillicores);
  return reservedLoad() + Used / millicores();
}

double WorkerSlot::millicores() const {
  return static_cast<double>(std::max<int64_t>(Entry.Capacity.Millicores, 1));
}

int64_t WorkerSlot::usedMillicores() const {
  int64_t Out = 0;
  for (const auto &[Key, Run] : Held)
    if (Run.FillMillicores > 0)
      Out += Run.Usage;
  return Out;
}

size_t WorkerSlot::runsOverTarget() const {
  return static_cast<size_t>(
      std::count_if(Held.begin(), Held.end(), [](const auto &Each) {
        return Each.second.OverSince.has_value();
      }));
}

bool WorkerSlot::hasLabel(const std::string &Label) const {
  return Entry.hasLabel(Label);
}

void WorkerSlot::forgetLife() {
  Held.clear();
  SeenEnds = 0;
  StoredEnds = 0;
  NotedEnds = 0;
  Fenced = false;
  FailuresInARow = 0;
}

std::vector<ServingLoad> WorkerSlot::serving(const InterferenceModel &Model,
                                             TimePoint Now,
                                             milliseconds Ahead) const {
  std::vector<ServingLoad> Out;
  FillShares Shares = fillShares();
  for (const auto &[Key, Run] : Held) {
    if (Run.TailTarget.count() == 0)
      continue;
    ServingLoad Load{.Kind = Run.Kind,
                     .Headroom = Model.headroom(Run.Group, Now, Ahead),
                     .Over = Run.overFor(Now)};
    // What the model does not explain is this worker's own.
    if (Run.Percent == 100 && Run.Usage > 0) {
      double Measured = static_cast<double>(Run.TailTarget.count()) /
                        static_cast<double>(Run.Usage);
      double Off = Measured - Model.expected(Run.Kind, Run.Group, Now, Shares);
      Load.Headroom += std::clamp(Off * UnexplainedPart, -MostUnexplained, 0.0);
    }
    Out.push_back(Load);
  }
  return Out;
}

FillShares WorkerSlot::fillShares() const {
  FillShares Out;
  double Capacity = millicores();
  for (const auto &[Key, Run] : Held)
    if (Run.FillMillicores > 0)
      Out.push_back({Run.Kind, static_cast<double>(Run.Usage) / Capacity});
  return Out;
}

FillShares WorkerSlot::plannedShares() const {
  FillShares Out;
  double Capacity = millicores();
  for (const auto &[Key, Run] : Held)
    if (Run.FillMillicores > 0)
      Out.push_back({Run.Kind, static_cast<double>(Run.FillMillicores) *
                                   Run.Pace / 100 / Capacity});
  return Out;
}

BASILCHUTE_NAMESPACE_END
