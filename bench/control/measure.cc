#include "bench/control/measure.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace ibisvalve::bench {

Duration ProcessorTimeOf(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(file, line);
  // The process name in parentheses may contain spaces; utime is the 12th word
  // after it.
  std::istringstream words(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    words >> skipped;
  }
  int64_t user = 0, system = 0;
  words >> user >> system;
  return Duration(std::chrono::seconds(user + system)) / sysconf(_SC_CLK_TCK);
}

uint64_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  uint64_t total = 0, resident = 0;
  file >> total >> resident;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

Duration Quantile(std::vector<Duration> samples, double share) {
  if (samples.empty()) {
    return Duration(0);
  }
  std::sort(samples.begin(), samples.end());
  const auto rank =
      static_cast<size_t>(share * static_cast<double>(samples.size() - 1));
  return samples[rank];
}

void RunUntil(net::EventLoop& loop,
              const std::function<bool()>& condition,
              Duration limit,
              const std::string& what) {
  const Time end = loop.Now() + limit;
  while (!condition()) {
    if (loop.Now() >= end) {
      throw std::runtime_error("timed out waiting for " + what);
    }
    RunFor(loop, std::chrono::milliseconds(1));
  }
}

void RunFor(net::EventLoop& loop, Duration duration) {
  net::Timer end(loop, [&loop] { loop.Stop(); });
  end.StartOnce(duration);
  loop.Run();
}

net::HttpResult FetchAdmin(net::EventLoop& loop,
                           const world::Endpoint& admin,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body) {
  net::HttpResult answer;
  bool done = false;
  net::FetchHttp(loop, admin, method, path, body, std::chrono::seconds(10),
                 [&](const net::HttpResult& got) {
                   answer = got;
                   done = true;
                   loop.Stop();
                 });
  while (!done) {
    loop.Run();
  }
  return answer;
}

}  // namespace ibisvalve::bench
