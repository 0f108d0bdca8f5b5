#include "world/world.h"

#include <gtest/gtest.h>

namespace ibisvalve::world {
namespace {

TEST(EndpointTest, ParsesIpAddressesOnly) {
  EXPECT_EQ(ParseEndpoint("127.0.0.1:80"), (Endpoint{"127.0.0.1", 80}));
  EXPECT_EQ(ParseEndpoint("[::1]:80"), (Endpoint{"::1", 80}));
  EXPECT_EQ(ToString(Endpoint{"::1", 80}), "[::1]:80");
  for (const char* bad : {"", "127.0.0.1", "host:80",
                          "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x"}) {
    EXPECT_FALSE(ParseEndpoint(bad).has_value()) << bad;
  }
}

TEST(TermsTest, FirstMatchingContractHolds) {
  Service service;
  service.deadline = std::chrono::milliseconds(300);
  service.contracts = {
      {{"POST"}, "/bookings", Repeat::kNever, KeyRule::kRequired, {}},
      {{}, "/", Repeat::kAllowed, KeyRule::kOptional, Duration(5)}};
  EXPECT_EQ(TermsFor(service, "POST", "/bookings/7"),
            (Terms{Repeat::kNever, KeyRule::kRequired, service.deadline}));
  EXPECT_EQ(TermsFor(service, "POST", "/other"),
            (Terms{Repeat::kAllowed, KeyRule::kOptional, Duration(5)}));
}

TEST(TermsTest, WithoutContractOnlySafeMethodsMayBeRepeated) {
  const Service service;
  EXPECT_EQ(TermsFor(service, "GET", "/").repeat, Repeat::kAllowed);
  EXPECT_EQ(TermsFor(service, "POST", "/").repeat, Repeat::kNever);
  EXPECT_EQ(TermsFor(service, "DELETE", "/").repeat, Repeat::kNever);
}

}  // namespace
}  // namespace ibisvalve::world
