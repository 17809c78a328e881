#include "basilchute/committer.h"

#include <deque>
#include <fmt/format.h>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Writes of one commit() call, which take effect together.
struct WriteGroup {
  std::vector<Write> Writes;
  Committer::Done OnDone;
  /// True if an earlier transaction with these writes had an unknown outcome.
  bool MayBeApplied = false;
  /// True if the group must be sent in a transaction of its own.
  bool IsSeparate = false;
  /// True if the group fails when the store is unavailable.
  bool IsSentOnce = false;
  TimePoint QueuedAt;
};

} // namespace

class Committer::Impl : public std::enable_shared_from_this<Committer::Impl> {
public:
  Impl(CommitterOptions Options, TableStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time) {}

  void commit(std::vector<Write> Writes, bool IsSentOnce, Done OnDone) {
    for (Write &Queued : Writes)
      Queued.WriteToken =
          fmt::format("{}.{}", m_options.WriterId, ++m_lastTokenNumber);
    m_queue.push_back(WriteGroup{.Writes = std::move(Writes),
                                 .OnDone = std::move(OnDone),
                                 .IsSeparate = IsSentOnce,
                                 .IsSentOnce = IsSentOnce,
                                 .QueuedAt = m_time.now()});
  }

  void tick() {
    if (!m_inFlight.empty() || m_queue.empty())
      return;
    TimePoint Now = m_time.now();
    if (Now < m_nextSendAt)
      return;
    if (Now < m_queue.front().QueuedAt + m_options.BatchWindow &&
        m_queue.size() < m_options.MaxWrites)
      return;
    takeBatch();
    send();
  }

  bool idle() const { return m_queue.empty() && m_inFlight.empty(); }
  uint64_t transactions() const { return m_transactions; }

private:
  /// Moves the writes of the next transaction from the queue to m_inFlight.
  void takeBatch() {
    size_t Size = 0;
    while (!m_queue.empty()) {
      WriteGroup &Next = m_queue.front();
      bool IsFull = Size + Next.Writes.size() > m_options.MaxWrites;
      if (!m_inFlight.empty() && (IsFull || Next.IsSeparate))
        return;
      bool IsSeparate = Next.IsSeparate;
      Size += Next.Writes.size();
      m_inFlight.push_back(std::move(Next));
      m_queue.pop_front();
      if (IsSeparate)
        return;
    }
  }

