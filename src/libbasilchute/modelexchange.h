/// \file
/// Stores the interference model of one shard's owner for its successor and for
/// the owners of other shards, and reads what these have stored.
#pragma once

#include "basilchute/interference.h"
#include "basilchute/rowstore.h"
#include "libbasilchute/runtimes.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a ModelExchange.
struct ModelExchangeOptions {
  int Shard = 0;
  /// Version of the shard's owner row.
  uint64_t Epoch = 0;
  /// Returns the number of shards.
  std::function<int()> ShardCount;
  /// Returns whether this host may still change rows for the shard.
  std::function<bool()> CanSendOrders;
  /// Returns true once a newer owner was detected.
  std::function<bool()> HasLostOwnership;
  /// Whether run times are stored too.
  bool StoresRunTimes = false;
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Assigns kinds to images, and exchanges the slopes of an InterferenceModel,
/// which are named by images in rows.
///
/// Not thread-safe.
class ModelExchange : public std::enable_shared_from_this<ModelExchange> {
public:
  /// \p Model and \p Times must live as long as this.
  ModelExchange(ModelExchangeOptions Options, RowStore &Store,
                const Clock &Time, InterferenceModel &Model, RunTimes &Times)
      : m_options(std::move(Options)), m_store(Store), m_time(Time),
        m_model(Model), m_times(Times) {}

  TaskKind kindOf(const std::string &Image);
  const std::map<std::string, TaskKind> &kinds() const { return m_kinds; }
  /// Notes that the model has changed since it was last stored.
  void setChanged() { m_hasChanged = true; }
  /// Reads the slopes and run times that the previous owner has stored.
  void restore();
  /// Writes the model's row if it is due.
  void save();
  /// Reads the rows of other owners if that is due.
  void readPeers();

private:
  std::vector<PairSlope> decodePairs(const StoredRow &Row);
  void onPeerRows(const Result<RowPage> &Answer);
  bool isOnlyShard() const {
    return !m_options.ShardCount || m_options.ShardCount() < 2;
  }
  void log(std::string_view Event, std::string_view Fields) const {
    if (m_options.Log)
      m_options.Log(Event, Fields);
  }

  ModelExchangeOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  InterferenceModel &m_model;
  RunTimes &m_times;
  std::map<std::string, TaskKind> m_kinds;
  bool m_hasChanged = false;
  TimePoint m_nextSave{};
  /// Version from which the rows of other shards are read; zero before the
  /// first read.
  uint64_t m_peersVersion = 0;
  TimePoint m_nextPeerRead{};
  bool m_isReadingPeers = false;
};

BASILCHUTE_NAMESPACE_END
