/// \file
/// Limit on the number of log lines of one kind.
#pragma once

#include "basilchute/clock.h"

#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Allows a number of lines per window of time and counts those left out.
class LineLimit {
public:
  LineLimit(int MaxLines, nanoseconds Window)
      : m_maxLines(MaxLines), m_window(Window) {}

  /// Returns whether a line may be written at \p Now; counts it as left out if
  /// not.
  bool take(TimePoint Now);
  /// Returns " lines_left_out=N" for the lines left out before the one that was
  /// just allowed, and forgets them; empty if there were none.
  std::string leftOutField();

private:
  int m_maxLines;
  nanoseconds m_window;
  TimePoint m_windowStart{};
  int m_lines = 0;
  int m_leftOut = 0;
};

BASILCHUTE_NAMESPACE_END
