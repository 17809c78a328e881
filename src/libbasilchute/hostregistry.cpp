#include "libbasilchute/hostregistry.h"

#include "basilchute/hostcluster.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Longer than any host goes on with orders after the last change of its row.
constexpr milliseconds RemovedRetention{15000};

} // namespace

HostRegistry::HostRegistry(HostRegistryOptions Options, RowStore &Store,
                           const Clock &Time)
    : m_options(std::move(Options)), m_store(Store), m_time(Time) {}

void HostRegistry::log(std::string_view Event, std::string_view Fields) const {
  if (m_options.Log)
    m_options.Log(Event, Fields);
}

void HostRegistry::tick(bool IsIdle) {
  if (m_isReading)
    return;
  m_interval = IsIdle && !isAnyOwnerSilent() ? m_options.IdleReadInterval
                                             : m_options.ReadInterval;
  if (m_lastSent == TimePoint{} || m_time.now() >= m_lastSent + m_interval)
    read("");
}

// An owner renews its row between two reads at the longer interval.
bool HostRegistry::isAnyOwnerSilent() const {
  return std::any_of(m_hosts.begin(), m_hosts.end(), [this](const auto &Host) {
    return !Host.second.Record.Shards.empty() &&
           Host.second.UnchangedReads > 1 && isAlive(Host.second);
  });
}

const HostRecord *HostRegistry::findLive(const std::string &Id) const {
  auto It = m_hosts.find(Id);
  return It != m_hosts.end() && isAlive(It->second) ? &It->second.Record
                                                    : nullptr;
}

std::vector<PlanHost> HostRegistry::liveHosts() const {
  std::vector<PlanHost> Out;
  for (const auto &[Id, Host] : m_hosts)
    if (isAlive(Host))
      Out.push_back({.Id = Id,
                     .Weight = Host.Record.Weight,
                     .RenewalCount = Host.Record.RenewalCount,
                     .IsLeaving = Host.Record.IsLeaving});
  return Out;
}

size_t HostRegistry::leastJobBytes(size_t Own) const {
  size_t Out = Own;
  for (const auto &[Id, Host] : m_hosts)
    if (size_t Max = Host.Record.MaxJobBytes)
      Out = Out == 0 ? Max : std::min(Out, Max);
  return Out;
}

uint64_t HostRegistry::rowVersion(const std::string &Id) const {
  auto Refused = m_refused.find(Id);
  if (Refused != m_refused.end())
    return Refused->second;
  auto It = m_hosts.find(Id);
  return It == m_hosts.end() ? 0 : It->second.Version;
}

std::optional<TimePoint> HostRegistry::lastChange(const std::string &Id) const {
  auto It = m_hosts.find(Id);
  if (It == m_hosts.end() || m_refused.count(Id))
    return std::nullopt;
  return It->second.ChangedAt;
}

// A row of a host whose process has ended stays in the table for ever if the
// host does not come back.
bool HostRegistry::haveBoundedLeases(TimePoint Since) const {
  return m_refused.empty() &&
         std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &Host) {
           return Host.second.Record.BoundsLeases ||
                  Host.second.ChangedAt < Since;
         });
}

bool HostRegistry::haveStoredEvidence(TimePoint Since) const {
  auto IsStored = [&](const auto &Host) {
    return Host.first == m_options.HostId ||
           Host.second.Record.HasStoredEvidence ||
           Host.second.ChangedAt < Since;
  };
  return m_refused.empty() &&
         std::all_of(m_hosts.begin(), m_hosts.end(), IsStored) &&
         std::all_of(m_removed.begin(), m_removed.end(), IsStored);
}

uint32_t HostRegistry::fewestWorkers(int Shard, TimePoint Since) const {
  uint32_t Out = std::numeric_limits<uint32_t>::max();
  for (const auto *Hosts : {&m_hosts, &m_removed})
    for (const auto &[Id, Host] : *Hosts) {
      auto Report = Host.Record.Shards.find(Shard);
      if (Id != m_options.HostId && Host.ChangedAt >= Since &&
          Report != Host.Record.Shards.end())
        Out = std::min(Out, Report->second.Workers);
    }
  return Out;
}

void HostRegistry::remove(const std::string &Id) {
  auto It = m_hosts.find(Id);
  if (It == m_hosts.end())
    return;
  It->second.ChangedAt = m_time.now();
  m_removed[Id] = std::move(It->second);
  m_hosts.erase(It);
}

void HostRegistry::read(const std::string &From) {
  m_isReading = true;
  m_lastSent = m_time.now();
  if (From.empty())
    m_present.clear();
  m_store.read({.Table = HostTable, .Partition = "", .From = From},
               [Weak = weak_from_this()](Result<RowPage> Reply) {
                 auto Self = Weak.lock();
                 if (!Self)
                   return;
                 if (!Reply.has_value()) {
                   Self->m_isReading = false;
                   return;
                 }
                 for (const StoredRow &Row : Reply.value().Rows)
                   Self->onRow(Row);
                 if (Reply.value().HasMore && !Reply.value().Rows.empty()) {
                   Self->read(Reply.value().Rows.back().Address.Key + '\x01');
                   return;
                 }
                 Self->m_isReading = false;
                 Self->onRead();
               });
}

