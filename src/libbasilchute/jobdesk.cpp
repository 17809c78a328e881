#include "basilchute/jobdesk.h"

#include "libbasilchute/jobrows.h"

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Longest payload of a job.
constexpr size_t MaxPayload = 4000;
constexpr int MaxTasks = 100000;
constexpr milliseconds FirstRetry{40};
constexpr milliseconds LastRetry{320};
/// Final states that are kept to answer without the store.
constexpr size_t MaxKnownEnds = 20000;

Error invalid(std::string Text) {
  return makeError(ResultCode::InvalidArgument, std::move(Text));
}

Status checkStep(const JobStep &Step, int Index) {
  if (Step.Count < 1)
    return invalid(fmt::format("steps[{}]: the count is not positive", Index));
  const Resources &Demand = Step.Demand;
  bool Negative = Demand.Millicores < 0 || Demand.MemoryMib < 0 ||
                  Demand.Accelerators < 0 || Step.MaxPerWorker < 0 ||
                  Step.MissBudget < 0 || Step.Estimate.count() < 0 ||
                  Step.TailTarget.count() < 0;
  if (Negative)
    return invalid(fmt::format("steps[{}]: an amount is negative", Index));
  for (int Each : Step.After)
    if (Each < 0 || Each >= Index)
      return invalid(fmt::format(
          "steps[{}]: it comes after step {}, which is not an earlier one",
          Index, Each));
  return okStatus();
}

} // namespace

Status checkJob(const Job &Value) {
  if (Value.Payload.size() > MaxPayload)
    return makeError(ResultCode::TooLarge,
                     fmt::format("the payload has {} bytes, at most {} are "
                                 "allowed",
                                 Value.Payload.size(), MaxPayload));
  if (Value.Steps.empty())
    return invalid("the job has no steps");
  if (Value.Repetitions < 0 || Value.Interval.count() < 0)
    return invalid("the repetitions are negative");
  int64_t Tasks = 0;
  for (size_t Index = 0; Index < Value.Steps.size(); ++Index) {
    Status Checked = checkStep(Value.Steps[Index], static_cast<int>(Index));
    if (!Checked.has_value())
      return Checked;
    Tasks += Value.Steps[Index].Count;
  }
  Tasks *= Value.occurrences();
  if (Tasks > MaxTasks)
    return invalid(fmt::format("the job has {} tasks, at most {} are allowed",
                               Tasks, MaxTasks));
  return okStatus();
}

class JobDesk::Impl : public std::enable_shared_from_this<JobDesk::Impl> {
public:
  Impl(JobDeskOptions Options, RowStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time) {}

  /// One submission under way.
  struct Writing {
    RowCommit Commit;
    TimePoint Deadline;
    std::function<void(Status)> Done;
    /// Some attempt may have been, or may still be, carried out.
    bool Unknown = false;
    milliseconds Pause = FirstRetry;
  };

  /// One cancellation under way.
  struct Cancelling {
    std::string Id;
    TimePoint Deadline;
    CancelDone Done;
    /// Some attempt may have been, or may still be, carried out.
    bool Unknown = false;
    milliseconds Pause = FirstRetry;

    void fail(const Error &Why) const {
      Done(Unknown ? makeError(ResultCode::OutcomeUnknown, Why.Message) : Why);
    }
  };

  int choose(const Job &Value) const {
    bool Free = m_options.SpansParts && m_options.Choose;
    return Free ? std::max(m_options.Choose(Value), 0) : 0;
  }

  void submit(const Job &Value, TimePoint Deadline, SubmitDone Done) {
    int Shard = choose(Value);
    auto Write = std::make_shared<Writing>();
    RowPlace Place = jobPlace(Shard, Value.Id);
    Job Stored = Value;
    Stored.Accepted = m_options.WallTime();
    Write->Commit.Changes = {{.Place = Place, .Value = encodeJob(Stored)},
                             {.Place = progressPlace(Shard, Value.Id),
                              .Value = encodeProgress(JobProgress{})}};
    // One id is one job, in whichever shard it is.
    if (m_options.SpansParts) {
      RowPlace Index = indexPlace(Value.Id);
      Write->Commit.Conditions = {{.Place = Index}};
      Write->Commit.Changes.push_back(
          {.Place = Index, .Value = encodeJobIndex(Shard)});
    } else {
      Write->Commit.Conditions = {{.Place = Place}};
    }
    Write->Deadline = Deadline;
    Write->Done = std::move(Done);
    attempt(Write);
  }

