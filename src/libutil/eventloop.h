/// \file
/// A thread that runs functions in order, now or later.
#pragma once

#include "basilchute/clock.h"

#include <functional>
#include <memory>

BASILCHUTE_NAMESPACE_BEGIN

/// Drives a core that is not safe for several threads: adapters post their
/// replies here.
class EventLoop {
public:
  EventLoop();
  /// Stops the loop; functions not yet run are dropped.
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs \p Action on the loop's thread. Safe from any thread.
  void post(std::function<void()> Action);
  /// Runs \p Action once after \p Delay. Safe from any thread.
  void after(milliseconds Delay, std::function<void()> Action);
  /// Runs \p Action every \p Interval until the loop stops.
  void every(milliseconds Interval, std::function<void()> Action);
  /// Runs \p Action on the loop and waits for it. Not from the loop itself.
  void run(const std::function<void()> &Action);
  /// Stops the loop and joins its thread. A repeat has no effect.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
