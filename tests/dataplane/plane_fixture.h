#pragma once

#include <event2/buffer.h>
#include <event2/http.h>
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dataplane/dataplane.h"
#include "dataplane/http_headers.h"
#include "dataplane/target_client.h"

namespace ibisvalve::dataplane {

inline const world::Endpoint kAnyPort{"127.0.0.1", 0};

/// The response that a caller received.
struct CallerResponse {
  int status = 0;  // 0: no response yet
  wire::Headers headers;
  std::string body;
  bool whole = false;

  /// Returns the value of the header `name`, or an empty string.
  std::string Get(const char* name) const {
    const std::string* value = FindHeader(headers, name);
    return value == nullptr ? "" : *value;
  }
};

/// HTTP server that handles each request with a function of the test and
/// records the URIs of all requests and the headers of the last one.
class FakeTarget {
 public:
  using Handler = std::function<void(evhttp_request*)>;

  FakeTarget(net::EventLoop& loop, Handler handler)
      : handler_(std::move(handler)), http_(evhttp_new(loop.base())) {
    evhttp_set_allowed_methods(http_, 0xFFFF);
    evhttp_set_gencb(
        http_,
        [](evhttp_request* request, void* argument) {
          auto* self = static_cast<FakeTarget*>(argument);
          self->seen_.emplace_back(evhttp_request_get_uri(request));
          self->headers_ =
              AllHeaders(evhttp_request_get_input_headers(request));
          self->handler_(request);
        },
        this);
    evhttp_bound_socket* socket =
        evhttp_bind_socket_with_handle(http_, "127.0.0.1", 0);
    local_ = net::LocalEndpoint(evhttp_bound_socket_get_fd(socket));
  }
  ~FakeTarget() { evhttp_free(http_); }

  const world::Endpoint& local() const { return local_; }
  const std::vector<std::string>& seen() const { return seen_; }
  const wire::Headers& headers() const { return headers_; }

 private:
  Handler handler_;
  evhttp* http_;
  world::Endpoint local_;
  std::vector<std::string> seen_;
  wire::Headers headers_;
};

/// Responds to `request` with status 200 and `body`.
inline void RespondOk(evhttp_request* request, const std::string& body) {
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
               body.size());
  evhttp_send_reply(request, 200, nullptr, nullptr);
}

/// Returns the body of `request`.
inline std::string BodyOf(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  return body;
}

/// Fixture for a number of node planes on one event loop that share one fleet.
class PlaneTest : public testing::Test {
 protected:
  struct Node {
    FleetView view;
    world::Member member;
    std::vector<RequestRecord> records;
    std::vector<wire::ActiveFile> files;  // received from peers
    std::unique_ptr<NodePlane> plane;
  };

  PlaneTest()
      : timeout_timer_(loop_, [this] {
          ADD_FAILURE() << "the test did not finish within 30 s";
          loop_.Stop();
        }) {
    timeout_timer_.StartOnce(std::chrono::seconds(30));
    service_.name = ServiceName("bookdesk");
    service_.deadline = std::chrono::seconds(5);
    service_.contracts = {{{{"POST"}},
                           "/bookings",
                           world::Repeat::kNever,
                           world::KeyRule::kOptional,
                           {}}};
    service_.measuring.reports_per_second = 50;
  }

  ~PlaneTest() override {
    calls_.clear();
    clients_.clear();
    nodes_.clear();
    for (int i = 0; i < 3; ++i) {
      loop_.Poll();  // run the callbacks still posted
    }
  }

  /// Starts a node, with a target if `target` is given.
  Node& AddNode(const std::string& id, const FakeTarget* target) {
    return AddNode(id, target == nullptr
                           ? std::nullopt
                           : std::optional<world::Endpoint>(target->local()));
  }
  Node& AddNode(const std::string& id, std::nullptr_t) {
    return AddNode(id, std::optional<world::Endpoint>());
  }
  Node& AddNode(const std::string& id,
                const std::optional<world::Endpoint>& target) {
    PlaneSettings settings;
    settings.id = NodeId(id);
    settings.incarnation =
        same_incarnation_ ? Incarnation(100) : next_incarnation_;
    next_incarnation_ = Incarnation(next_incarnation_.value + 1);
    settings.callers = settings.mesh = kAnyPort;
    settings.link_silence = link_silence_;
    settings.body_memory = body_memory_;
    settings.names = names_;
    settings.choice = choice_;
    if (target) {
      settings.target = target;
      settings.service = service_.name;
      settings.slots = slots_;
      settings.health_path = health_path_;
    } else {
      settings.service = caller_service_;
    }
    auto& node = *nodes_.emplace_back(std::make_unique<Node>());
    Node* raw = &node;
    node.member.id = settings.id;
    node.member.incarnation = settings.incarnation;
    node.member.service = settings.service;
    PlaneHandlers handlers;
    handlers.on_request = [raw](const RequestRecord& record) {
      raw->records.push_back(record);
    };
    handlers.on_file = [raw](const wire::ActiveFile& file) {
      raw->files.push_back(file);
    };
    handlers.present_file = [raw]() -> std::optional<wire::ActiveFile> {
      return wire::ActiveFile{raw->view.revision(), Digest(1),
                              "of " + raw->member.id.value};
    };
    handlers.ask_quota = ask_quota_;
    handlers.on_target = [this, raw](world::TargetState state, uint32_t slots) {
      raw->member.target = state;
      raw->member.slots = slots;
      UpdateMember(raw->member);
    };
    node.plane = std::make_unique<NodePlane>(loop_, settings, node.view,
                                             claims_, handlers);
    node.member.mesh = node.plane->mesh();
    node.view.SetOnFleetChanged([raw] { raw->plane->ApplyFleet(); });
    node.view.SetOnMemberChanged([raw](const world::Member& member) {
      raw->plane->ApplyMember(member);
    });
    PublishFleet();
    for (const auto& other : nodes_) {
      UpdateMember(other->member);
    }
    return node;
  }

