/// \file
/// Random changes of the workers' capacities during a fuzzing session.
#pragma once

#include "testing/jobtestbed.h"

#include <random>

BASILCHUTE_NAMESPACE_BEGIN

/// Shrinks and grows workers at random times. Draws from a source of its own,
/// so that a session draws the same commands with and without it.
class CapacityChanges {
public:
  CapacityChanges(JobTestBed &Bed, uint64_t Seed);

  /// Begins the changes; they end after \p Duration.
  void start(milliseconds Duration);
  /// Gives all workers their full capacity again.
  void end();

private:
  int randomInt(int Min, int End);
  void scheduleNext();
  void changeOne();

  JobTestBed &m_bed;
  std::mt19937_64 m_random;
  TimePoint m_endsAt{};
};

BASILCHUTE_NAMESPACE_END
