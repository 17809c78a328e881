#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds TransferPause{250};
/// A job that has waited for this long may do better in another shard.
constexpr milliseconds TransferAfter{400};
/// Jobs that are older stay, so that none is handed to and fro.
constexpr milliseconds TransferUntil{8000};
/// Jobs of one transfer; each takes seven rows of a commit.
constexpr size_t MostTransfers = 12;
/// Jobs that are asked about at a time.
constexpr size_t MostAsked = 24;

} // namespace

// What could be added on all workers until serving tasks come near their
// targets.
int64_t JobShard::Impl::fillRoom(const std::vector<Spot> &Spots,
                                 TaskKind Kind) const {
  double Out = 0;
  for (const Spot &Each : Spots) {
    double Share = std::max(0.0, MostFillLoad - Each.Load);
    for (const ServingLoad &On : Each.Serving) {
      double Slope = m_harm.slope(On.Kind, Kind);
      if (Slope > 0)
        Share =
            std::min(Share, std::max(0.0, On.Headroom - LeastHeadroom) / Slope);
    }
    Out += Share * static_cast<double>(Each.Slot->Entry.Capacity.Millicores);
  }
  return static_cast<int64_t>(Out);
}

void JobShard::Impl::addFillLoad(ShardLoad &To) {
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Of = m_jobs.at(Id);
    for (int Position : Positions)
      if (Of.stepOf(Position).Fills)
        To.FillWaiting += Of.stepOf(Position).Demand.Millicores;
  }
  std::vector<Spot> Spots = spots();
  for (const auto &[Image, Kind] : m_kinds)
    if (m_fillKinds.count(Kind))
      To.FillRoom[Image] = fillRoom(Spots, Kind);
}

ShardLoad JobShard::Impl::load() {
  ShardLoad Out;
  addFillLoad(Out);
  for (const auto &[Id, Slot] : m_slots)
    if (Slot.Listed && !Slot.Entry.Draining && Slot.MissedLooks == 0)
      Out.Capacity += Slot.Entry.Capacity.Millicores;
  for (const auto &[Id, Entry] : m_jobs) {
    if (isFinal(Entry.State))
      continue;
    if (!Entry.Spec.Steps.front().LongRunning) {
      Out.Backlog += Entry.workLeft();
      continue;
    }
    for (const JobStep &Step : Entry.Spec.Steps)
      Out.Lasting += Step.Count * Step.Demand.Millicores;
  }
  return Out;
}

// Only a job of which nothing runs or may run: that stays with the workers of
// the shard, and another shard's owner could not see it.
bool JobShard::Impl::mayTransfer(const JobEntry &Of) const {
  TimePoint Now = m_time.now();
  if (isFinal(Of.State) || Of.Moving || m_dirty.count(Of.Spec.Id) ||
      Of.Spec.Repetitions > 0 || Of.hasPlaced())
    return false;
  // What no worker here can run has nowhere else to go, however old it is.
  bool Young = Now < Of.Seen + TransferUntil;
  if (Now < Of.Seen + TransferAfter || (!Young && hasWorkers()))
    return false;
  // A run that only the former owner knew of is over by then.
  if (!isOwn(Of) && Now < writtenOffAt())
    return false;
  return !Of.hasStarted() || !holdsRunOf(Of);
}

bool JobShard::Impl::hasWorkers() const {
  return std::any_of(m_slots.begin(), m_slots.end(),
                     [](const auto &Each) { return Each.second.Listed; });
}

bool JobShard::Impl::holdsRunOf(const JobEntry &Of) const {
  return std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &Slot) {
    const auto &Held = Slot.second.Held;
    return std::any_of(Held.begin(), Held.end(), [&](const auto &Each) {
      return Each.first.first.Job == Of.Spec.Id;
    });
  });
}

// Long-running jobs first, which no room will come free for; then what would be
// served last here.
std::vector<std::string> JobShard::Impl::transferable() const {
  std::vector<std::pair<Rank, std::string>> Found;
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Of = m_jobs.at(Id);
    if (!mayTransfer(Of))
      continue;
    if (Of.Spec.Steps.front().LongRunning)
      Found.push_back({{-1, 0, 0, 0, 0}, Id});
    else if (latenessOf(Of) == 0 || !hasWorkers())
      Found.push_back({{0, 0, 0, 0, -std::get<4>(rankOf(Of))}, Id});
  }
  std::sort(Found.begin(), Found.end());
  std::vector<std::string> Out;
  for (const auto &[Order, Id] : Found)
    if (Out.size() < MostAsked)
      Out.push_back(Id);
  return Out;
}

void JobShard::Impl::transfer() {
  TimePoint Now = m_time.now();
  if (!m_options.Elsewhere || Now < m_nextTransfer || m_committing ||
      !mayAct() || !isSettled())
    return;
  m_nextTransfer = Now + TransferPause;
  std::map<std::string, int> Moves;
  for (const std::string &Id : transferable()) {
    JobEntry &Of = *find(Id);
    int To = m_options.Elsewhere(Of.Spec);
    Of.AskedAt = Now;
    Of.HasBetter = To >= 0;
    if (To >= 0 && To != m_options.Shard)
      Moves.emplace(Id, To);
    if (Moves.size() == MostTransfers)
      break;
  }
  if (!Moves.empty())
    sendTransfer(Moves);
}

