#include "basilchute/jobfrontend.h"

#include "libbasilchute/jobrefusal.h"
#include "libbasilchute/jobrows.h"

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds FirstRetryDelay{40};
constexpr milliseconds MaxRetryDelay{320};
/// Time for the read that precedes a refusal, if the deadline leaves less.
constexpr milliseconds MinConfirmTime{50};
/// Time after which a host knows a version that is newer than a refusal.
constexpr std::chrono::seconds JustRefusedDelay{2};
/// Maximum number of final states that are cached to answer queries without the
/// store.
constexpr size_t MaxCachedStates = 20000;

} // namespace

class JobFrontend::Impl
    : public std::enable_shared_from_this<JobFrontend::Impl> {
public:
  Impl(JobFrontendOptions Options, RowStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time),
        m_refusals(std::make_shared<JobRefusals>(
            JobRefusalOptions{.RunAfter = m_options.RunAfter}, Store, Time)) {}

  /// A submission in progress.
  struct Submission {
    std::string Id;
    RowCommit Commit;
    TimePoint Deadline;
    std::function<void(Status)> Done;
    /// True if an earlier attempt may have taken effect, or may still do so.
    bool IsOutcomeUnknown = false;
    milliseconds RetryDelay = FirstRetryDelay;
    /// A version that the store had reached before.
    uint64_t BeganAfter = 0;

    /// Answers the caller unless it was answered before.
    void finish(const Status &Outcome) {
      if (Done)
        std::exchange(Done, nullptr)(Outcome);
    }
  };

  /// A cancellation in progress.
  struct Cancellation {
    std::string Id;
    TimePoint Deadline;
    CancelDone Done;
    /// True if an earlier attempt may have taken effect, or may still do so.
    bool IsOutcomeUnknown = false;
    milliseconds RetryDelay = FirstRetryDelay;

    void fail(const Error &Reason) const {
      Done(IsOutcomeUnknown
               ? makeError(ResultCode::OutcomeUnknown, Reason.Message)
               : Reason);
    }
  };

  int chooseShard(const Job &Value) const {
    bool CanChoose = m_options.CanSpanPartitions && m_options.ChooseShard;
    return CanChoose ? std::max(m_options.ChooseShard(Value), 0) : 0;
  }

  void submit(const Job &Value, TimePoint Deadline, SubmitDone Done) {
    auto Pending = std::make_shared<Submission>();
    Pending->Id = Value.Id;
    Pending->Deadline = Deadline;
    Pending->Done = std::move(Done);
    if (m_options.CheckRoom) {
      Status HasRoom = m_options.CheckRoom(Value);
      if (!HasRoom.has_value())
        return confirm(Pending, HasRoom.error());
    }
    if (m_options.Admit) {
      if (m_options.KnownVersion)
        Pending->BeganAfter = m_options.KnownVersion();
      Status Admitted = m_options.Admit(Value);
      if (!Admitted.has_value())
        return refuse(Pending, Admitted.error());
    }
    int Shard = chooseShard(Value);
    RowAddress Address = jobAddress(Shard, Value.Id);
    Job Stored = Value;
    Stored.AcceptedAt = m_options.WallTime();
    Pending->Commit.Changes = {{.Address = Address, .Value = encodeJob(Stored)},
                               {.Address = progressAddress(Shard, Value.Id),
                                .Value = encodeProgress(JobProgress{})}};
    // The condition on the index row makes a job's id unique across all shards.
    if (m_options.CanSpanPartitions) {
      RowAddress Index = jobIndexAddress(Value.Id);
      Pending->Commit.Conditions = {{.Address = Index}};
      Pending->Commit.Changes.push_back(
          {.Address = Index, .Value = encodeJobIndex(Shard)});
    } else {
      Pending->Commit.Conditions = {
          {.Address = Address},
          {.Address = cancellationAddress(Shard, Value.Id)}};
    }
    tryCommit(Pending);
  }

  void refuse(const std::shared_ptr<Submission> &Pending,
              const Error &Refusal) {
    // Without an index there is no row that all submissions of a job share.
    if (!m_options.CanSpanPartitions)
      return confirm(Pending, Refusal);
    m_refusals->refuse(
        Pending->Id, Pending->Deadline,
        [Pending, Refusal](const Result<RefusalOutcome> &Outcome) {
          if (!Outcome.has_value())
            return Pending->finish(Outcome.error());
          if (Outcome.value() == RefusalOutcome::Stored)
            return Pending->finish(okStatus());
          Pending->finish(Outcome.value() == RefusalOutcome::Barred
                              ? Status(jobNotFound(Pending->Id))
                              : Status(Refusal));
        });
  }

  // All conditions require a row to be absent, so a conflict means that an
  // earlier attempt, by this or another host, has succeeded, or that the job
  // was cancelled or refused before.
  void tryCommit(const std::shared_ptr<Submission> &Pending) {
    m_store.commit(Pending->Commit, [Weak = weak_from_this(),
                                     Pending](const Result<uint64_t> &Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      if (Answer.has_value())
        return Pending->finish(okStatus());
      if (Answer.error().Code == ResultCode::Conflict)
        return Self->confirm(Pending, Answer.error());
      Pending->IsOutcomeUnknown |=
          Answer.error().Code == ResultCode::OutcomeUnknown;
      if (Self->m_time.now() + Pending->RetryDelay < Pending->Deadline) {
        Self->m_options.RunAfter(Pending->RetryDelay, [Weak, Pending] {
          if (auto Frontend = Weak.lock())
            Frontend->tryCommit(Pending);
        });
        Pending->RetryDelay = std::min(Pending->RetryDelay * 2, MaxRetryDelay);
        return;
      }
      if (Pending->IsOutcomeUnknown)
        Pending->finish(makeError(ResultCode::OutcomeUnknown,
                                  "the store did not report before the "
                                  "deadline whether the job was stored"));
      else
        Self->confirm(Pending, Answer.error());
    });
  }

  /// Range of the rows that show whether a job was stored, or was cancelled
  /// before.
  RowRange evidenceOf(const std::string &Id) const {
    if (m_options.CanSpanPartitions)
      return oneRow(jobIndexAddress(Id));
    RowRange Out = oneRow(cancellationAddress(0, Id));
    Out.From = jobAddress(0, Id).Key;
    return Out;
  }

  /// Returns success if \p Rows of evidenceOf() show that the job was stored,
  /// NotFound if it was cancelled before, \p Refusal if neither.
  Status storedStatus(const std::string &Id, const std::vector<StoredRow> &Rows,
                      const Error &Refusal) const {
    if (Rows.empty())
      return Refusal;
    if (!m_options.CanSpanPartitions)
      return Rows.front().Address == jobAddress(0, Id)
                 ? okStatus()
                 : Status(jobNotFound(Id));
    if (isRefusedJobIndex(Rows.front().Value))
      return Refusal;
    Result<int> Shard = decodeJobIndex(Rows.front().Value);
    bool IsBarred = Shard.has_value() && Shard.value() == BarredShard;
    return IsBarred ? Status(jobNotFound(Id)) : okStatus();
  }

  // The job may be stored although no commit of this host took effect: an
  // earlier attempt of the caller may have reached another host.
  void confirm(const std::shared_ptr<Submission> &Pending,
               const Error &Refusal) {
    Error Unknown = makeError(ResultCode::OutcomeUnknown,
                              "the store does not tell whether the job was "
                              "stored: " +
                                  Refusal.Message);
    m_options.RunAfter(std::max(std::chrono::ceil<milliseconds>(
                                    Pending->Deadline - m_time.now()),
                                MinConfirmTime),
                       [Pending, Unknown] { Pending->finish(Unknown); });
    m_store.read(evidenceOf(Pending->Id), [Weak = weak_from_this(), Pending,
                                           Unknown, Refusal](
                                              const Result<RowPage> &Answer) {
      auto Self = Weak.lock();
      if (!Self || !Pending->Done)
        return;
      if (!Answer.has_value())
        return Pending->finish(Unknown);
      const std::vector<StoredRow> &Rows = Answer.value().Rows;
      bool WasRefused = Refusal.Code == ResultCode::Conflict && !Rows.empty() &&
                        isRefusedJobIndex(Rows.front().Value);
      if (WasRefused)
        return Self->replaceRefusal(Pending, Rows.front().Version);
      Pending->finish(Self->storedStatus(Pending->Id, Rows, Refusal));
    });
  }

  // Whoever was told of a refusal that was stored later relies on it. An
  // attempt of this call that may still take effect has the condition of an
  // older version of the row.
  void replaceRefusal(const std::shared_ptr<Submission> &Pending,
                      uint64_t Version) {
    if (Version > Pending->BeganAfter)
      return Pending->finish(Error{.Code = ResultCode::Overloaded,
                                   .Message = "the job was just refused",
                                   .RetryAfter = JustRefusedDelay});
    RowAddress Index = jobIndexAddress(Pending->Id);
    for (RowCondition &Condition : Pending->Commit.Conditions)
      if (Condition.Address == Index)
        Condition.Version = Version;
    tryCommit(Pending);
  }

  void state(const std::string &Id, TimePoint Deadline, StateDone Done) {
    auto Cached = m_finalStates.find(Id);
    if (Cached != m_finalStates.end()) {
      Done(Cached->second);
      return;
    }
    if (m_options.FindLocalState) {
      if (std::optional<JobState> Local = m_options.FindLocalState(Id)) {
        Done(*Local);
        return;
      }
    }
    readState(Id, Deadline, FirstRetryDelay, std::move(Done));
  }

  /// Shard that holds a job, and the version of the job's index row, which is
  /// zero if the store has no index.
  struct JobLocation {
    int Shard = 0;
    uint64_t Version = 0;
    /// No shard holds the job, but it may be submitted again.
    bool WasRefused = false;
  };
  using LocationDone = std::function<void(Result<JobLocation>)>;

  /// Reads \p Range, retrying until \p Deadline; then fails with the last
  /// error.
  void readUntil(RowRange Range, TimePoint Deadline, milliseconds RetryDelay,
                 RowStore::ReadDone Done) {
    m_store.read(Range, [Weak = weak_from_this(), Range, Deadline, RetryDelay,
                         Done](Result<RowPage> Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      if (Answer.has_value() || Self->m_time.now() + RetryDelay >= Deadline) {
        Done(std::move(Answer));
        return;
      }
      Self->m_options.RunAfter(RetryDelay, [Weak, Range, Deadline, RetryDelay,
                                            Done] {
        if (auto Frontend = Weak.lock())
          Frontend->readUntil(Range, Deadline,
                              std::min(RetryDelay * 2, MaxRetryDelay), Done);
      });
    });
  }

  /// Returns a range that contains only the row at \p Address.
  static RowRange oneRow(const RowAddress &Address) {
    return {.Table = Address.Table,
            .Partition = Address.Partition,
            .From = Address.Key,
            .To = Address.Key + '\x01'};
  }

  void locate(const std::string &Id, TimePoint Deadline, LocationDone Done) {
    if (!m_options.CanSpanPartitions) {
      Done(JobLocation{});
      return;
    }
    readUntil(oneRow(jobIndexAddress(Id)), Deadline, FirstRetryDelay,
              [Id, Done](Result<RowPage> Answer) {
                if (!Answer.has_value())
                  return Done(Answer.error());
                if (Answer.value().Rows.empty())
                  return Done(jobNotFound(Id));
                const StoredRow &Row = Answer.value().Rows.front();
                Result<int> Shard = decodeJobIndex(Row.Value);
                if (!Shard.has_value())
                  return Done(Shard.error());
                Done(JobLocation{.Shard = Shard.value(),
                                 .Version = Row.Version,
                                 .WasRefused = isRefusedJobIndex(Row.Value)});
              });
  }

  void readState(const std::string &Id, TimePoint Deadline,
                 milliseconds RetryDelay, StateDone Done) {
    locate(Id, Deadline,
           [Weak = weak_from_this(), Id, Deadline, RetryDelay,
            Done](const Result<JobLocation> &Location) {
             auto Self = Weak.lock();
             if (!Self)
               return;
             if (!Location.has_value())
               return Done(Location.error());
             if (Location.value().Shard == BarredShard)
               return Done(jobNotFound(Id));
             Self->readProgress(Id, Location.value(), Deadline, RetryDelay,
                                Done);
           });
  }

  void readProgress(const std::string &Id, const JobLocation &Location,
                    TimePoint Deadline, milliseconds RetryDelay,
                    const StateDone &Done) {
    readUntil(oneRow(progressAddress(Location.Shard, Id)), Deadline,
              FirstRetryDelay,
              [Weak = weak_from_this(), Id, Location, Deadline, RetryDelay,
               Done](Result<RowPage> Answer) {
                auto Self = Weak.lock();
                if (!Self)
                  return;
                if (!Answer.has_value())
                  return Done(Answer.error());
                bool WasTransferred =
                    Answer.value().Rows.empty() && Location.Version > 0;
                if (!WasTransferred)
                  return Done(Self->stateFrom(Id, Answer.value()));
                // The job was transferred after its index row had been read.
                if (Self->m_time.now() + RetryDelay >= Deadline)
                  return Done(makeError(
                      ResultCode::Unavailable,
                      fmt::format(
                          "no time is left to find job \"{}\", which is being "
                          "transferred",
                          Id)));
                Self->m_options.RunAfter(RetryDelay, [Weak, Id, Deadline,
                                                      RetryDelay, Done] {
                  if (auto Frontend = Weak.lock())
                    Frontend->readState(Id, Deadline,
                                        std::min(RetryDelay * 2, MaxRetryDelay),
                                        Done);
                });
              });
  }

  static Error jobNotFound(const std::string &Id) {
    return makeError(ResultCode::NotFound,
                     fmt::format("job \"{}\" does not exist", Id));
  }

  Result<JobState> stateFrom(const std::string &Id, const RowPage &Page) {
    if (Page.Rows.empty())
      return jobNotFound(Id);
    Result<JobProgress> Progress = decodeProgress(Page.Rows.front().Value);
    if (!Progress.has_value())
      return Progress.error();
    JobState State = Progress.value().State;
    if (isFinal(State) && m_finalStates.size() < MaxCachedStates)
      m_finalStates.emplace(Id, State);
    return State;
  }

  void cancel(const std::string &Id, TimePoint Deadline, CancelDone Done) {
    tryCancel(std::make_shared<Cancellation>(
        Cancellation{.Id = Id, .Deadline = Deadline, .Done = std::move(Done)}));
  }

  void tryCancel(const std::shared_ptr<Cancellation> &Request) {
    locate(Request->Id, Request->Deadline,
           [Weak = weak_from_this(),
            Request](const Result<JobLocation> &Location) {
             auto Self = Weak.lock();
             if (!Self)
               return;
             if (!Location.has_value() &&
                 Location.error().Code == ResultCode::NotFound)
               return Self->barJob(Request, 0);
             if (!Location.has_value())
               return Request->fail(Location.error());
             if (Location.value().WasRefused)
               return Self->barJob(Request, Location.value().Version);
             if (Location.value().Shard == BarredShard)
               return Request->Done(jobNotFound(Request->Id));
             Self->readCancellation(Request, Location.value());
           });
  }

  // Reads the job's row and its cancellation row, which follows in key order.
  void readCancellation(const std::shared_ptr<Cancellation> &Request,
                        const JobLocation &Location) {
    RowAddress Address = cancellationAddress(Location.Shard, Request->Id);
    RowRange Range{.Table = Address.Table,
                   .Partition = Address.Partition,
                   .From = Request->Id,
                   .To = Address.Key + '\x01'};
    readUntil(Range, Request->Deadline, FirstRetryDelay,
              [Weak = weak_from_this(), Request, Location,
               Address](const Result<RowPage> &Answer) {
                auto Self = Weak.lock();
                if (!Self)
                  return;
                if (!Answer.has_value())
                  return Request->fail(Answer.error());
                const std::vector<StoredRow> &Rows = Answer.value().Rows;
                if (Rows.empty())
                  return Self->onNoRows(Request, Location);
                if (Rows.front().Address == Address && Location.Version == 0)
                  return Request->Done(jobNotFound(Request->Id));
                if (Rows.back().Address == Address)
                  return Request->Done(okStatus());
                Self->writeCancellation(Request, Location, Address);
              });
  }

  // An index row names the shard that the job has just left; without an index
  // there is no such job.
  void onNoRows(const std::shared_ptr<Cancellation> &Request,
                const JobLocation &Location) {
    if (Location.Version == 0)
      return barJob(Request, 0);
    retryCancel(Request, "the job is being transferred to another shard");
  }

  // A submission of the job may be on its way, and must not be stored after the
  // caller was told that the job does not exist. \p Version is that of the
  // index row of a refused job, or zero.
  void barJob(const std::shared_ptr<Cancellation> &Request, uint64_t Version) {
    RowCommit Commit;
    if (m_options.CanSpanPartitions) {
      RowAddress Index = jobIndexAddress(Request->Id);
      Commit.Conditions = {{.Address = Index, .Version = Version}};
      Commit.Changes = {
          {.Address = Index, .Value = encodeJobIndex(BarredShard)}};
    } else {
      RowAddress Address = cancellationAddress(0, Request->Id);
      Commit.Conditions = {{.Address = jobAddress(0, Request->Id)},
                           {.Address = Address}};
      Commit.Changes = {{.Address = Address, .Value = "1"}};
    }
    m_store.commit(Commit, [Weak = weak_from_this(),
                            Request](const Result<uint64_t> &Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      if (Answer.has_value())
        return Request->Done(jobNotFound(Request->Id));
      // After a conflict the job was stored or barred meanwhile.
      Request->IsOutcomeUnknown |=
          Answer.error().Code == ResultCode::OutcomeUnknown;
      Self->retryCancel(Request, Answer.error().Message);
    });
  }

  void writeCancellation(const std::shared_ptr<Cancellation> &Request,
                         const JobLocation &Location,
                         const RowAddress &Address) {
    RowCommit Commit;
    Commit.Conditions = {{.Address = Address}};
    // Makes the commit fail if the job has been transferred, so that the
    // cancellation is not left behind in the previous shard.
    if (Location.Version > 0)
      Commit.Conditions.push_back({.Address = jobIndexAddress(Request->Id),
                                   .Version = Location.Version});
    Commit.Changes = {{.Address = Address, .Value = "1"}};
    m_store.commit(Commit, [Weak = weak_from_this(),
                            Request](const Result<uint64_t> &Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      if (Answer.has_value())
        return Request->Done(okStatus());
      // After a conflict, the next read shows whether the cancellation is
      // stored or the job was transferred.
      Request->IsOutcomeUnknown |=
          Answer.error().Code == ResultCode::OutcomeUnknown;
      Self->retryCancel(Request, Answer.error().Message);
    });
  }

  void retryCancel(const std::shared_ptr<Cancellation> &Request,
                   const std::string &Reason) {
    if (m_time.now() + Request->RetryDelay >= Request->Deadline)
      return Request->fail(makeError(ResultCode::Unavailable, Reason));
    m_options.RunAfter(Request->RetryDelay, [Weak = weak_from_this(), Request] {
      if (auto Frontend = Weak.lock())
        Frontend->tryCancel(Request);
    });
    Request->RetryDelay = std::min(Request->RetryDelay * 2, MaxRetryDelay);
  }

private:
  JobFrontendOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  std::shared_ptr<JobRefusals> m_refusals;
  std::unordered_map<std::string, JobState> m_finalStates;
};

JobFrontend::JobFrontend(JobFrontendOptions Options, RowStore &Store,
                         const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Time)) {}
JobFrontend::~JobFrontend() = default;
void JobFrontend::submit(const Job &Value, TimePoint Deadline,
                         SubmitDone Done) {
  m_impl->submit(Value, Deadline, std::move(Done));
}
void JobFrontend::state(const std::string &Id, TimePoint Deadline,
                        StateDone Done) {
  m_impl->state(Id, Deadline, std::move(Done));
}
void JobFrontend::cancel(const std::string &Id, TimePoint Deadline,
                         CancelDone Done) {
  m_impl->cancel(Id, Deadline, std::move(Done));
}

BASILCHUTE_NAMESPACE_END
