#include "basilchute/jobdesk.h"

#include "libbasilchute/jobrows.h"

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

  /// One submission or cancellation under way.
  struct Writing {
    RowCommit Commit;
    TimePoint Deadline;
    std::function<void(Status)> Done;
    /// Some attempt may have been, or may still be, carried out.
    bool Unknown = false;
    milliseconds Pause = FirstRetry;
  };

  int shardOf(const std::string &Id) const {
    return shardOfJob(Id, m_options.Shards);
  }

  void submit(const Job &Value, TimePoint Deadline, SubmitDone Done) {
    int Shard = shardOf(Value.Id);
    auto Write = std::make_shared<Writing>();
    RowPlace Place = jobPlace(Shard, Value.Id);
    RowPlace Progress = progressPlace(Shard, Value.Id);
    Job Stored = Value;
    Stored.Accepted = m_options.WallTime();
    Write->Commit.Conditions = {{.Place = Place}, {.Place = Progress}};
    Write->Commit.Changes = {
        {.Place = Place, .Value = encodeJob(Stored)},
        {.Place = Progress, .Value = encodeProgress(JobProgress{})}};
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

  void readState(const std::string &Id, TimePoint Deadline, milliseconds Pause,
                 StateDone Done) {
    RowPlace Place = progressPlace(shardOf(Id), Id);
    RowRange Range{.Table = Place.Table,
                   .Part = Place.Part,
                   .From = Id,
                   .To = Id + '\x01'};
    m_store.read(Range, [Weak = weak_from_this(), Id, Deadline, Pause,
                         Done](Result<RowPage> Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      if (Answer.has_value()) {
        Done(Self->stateIn(Id, Answer.value()));
        return;
      }
      if (Self->m_time.now() + Pause >= Deadline) {
        Done(Answer.error());
        return;
      }
      Self->m_options.After(Pause, [Weak, Id, Deadline, Pause, Done] {
        if (auto Again = Weak.lock())
          Again->readState(Id, Deadline, std::min(Pause * 2, LastRetry), Done);
      });
    });
  }

  Result<JobState> stateIn(const std::string &Id, const RowPage &Page) {
    if (Page.Rows.empty())
      return makeError(ResultCode::NotFound,
                       fmt::format("there is no job \"{}\"", Id));
    Result<JobProgress> Progress = decodeProgress(Page.Rows.front().Value);
    if (!Progress.has_value())
      return Progress.error();
    JobState State = Progress.value().State;
    if (isFinal(State) && m_ended.size() < MaxKnownEnds)
      m_ended.emplace(Id, State);
    return State;
  }

  void cancel(const std::string &Id, TimePoint Deadline, CancelDone Done) {
    int Shard = shardOf(Id);
    RowPlace Place = cancelPlace(Shard, Id);
    RowRange Range{.Table = Place.Table,
                   .Part = Place.Part,
                   .From = Id,
                   .To = Place.Key + '\x01'};
    m_store.read(Range, [Weak = weak_from_this(), Id, Place, Deadline,
                         Done](Result<RowPage> Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      if (!Answer.has_value()) {
        if (Self->m_time.now() + FirstRetry >= Deadline) {
          Done(Answer.error());
          return;
        }
        Self->m_options.After(FirstRetry, [Weak, Id, Deadline, Done] {
          if (auto Again = Weak.lock())
            Again->cancel(Id, Deadline, Done);
        });
        return;
      }
      if (Answer.value().Rows.empty()) {
        Done(makeError(ResultCode::NotFound,
                       fmt::format("there is no job \"{}\"", Id)));
        return;
      }
      auto Write = std::make_shared<Writing>();
      Write->Commit.Conditions = {{.Place = Place}};
      Write->Commit.Changes = {{.Place = Place, .Value = "1"}};
      Write->Deadline = Deadline;
      Write->Done = Done;
      Self->attempt(Write);
    });
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
