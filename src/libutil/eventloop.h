/// \file
/// A single-threaded executor with timers.
#pragma once

#include "basilchute/clock.h"

#include <functional>
#include <memory>

BASILCHUTE_NAMESPACE_BEGIN

/// Runs functions in order on a thread of its own, for code that is not
/// thread-safe. Adapters post the replies that they receive on other threads.
class EventLoop {
public:
  EventLoop();
  /// Stops the loop and discards the functions that have not run yet.
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs \p Action on the thread of the loop. Thread-safe.
  void post(std::function<void()> Action);
  /// Runs \p Action once after \p Delay. Thread-safe.
  void runAfter(milliseconds Delay, std::function<void()> Action);
  /// Runs \p Action every \p Interval until the loop stops.
  void runEvery(milliseconds Interval, std::function<void()> Action);
  /// Runs \p Action on the thread of the loop and waits until it has returned.
  /// Must not be called on that thread, which would wait for itself.
  void run(const std::function<void()> &Action);
  /// Stops the loop and joins its thread. Further calls have no effect.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