  // All conditions are that a row is absent, so a conflict says that an earlier
  // attempt, here or on another host, has succeeded.
  void attempt(const std::shared_ptr<Writing> &Write) {
    m_store.commit(Write->Commit, [Weak = weak_from_this(),
                                   Write](const Result<uint64_t> &Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      if (Answer.has_value() || Answer.error().Code == ResultCode::Conflict) {
        Write->Done(okStatus());
        return;
      }
      Write->Unknown |= Answer.error().Code == ResultCode::OutcomeUnknown;
      if (Self->m_time.now() + Write->Pause < Write->Deadline) {
        Self->m_options.After(Write->Pause, [Weak, Write] {
          if (auto Again = Weak.lock())
            Again->attempt(Write);
        });
        Write->Pause = std::min(Write->Pause * 2, LastRetry);
        return;
      }
      Write->Done(Write->Unknown
                      ? makeError(ResultCode::OutcomeUnknown,
                                  "the store did not say in time whether the "
                                  "row was written")
                      : Answer.error());
    });
  }

  void state(const std::string &Id, TimePoint Deadline, StateDone Done) {
    auto Known = m_ended.find(Id);
    if (Known != m_ended.end()) {
      Done(Known->second);
      return;
    }
    if (m_options.LocalState) {
      if (std::optional<JobState> Local = m_options.LocalState(Id)) {
        Done(*Local);
        return;
      }
    }
    readState(Id, Deadline, FirstRetry, std::move(Done));
  }

  /// Where a job is; the version of its index row is zero without an index.
  struct Found {
    int Shard = 0;
    uint64_t Version = 0;
  };
  using FoundDone = std::function<void(Result<Found>)>;

  /// Reads until \p Deadline; then fails with the last error.
  void readUntil(RowRange Range, TimePoint Deadline, milliseconds Pause,
                 RowStore::ReadDone Done) {
    m_store.read(Range, [Weak = weak_from_this(), Range, Deadline, Pause,
                         Done](Result<RowPage> Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      if (Answer.has_value() || Self->m_time.now() + Pause >= Deadline) {
        Done(std::move(Answer));
        return;
      }
      Self->m_options.After(Pause, [Weak, Range, Deadline, Pause, Done] {
        if (auto Again = Weak.lock())
          Again->readUntil(Range, Deadline, std::min(Pause * 2, LastRetry),
                           Done);
      });
    });
  }

  static RowRange oneRow(const RowPlace &Place) {
    return {.Table = Place.Table,
            .Part = Place.Part,
            .From = Place.Key,
            .To = Place.Key + '\x01'};
  }

  void find(const std::string &Id, TimePoint Deadline, FoundDone Done) {
    if (!m_options.SpansParts) {
      Done(Found{});
      return;
    }
    readUntil(oneRow(indexPlace(Id)), Deadline, FirstRetry,
              [Id, Done](Result<RowPage> Answer) {
                if (!Answer.has_value())
                  return Done(Answer.error());
                if (Answer.value().Rows.empty())
                  return Done(noJob(Id));
                const PlacedRow &Row = Answer.value().Rows.front();
                Result<int> Shard = decodeJobIndex(Row.Value);
                if (!Shard.has_value())
                  return Done(Shard.error());
                Done(Found{.Shard = Shard.value(), .Version = Row.Version});
              });
  }

  void readState(const std::string &Id, TimePoint Deadline, milliseconds Pause,
                 StateDone Done) {
    find(Id, Deadline,
         [Weak = weak_from_this(), Id, Deadline, Pause,
          Done](const Result<Found> &At) {
           auto Self = Weak.lock();
           if (!Self)
             return;
           if (!At.has_value())
             return Done(At.error());
           Self->readProgress(Id, At.value(), Deadline, Pause, Done);
         });
  }

  void readProgress(const std::string &Id, const Found &At, TimePoint Deadline,
                    milliseconds Pause, const StateDone &Done) {
    readUntil(oneRow(progressPlace(At.Shard, Id)), Deadline, FirstRetry,
              [Weak = weak_from_this(), Id, At, Deadline, Pause,
               Done](Result<RowPage> Answer) {
                auto Self = Weak.lock();
                if (!Self)
                  return;
                if (!Answer.has_value())
                  return Done(Answer.error());
                bool Moved = Answer.value().Rows.empty() && At.Version > 0;
                if (!Moved || Self->m_time.now() + Pause >= Deadline)
                  return Done(Self->stateIn(Id, Answer.value()));
                // It went to another shard after its index row was read.
                Self->m_options.After(Pause, [Weak, Id, Deadline, Pause, Done] {
                  if (auto Again = Weak.lock())
                    Again->readState(Id, Deadline,
                                     std::min(Pause * 2, LastRetry), Done);
                });
              });
  }

