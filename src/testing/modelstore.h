/// \file
/// In-memory implementation of the RowStore port with injectable faults.
#pragma once

#include "basilchute/rowstore.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Runs a function after a delay on the virtual clock.
using ScheduleAfter = std::function<void(milliseconds, std::function<void()>)>;

/// The store that all hosts share.
class ModelStore {
public:
  ModelStore(ScheduleAfter Schedule, uint64_t Seed)
      : m_scheduleAfter(std::move(Schedule)), m_random(Seed) {}

  /// Applies the commit immediately. Returns its version, or Conflict with the
  /// key of the row whose condition failed.
  Result<uint64_t> apply(const RowCommit &Commit);
  RowPage read(const RowRange &Range) const;
  /// Returns the changes of \p Table after \p Version; NotFound if the history
  /// since \p Version was dropped.
  Result<RowPage> changes(const std::string &Table, uint64_t Version) const;
  /// Drops all recorded changes, so that feeds from earlier versions fail.
  void dropHistory();
  uint64_t version() const { return m_version; }

  /// Calls \p Done as soon as \p Table has a change after \p Version, at the
  /// latest after \p Wait.
  void await(const std::string &Table, uint64_t Version, milliseconds Wait,
             std::function<void()> Done);

  /// One-way delay of requests and replies.
  milliseconds Delay{4};
  /// The same for commits, if they differ.
  std::optional<milliseconds> CommitDelay;
  bool IsDown = false;
  /// Commits that write a row with one of these keys are refused as invalid.
  std::set<std::string> RefusedKeys;
  /// Percentage of commits that take effect but get no reply.
  int LostReplyPercent = 0;
  /// Percentage of commits that get no reply and take effect only seconds
  /// later.
  int DelayedCommitPercent = 0;
  /// Commits for which it returns true are answered as if the store was
  /// unavailable, if set.
  std::function<bool(const RowCommit &)> RefusesCommit;

  /// Returns true with a probability of \p Percent.
  bool chance(int Percent);
  /// Returns a random time of at least \p MinMs and below \p EndMs.
  milliseconds randomDelay(int MinMs, int EndMs);
  const ScheduleAfter &scheduleAfter() const { return m_scheduleAfter; }

private:
  struct Waiter {
    std::string Table;
    std::function<void()> Done;
  };

  ScheduleAfter m_scheduleAfter;
  std::mt19937_64 m_random;
  std::map<RowAddress, StoredRow> m_rows;
  std::vector<StoredRow> m_log;
  uint64_t m_version = 0;
  /// Oldest version from which changes() can continue.
  uint64_t m_historyStart = 0;
  std::map<uint64_t, Waiter> m_waiters;
  uint64_t m_nextWaiter = 0;
};

/// Access of one host to the store.
class HostRowStore : public RowStore {
public:
  /// \p Deliver runs a function on the host after a delay, unless the host was
  /// killed or restarted in the meantime.
  HostRowStore(ModelStore &Store, ScheduleAfter Deliver)
      : m_store(Store), m_deliver(std::move(Deliver)) {}

  void commit(RowCommit Commit, CommitDone Done) override;
  void read(RowRange Range, ReadDone Done) override;
  void readChanges(std::string Table, uint64_t Version, milliseconds Wait,
                   ReadDone Done) override;

  /// While set, the store refuses all requests of this host.
  bool IsRefused = false;
  /// While set, the store refuses all commits of this host.
  bool IsCommitRefused = false;
  /// Number of calls of this host.
  int Calls = 0;

private:
  bool isUnreachable() const { return IsRefused || m_store.IsDown; }

  ModelStore &m_store;
  ScheduleAfter m_deliver;
};

BASILCHUTE_NAMESPACE_END
