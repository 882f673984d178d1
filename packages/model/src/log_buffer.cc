#include "cranberryplank/model/log_buffer.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <limits>

#include "cranberryplank/model/text.h"

namespace cranberryplank {

namespace {

constexpr std::size_t kMaxPendingBytes = 256 << 10;
constexpr std::size_t kFlushBytes = 32 << 10;
// A pipe that poll() reports as writable accepts this many bytes without blocking.
constexpr std::size_t kAtomicPipeBytes = 4'096;

}  // namespace

LogBuffer& LogBuffer::Instance() {
  static LogBuffer buffer(STDOUT_FILENO);
  return buffer;
}

LogBuffer::LogBuffer(int descriptor)
    : m_descriptor(descriptor), m_budget(std::numeric_limits<std::size_t>::max()) {}

LogBuffer::~LogBuffer() { Flush(); }

bool LogBuffer::AcceptsLine() {
  if (m_budget == 0) {
    ++m_dropped;
    return false;
  }
  return true;
}

void LogBuffer::Add(std::string_view line) {
  if (!AcceptsLine()) {
    return;
  }
  --m_budget;
  Queue(line);
}

void LogBuffer::AddBeyondBudget(std::string_view line) { Queue(line); }

void LogBuffer::Queue(std::string_view line) {
  if (m_pending.size() + line.size() > kMaxPendingBytes) {
    ++m_dropped;
    return;
  }
  if (m_dropped > m_reported) {
    m_pending += fmt::format("{} level=warning event=log_lines_dropped total={}\n", LogTimestamp(),
                             m_dropped);
    m_reported = m_dropped;
  }
  m_pending += line;
  if (!m_periodic || m_pending.size() >= kFlushBytes) {
    Flush();
  }
}

void LogBuffer::Flush() {
  std::size_t written = 0;
  while (written < m_pending.size()) {
    pollfd state{m_descriptor, POLLOUT, 0};
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t piece = std::min(kAtomicPipeBytes, m_pending.size() - written);
    const ssize_t count = write(m_descriptor, m_pending.data() + written, piece);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  m_pending.erase(0, written);
}

}  // namespace cranberryplank