  /// Returns the value of a metric of `node`, or -1 if there is no such metric.
  static double Metric(const Node& node, const std::string& name) {
    std::vector<MetricSample> samples;
    node.plane->Collect(samples);
    for (const MetricSample& sample : samples) {
      if (sample.name == name) {
        return sample.value;
      }
    }
    return -1;
  }

  /// Updates `member` in the view of every node.
  void UpdateMember(const world::Member& member) {
    for (const auto& node : nodes_) {
      node->view.SetMember(member);
    }
  }

  /// Puts a fleet with the fixture's settings in force as `revision` on every
  /// node, with a lease that is always valid.
  void PublishFleet(uint64_t revision = 1) {
    auto fleet = std::make_shared<world::Fleet>();
    fleet->services = {service_};
    fleet->routes = routes_;
    fleet->workspaces = workspaces_;
    fleet->control.isolated = isolated_;
    world::SortRoutes(*fleet);
    for (const auto& node : nodes_) {
      node->view.SetFleet(fleet, Revision(revision));
      node->view.SetLeaseCheck([] { return true; });
    }
  }

  /// Runs the loop until `condition` holds.
  void RunUntil(const std::function<bool()>& condition) {
    net::Timer check(loop_, [&] {
      if (condition()) {
        loop_.Stop();
      }
    });
    check.StartPeriodic(std::chrono::milliseconds(1));
    loop_.Run();
  }

  /// Runs the loop until the target of `node` is ready.
  void WaitReady(const Node& node) {
    RunUntil([&] { return node.member.target == world::TargetState::kReady; });
  }

  /// Sends a request to `node`. The returned object is filled as the response
  /// arrives.
  std::shared_ptr<CallerResponse> Send(const Node& node,
                                       TargetRequest request) {
    auto response = std::make_shared<CallerResponse>();
    if (FindHeader(request.headers, "Host") == nullptr) {
      request.headers.emplace_back("Host", "bookdesk.example");
    }
    auto& client = clients_[node.member.id];
    if (client == nullptr) {
      client = std::make_unique<TargetClient>(loop_, node.plane->callers());
    }
    calls_.push_back(client->Call(
        request,
        {[response](const TargetHead& head) {
           response->status = head.status;
           response->headers = head.headers;
         },
         [response](const std::string& bytes) { response->body += bytes; },
         [this, response] {
           response->whole = true;
           ++ended_;
         },
         [this](TargetFault, const std::string&) { ++ended_; }}));
    ++sent_;
    return response;
  }

  /// Sends a request and returns its response once no request is in flight.
  CallerResponse Fetch(const Node& node, const TargetRequest& request) {
    const auto response = Send(node, request);
    RunUntil([this] { return ended_ == sent_; });
    return *response;
  }

  net::EventLoop loop_;
  net::Timer timeout_timer_;
  world::Service service_;
  ClaimPort claims_;
  HeaderNames names_;
  policy::ChoiceKind choice_ = policy::ChoiceKind::kWeighed;
  std::optional<std::vector<world::Route>> routes_;
  std::optional<std::vector<world::Workspace>> workspaces_;
  AskQuota ask_quota_;  // of the nodes that are added
  world::IsolatedPolicy isolated_ = world::IsolatedPolicy::kRefuse;
  Duration link_silence_ = std::chrono::milliseconds(300);
  Incarnation next_incarnation_ = Incarnation(100);
  bool same_incarnation_ = false;  // all nodes get the same incarnation
  uint64_t body_memory_ = 24 << 20;
  uint32_t slots_ = 4;
  ServiceName caller_service_;  // of the hosts of nodes without a target
  std::string health_path_;     // empty: targets are checked by connecting
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<NodeId, std::unique_ptr<TargetClient>> clients_;
  std::vector<std::unique_ptr<TargetCall>> calls_;
  size_t sent_ = 0;
  size_t ended_ = 0;
};

}  // namespace ibisvalve::dataplane