  static Error noJob(const std::string &Id) {
    return makeError(ResultCode::NotFound,
                     fmt::format("there is no job \"{}\"", Id));
  }

  Result<JobState> stateIn(const std::string &Id, const RowPage &Page) {
    if (Page.Rows.empty())
      return noJob(Id);
    Result<JobProgress> Progress = decodeProgress(Page.Rows.front().Value);
    if (!Progress.has_value())
      return Progress.error();
    JobState State = Progress.value().State;
    if (isFinal(State) && m_ended.size() < MaxKnownEnds)
      m_ended.emplace(Id, State);
    return State;
  }

  void cancel(const std::string &Id, TimePoint Deadline, CancelDone Done) {
    cancelOnce(std::make_shared<Cancelling>(
        Cancelling{.Id = Id, .Deadline = Deadline, .Done = std::move(Done)}));
  }

  void cancelOnce(const std::shared_ptr<Cancelling> &Of) {
    find(Of->Id, Of->Deadline,
         [Weak = weak_from_this(), Of](const Result<Found> &At) {
           auto Self = Weak.lock();
           if (!Self)
             return;
           if (!At.has_value())
             return Of->fail(At.error());
           Self->readCancel(Of, At.value());
         });
  }

  // The job's row and its cancellation, which follows it.
  void readCancel(const std::shared_ptr<Cancelling> &Of, const Found &At) {
    RowPlace Place = cancelPlace(At.Shard, Of->Id);
    RowRange Range{.Table = Place.Table,
                   .Part = Place.Part,
                   .From = Of->Id,
                   .To = Place.Key + '\x01'};
    readUntil(Range, Of->Deadline, FirstRetry,
              [Weak = weak_from_this(), Of, At,
               Place](const Result<RowPage> &Answer) {
                auto Self = Weak.lock();
                if (!Self)
                  return;
                if (!Answer.has_value())
                  return Of->fail(Answer.error());
                const std::vector<PlacedRow> &Rows = Answer.value().Rows;
                if (Rows.empty() && At.Version == 0)
                  return Of->fail(noJob(Of->Id));
                if (Rows.empty())
                  return Self->cancelAgain(Of, "the job is moving");
                if (Rows.back().Place == Place)
                  return Of->Done(okStatus());
                Self->writeCancel(Of, At, Place);
              });
  }

  void writeCancel(const std::shared_ptr<Cancelling> &Of, const Found &At,
                   const RowPlace &Place) {
    RowCommit Commit;
    Commit.Conditions = {{.Place = Place}};
    // A cancellation must not stay behind when the job moves.
    if (At.Version > 0)
      Commit.Conditions.push_back(
          {.Place = indexPlace(Of->Id), .Version = At.Version});
    Commit.Changes = {{.Place = Place, .Value = "1"}};
    m_store.commit(
        Commit, [Weak = weak_from_this(), Of](const Result<uint64_t> &Answer) {
          auto Self = Weak.lock();
          if (!Self)
            return;
          if (Answer.has_value())
            return Of->Done(okStatus());
          // After a conflict the next reading tells whether the cancellation is
          // there or the job has moved.
          Of->Unknown |= Answer.error().Code == ResultCode::OutcomeUnknown;
          Self->cancelAgain(Of, Answer.error().Message);
        });
  }

  void cancelAgain(const std::shared_ptr<Cancelling> &Of,
                   const std::string &Why) {
    if (m_time.now() + Of->Pause >= Of->Deadline)
      return Of->fail(makeError(ResultCode::Unavailable, Why));
    m_options.After(Of->Pause, [Weak = weak_from_this(), Of] {
      if (auto Again = Weak.lock())
        Again->cancelOnce(Of);
    });
    Of->Pause = std::min(Of->Pause * 2, LastRetry);
  }

private:
  JobDeskOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  std::unordered_map<std::string, JobState> m_ended;
};

JobDesk::JobDesk(JobDeskOptions Options, RowStore &Store, const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Time)) {}
JobDesk::~JobDesk() = default;
void JobDesk::submit(const Job &Value, TimePoint Deadline, SubmitDone Done) {
  m_impl->submit(Value, Deadline, std::move(Done));
}
void JobDesk::state(const std::string &Job, TimePoint Deadline,
                    StateDone Done) {
  m_impl->state(Job, Deadline, std::move(Done));
}
void JobDesk::cancel(const std::string &Job, TimePoint Deadline,
                     CancelDone Done) {
  m_impl->cancel(Job, Deadline, std::move(Done));
}

BASILCHUTE_NAMESPACE_END