  void send() {
    Transaction Tx;
    for (const WriteGroup &Group : m_inFlight)
      Tx.Writes.insert(Tx.Writes.end(), Group.Writes.begin(),
                       Group.Writes.end());
    if (m_options.FenceRow)
      Tx.Checks.push_back(*m_options.FenceRow);
    ++m_transactions;
    m_store.commit(std::move(Tx),
                   [Weak = weak_from_this()](Result<uint64_t> Reply) {
                     if (auto Self = Weak.lock())
                       Self->onReply(std::move(Reply));
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
      return onNotApplied(Reply.error());
    }
  }

  void onNotApplied(const Error &Failure) {
    const WriteGroup &First = m_inFlight.front();
    if (First.IsSentOnce && !First.MayBeApplied)
      return failAll(makeError(ResultCode::Unavailable, Failure.Message));
    requeue(m_options.RetryInterval);
  }

  void finishAll(uint64_t Version) {
    m_conflict.reset();
    std::vector<WriteGroup> Written = std::move(m_inFlight);
    m_inFlight.clear();
    for (WriteGroup &Group : Written)
      Group.OnDone(Version);
  }

  void failAll(const Error &Failure) {
    std::vector<WriteGroup> Failed = std::move(m_inFlight);
    m_inFlight.clear();
    for (WriteGroup &Group : Failed)
      Group.OnDone(Failure);
  }

  // A conflict of a transaction with several groups does not show which group
  // conflicts, so each group is sent again in its own transaction.
  void onConflict(const Error &Failure) {
    if (m_inFlight.size() > 1)
      return requeueSeparately(milliseconds(0));
    if (!m_inFlight.front().MayBeApplied)
      return failConflict(Failure);
    m_conflict = Failure;
    readBack();
  }

  void failConflict(const Error &Failure) {
    bool HasFenceChanged =
        m_options.FenceRow &&
        Failure.Message.find(m_options.FenceRow->Key) != std::string::npos;
    if (HasFenceChanged)
      return failAll(makeError(ResultCode::StaleEpoch, Failure.Message));
    failAll(Failure);
  }

  // All groups of one transaction take effect together, so one row shows
  // whether all of them did.
  void readBack() {
    for (WriteGroup &Group : m_inFlight)
      Group.MayBeApplied = true;
    const Write &Probe = probeWrite(m_inFlight.front());
    m_store.get(Probe.Key,
                [Weak = weak_from_this()](Result<std::optional<Row>> Reply) {
                  if (auto Self = Weak.lock())
                    Self->onReadBack(std::move(Reply));
                });
  }

  // Prefers a write that stores a row, as the row then has the write's token. A
  // removal can only be recognised by the absence of the row.
  static const Write &probeWrite(const WriteGroup &Group) {
    for (const Write &Probe : Group.Writes)
      if (!Probe.Remove)
        return Probe;
    return Group.Writes.front();
  }

  void onReadBack(Result<std::optional<Row>> Reply) {
    if (!Reply.has_value())
      return requeueSeparately(m_options.RetryInterval);
    const Write &Probe = probeWrite(m_inFlight.front());
    const std::optional<Row> &Stored = Reply.value();
    if (Stored && !Probe.Remove && Stored->WriteToken == Probe.WriteToken)
      return finishAll(Stored->Version);
    if (!Stored && Probe.Remove)
      return finishAll(0);
    if (m_conflict) {
      Error Failure = *std::exchange(m_conflict, std::nullopt);
      return failConflict(Failure);
    }
    bool IsUnchanged = (Stored ? Stored->Version : 0) == Probe.ExpectedVersion;
    if (m_inFlight.size() > 1 || IsUnchanged)
      return requeueSeparately(m_options.RetryInterval);
    failAll(makeError(
        ResultCode::Conflict,
        fmt::format("row \"{}\" was changed by another writer", Probe.Key)));
  }

  // A group that may have been applied must not share a transaction with other
  // groups: if its row shows that it took effect, the read-back would report
  // success for groups that were not part of that transaction.
  void requeueSeparately(milliseconds Delay) {
    for (WriteGroup &Group : m_inFlight)
      Group.IsSeparate = true;
    requeue(Delay);
  }

  void requeue(milliseconds Delay) {
    m_nextSendAt = m_time.now() + Delay;
    while (!m_inFlight.empty()) {
      m_queue.push_front(std::move(m_inFlight.back()));
      m_inFlight.pop_back();
    }
  }

  CommitterOptions m_options;
  TableStore &m_store;
  const Clock &m_time;
  std::deque<WriteGroup> m_queue;
  /// Groups of the transaction in flight.
  std::vector<WriteGroup> m_inFlight;
  /// Conflict of a group that may have been applied before; reported if the
  /// read-back shows that the group did not take effect.
  std::optional<Error> m_conflict;
  TimePoint m_nextSendAt{};
  uint64_t m_lastTokenNumber = 0;
  uint64_t m_transactions = 0;
};

Committer::Committer(CommitterOptions Options, TableStore &Store,
                     const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Time)) {}
Committer::~Committer() = default;
void Committer::commit(std::vector<Write> Writes, Done OnDone) {
  m_impl->commit(std::move(Writes), false, std::move(OnDone));
}
void Committer::commitOnce(std::vector<Write> Writes, Done OnDone) {
  m_impl->commit(std::move(Writes), true, std::move(OnDone));
}
void Committer::tick() { m_impl->tick(); }
bool Committer::idle() const { return m_impl->idle(); }
uint64_t Committer::transactions() const { return m_impl->transactions(); }

BASILCHUTE_NAMESPACE_END