void HostRegistry::onRow(const StoredRow &Row) {
  const std::string &Id = Row.Address.Key;
  m_present.insert(Id);
  Result<HostRecord> Record = decodeHost(Row.Value);
  if (!Record.has_value()) {
    uint64_t &LoggedVersion = m_refused[Id];
    if (LoggedVersion == Row.Version)
      return;
    LoggedVersion = Row.Version;
    log("bad_row", fmt::format("table={} key={} message=\"{}\"", HostTable, Id,
                               Record.error().Message));
    return;
  }
  m_refused.erase(Id);
  m_removed.erase(Id);
  ObservedHost &Host = m_hosts[Id];
  if (Host.Version == Row.Version)
    return;
  bool IsNew = Host.Version == 0;
  Host.Record = Record.value();
  Host.Version = Row.Version;
  Host.ChangedAt = m_time.now();
  Host.UnchangedReads = 0;
  Host.OutpacedReads = 0;
  if (IsNew)
    log("host_seen", fmt::format("host={} weight={}", Id, Host.Record.Weight));
}

void HostRegistry::onRead() {
  TimePoint Now = m_time.now();
  // No host can renew its row while the store is unavailable. After a gap in
  // the reads all hosts therefore get the full timeout again.
  bool HadGap = Now > m_lastRead + std::max(m_interval, m_lastInterval) * 2;
  nanoseconds Gap = Now - std::exchange(m_lastRead, Now);
  nanoseconds LastGap = std::exchange(m_lastGap, Gap);
  bool HasHung = HadGap && Gap > LastGap * 2;
  m_lastInterval = m_interval;
  uint64_t OwnVersion = rowVersion(m_options.HostId);
  bool IsOwnRenewed = std::exchange(m_ownVersion, OwnVersion) != OwnVersion;
  std::erase_if(m_refused, [this](const auto &Row) {
    return !m_present.count(Row.first);
  });
  for (auto It = m_hosts.begin(); It != m_hosts.end();) {
    ObservedHost &Host = It->second;
    if (!m_present.count(It->first)) {
      remove((It++)->first);
      continue;
    }
    if (HasHung)
      Host.OutpacedReads = 0;
    observe(Host, HadGap, IsOwnRenewed);
    ++It;
  }
  std::erase_if(m_removed, [&](const auto &Host) {
    return Now > Host.second.ChangedAt + RemovedRetention;
  });
  if (m_reads == 0)
    removeFormerProcesses();
  ++m_reads;
  if (m_options.OnRead)
    m_options.OnRead();
}

// Reads of a store that stays slow are all far apart, so that the timeout would
// begin anew with each of them. As long as each shows a renewal of this host,
// others could have renewed their rows as well. A read that takes much longer
// than the one before begins the timeout anew.
void HostRegistry::observe(ObservedHost &Host, bool HadGap, bool IsOwnRenewed) {
  TimePoint Now = m_time.now();
  bool IsUnchanged = Host.UnchangedReads > 0;
  if (!IsUnchanged || (HadGap && !IsOwnRenewed))
    Host.OutpacedReads = 0;
  else if (IsOwnRenewed && Host.OutpacedReads++ == 0)
    Host.OutpacedSince = Now;
  if (HadGap) {
    Host.ChangedAt = Now;
    Host.UnchangedReads = 0;
  }
  ++Host.UnchangedReads;
}

// Earlier processes of this host are certainly dead. Once their rows are
// removed, other hosts need not wait for the timeout.
void HostRegistry::removeFormerProcesses() {
  for (auto It = m_hosts.begin(); It != m_hosts.end();) {
    const std::string &Id = It->first;
    if (Id == m_options.HostId ||
        !Id.starts_with(m_options.HostName + HostIdSeparator)) {
      ++It;
      continue;
    }
    log("former_self_removed", fmt::format("host={}", Id));
    RowCommit Commit;
    Commit.Changes.push_back({.Address = hostAddress(Id), .IsRemoval = true});
    m_store.commit(std::move(Commit), [](const Result<uint64_t> &) {});
    remove((It++)->first);
  }
}

milliseconds HostRegistry::timeoutOf(const ObservedHost &Host) const {
  milliseconds Extra = std::max(milliseconds(0), Host.Record.RenewInterval -
                                                     m_options.ReadInterval);
  return m_options.Timeout + Extra;
}

bool HostRegistry::isOutpaced(const ObservedHost &Host) const {
  return Host.OutpacedReads >= MinUnchangedReads &&
         m_time.now() >= Host.OutpacedSince + timeoutOf(Host);
}

bool HostRegistry::isAlive(const ObservedHost &Host) const {
  if (isOutpaced(Host))
    return false;
  return m_time.now() < Host.ChangedAt + timeoutOf(Host) ||
         Host.UnchangedReads < MinUnchangedReads;
}

BASILCHUTE_NAMESPACE_END
