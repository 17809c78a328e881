// Which new jobs a host accepts.

#include "libbasilchute/shardlayout.h"
#include "libbasilchute/workerfit.h"
#include "libjobhost/jobhost.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds AdmissionLogInterval{1000};

} // namespace

void JobHost::updateAdmission() {
  for (int Shard = 0; Shard < m_cluster.shards(); ++Shard)
    if (const ShardReport *Report = m_cluster.report(Shard))
      m_admission.setReport(Shard, Report->Epoch, m_cluster.reportNumber(Shard),
                            Report->Load, m_time.now());
}

JobMemoryState JobHost::jobMemory() const {
  JobMemoryState Out{.MaxBytes = m_cluster.leastJobBytes(),
                     .Hosts = m_cluster.liveHosts()};
  for (int Shard = 0; Shard < m_cluster.shards(); ++Shard) {
    auto Owned = m_ownedShards.find(Shard);
    if (Owned != m_ownedShards.end())
      Out.Bytes += Owned->second->jobBytes();
    else if (const ShardReport *Report = m_cluster.report(Shard))
      Out.Bytes += Report->Load.JobBytes;
  }
  return Out;
}

Status JobHost::checkRoom(const Job &Value) const {
  size_t Bytes = expectedBytes(Value);
  JobMemoryState Memory = jobMemory();
  if (JobMemory::isTooLarge(Bytes, Memory))
    return makeError(
        ResultCode::TooLarge,
        fmt::format("the job needs {} bytes of memory, too much for hosts that "
                    "have {} for all jobs",
                    Bytes, Memory.MaxBytes));
  Status HasWorkers = checkWorkers(Value);
  return HasWorkers.has_value() ? checkGangs(Value) : HasWorkers;
}

// Workers that are away for a while, or that this process has not seen yet, may
// come back. A job that is accepted waits for them.
Status JobHost::checkWorkers(const Job &Value) const {
  auto Queue = m_queues->find(Value.Queue);
  const ShardLayout *Layout = m_cluster.layout();
  if (Queue == m_queues->end() || !Layout)
    return okStatus();
  std::optional<size_t> Unfit =
      firstUnfitStep(Value, Queue->second.Service, [&](const auto &Test) {
        return Layout->anyKnownWorker(Test);
      });
  if (!Unfit || Layout->mayMissWorkers())
    return okStatus();
  const JobStep &Step = Value.Steps[*Unfit];
  return makeError(
      ResultCode::NeverFits,
      fmt::format("steps[{}]: no worker of {} that is there, or was within the "
                  "last 10 minutes, has {:.1f} cores, {} MiB, {} accelerators "
                  "and the label \"{}\"",
                  *Unfit, Queue->second.Service,
                  static_cast<double>(Step.reservation().Millicores) / 1000,
                  Step.Demand.MemoryMib, Step.Demand.Accelerators,
                  Step.RequiredLabel));
}

std::optional<Refusal> JobHost::checkLoad(const Job &Value,
                                          const AdmissionDemand &Demand) {
  if (!m_options.RefusesJobs)
    return std::nullopt;
  updateAdmission();
  std::vector<int> Shards;
  for (int Shard = 0; Shard < m_cluster.shards(); ++Shard)
    if (canRun(Shard, Value))
      Shards.push_back(Shard);
  return m_admission.check(Demand, Shards, m_cluster.liveHosts(), m_time.now());
}

Status JobHost::admit(const Job &Value) {
  auto Queue = m_queues->find(Value.Queue);
  if (Queue == m_queues->end())
    return okStatus();
  AdmissionDemand Demand = admissionDemandOf(Value, Queue->second);
  TimePoint Now = m_time.now();
  size_t Bytes = expectedBytes(Value);
  std::optional<Refusal> Refused =
      m_jobMemory.check(Value.Id, Bytes, jobMemory(), Now);
  if (!Refused)
    Refused = checkLoad(Value, Demand);
  if (!Refused) {
    m_jobMemory.recordAccepted(Bytes, Now);
    if (m_options.RefusesJobs)
      m_admission.recordAccepted(Demand, Now);
    return okStatus();
  }
  m_admission.recordRefused(Demand, *Refused);
  if (m_options.Log && m_refusalLines.take(Now))
    m_options.Log("job_refused",
                  fmt::format("job={} queue={} reason={} retry_after_s={} {}{}",
                              Value.Id, Value.Queue, Refused->Reason,
                              Refused->RetryAfter.count(), Refused->Fields,
                              m_refusalLines.leftOutField()));
  return Error{.Code = ResultCode::Overloaded,
               .Message = fmt::format("no room for the job at present ({})",
                                      Refused->Reason),
               .RetryAfter = Refused->RetryAfter};
}

std::map<std::pair<int, std::string>, double> JobHost::queueShares() const {
  std::map<std::pair<int, std::string>, double> Out;
  for (const auto &[Shard, Owner] : m_ownedShards)
    for (const auto &[Queue, Share] : Owner->queueShares())
      Out[{Shard, Queue}] = Share;
  return Out;
}

void JobHost::logAdmission() {
  if (m_time.now() < m_nextAdmissionLog || m_ownedShards.empty() ||
      !m_options.Log)
    return;
  m_nextAdmissionLog = m_time.now() + AdmissionLogInterval;
  std::string Shares;
  for (const auto &[Key, Share] : queueShares())
    Shares += fmt::format(" share_{}_{}={:.3f}", Key.first, Key.second, Share);
  uint64_t Refused = 0;
  for (const auto &[Key, Count] : m_admission.refusals())
    Refused += Count;
  m_options.Log("admission_state",
                fmt::format("finite_room_cores={} refused={}{}",
                            m_admission.roomForFiniteWork() / 1000, Refused,
                            Shares));
}

uint64_t JobHost::knownVersion() const {
  uint64_t Out = 0;
  for (int Shard = 0; Shard < m_cluster.shards(); ++Shard)
    Out = std::max(Out, m_cluster.reportNumber(Shard));
  return Out;
}

BASILCHUTE_NAMESPACE_END
