/// \file
/// A load run that checks every answer.
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
  /// Path of every request, such as "/orders", which names the service.
  std::string Path;
  std::vector<std::string> Tenants;
  ArrivalOptions Arrivals;
  int Threads = 2;
  size_t BodyBytes = 256;
  /// Time after which the endpoint of basilchute-standin answers, in ms.
  int64_t WorkMillis = 1;
  /// Share of requests that are sent as non-idempotent, in percent.
  int64_t NonIdempotentPercent = 30;
  milliseconds Deadline{10000};
  /// Attempts of one request, the first included. Only a request that certainly
  /// did not run gets another attempt.
  uint32_t MaxAttempts = 20;
  /// Called about once per second with a message on the progress.
  std::function<void(const std::string &)> OnProgress;
};

/// Result of a load run.
struct LoadReport {
  uint64_t Sent = 0;
  uint64_t Answered = 0;
  /// Requests that certainly did not run in any of their attempts.
  uint64_t NotRun = 0;
  /// Requests that may have run but got no answer with status 200.
  uint64_t Lost = 0;
  /// Answers whose body or request id differs from the request's.
  uint64_t Wrong = 0;
  /// Further attempts after an attempt that certainly did not run.
  uint64_t Retries = 0;
  /// Descriptions of the first lost and wrong requests.
  std::vector<std::string> Failures;
  /// Times from the intended sending of a request to its complete answer,
  /// ascending. The intended time is used so that delays in the generator
  /// count as latency.
  std::vector<nanoseconds> Latencies;

  /// Returns quantile \p Q, from 0 to 1, of the latencies, or zero if there are
  /// none.
  nanoseconds quantile(double Q) const;
};

/// Sends all requests and waits for the last answer.
LoadReport runLoad(const LoadOptions &Options);

BASILCHUTE_NAMESPACE_END
