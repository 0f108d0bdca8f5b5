#include "ctl/session.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace ibisvalve::ctl {
namespace {

PageAnswer ToAnswer(const world::Endpoint& from,
                    const net::HttpResult& result) {
  using Json = nlohmann::json;
  const bool readable = JsonDepth(result.body) <= kMaxJsonDepth;
  return PageAnswer{from, result.status, result.body, result.error,
                    readable ? Json::parse(result.body, nullptr, false)
                             : Json(Json::value_t::discarded)};
}

}  // namespace

std::string CheckQueryWord(const std::string& word) {
  const bool is_valid =
      !word.empty() &&
      std::all_of(word.begin(), word.end(), [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
               std::string_view("-_.:").find(character) !=
                   std::string_view::npos;
      });
  if (!is_valid) {
    throw CommandError(
        ExitCode::kUsage,
        "\"" + word +
            "\" is not a valid id: use letters, digits, '-', '_', '.', ':'");
  }
  return word;
}

std::string PageAnswer::ErrorMessage() const {
  const std::string who = world::ToString(from) + ": ";
  if (status == 0) {
    return who + error;
  }
  for (const char* key : {"error", "detail"}) {
    if (json.is_object() && json.contains(key) && json[key].is_string()) {
      return who + json[key].get<std::string>();
    }
  }
  return who + "HTTP status " + std::to_string(status);
}

Session::Session(net::EventLoop& loop,
                 const Options& options,
                 std::ostream& out,
                 std::ostream& err)
    : loop_(loop), options_(options), out_(out), err_(err) {}

PageAnswer Session::Fetch(const world::Endpoint& server,
                          const std::string& method,
                          const std::string& path_and_query,
                          const std::string& body) {
  std::optional<net::HttpResult> result;
  net::FetchHttp(loop_, server, method, path_and_query, body,
                 options_.call_timeout, [&](const net::HttpResult& answer) {
                   result = answer;
                   loop_.Stop();
                 });
  while (!result) {
    loop_.Run();
  }
  return ToAnswer(server, *result);
}

std::vector<PageAnswer> Session::FetchEach(
    const std::vector<world::Endpoint>& servers,
    const std::string& method,
    const std::string& path_and_query) {
  std::vector<PageAnswer> answers(servers.size());
  size_t waiting = servers.size();
  for (size_t i = 0; i < servers.size(); ++i) {
    net::FetchHttp(loop_, servers[i], method, path_and_query, "",
                   options_.call_timeout,
                   [&, i](const net::HttpResult& result) {
                     answers[i] = ToAnswer(servers[i], result);
                     --waiting;
                     loop_.Stop();
                   });
  }
  while (waiting > 0) {
    loop_.Run();
  }
  return answers;
}

PageAnswer Session::FetchAny(const std::string& path_and_query) {
  std::string errors;
  bool refused = false;
  for (const world::Endpoint& server : options_.admins) {
    PageAnswer answer = Fetch(server, "GET", path_and_query, "");
    if (answer.ok() && !answer.json.is_discarded()) {
      return answer;
    }
    refused = refused || answer.status != 0;
    errors += "\n  " + answer.ErrorMessage();
  }
  throw CommandError(
      refused ? ExitCode::kRefused : ExitCode::kUnreachable,
      (refused ? "no usable answer to " : "no daemon could be reached for ") +
          path_and_query + ":" + errors);
}

void Session::WaitBeforeRetry() {
  bool over = false;
  net::Timer timer(loop_, [&] {
    over = true;
    loop_.Stop();
  });
  timer.StartOnce(options_.retry_delay);
  while (!over) {
    loop_.Run();
  }
}

}  // namespace ibisvalve::ctl
