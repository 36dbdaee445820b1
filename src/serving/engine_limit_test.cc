/** @file engine_limit_test.cc Tests of engines that name how many requests a
 * second they take. */
#define BOOST_TEST_MODULE engine_limit
#include <boost/test/unit_test.hpp>
#include <string>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::RecordingWriter;
using testing::Rig;

/** Answers with the rate that the engine takes. */
http::Handler NamingLimit(std::string per_second) {
  return [per_second](const http::Request& request,
                      http::ResponseWriter& writer) -> core::Task<> {
    http::Response response = http::MakeResponse(200, "text/plain", "served");
    response.head.headers.push_back({"genuine", "1"});
    response.head.headers.push_back(
        {"id", std::string(*http::FindHeader(request.headers, "id"))});
    response.head.headers.push_back({"takes-per-second", per_second});
    co_await writer.Send(std::move(response));
  };
}

}  // namespace

/** Guards against requests beyond the rate that an engine has named. */
BOOST_AUTO_TEST_CASE(EngineThatNamedALimitGetsNoMoreThanThat) {
  constexpr int kRequests = 30;
  constexpr std::size_t kAllowedAtOnce = 6;
  Rig rig;
  const auto& limited = rig.AddEngine(testing::kPlain, NamingLimit("1"));
  rig.AddEngine(testing::kPlain, testing::Answering(200, false, "served"));
  for (int i = 0; i < kRequests; ++i) {
    RecordingWriter writer;
    rig.Serve("/safe/", milliseconds(2000), writer);
    BOOST_TEST(writer.status == 200);
  }
  BOOST_TEST(limited.requests.size() <= kAllowedAtOnce);
}

}  // namespace sapphire::serving
