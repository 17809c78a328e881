/// \file
/// Stored names of the workers on which tasks of a shard may run.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"
#include "basilchute/rowstore.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of UsedWorkers.
struct UsedWorkersOptions {
  int Shard = 0;
  /// Version of the shard's owner row, a condition of each commit.
  uint64_t Epoch = 0;
  /// Called when isStored() may have changed.
  std::function<void()> OnChanged;
  /// Called when a commit shows that the owner row has another version.
  std::function<void()> OnOwnerChanged;
  /// Receives one line for each decision: event and key=value fields.
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Keeps a row with the names of all workers on which tasks of a shard may run.
/// A worker that is cut off from the platform leaves the platform's list and
/// may run its tasks on, so a process that starts later learns of it only here.
/// The owner starts nothing on a worker before its name is stored, and removes
/// the name when no run can be left.
///
/// Not thread-safe. Must be owned by a std::shared_ptr.
class UsedWorkers : public std::enable_shared_from_this<UsedWorkers> {
public:
  UsedWorkers(UsedWorkersOptions Options, RowStore &Store, const Clock &Time);

  /// Sets the row that the previous owners left, as the store has it after the
  /// takeover. A row that cannot be decoded is logged and counts as empty.
  void restore(const StoredRow &Row);
  /// Returns true if the row could be decoded, or there is none.
  bool isReadable() const { return m_isReadable; }
  /// Returns the names that the row has or may have.
  const std::set<std::string> &names() const { return m_names; }
  /// Returns true if the row certainly has \p Worker, and no pending commit
  /// removes it.
  bool isStored(const std::string &Worker) const {
    return m_names.count(Worker) > 0 && !m_uncertain.count(Worker);
  }
  /// Has the row changed to \p Needed: at once if names are missing, later if
  /// it only has too many. Must be called regularly, since a commit that failed
  /// is not repeated otherwise.
  void update(const std::set<std::string> &Needed);

private:
  std::set<std::string> namesThatFit(const std::set<std::string> &Needed);
  void onCommitted(const std::set<std::string> &Sent,
                   const Result<uint64_t> &Reply);
  void readAgain();
  void onReadAgain(const RowPage &Page);
  void log(std::string_view Event, std::string_view Fields) const;

  UsedWorkersOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  /// Names that the row has or may have, and those of them that it may lack
  /// because a commit adds or removes them whose outcome is not known.
  std::set<std::string> m_names;
  std::set<std::string> m_uncertain;
  uint64_t m_version = 0;
  bool m_isReadable = true;
  /// A commit or a read of the row is pending.
  bool m_isWriting = false;
  /// The row must be read before the next commit, and if it is unchanged the
  /// owner row is not.
  bool m_mustRead = false;
  bool m_isOwnerInDoubt = false;
  TimePoint m_lastWrite{};
  TimePoint m_notBefore{};
  bool m_isFullLogged = false;
};

/// Returns the address of the row for \p Shard.
RowAddress usedWorkersAddress(int Shard);
std::string encodeUsedWorkers(const std::set<std::string> &Names);
/// Fails with InvalidArgument if \p Bytes are not a valid record.
Result<std::set<std::string>> decodeUsedWorkers(const std::string &Bytes);

BASILCHUTE_NAMESPACE_END
