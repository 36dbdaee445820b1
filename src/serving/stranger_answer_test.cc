/** @file stranger_answer_test.cc Tests of answers at an engine's address that
 * no engine has given. */
#define BOOST_TEST_MODULE stranger_answer
#include <boost/test/unit_test.hpp>
#include <string>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::Answering;
using testing::kPlain;
using testing::RecordingWriter;
using testing::Rig;

constexpr milliseconds kWait{3000};
constexpr int kOk = 200;
constexpr int kBadGateway = 502;

/** Answers with this status and without an engine's mark. */
http::Handler AnsweringAsStranger(int status) {
  return [status](const http::Request&,
                  http::ResponseWriter& writer) -> core::Task<> {
    co_await writer.Send(http::MakeResponse(status, "text/plain", "x"));
  };
}

}  // namespace

/** Guards against a denial by whoever has the address of an engine now: callers
 * take it as final. */
BOOST_AUTO_TEST_CASE(StrangersDenialIsNotRelayed) {
  for (const int status : {302, 400, 401, 403, 404, 413, 431}) {
    Rig rig;
    rig.AddEngine(kPlain, AnsweringAsStranger(status));
    RecordingWriter caller;
    rig.Serve("/once/", kWait, caller);
    BOOST_TEST(caller.status == kBadGateway, "answer to " << status);
  }
}

/** Guards against the same for a request that another engine can serve. */
BOOST_AUTO_TEST_CASE(IdempotentRequestGoesOnAfterAStrangersDenial) {
  Rig rig;
  rig.AddEngine(kPlain, AnsweringAsStranger(404));
  rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  RecordingWriter caller;
  rig.Serve("/safe/", kWait, caller);
  BOOST_TEST(caller.status == kOk);
}

BOOST_AUTO_TEST_CASE(EnginesDenialIsRelayed) {
  for (const int status : {302, 400, 404, 413}) {
    Rig rig;
    rig.AddEngine(kPlain, Answering(status, false, "x"));
    RecordingWriter caller;
    rig.Serve("/once/", kWait, caller);
    BOOST_TEST(caller.status == status);
    BOOST_TEST(caller.body == "x");
  }
}

}  // namespace sapphire::serving
