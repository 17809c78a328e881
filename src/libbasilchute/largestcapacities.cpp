#include "libbasilchute/largestcapacities.h"

#include "basilchute/limits.h"
#include "libbasilchute/jobrows.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <optional>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Capacity of a worker that was never listed with any: it has shrunk before it
/// was first seen, and nothing tells from what.
constexpr Resources UnknownCapacity{.Millicores = MaxMillicores,
                                    .MemoryMib = MaxMemoryMib,
                                    .Accelerators = MaxAccelerators};
/// Time after which any host stores what the first one has not stored.
constexpr milliseconds OthersStoreAfter{3000};
constexpr milliseconds RetryDelay{500};
constexpr size_t MaxCapacitiesPerCommit = MaxRowsPerCommit / 2;

// A worker with other labels is another kind of worker.
std::string hashOf(const std::vector<std::string> &Labels) {
  std::string Bytes = fmt::format("{}", fmt::join(Labels, "\n"));
  return fmt::format("{:x}", XXH64(Bytes.data(), Bytes.size(), 0));
}

std::string encodeCapacity(const Resources &Capacity,
                           const std::string &Labels) {
  return fmt::format("{} {} {} {}", Capacity.Millicores, Capacity.MemoryMib,
                     Capacity.Accelerators, Labels);
}

/// Returns the capacity and the labels' hash, or std::nullopt if \p Value has
/// none that a worker can have.
std::optional<std::pair<Resources, std::string>>
decodeCapacity(const std::string &Value) {
  const char *Next = Value.data();
  const char *Last = Next + Value.size();
  constexpr std::array<int64_t, 3> Max = {MaxMillicores, MaxMemoryMib,
                                          MaxAccelerators};
  std::array<int64_t, 3> Numbers{};
  for (size_t Index = 0; Index < Numbers.size(); ++Index) {
    auto [End, ErrorCode] = std::from_chars(Next, Last, Numbers[Index]);
    bool IsValid = ErrorCode == std::errc() && End != Last && *End == ' ' &&
                   Numbers[Index] >= 0 && Numbers[Index] <= Max[Index];
    if (!IsValid)
      return std::nullopt;
    Next = End + 1;
  }
  return std::pair(Resources{.Millicores = Numbers[0],
                             .MemoryMib = Numbers[1],
                             .Accelerators = Numbers[2]},
                   std::string(Next, Last));
}

} // namespace

LargestCapacities::LargestCapacities(LargestCapacitiesOptions Options,
                                     RowStore &Store, const Clock &Time)
    : m_options(std::move(Options)), m_store(Store), m_time(Time) {}

void LargestCapacities::log(std::string_view Event,
                            std::string_view Fields) const {
  if (m_options.Log)
    m_options.Log(Event, Fields);
}

void LargestCapacities::enlarge(KnownWorker &Worker) const {
  auto Stored = m_stored.find(Worker.Largest.Id);
  if (Stored != m_stored.end() &&
      Stored->second.Labels == hashOf(Worker.Largest.Labels))
    Worker.Largest.Capacity =
        larger(Worker.Largest.Capacity, Stored->second.Capacity);
}

void LargestCapacities::setFleet(const std::vector<WorkerEntry> &Fleet) {
  TimePoint Now = m_time.now();
  for (auto &[Id, Worker] : m_workers) {
    if (Worker.IsListed)
      Worker.LeftAt = Now;
    Worker.IsListed = false;
  }
  for (const WorkerEntry &Entry : Fleet) {
    KnownWorker &Worker = m_workers[Entry.Id];
    Resources Capacity = Entry.Capacity;
    if (Worker.Largest.Labels == Entry.Labels)
      Capacity = larger(Capacity, Worker.Largest.Capacity);
    Worker.Largest = Entry;
    Worker.Largest.Capacity = Capacity;
    Worker.Current = Entry.Capacity;
    Worker.IsListed = true;
    enlarge(Worker);
    if (!isMissing(Worker))
      Worker.MissingSince = Now;
  }
  std::erase_if(m_workers, [Now](const auto &Worker) {
    return !Worker.second.IsListed && Now > Worker.second.LeftAt + Retention;
  });
}

