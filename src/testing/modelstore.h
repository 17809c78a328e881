/// \file
/// Rows in memory behind the RowStore port, with the faults that a store can
/// show.
#pragma once

#include "basilchute/rowstore.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Runs a function later on the virtual clock.
using Schedule = std::function<void(milliseconds, std::function<void()>)>;

/// The store itself, shared by all hosts.
class ModelStore {
public:
  ModelStore(Schedule Later, uint64_t Seed)
      : m_later(std::move(Later)), m_random(Seed) {}

  /// Applies the commit at once; returns its version or the row that conflicts.
  Result<uint64_t> apply(const RowCommit &Commit);
  RowPage read(const RowRange &Range) const;
  /// Rows of \p Table after \p Version; NotFound if that history is gone.
  Result<RowPage> changes(const std::string &Table, uint64_t Version) const;
  void dropHistory();
  uint64_t version() const { return m_version; }

  /// Calls \p Done once \p Table changes after \p Version, or after \p Wait.
  void await(const std::string &Table, uint64_t Version, milliseconds Wait,
             std::function<void()> Done);

  milliseconds Delay{4};
  bool Down = false;
  /// Parts of the commits, in percent, that take effect without an answer, and
  /// whose effect comes seconds later besides.
  int LostPercent = 0;
  int LatePercent = 0;

  bool chance(int Percent);
  milliseconds between(int Least, int Most);
  const Schedule &later() const { return m_later; }

private:
  struct Waiter {
    std::string Table;
    std::function<void()> Done;
  };

  Schedule m_later;
  std::mt19937_64 m_random;
  std::map<RowPlace, PlacedRow> m_rows;
  std::vector<PlacedRow> m_log;
  uint64_t m_version = 0;
  uint64_t m_dropped = 0;
  std::map<uint64_t, Waiter> m_waiters;
  uint64_t m_nextWaiter = 0;
};

/// One host's way to the store.
class HostRowStore : public RowStore {
public:
  /// \p Deliver runs a function on the host after a delay, if it still lives.
  HostRowStore(ModelStore &Store, Schedule Deliver)
      : m_store(Store), m_deliver(std::move(Deliver)) {}

  void commit(RowCommit Commit, CommitDone Done) override;
  void read(RowRange Range, ReadDone Done) override;
  void feed(std::string Table, uint64_t Version, milliseconds Wait,
            ReadDone Done) override;

  /// The store turns this host away.
  bool Refused = false;

private:
  bool fails() const { return Refused || m_store.Down; }

  ModelStore &m_store;
  Schedule m_deliver;
};

BASILCHUTE_NAMESPACE_END
