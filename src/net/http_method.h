#pragma once

#include <string>

struct evhttp_request;

namespace ibisvalve::net {

/// Returns the method of `request` in upper case, or "OTHER" for any method
/// other than GET, POST, HEAD, PUT, DELETE, OPTIONS and PATCH.
std::string MethodName(const evhttp_request* request);

}  // namespace ibisvalve::net
