/// \file
/// One load run with checked answers.
#pragma once

#include "basilchute-load/arrivals.h"
#include "libutil/httpclient.h"

#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a load run.
struct LoadOptions {
  /// HOST:PORT of the entries' caller addresses, used in turn.
  std::vector<std::string> Entries;
  /// Path in front of every request's own, such as "/orders".
  std::string Path;
  std::vector<std::string> Tenants;
  ArrivalOptions Arrivals;
  int Threads = 2;
  size_t BodyBytes = 256;
  /// Time that the stand-in's endpoint takes, in ms.
  int64_t WorkMillis = 1;
  /// Share of requests that must not run twice, in percent.
  int64_t NonIdempotentPercent = 30;
  milliseconds Deadline{10000};
  /// Times that a request is offered again after "not run".
  uint32_t MaxOffers = 20;
  /// Called about once a second with a line of progress.
  std::function<void(const std::string &)> OnProgress;
};

/// What came of a load run.
struct LoadReport {
  uint64_t Sent = 0;
  uint64_t Answered = 0;
  /// Requests that no entry ran in all their offers.
  uint64_t NotRun = 0;
  /// Requests without an answer that may have run.
  uint64_t Lost = 0;
  /// Answers that were not the request's own, or not whole.
  uint64_t Wrong = 0;
  /// Offers that were refused as not run, and offered again.
  uint64_t Refused = 0;
  /// What happened to the first lost and wrong ones.
  std::vector<std::string> Faults;
  /// Times from the intended sending to the whole answer, ascending.
  std::vector<nanoseconds> Latencies;

  /// Returns quantile \p Q of 0 to 1 of the latencies, or zero without any.
  nanoseconds quantile(double Q) const;
};

/// Sends the load and waits for the last answer.
LoadReport runLoad(const LoadOptions &Options);

BASILCHUTE_NAMESPACE_END
