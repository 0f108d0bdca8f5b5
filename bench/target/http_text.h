#pragma once

#include <string>

struct evhttp_request;

namespace ibisvalve::bench {

/// Returns the header `name` of `request`, or "".
std::string FindHeader(evhttp_request* request, const std::string& name);

/// Returns the value of `key` in a query such as "a=1&b=2", or "".
std::string QueryValue(const std::string& query, const std::string& key);

/// Takes the whole body out of `request`.
std::string ReadBody(evhttp_request* request);

/// Answers `request` with `body`.
void ReplyText(evhttp_request* request,
               int status,
               const std::string& content_type,
               const std::string& body);

}  // namespace ibisvalve::bench
