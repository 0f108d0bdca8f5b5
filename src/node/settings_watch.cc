#include "node/settings_watch.h"

#include <cerrno>
#include <fstream>
#include <sstream>
#include <utility>

#include "node/events.h"

namespace ibisvalve::node {
namespace {

// The file is polled because it may change without a SIGHUP.
constexpr Duration kCheckInterval = std::chrono::seconds(5);

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw SystemError("cannot read " + path, errno);
  }
  return text.str();
}

}  // namespace

SettingsWatch::SettingsWatch(
    net::EventLoop& loop,
    std::string path,
    const config::Settings& current,
    std::function<void(const config::Settings&)> on_changed)
    : path_(std::move(path)),
      current_(current),
      on_changed_(std::move(on_changed)),
      timer_(loop, [this] { Check(); }) {
  timer_.StartPeriodic(kCheckInterval);
}

void SettingsWatch::Check() {
  std::string error_text;
  try {
    const config::Settings settings = LoadSettings(path_);
    last_error_.clear();
    if (settings != current_) {
      current_ = settings;
      LogEvent(kSettingsChanged, {{"file", path_}});
      on_changed_(settings);
    }
    return;
  } catch (const InvalidInput& error) {
    error_text = error.what();
  } catch (const SystemError& error) {
    error_text = error.what();
  }
  if (std::exchange(last_error_, error_text) != error_text) {
    LogEvent(kSettingsRefused, {{"file", path_}, {"why", error_text}});
  }
}

config::Settings LoadSettings(const std::string& path) {
  return config::ParseSettings(ReadFile(path), path);
}

}  // namespace ibisvalve::node
