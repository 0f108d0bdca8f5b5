#pragma once

#include <string>

struct evhttp_request;

namespace ibisvalve::bench {

/// Returns the value of the request header `name`, or "" if absent.
std::string FindHeader(evhttp_request* request, const std::string& name);

/// Returns the value of `key` in a query such as "a=1&b=2", or "" if absent.
std::string QueryValue(const std::string& query, const std::string& key);

/// Removes the body from the input buffer of `request` and returns it.
std::string ReadBody(evhttp_request* request);

/// Sends a response to `request` with `body`.
void ReplyText(evhttp_request* request,
               int status,
               const std::string& content_type,
               const std::string& body);

}  // namespace ibisvalve::bench
