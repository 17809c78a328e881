/// \file
/// Demand of the finite tasks of a shard that reserve processors: tasks that
/// end and are no fill tasks. Addresses a load in which long-running tasks
/// would take all processors although short tasks arrive all the time.
#pragma once

#include "basilchute/clock.h"

#include <map>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Measures the demand by service.
///
/// Not thread-safe.
class FiniteDemand {
public:
  /// Records a task that became ready. \p Work is its expected work in
  /// millicores times seconds.
  void addReady(const std::string &Service, double Work, TimePoint Now);
  /// Records that the service has a job, finite or not.
  void addJob(const std::string &Service) { m_services[Service]; }
  /// Returns the work that became ready per second, in millicores: a moving
  /// mean over about 10 s.
  double millicores(const std::string &Service, TimePoint Now) const;
  /// Returns the sum over all services.
  double millicores(TimePoint Now) const;
  /// Returns true if a finite task of the service became ready during the last
  /// 60 s, or no job of any service is known yet.
  bool isInUse(const std::string &Service, TimePoint Now) const;

private:
  struct Mean {
    /// Millicore-seconds, of which older ones count less.
    double Work = 0;
    TimePoint At{};
  };
  static double millicores(const Mean &Value, TimePoint Now);

  std::map<std::string, Mean> m_services;
};

BASILCHUTE_NAMESPACE_END