bool LargestCapacities::onRow(const StoredRow &Row) {
  const std::string &Id = Row.Address.Key;
  if (Row.Address != largestCapacityAddress(Id))
    return false;
  auto Known = m_stored.find(Id);
  if (Known != m_stored.end() && Row.Version <= Known->second.Version)
    return false;
  if (Row.IsRemoved) {
    m_stored.erase(Id);
    return false;
  }
  StoredCapacity &Stored = m_stored[Id];
  Stored = {.Version = Row.Version, .UsedAt = m_time.now()};
  if (auto Decoded = decodeCapacity(Row.Value))
    std::tie(Stored.Capacity, Stored.Labels) = std::move(*Decoded);
  else
    log("bad_row", fmt::format("table={} key={} message=\"the row holds no "
                               "capacity\"",
                               Row.Address.Table, Id));
  auto Worker = m_workers.find(Id);
  if (Worker != m_workers.end())
    enlarge(Worker->second);
  return true;
}

WorkerEntry LargestCapacities::largest(const KnownWorker &Worker) {
  WorkerEntry Out = Worker.Largest;
  if (!Out.hasCapacity())
    Out.Capacity = UnknownCapacity;
  return Out;
}

std::vector<WorkerEntry> LargestCapacities::workers() const {
  std::vector<WorkerEntry> Out;
  if (!m_isComplete)
    return Out;
  for (const auto &[Id, Worker] : m_workers)
    if (Worker.IsListed)
      Out.push_back(largest(Worker));
  return Out;
}

bool LargestCapacities::anyKnown(
    const std::function<bool(const WorkerEntry &)> &Test) const {
  TimePoint Now = m_time.now();
  return std::any_of(
      m_workers.begin(), m_workers.end(), [&](const auto &Known) {
        const KnownWorker &Worker = Known.second;
        if (!Worker.IsListed && Now > Worker.LeftAt + Retention)
          return false;
        return Worker.Largest.hasCapacity() ? Test(Worker.Largest)
                                            : Test(largest(Worker));
      });
}

bool LargestCapacities::isMissing(const KnownWorker &Worker) const {
  if (!Worker.IsListed || Worker.Current == Worker.Largest.Capacity)
    return false;
  auto Stored = m_stored.find(Worker.Largest.Id);
  return Stored == m_stored.end() ||
         Stored->second.Capacity != Worker.Largest.Capacity ||
         Stored->second.Labels != hashOf(Worker.Largest.Labels);
}

bool LargestCapacities::isOutdated(const std::string &Id,
                                   const StoredCapacity &Stored) const {
  return !m_workers.empty() && !m_workers.contains(Id) &&
         m_time.now() > Stored.UsedAt + Retention;
}

void LargestCapacities::store(bool IsManager) {
  TimePoint Now = m_time.now();
  if (!m_isComplete || m_isWriting || Now < m_notBefore)
    return;
  RowCommit Commit;
  std::vector<StoredRow> Rows;
  auto AddRow = [&](const std::string &Id, const std::string &Value) {
    auto Stored = m_stored.find(Id);
    uint64_t Version = Stored == m_stored.end() ? 0 : Stored->second.Version;
    RowAddress Address = largestCapacityAddress(Id);
    Commit.Conditions.push_back({.Address = Address, .Version = Version});
    Commit.Changes.push_back(
        {.Address = Address, .Value = Value, .IsRemoval = Value.empty()});
    Rows.push_back(
        {.Address = Address, .Value = Value, .IsRemoved = Value.empty()});
  };
  for (const auto &[Id, Worker] : m_workers)
    if (Rows.size() < MaxCapacitiesPerCommit && isMissing(Worker) &&
        (IsManager || Now > Worker.MissingSince + OthersStoreAfter))
      AddRow(Id, encodeCapacity(Worker.Largest.Capacity,
                                hashOf(Worker.Largest.Labels)));
  for (const auto &[Id, Stored] : m_stored)
    if (Rows.size() < MaxCapacitiesPerCommit && IsManager &&
        isOutdated(Id, Stored))
      AddRow(Id, "");
  if (Rows.empty())
    return;
  m_isWriting = true;
  m_store.commit(std::move(Commit),
                 [Weak = weak_from_this(),
                  Rows = std::move(Rows)](const Result<uint64_t> &Reply) {
                   if (auto Self = Weak.lock())
                     Self->onStored(Rows, Reply);
                 });
}

// After a conflict or a lost answer the table's feed shows what is stored.
void LargestCapacities::onStored(const std::vector<StoredRow> &Rows,
                                 const Result<uint64_t> &Reply) {
  m_isWriting = false;
  if (!Reply.has_value()) {
    m_notBefore = m_time.now() + RetryDelay;
    return;
  }
  for (StoredRow Row : Rows) {
    Row.Version = Reply.value();
    onRow(Row);
  }
}

BASILCHUTE_NAMESPACE_END