void JobShard::Impl::sendTransfer(const std::map<std::string, int> &Moves) {
  RowCommit Commit;
  Commit.Conditions.push_back(
      {.Place = shardOwnerPlace(m_options.Shard), .Version = m_options.Epoch});
  for (const auto &[Id, To] : Moves) {
    JobEntry &Of = *find(Id);
    Of.Moving = true;
    m_waiting.erase(Id);
    RowPlace Progress = progressPlace(m_options.Shard, Id);
    Job Moved = Of.Spec;
    Moved.Waited =
        std::chrono::duration_cast<milliseconds>(m_time.now() - Of.Seen);
    Moved.Begun = Of.hasStarted();
    // A cancellation belongs to the shard where it was written.
    Commit.Conditions.push_back({.Place = cancelPlace(m_options.Shard, Id)});
    Commit.Conditions.push_back({.Place = Progress, .Version = Of.RowVersion});
    Commit.Changes.push_back({.Place = Progress, .Remove = true});
    Commit.Changes.push_back(
        {.Place = jobPlace(m_options.Shard, Id), .Remove = true});
    Commit.Changes.push_back(
        {.Place = jobPlace(To, Id), .Value = encodeJob(Moved)});
    Commit.Changes.push_back({.Place = progressPlace(To, Id),
                              .Value = encodeProgress(Of.progress())});
    Commit.Changes.push_back(
        {.Place = indexPlace(Id), .Value = encodeJobIndex(To)});
  }
  m_committing = true;
  m_store.commit(std::move(Commit),
                 [Weak = weak_from_this(), Moves](Result<uint64_t> Answer) {
                   if (auto Self = Weak.lock())
                     Self->onTransferred(Moves, std::move(Answer));
                 });
}

void JobShard::Impl::onTransferred(const std::map<std::string, int> &Moves,
                                   Result<uint64_t> Answer) {
  m_committing = false;
  if (Answer.has_value()) {
    for (const auto &[Id, To] : Moves) {
      log("job_moved",
          fmt::format("job={} from={} to={}", Id, m_options.Shard, To));
      forgetJob(Id, Answer.value());
    }
    m_counts.Transfers += Moves.size();
    return;
  }
  ResultCode Why = Answer.error().Code;
  bool NotDone =
      Why == ResultCode::Unavailable || Why == ResultCode::Overloaded;
  for (const auto &[Id, To] : Moves) {
    JobEntry &Of = *find(Id);
    if (NotDone) {
      Of.Moving = false;
      queueReady(Of);
      continue;
    }
    // Nothing is started until a commit of the job's progress succeeds: after
    // that the transfer cannot take effect any more.
    markDirty(Of);
  }
  log("transfer_failed",
      fmt::format("shard={} jobs={} result={} message=\"{}\"", m_options.Shard,
                  Moves.size(), resultCodeName(Why), Answer.error().Message));
  if (Why == ResultCode::Conflict)
    recheck();
}

void JobShard::Impl::forgetJob(const std::string &Id, uint64_t Version) {
  JobEntry &Of = *find(Id);
  for (int Group : Of.Groups)
    m_harm.forget(Group);
  m_approvals.forget(Id);
  m_waiting.erase(Id);
  m_dirty.erase(Id);
  m_movedAway[Id] = Version;
  m_jobs.erase(Id);
}

// A job that had begun elsewhere: how far it is, its progress row tells.
void JobShard::Impl::adoptJob(const Job &Spec, uint64_t JobVersion) {
  RowPlace Place = progressPlace(m_options.Shard, Spec.Id);
  RowRange Range{.Table = Place.Table,
                 .Part = Place.Part,
                 .From = Place.Key,
                 .To = Place.Key + '\x01'};
  m_store.read(Range, [Weak = weak_from_this(), Spec,
                       JobVersion](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self || Self->m_lost || Self->m_jobs.count(Spec.Id))
      return;
    if (!Answer.has_value()) {
      Self->adoptJob(Spec, JobVersion);
      return;
    }
    // It has moved on already.
    if (Answer.value().Rows.empty())
      return;
    Self->addStored(Spec, Answer.value().Rows.front());
    if (JobEntry *Added = Self->find(Spec.Id))
      Added->JobVersion = JobVersion;
  });
}

// A reading that began before the job moved away may still bring its row.
bool JobShard::Impl::hasMovedAway(const std::string &Id, uint64_t Version) {
  auto Found = m_movedAway.find(Id);
  if (Found == m_movedAway.end())
    return false;
  if (Version <= Found->second)
    return true;
  m_movedAway.erase(Found);
  return false;
}

BASILCHUTE_NAMESPACE_END
