#include <event2/bufferevent.h>

#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

// Fixture with targets that close the connection on the path /poison, as if the
// request crashed them.
class PoisonTest : public PlaneTest {
 protected:
  void Start(int targets) {
    ingress_ = &AddNode("suva-0", nullptr);
    for (int i = 1; i <= targets; ++i) {
      targets_.push_back(
          std::make_unique<FakeTarget>(loop_, [this](evhttp_request* request) {
            if (std::string(evhttp_request_get_uri(request)) != "/poison") {
              RespondOk(request, "fine");
              return;
            }
            ++crashes_;
            shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(
                         evhttp_request_get_connection(request))),
                     SHUT_RDWR);
          }));
      WaitReady(AddNode("suva-" + std::to_string(i), targets_.back().get()));
    }
  }

  std::string FetchPage(net::AdminServer& admin,
                        const std::string& method,
                        const std::string& path) {
    std::string body;
    net::FetchHttp(loop_, admin.local(), method, path, "",
                   std::chrono::seconds(5), [&](const net::HttpResult& result) {
                     body = result.body;
                     loop_.Stop();
                   });
    loop_.Run();
    return body;
  }

  Node* ingress_ = nullptr;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  int crashes_ = 0;
};

TEST_F(PoisonTest, ARequestThatCrashesTargetsReachesAtMostTwo) {
  Start(5);
  CallerResponse last;
  for (int i = 0; i < 20; ++i) {
    last = Fetch(*ingress_, {"POST", "/poison", {}, "x"});
  }
  EXPECT_EQ(crashes_, 2);
  EXPECT_EQ(last.status, 503);
  EXPECT_EQ(last.Get("Ibis-Reason"), "quarantined");
  EXPECT_EQ(last.Get("Ibis-Outcome"), "not-run");
  EXPECT_EQ(Fetch(*ingress_, {"POST", "/other", {}, "x"}).status, 200);
}

TEST_F(PoisonTest, ALookupThatCrashesTargetsReachesAtMostTwo) {
  Start(5);
  for (int i = 0; i < 20; ++i) {
    Fetch(*ingress_, {"GET", "/poison", {}, ""});
  }
  EXPECT_EQ(crashes_, 2);
}

TEST_F(PoisonTest, OperatorsSeeAndLiftAQuarantine) {
  Start(2);
  for (int i = 0; i < 5; ++i) {
    Fetch(*ingress_, {"POST", "/poison", {}, "x"});
  }
  net::AdminServer admin(loop_, kAnyPort);
  nodes_.back()->plane->Serve(admin);
  const std::string page = FetchPage(admin, "GET", "/quarantine");
  const std::string field = "\"fingerprint\":\"";
  const size_t at = page.find(field);
  ASSERT_NE(at, std::string::npos) << page;
  const std::string fingerprint = page.substr(at + field.size(), 16);
  EXPECT_EQ(
      FetchPage(admin, "POST", "/quarantine/lift?fingerprint=" + fingerprint),
      R"({"lifted":true})");
  EXPECT_EQ(FetchPage(admin, "GET", "/quarantine"), R"({"quarantined":[]})");
  Fetch(*ingress_, {"POST", "/poison", {}, "x"});
  EXPECT_EQ(crashes_, 3);
}

}  // namespace
}  // namespace ibisvalve::dataplane
