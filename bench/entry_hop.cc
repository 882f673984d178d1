#include <fmt/format.h>
#include <getopt.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/platform/http_client.h"
#include "cranberryplank/platform/http_worker_client.h"
#include "cranberryplank/support/event_loop.h"

namespace cranberryplank {
namespace {

using Micros = std::chrono::duration<double, std::micro>;

constexpr const char* kBody = R"({"run_ms":0,"reply":"ok"})";
constexpr Duration kRunLimit{120'000};

struct Arguments {
  WorkerAddress worker;
  WorkerAddress daemon;
  std::string queue;
  std::string key;
  int daemon_pid = 0;
  int requests = 5'000;
};

/// Latencies of one series of calls.
struct Series {
  std::vector<double> micros;
  double seconds = 0;
  int failed = 0;

  double Percentile(double fraction) const {
    if (micros.empty()) {
      return 0;
    }
    std::vector<double> sorted = micros;
    std::sort(sorted.begin(), sorted.end());
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(fraction * last)];
  }

  double PerSecond() const { return static_cast<double>(micros.size()) / seconds; }

  void Append(const Series& other) {
    micros.insert(micros.end(), other.micros.begin(), other.micros.end());
    seconds += other.seconds;
    failed += other.failed;
  }
};

/// Returns the CPU time used by a process, in seconds.
double CpuSecondsOf(int pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  constexpr int kFieldsBeforeUserTime = 11;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Sends the same calls directly to a worker and through a daemon.
class EntryHopBench {
 public:
  explicit EntryHopBench(const Arguments& arguments)
      : m_arguments(arguments), m_client(m_loop.base()), m_workers(&m_client) {}

  Series Direct(int requests, int concurrency) {
    ReadWorkerClock();
    return Run(requests, concurrency, [this](std::function<void(bool)> done) {
      TaskStart task;
      task.task_id = m_random.Nonce();
      task.queue = m_arguments.queue;
      task.body = kBody;
      task.boot_id = m_status.boot_id;
      task.start_by = m_status.clock + kRunLimit;
      task.lease = kRunLimit;
      m_workers.Start(m_arguments.worker, task, kRunLimit,
                      [done = std::move(done)](TimePoint, const TaskResult& result) {
                        done(result.verdict == Verdict::kCompleted);
                      });
    });
  }

  Series ThroughDaemon(int requests, int concurrency) {
    return Run(requests, concurrency, [this](std::function<void(bool)> done) {
      HttpRequest request;
      request.method = HttpMethod::kPost;
      request.host = m_arguments.daemon.host;
      request.port = m_arguments.daemon.port;
      request.target = fmt::format("/v1/queues/{}/requests", m_arguments.queue);
      request.headers = {{"Authorization", "Bearer " + m_arguments.key}};
      request.body = kBody;
      request.timeout = kRunLimit;
      m_client.Send(request, [done = std::move(done)](TimePoint, const HttpReply& reply) {
        done(reply.outcome == HttpOutcome::kAnswered && reply.status == 200);
      });
    });
  }

 private:
  using Call = std::function<void(std::function<void(bool)>)>;

  void ReadWorkerClock() {
    bool answered = false;
    m_workers.GetStatus(
        m_arguments.worker,
        [&](TimePoint, const std::optional<WorkerStatus>& status, std::string_view) {
          answered = status.has_value();
          m_status = status.value_or(WorkerStatus{});
        });
    m_loop.RunUntil([&] { return answered; });
  }

  Series Run(int requests, int concurrency, const Call& call) {
    Series series;
    int sent = 0;
    const std::function<void()> send = [&] {
      if (sent >= requests) {
        return;
      }
      ++sent;
      const TimePoint start = Clock::now();
      call([&, start](bool ok) {
        series.micros.push_back(Micros(Clock::now() - start).count());
        series.failed += ok ? 0 : 1;
        send();
      });
    };
    const TimePoint start_time = Clock::now();
    for (int i = 0; i < concurrency; ++i) {
      send();
    }
    m_loop.RunUntil([&] { return static_cast<int>(series.micros.size()) >= requests; }, kRunLimit);
    series.seconds = std::chrono::duration<double>(Clock::now() - start_time).count();
    return series;
  }

  Arguments m_arguments;
  EventLoop m_loop;
  HttpClient m_client;
  HttpWorkerClient m_workers;
  SystemRandom m_random;
  WorkerStatus m_status;
};

void PrintRow(std::string_view name, const Series& series) {
  fmt::print("{:<22} {:>9.0f}/s  p50 {:>8.0f} us  p99 {:>8.0f} us  p99.9 {:>8.0f} us  failed {}\n",
             name, series.PerSecond(), series.Percentile(0.5), series.Percentile(0.99),
             series.Percentile(0.999), series.failed);
}

/// Prints both series and their difference. The series alternate in blocks so that noise affects
/// both equally.
void Compare(EntryHopBench* bench, int requests, int concurrency, int daemon_pid) {
  constexpr int kBlocks = 10;
  Series direct;
  Series through;
  double cpu = 0;
  for (int i = 0; i < kBlocks; ++i) {
    direct.Append(bench->Direct(requests / kBlocks, concurrency));
    const double before = CpuSecondsOf(daemon_pid);
    through.Append(bench->ThroughDaemon(requests / kBlocks, concurrency));
    cpu += CpuSecondsOf(daemon_pid) - before;
  }
  fmt::print("concurrency {}\n", concurrency);
  PrintRow("  straight to worker", direct);
  PrintRow("  through the daemon", through);
  fmt::print("  added                              p50 {:>8.0f} us  p99 {:>8.0f} us\n",
             through.Percentile(0.5) - direct.Percentile(0.5),
             through.Percentile(0.99) - direct.Percentile(0.99));
  if (cpu > 0) {
    fmt::print("  daemon                 {:>9.0f} requests per second of processor time\n",
               static_cast<double>(through.micros.size()) / cpu);
  }
}

std::optional<WorkerAddress> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  return WorkerAddress{text.substr(0, colon),
                       static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

}  // namespace
}  // namespace cranberryplank

int main(int argc, char** argv) {
  using cranberryplank::ParseAddress;
  constexpr std::array kOptions{
      option{"worker", required_argument, nullptr, 'w'},
      option{"daemon", required_argument, nullptr, 'd'},
      option{"queue", required_argument, nullptr, 'q'},
      option{"key", required_argument, nullptr, 'k'},
      option{"daemon-pid", required_argument, nullptr, 'p'},
      option{"requests", required_argument, nullptr, 'n'},
      option{nullptr, 0, nullptr, 0},
  };
  cranberryplank::Arguments arguments;
  int chosen = 0;
  while ((chosen = getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1) {
    switch (chosen) {
      case 'w':
        arguments.worker = ParseAddress(optarg).value_or(cranberryplank::WorkerAddress{});
        break;
      case 'd':
        arguments.daemon = ParseAddress(optarg).value_or(cranberryplank::WorkerAddress{});
        break;
      case 'q':
        arguments.queue = optarg;
        break;
      case 'k':
        arguments.key = optarg;
        break;
      case 'p':
        arguments.daemon_pid = std::atoi(optarg);
        break;
      case 'n':
        arguments.requests = std::atoi(optarg);
        break;
      default:
        return 2;
    }
  }
  cranberryplank::EntryHopBench bench(arguments);
  bench.ThroughDaemon(200, 1);
  for (const int concurrency : {1, 8, 32}) {
    cranberryplank::Compare(&bench, arguments.requests, concurrency, arguments.daemon_pid);
  }
  return 0;
}
