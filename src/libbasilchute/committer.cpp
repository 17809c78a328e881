#include "basilchute/committer.h"

#include <deque>
#include <fmt/format.h>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Writes of one caller that take effect together.
struct Unit {
  std::vector<Write> Writes;
  Committer::Done Finished;
  /// True if an earlier transaction with these writes had an unknown outcome.
  bool MaybeApplied = false;
  /// True if the unit must be sent in a transaction of its own.
  bool Alone = false;
  TimePoint QueuedAt;
};

} // namespace

class Committer::Impl : public std::enable_shared_from_this<Committer::Impl> {
public:
  Impl(CommitterOptions Options, TableStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time) {}

  void commit(std::vector<Write> Writes, Done Finished) {
    for (Write &Each : Writes)
      Each.Writer = fmt::format("{}.{}", m_options.WriterId, ++m_lastToken);
    m_queue.push_back(Unit{.Writes = std::move(Writes),
                           .Finished = std::move(Finished),
                           .QueuedAt = m_time.now()});
  }

  void tick() {
    if (!m_flight.empty() || m_queue.empty())
      return;
    TimePoint Now = m_time.now();
    if (Now < m_notBefore)
      return;
    if (Now < m_queue.front().QueuedAt + m_options.Window &&
        m_queue.size() < m_options.MaxWrites)
      return;
    takeBatch();
    send();
  }

  bool idle() const { return m_queue.empty() && m_flight.empty(); }
  uint64_t transactions() const { return m_transactions; }

private:
  void takeBatch() {
    size_t Size = 0;
    while (!m_queue.empty()) {
      Unit &Next = m_queue.front();
      bool Full = Size + Next.Writes.size() > m_options.MaxWrites;
      if (!m_flight.empty() && (Full || Next.Alone))
        return;
      bool Alone = Next.Alone;
      Size += Next.Writes.size();
      m_flight.push_back(std::move(Next));
      m_queue.pop_front();
      if (Alone)
        return;
    }
  }

  void send() {
    Transaction Tx;
    for (const Unit &Each : m_flight)
      Tx.Writes.insert(Tx.Writes.end(), Each.Writes.begin(), Each.Writes.end());
    if (m_options.Fence)
      Tx.Checks.push_back(*m_options.Fence);
    ++m_transactions;
    m_store.commit(std::move(Tx),
                   [Self = weak_from_this()](Result<uint64_t> Reply) {
                     if (auto Live = Self.lock())
                       Live->onReply(std::move(Reply));
                   });
  }

  void onReply(Result<uint64_t> Reply) {
    if (Reply.has_value())
      return finishAll(Reply.value());
    switch (Reply.error().Code) {
    case ResultCode::Conflict:
      return onConflict(Reply.error());
    case ResultCode::OutcomeUnknown:
      return readBack();
    default:
      return requeue(m_options.RetryPause);
    }
  }

  void finishAll(uint64_t Version) {
    m_conflict.reset();
    std::vector<Unit> Finished = std::move(m_flight);
    m_flight.clear();
    for (Unit &Each : Finished)
      Each.Finished(Version);
  }

  void failAll(const Error &Why) {
    std::vector<Unit> Failed = std::move(m_flight);
    m_flight.clear();
    for (Unit &Each : Failed)
      Each.Finished(Why);
  }

  // A conflict of several units says nothing of each, so each goes alone.
  void onConflict(const Error &Why) {
    if (m_flight.size() > 1)
      return requeueAlone(milliseconds(0));
    if (!m_flight.front().MaybeApplied)
      return failConflict(Why);
    m_conflict = Why;
    readBack();
  }

  void failConflict(const Error &Why) {
    bool Fenced = m_options.Fence &&
                  Why.Message.find(m_options.Fence->Key) != std::string::npos;
    if (Fenced)
      return failAll(makeError(ResultCode::StaleEpoch, Why.Message));
    failAll(Why);
  }

  // Units of one transaction took effect together, so one row tells of all.
  void readBack() {
    for (Unit &Each : m_flight)
      Each.MaybeApplied = true;
    const Write &Probe = probeOf(m_flight.front());
    m_store.get(Probe.Key,
                [Self = weak_from_this()](Result<std::optional<Row>> Reply) {
                  if (auto Live = Self.lock())
                    Live->onReadBack(std::move(Reply));
                });
  }

  // A written row carries its token; a removed one can only be absent.
  static const Write &probeOf(const Unit &Of) {
    for (const Write &Each : Of.Writes)
      if (!Each.Remove)
        return Each;
    return Of.Writes.front();
  }

  void onReadBack(Result<std::optional<Row>> Reply) {
    if (!Reply.has_value())
      return requeueAlone(m_options.RetryPause);
    const Write &Probe = probeOf(m_flight.front());
    const std::optional<Row> &Found = Reply.value();
    if (Found && !Probe.Remove && Found->Writer == Probe.Writer)
      return finishAll(Found->Version);
    if (!Found && Probe.Remove)
      return finishAll(0);
    if (m_conflict) {
      Error Why = *std::exchange(m_conflict, std::nullopt);
      return failConflict(Why);
    }
    bool Unchanged = (Found ? Found->Version : 0) == Probe.ExpectedVersion;
    if (m_flight.size() > 1 || Unchanged)
      return requeueAlone(m_options.RetryPause);
    failAll(makeError(ResultCode::Conflict,
                      fmt::format("row \"{}\" was changed", Probe.Key)));
  }

  // What may have been applied must not share a transaction with anything else:
  // its row would then speak for writes that it was never sent with.
  void requeueAlone(milliseconds Pause) {
    for (Unit &Each : m_flight)
      Each.Alone = true;
    requeue(Pause);
  }

  void requeue(milliseconds Pause) {
    m_notBefore = m_time.now() + Pause;
    while (!m_flight.empty()) {
      m_queue.push_front(std::move(m_flight.back()));
      m_flight.pop_back();
    }
  }

  CommitterOptions m_options;
  TableStore &m_store;
  const Clock &m_time;
  std::deque<Unit> m_queue;
  std::vector<Unit> m_flight;
  /// Conflict that a read-back is explaining.
  std::optional<Error> m_conflict;
  TimePoint m_notBefore{};
  uint64_t m_lastToken = 0;
  uint64_t m_transactions = 0;
};

Committer::Committer(CommitterOptions Options, TableStore &Store,
                     const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Time)) {}
Committer::~Committer() = default;
void Committer::commit(std::vector<Write> Writes, Done Finished) {
  m_impl->commit(std::move(Writes), std::move(Finished));
}
void Committer::tick() { m_impl->tick(); }
bool Committer::idle() const { return m_impl->idle(); }
uint64_t Committer::transactions() const { return m_impl->transactions(); }

BASILCHUTE_NAMESPACE_END
