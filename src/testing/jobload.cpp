#include "testing/jobload.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds SubmitTimeout{3000};

} // namespace

JobLoad::JobLoad(JobTestBed &Bed, JobLoadOptions Options)
    : m_bed(Bed), m_options(std::move(Options)), m_random(m_options.Seed) {}

void JobLoad::submitNext() {
  if (m_widths.empty()) {
    m_widths = m_options.TasksPerStep;
    std::shuffle(m_widths.begin(), m_widths.end(), m_random);
  }
  int Width = m_widths.back();
  m_widths.pop_back();
  Job Value = chainJob(fmt::format("{:016x}", m_random()), m_options.Steps,
                       Width, m_options.TaskDuration);
  for (JobStep &Step : Value.Steps) {
    Step.Demand = m_options.Demand;
    Step.IsFill = m_options.IsFill;
  }
  m_bed.Oracle.addJob({.Spec = Value});
  int Host = static_cast<int>(m_jobs.size()) % m_bed.hosts();
  m_jobs.push_back({.Id = Value.Id,
                    .Tasks = Width * m_options.Steps,
                    .SubmittedAt = m_bed.now()});
  m_bed.host(Host).Process->frontend().submit(
      Value, m_bed.now() + SubmitTimeout, [](const Status &) {});
}

void JobLoad::recordCompletions() {
  for (SubmittedJob &Submitted : m_jobs)
    if (Submitted.Duration.count() == 0 && m_bed.Oracle.allDone(Submitted.Id))
      Submitted.Duration = m_bed.now() - Submitted.SubmittedAt;
}

void JobLoad::submitFor(milliseconds Span) {
  TimePoint Until = m_bed.now() + Span;
  while (m_bed.now() < Until) {
    submitNext();
    m_bed.run(m_options.JobInterval);
    recordCompletions();
  }
}

void JobLoad::settle(milliseconds Span) {
  TimePoint Until = m_bed.now() + Span;
  while (m_bed.now() < Until) {
    m_bed.run(m_options.JobInterval);
    recordCompletions();
  }
}

double JobLoad::fractionWithin(int Objectives, double From, double To) const {
  std::vector<const SubmittedJob *> Sorted;
  for (const SubmittedJob &Submitted : m_jobs)
    Sorted.push_back(&Submitted);
  std::sort(Sorted.begin(), Sorted.end(),
            [](const SubmittedJob *Left, const SubmittedJob *Right) {
              return std::tie(Left->Tasks, Left->Id) <
                     std::tie(Right->Tasks, Right->Id);
            });
  milliseconds Objective =
      m_options.TaskDuration * m_options.Steps * JobTestBed::SlackFactor +
      JobTestBed::TargetDuration;
  auto Count = static_cast<double>(Sorted.size());
  auto First = static_cast<size_t>(From * Count);
  auto Last = static_cast<size_t>(To * Count);
  size_t Served = 0;
  for (size_t Index = First; Index < Last; ++Index) {
    nanoseconds Duration = Sorted[Index]->Duration;
    Served += Duration.count() > 0 && Duration <= Objectives * Objective;
  }
  return static_cast<double>(Served) / static_cast<double>(Last - First);
}

BASILCHUTE_NAMESPACE_END
