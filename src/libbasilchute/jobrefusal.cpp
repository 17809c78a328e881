#include "libbasilchute/jobrefusal.h"

#include "libbasilchute/jobrows.h"

#include <algorithm>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds RetryDelay{80};
/// Time for the calls to the store if the deadline leaves less.
constexpr milliseconds MinTime{50};

} // namespace

void JobRefusals::refuse(const std::string &Id, TimePoint Deadline,
                         Done Answer) {
  auto Current = std::make_shared<Attempt>(
      Attempt{.Id = Id, .Deadline = Deadline, .Answer = std::move(Answer)});
  milliseconds Left = std::chrono::ceil<milliseconds>(Deadline - m_time.now());
  m_options.RunAfter(std::max(Left, MinTime), [Current] {
    Current->finish(makeError(ResultCode::OutcomeUnknown,
                              "the store does not tell whether the refused job "
                              "was stored before"));
  });
  read(Current);
}

void JobRefusals::read(const AttemptRef &Current) {
  RowAddress Address = jobIndexAddress(Current->Id);
  m_store.read({.Table = Address.Table,
                .Partition = Address.Partition,
                .From = Address.Key,
                .To = Address.Key + '\x01'},
               [Weak = weak_from_this(), Current](Result<RowPage> Answer) {
                 auto Self = Weak.lock();
                 if (!Self)
                   return;
                 if (Answer.has_value())
                   Self->onRead(Current, Answer.value());
                 else
                   Self->repeat(Current);
               });
}

void JobRefusals::onRead(const AttemptRef &Current, const RowPage &Page) {
  if (Page.Rows.empty())
    return write(Current, 0);
  const StoredRow &Row = Page.Rows.front();
  if (isRefusedJobIndex(Row.Value))
    return write(Current, Row.Version);
  Result<int> Shard = decodeJobIndex(Row.Value);
  bool IsBarred = Shard.has_value() && Shard.value() == BarredShard;
  Current->finish(IsBarred ? RefusalOutcome::Barred : RefusalOutcome::Stored);
}

// The row is also written if the job was refused before: a submission may have
// been sent in between, under the condition of that row's version.
void JobRefusals::write(const AttemptRef &Current, uint64_t Version) {
  RowAddress Address = jobIndexAddress(Current->Id);
  RowCommit Commit;
  Commit.Conditions = {{.Address = Address, .Version = Version}};
  Commit.Changes = {{.Address = Address, .Value = encodeRefusedJobIndex()}};
  m_store.commit(std::move(Commit),
                 [Weak = weak_from_this(), Current](Result<uint64_t> Answer) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (Answer.has_value())
                     Current->finish(RefusalOutcome::Refused);
                   else
                     Self->repeat(Current);
                 });
}

void JobRefusals::repeat(const AttemptRef &Current) {
  if (m_time.now() + RetryDelay >= Current->Deadline)
    return;
  m_options.RunAfter(RetryDelay, [Weak = weak_from_this(), Current] {
    auto Self = Weak.lock();
    if (Self && Current->Answer)
      Self->read(Current);
  });
}

BASILCHUTE_NAMESPACE_END
