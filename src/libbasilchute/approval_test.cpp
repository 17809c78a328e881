#include "basilchute/approval.h"

#include <doctest/doctest.h>

using namespace basilchute;

namespace {

constexpr milliseconds Validity{3000};

/// An approval service whose calls the test answers explicitly.
class ManualService : public ApprovalService {
public:
  void ask(const StepName &Step, std::vector<std::string> Workers,
           Done Answer) override {
    NamedWorkers.push_back(std::move(Workers));
    Steps.push_back(Step);
    m_answer = std::move(Answer);
  }
  void answer(Result<std::vector<Approval>> Approved) {
    Done Answer = std::move(m_answer);
    Answer(std::move(Approved));
  }
  std::vector<std::vector<std::string>> NamedWorkers;
  std::vector<StepName> Steps;

private:
  Done m_answer;
};

struct Fixture {
  ManualService Service;
  ManualClock Time;
  ApprovalCache Cache{{}, &Service, Time};
  StepName Step{.Job = "a", .Step = 1};
  ApprovalCandidate One{.Worker = "one", .Incarnation = milliseconds(5)};
  ApprovalCandidate Two{.Worker = "two", .Incarnation = milliseconds(5)};

  void approveOne() {
    Cache.request(Step, 1, Validity, {One, Two});
    Service.answer(std::vector<Approval>{{.Worker = "one", .Ticket = "t"}});
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "Only approved workers have a ticket") {
  approveOne();
  REQUIRE(Cache.ticket(Step, One));
  CHECK(*Cache.ticket(Step, One) == "t");
  CHECK_FALSE(Cache.ticket(Step, Two));
  CHECK_FALSE(Cache.ticket({.Job = "a", .Step = 2}, One));
}

TEST_CASE_FIXTURE(Fixture, "A ticket expires after its validity") {
  approveOne();
  Time.advance(Validity - milliseconds(300));
  CHECK(Cache.ticket(Step, One));
  Time.advance(milliseconds(150));
  CHECK_FALSE(Cache.ticket(Step, One));
}

TEST_CASE_FIXTURE(Fixture,
                  "A ticket is valid for one incarnation of the worker") {
  approveOne();
  CHECK_FALSE(
      Cache.ticket(Step, {.Worker = "one", .Incarnation = milliseconds(6)}));
}

// The service takes some time for each named worker, and its answer for a
// worker does not change.
TEST_CASE_FIXTURE(Fixture, "Workers with a cached answer are not named again") {
  approveOne();
  Cache.request(Step, 1, Validity, {One, Two});
  CHECK(Service.NamedWorkers.size() == 1);
  Time.advance(Validity);
  Cache.request(Step, 1, Validity, {One, Two});
  REQUIRE(Service.NamedWorkers.size() == 2);
  CHECK(Service.NamedWorkers[1] == std::vector<std::string>{"one"});
}

TEST_CASE_FIXTURE(Fixture, "Only one call is pending at a time") {
  Cache.request(Step, 1, Validity, {One});
  Cache.request({.Job = "b"}, 1, Validity, {Two});
  CHECK(Service.NamedWorkers.size() == 1);
  Service.answer(std::vector<Approval>{});
  Cache.request({.Job = "b"}, 1, Validity, {Two});
  REQUIRE(Service.Steps.size() == 2);
  CHECK(Service.Steps[1].Job == "b");
}

TEST_CASE_FIXTURE(Fixture,
                  "A failed call is repeated after the retry interval") {
  Cache.request(Step, 1, Validity, {One});
  Service.answer(makeError(ResultCode::Overloaded, "too many calls wait"));
  CHECK_FALSE(Cache.ticket(Step, One));
  Cache.request(Step, 1, Validity, {One});
  CHECK(Service.NamedWorkers.size() == 1);
  Time.advance(milliseconds(300));
  Cache.request(Step, 1, Validity, {One});
  CHECK(Service.NamedWorkers.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "A rejected ticket is requested again") {
  approveOne();
  Cache.removeTicket(Step, One);
  CHECK_FALSE(Cache.ticket(Step, One));
  Cache.request(Step, 1, Validity, {One, Two});
  REQUIRE(Service.NamedWorkers.size() == 2);
  CHECK(Service.NamedWorkers[1] == std::vector<std::string>{"one"});
}

TEST_CASE_FIXTURE(Fixture, "The number of workers in a call is bounded") {
  std::vector<ApprovalCandidate> Many;
  for (int Worker = 0; Worker < 200; ++Worker)
    Many.push_back({.Worker = std::to_string(Worker)});
  Cache.request(Step, 1, Validity, Many);
  CHECK(Service.NamedWorkers[0].size() == 8);
  Service.answer(std::vector<Approval>{});
  Cache.request(Step, 90, Validity, Many);
  CHECK(Service.NamedWorkers[1].size() == 30);
  CHECK(Service.NamedWorkers[1][0] == "8");
}

TEST_CASE_FIXTURE(Fixture, "Tickets of an ended job are removed") {
  approveOne();
  Cache.forget("a");
  CHECK_FALSE(Cache.ticket(Step, One));
}

TEST_CASE_FIXTURE(
    Fixture, "An approval of a worker that the call did not name is ignored") {
  Cache.request(Step, 1, Validity, {One});
  Service.answer(std::vector<Approval>{{.Worker = "two", .Ticket = "t"}});
  CHECK_FALSE(Cache.ticket(Step, Two));
}
