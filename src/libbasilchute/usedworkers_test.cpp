// Tests of the stored list of the workers on which tasks of a shard may run.

#include "libbasilchute/usedworkers.h"

#include <deque>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

using Names = std::set<std::string>;

/// A store with one row, whose commits and reads the test answers.
class HeldRow : public RowStore {
public:
  void commit(RowCommit Commit, CommitDone Done) override {
    m_commits.push_back({std::move(Commit), std::move(Done)});
  }
  void read(RowRange, ReadDone Done) override {
    m_reads.push_back(std::move(Done));
  }
  void readChanges(std::string, uint64_t, milliseconds, ReadDone) override {}

  size_t commits() const { return m_commits.size(); }
  size_t reads() const { return m_reads.size(); }
  /// Returns the names that the pending commit writes.
  Names pending() const {
    return decodeUsedWorkers(m_commits.front().first.Changes.front().Value)
        .value();
  }
  const RowCommit &commit() const { return m_commits.front().first; }
  /// Carries out the pending commit and answers it with \p Code, or with its
  /// version.
  void apply(ResultCode Code = ResultCode::Ok) {
    auto [Commit, Done] = take();
    m_row = {.Address = Commit.Changes.front().Address,
             .Value = Commit.Changes.front().Value,
             .Version = ++m_version};
    Done(Code == ResultCode::Ok ? Result<uint64_t>(m_version)
                                : makeError(Code, "no answer"));
  }
  /// Answers the pending commit with \p Code without carrying it out.
  void fail(ResultCode Code) { take().second(makeError(Code, "not stored")); }
  void answerRead(bool IsFailure = false) {
    ReadDone Done = std::move(m_reads.front());
    m_reads.pop_front();
    if (IsFailure)
      return Done(makeError(ResultCode::Unavailable, "no answer"));
    RowPage Page{.Version = m_version};
    if (m_row.Version != 0)
      Page.Rows.push_back(m_row);
    Done(Page);
  }

private:
  std::pair<RowCommit, CommitDone> take() {
    std::pair<RowCommit, CommitDone> Out = std::move(m_commits.front());
    m_commits.pop_front();
    return Out;
  }

  std::deque<std::pair<RowCommit, CommitDone>> m_commits;
  std::deque<ReadDone> m_reads;
  StoredRow m_row;
  uint64_t m_version = 40;
};

struct Fixture {
  ManualClock Time;
  HeldRow Store;
  int Changes = 0;
  int OwnerChanges = 0;
  std::shared_ptr<UsedWorkers> Used = std::make_shared<UsedWorkers>(
      UsedWorkersOptions{.Shard = 3,
                         .Epoch = 7,
                         .OnChanged = [this] { ++Changes; },
                         .OnOwnerChanged = [this] { ++OwnerChanges; }},
      Store, Time);
};

} // namespace

TEST_CASE("A worker counts as stored only once the commit has succeeded") {
  Fixture Test;
  Test.Used->update({"a", "b"});
  CHECK_FALSE(Test.Used->isStored("a"));
  CHECK(Test.Store.commit().Conditions.front().Version == 7);
  Test.Store.apply();
  CHECK(Test.Used->isStored("a"));
  CHECK(Test.Changes > 0);
  Test.Used->update({"a", "b"});
  CHECK(Test.Store.commits() == 0);
}

TEST_CASE("The names that previous owners stored are kept until they are not "
          "needed any more") {
  Fixture Test;
  Test.Used->restore({.Address = usedWorkersAddress(3),
                      .Value = encodeUsedWorkers({"gone", "here"}),
                      .Version = 12});
  CHECK(Test.Used->names() == Names{"gone", "here"});
  Test.Used->update({"gone", "here"});
  CHECK(Test.Store.commits() == 0);
  Test.Used->update({"here"});
  REQUIRE(Test.Store.commits() == 1);
  CHECK(Test.Store.pending() == Names{"here"});
  CHECK(Test.Store.commit().Conditions.back().Version == 12);
  Test.Store.apply();
  CHECK(Test.Used->names() == Names{"here"});
}

