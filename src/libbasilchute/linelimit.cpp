#include "libbasilchute/linelimit.h"

BASILCHUTE_NAMESPACE_BEGIN

bool LineLimit::take(TimePoint Now) {
  if (Now >= m_windowStart + m_window) {
    m_windowStart = Now;
    m_lines = 0;
  }
  if (m_lines == m_maxLines) {
    ++m_leftOut;
    return false;
  }
  ++m_lines;
  return true;
}

std::string LineLimit::leftOutField() {
  int LeftOut = m_leftOut;
  m_leftOut = 0;
  return LeftOut > 0 ? " lines_left_out=" + std::to_string(LeftOut) : "";
}

BASILCHUTE_NAMESPACE_END
