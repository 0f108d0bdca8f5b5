#include "support/http_request.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <sstream>

#include "net/net.h"

namespace ibisvalve::test {
namespace {

// A connected socket, closed by the destructor.
class Connection {
 public:
  Connection(const world::Endpoint& server, Duration timeout)
      : end_(SystemClock().Now() + timeout) {
    const net::SocketAddress address = net::ToSocketAddress(server);
    fd_ = socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connected_ = connect(fd_, address.get(), address.length) == 0;
  }
  ~Connection() { close(fd_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (connected_ && sent < bytes.size()) {
      const ssize_t size =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<size_t>(size);
    }
    return connected_;
  }

  // Reads until the peer closes the connection, an error occurs or the timeout
  // expires.
  std::string ReadAll() {
    std::string bytes;
    char buffer[65536];
    while (true) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          end_ - SystemClock().Now());
      pollfd poll_entry{fd_, POLLIN, 0};
      if (left.count() <= 0 ||
          poll(&poll_entry, 1, static_cast<int>(left.count())) <= 0) {
        return bytes;
      }
      const ssize_t size = recv(fd_, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        return bytes;
      }
      bytes.append(buffer, static_cast<size_t>(size));
    }
  }

 private:
  Time end_;
  int fd_ = -1;
  bool connected_ = false;
};

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

// Decodes a chunked body; returns nullopt if the last chunk is missing.
std::optional<std::string> Unchunk(const std::string& raw) {
  std::string body;
  size_t at = 0;
  while (true) {
    const size_t line = raw.find("\r\n", at);
    if (line == std::string::npos) {
      return std::nullopt;
    }
    const size_t size = std::stoul(raw.substr(at, line - at), nullptr, 16);
    if (size == 0) {
      return body;
    }
    if (line + 2 + size + 2 > raw.size()) {
      return std::nullopt;
    }
    body += raw.substr(line + 2, size);
    at = line + 2 + size + 2;
  }
}

HttpResponse Parse(const std::string& bytes) {
  HttpResponse answer;
  const size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos) {
    return answer;
  }
  std::istringstream head(bytes.substr(0, end));
  std::string version;
  head >> version >> answer.status;
  std::string line;
  std::getline(head, line);
  while (std::getline(head, line)) {
    const size_t colon = line.find(": ");
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 2);
      value.erase(value.find_last_not_of('\r') + 1);
      answer.headers[Lower(line.substr(0, colon))] = value;
    }
  }
  const std::string raw = bytes.substr(end + 4);
  if (Lower(answer.Header("transfer-encoding")) == "chunked") {
    const std::optional<std::string> body = Unchunk(raw);
    answer.body_complete = body.has_value();
    answer.body = body.value_or(raw);
  } else {
    const std::string length = answer.Header("content-length");
    answer.body = raw;
    answer.body_complete = !length.empty() && std::stoull(length) == raw.size();
  }
  return answer;
}

}  // namespace

std::string HttpResponse::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

HttpResponse SendRequest(const world::Endpoint& server,
                         const HttpRequest& request,
                         Duration timeout) {
  std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\n" +
                      "Host: " + world::ToString(server) +
                      "\r\nConnection: close\r\n";
  for (const auto& [name, value] : request.headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  bytes += "Content-Length: " + std::to_string(request.body.size()) +
           "\r\n\r\n" + request.body;
  Connection connection(server, timeout);
  return connection.Send(bytes) ? Parse(connection.ReadAll()) : HttpResponse();
}

}  // namespace ibisvalve::test
