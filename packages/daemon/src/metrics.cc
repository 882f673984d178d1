#include "cranberryplank/daemon/metrics.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <map>
#include <utility>

namespace cranberryplank {

namespace {

namespace bh = boost::histogram;

// The logarithmic bins between these bounds are about 26% wide, which suffices for percentiles.
constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100.0;
constexpr int kBins = 70;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

struct LatencyHistogram {
  decltype(bh::make_histogram(LogAxis(kBins, kLowestSeconds, kHighestSeconds))) bins =
      bh::make_histogram(LogAxis(kBins, kLowestSeconds, kHighestSeconds));
  double sum = 0;
  std::uint64_t count = 0;

  void Record(Metrics::Latency latency) {
    const double seconds = std::chrono::duration<double>(latency).count();
    bins(seconds);
    sum += seconds;
    ++count;
  }

  std::string Render(std::string_view name) const {
    std::string text = fmt::format("# TYPE {} histogram\n", name);
    // Buckets are cumulative, so every bucket includes the underflow bin.
    std::uint64_t cumulative = static_cast<std::uint64_t>(bins.at(-1));
    for (int i = 0; i < kBins; ++i) {
      cumulative += static_cast<std::uint64_t>(bins.at(i));
      text += fmt::format("{}_bucket{{le=\"{:.6g}\"}} {}\n", name, bins.axis().bin(i).upper(),
                          cumulative);
    }
    text += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n{0}_count {1}\n", name, count,
                        sum);
    return text;
  }
};

/// @param values by name, then by labels
template <typename Values>
std::string RenderValues(std::string_view type, const Values& values) {
  std::string text;
  for (const auto& [name, by_labels] : values) {
    text += fmt::format("# TYPE {} {}\n", name, type);
    for (const auto& [labels, value] : by_labels) {
      text += labels.empty() ? fmt::format("{} {}\n", name, value)
                             : fmt::format("{}{{{}}} {}\n", name, labels, value);
    }
  }
  return text;
}

}  // namespace

struct Metrics::Data {
  /// Returns the counter, which is created with the value 0 if it does not exist.
  std::uint64_t& Counter(std::string_view name, std::string_view labels);

  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>> counters;
  std::map<std::string, std::map<std::string, double, std::less<>>, std::less<>> gauges;
  LatencyHistogram latency;
  LatencyHistogram queue_wait;
};

Metrics::Metrics() : m_data(std::make_unique<Data>()) {}

Metrics::~Metrics() = default;

std::uint64_t& Metrics::Data::Counter(std::string_view name, std::string_view labels) {
  auto by_name = counters.find(name);
  if (by_name == counters.end()) {
    by_name = counters.try_emplace(std::string(name)).first;
  }
  auto counter = by_name->second.find(labels);
  if (counter == by_name->second.end()) {
    counter = by_name->second.try_emplace(std::string(labels), 0).first;
  }
  return counter->second;
}

void Metrics::Count(std::string_view name, std::string_view labels, std::uint64_t amount) {
  m_data->Counter(name, labels) += amount;
}

void Metrics::CountReply(Verdict verdict, int status) {
  Count("cranberryplank_requests_total",
        fmt::format("verdict=\"{}\",status=\"{}\"", ToString(verdict), status));
}

void Metrics::SetTotal(std::string_view name, std::uint64_t value) {
  m_data->Counter(name, "") = value;
}

void Metrics::SetGauge(std::string_view name, double value, std::string_view labels) {
  m_data->gauges[std::string(name)][std::string(labels)] = value;
}

void Metrics::RecordLatency(Latency latency) { m_data->latency.Record(latency); }

void Metrics::RecordQueueWait(Latency wait) { m_data->queue_wait.Record(wait); }

std::uint64_t Metrics::Value(std::string_view name, std::string_view labels) const {
  const auto by_name = m_data->counters.find(name);
  if (by_name == m_data->counters.end()) {
    return 0;
  }
  const auto counter = by_name->second.find(labels);
  return counter == by_name->second.end() ? 0 : counter->second;
}

std::string Metrics::Render() const {
  std::string text = RenderValues("counter", m_data->counters);
  text += RenderValues("gauge", m_data->gauges);
  text += m_data->latency.Render("cranberryplank_request_seconds");
  text += m_data->queue_wait.Render("cranberryplank_queue_wait_seconds");
  return text;
}

}  // namespace cranberryplank