// Guards against a start on a worker that comes back to the list while its name
// is being removed.
TEST_CASE("A worker is not stored while a commit removes it") {
  Fixture Test;
  Test.Used->update({"a", "b"});
  Test.Store.apply();
  Test.Time.advance(1s);
  Test.Used->update({"b"});
  CHECK_FALSE(Test.Used->isStored("a"));
  Test.Used->update({"a", "b"});
  Test.Store.apply();
  CHECK_FALSE(Test.Used->isStored("a"));
  Test.Used->update({"a", "b"});
  Test.Store.apply();
  CHECK(Test.Used->isStored("a"));
}

TEST_CASE("Workers that leave one after the other are removed in one commit") {
  Fixture Test;
  Test.Used->update({"a", "b", "c"});
  Test.Store.apply();
  Test.Used->update({"b", "c"});
  CHECK(Test.Store.commits() == 0);
  Test.Time.advance(1s);
  Test.Used->update({"c"});
  REQUIRE(Test.Store.commits() == 1);
  CHECK(Test.Store.pending() == Names{"c"});
}

// Guards against a worker that counts as stored although a late commit of this
// owner takes it out of the row again.
TEST_CASE("After a commit with an unknown outcome the row is read before "
          "anything counts as stored") {
  Fixture Test;
  Test.Used->update({"a"});
  Test.Store.apply();
  Test.Used->update({"a", "b"});
  SUBCASE("The commit took effect") {
    Test.Store.apply(ResultCode::OutcomeUnknown);
    CHECK_FALSE(Test.Used->isStored("b"));
    Test.Store.answerRead();
    CHECK(Test.Used->isStored("b"));
  }
  SUBCASE("The commit may still take effect") {
    Test.Store.fail(ResultCode::OutcomeUnknown);
    Test.Store.answerRead();
    CHECK(Test.Used->isStored("a"));
    CHECK_FALSE(Test.Used->isStored("b"));
    CHECK(Test.Used->names().count("b") == 1);
    Test.Time.advance(1s);
    Test.Used->update({"a", "b"});
    Test.Store.apply();
    CHECK(Test.Used->isStored("b"));
  }
  SUBCASE("The read fails") {
    Test.Store.apply(ResultCode::OutcomeUnknown);
    Test.Store.answerRead(/*IsFailure=*/true);
    Test.Used->update({"a", "b"});
    CHECK(Test.Store.reads() == 0);
    Test.Time.advance(1s);
    Test.Used->update({"a", "b"});
    REQUIRE(Test.Store.reads() == 1);
    Test.Store.answerRead();
    CHECK(Test.Used->isStored("b"));
  }
}

TEST_CASE("A conflict on an unchanged row shows that the shard has another "
          "owner") {
  Fixture Test;
  Test.Used->update({"a"});
  Test.Store.fail(ResultCode::Conflict);
  Test.Store.answerRead();
  CHECK(Test.OwnerChanges == 1);
  CHECK_FALSE(Test.Used->isStored("a"));
}

TEST_CASE("A commit that was refused is repeated after a while") {
  Fixture Test;
  Test.Used->update({"a"});
  Test.Store.fail(ResultCode::Unavailable);
  Test.Used->update({"a"});
  CHECK(Test.Store.commits() == 0);
  Test.Time.advance(1s);
  Test.Used->update({"a"});
  Test.Store.apply();
  CHECK(Test.Used->isStored("a"));
}

// Guards against a row that the store refuses, so that no worker is stored.
TEST_CASE("Names that do not fit into a row are left out, not those that are "
          "stored") {
  Fixture Test;
  Test.Used->update({"z"});
  Test.Store.apply();
  Names Many{"z"};
  for (int Index = 0; Index < 1000; ++Index)
    Many.insert("worker-" + std::to_string(Index) + std::string(90, 'x'));
  Test.Used->update(Many);
  CHECK(Test.Store.commit().Changes.front().Value.size() <= MaxRowBytes);
  CHECK(Test.Store.pending().count("z") == 1);
  Test.Store.apply();
  CHECK(Test.Used->isStored("z"));
}

TEST_CASE("A damaged row counts as empty and is written again") {
  Fixture Test;
  Test.Used->restore(
      {.Address = usedWorkersAddress(3), .Value = "\xff\xff", .Version = 12});
  CHECK(Test.Used->names().empty());
  Test.Used->update({"a"});
  Test.Store.apply();
  CHECK(Test.Used->isStored("a"));
}
