#include "basilchute/approval.h"

#include <doctest/doctest.h>

using namespace basilchute;

namespace {

constexpr milliseconds Validity{3000};

/// Answers when told to.
class ManualService : public ApprovalService {
public:
  void ask(const StepName &Step, std::vector<std::string> Workers,
           Done Answer) override {
    Asked.push_back(std::move(Workers));
    Steps.push_back(Step);
    m_answer = std::move(Answer);
  }
  void answer(Result<std::vector<Approval>> Given) {
    Done Answer = std::move(m_answer);
    Answer(std::move(Given));
  }
  std::vector<std::vector<std::string>> Asked;
  std::vector<StepName> Steps;

private:
  Done m_answer;
};

struct Fixture {
  ManualService Service;
  ManualClock Time;
  ApprovalBook Book{{}, &Service, Time};
  StepName Step{.Job = "a", .Step = 1};
  ApprovalCandidate One{.Worker = "one", .Born = milliseconds(5)};
  ApprovalCandidate Two{.Worker = "two", .Born = milliseconds(5)};

  void approveOne() {
    Book.want(Step, 1, Validity, {One, Two});
    Service.answer(std::vector<Approval>{{.Worker = "one", .Ticket = "t"}});
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "Approved workers have a ticket, others none") {
  approveOne();
  REQUIRE(Book.ticket(Step, One));
  CHECK(*Book.ticket(Step, One) == "t");
  CHECK_FALSE(Book.ticket(Step, Two));
  CHECK_FALSE(Book.ticket({.Job = "a", .Step = 2}, One));
}

TEST_CASE_FIXTURE(Fixture, "A ticket ends with its validity") {
  approveOne();
  Time.advance(Validity - milliseconds(300));
  CHECK(Book.ticket(Step, One));
  Time.advance(milliseconds(150));
  CHECK_FALSE(Book.ticket(Step, One));
}

TEST_CASE_FIXTURE(Fixture, "A ticket is good for one life of the worker") {
  approveOne();
  CHECK_FALSE(Book.ticket(Step, {.Worker = "one", .Born = milliseconds(6)}));
}

// Each worker named takes the service time, and its answer does not change.
TEST_CASE_FIXTURE(Fixture, "What is known is not asked again") {
  approveOne();
  Book.want(Step, 1, Validity, {One, Two});
  CHECK(Service.Asked.size() == 1);
  Time.advance(Validity);
  Book.want(Step, 1, Validity, {One, Two});
  REQUIRE(Service.Asked.size() == 2);
  CHECK(Service.Asked[1] == std::vector<std::string>{"one"});
}

TEST_CASE_FIXTURE(Fixture, "One call at a time") {
  Book.want(Step, 1, Validity, {One});
  Book.want({.Job = "b"}, 1, Validity, {Two});
  CHECK(Service.Asked.size() == 1);
  Service.answer(std::vector<Approval>{});
  Book.want({.Job = "b"}, 1, Validity, {Two});
  REQUIRE(Service.Steps.size() == 2);
  CHECK(Service.Steps[1].Job == "b");
}

TEST_CASE_FIXTURE(Fixture, "A refused call is tried again after a pause") {
  Book.want(Step, 1, Validity, {One});
  Service.answer(makeError(ResultCode::Overloaded, "too many calls wait"));
  CHECK_FALSE(Book.ticket(Step, One));
  Book.want(Step, 1, Validity, {One});
  CHECK(Service.Asked.size() == 1);
  Time.advance(milliseconds(300));
  Book.want(Step, 1, Validity, {One});
  CHECK(Service.Asked.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "A rejected ticket is asked for again") {
  approveOne();
  Book.reject(Step, One);
  CHECK_FALSE(Book.ticket(Step, One));
  Book.want(Step, 1, Validity, {One, Two});
  REQUIRE(Service.Asked.size() == 2);
  CHECK(Service.Asked[1] == std::vector<std::string>{"one"});
}

TEST_CASE_FIXTURE(Fixture, "A call names no more workers than are useful") {
  std::vector<ApprovalCandidate> Many;
  for (int Each = 0; Each < 200; ++Each)
    Many.push_back({.Worker = std::to_string(Each)});
  Book.want(Step, 1, Validity, Many);
  CHECK(Service.Asked[0].size() == 8);
  Service.answer(std::vector<Approval>{});
  Book.want(Step, 90, Validity, Many);
  CHECK(Service.Asked[1].size() == 30);
  CHECK(Service.Asked[1][0] == "8");
}

TEST_CASE_FIXTURE(Fixture, "Tickets of an ended job are forgotten") {
  approveOne();
  Book.forget("a");
  CHECK_FALSE(Book.ticket(Step, One));
}

TEST_CASE_FIXTURE(Fixture, "A worker that was not asked for is not approved") {
  Book.want(Step, 1, Validity, {One});
  Service.answer(std::vector<Approval>{{.Worker = "two", .Ticket = "t"}});
  CHECK_FALSE(Book.ticket(Step, Two));
}
