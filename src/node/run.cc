#include "node/run.h"

#include <exception>
#include <iostream>

#include "node/events.h"

namespace ibisvalve::node {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

}  // namespace

int RunGuarded(const std::function<int()>& body) {
  try {
    return body();
  } catch (const InvalidInput& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    LogEvent(kStartRefused, {{"why", error.what()}});
    return kExitFailed;
  }
}

}  // namespace ibisvalve::node
