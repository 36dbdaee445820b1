/** @file engine_loads_test.cc Tests of how an entry tracks its own
 * requests to engines. */
#define BOOST_TEST_MODULE engine_loads
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "fleet/engine_loads_base.h"

namespace sapphire::fleet {

namespace {

using std::chrono::milliseconds;

const InstanceId kEngine("i-1");
const ModelOrAdapter kModel{core::ModelId("m"), core::AdapterId()};

}  // namespace

/**
 * Guards against new requests being sent to a frozen engine. When the engine's
 * VM freezes during streams, none of them fails and no request without a first
 * byte is old yet, so the engine looked healthy. Requests sent to it can't be
 * cancelled before it resumes.
 */
BOOST_AUTO_TEST_CASE(SilenceIsMeasuredSinceTheLastPartOfAnyStream) {
  core::ManualClock clock;
  EngineLoads loads(clock);
  const SendTicket first = loads.Begin(kEngine, kModel);
  const SendTicket second = loads.Begin(kEngine, kModel);
  clock.Advance(milliseconds(50));
  for (const SendTicket& it : {first, second}) {
    loads.RecordFirstByte(it);
    loads.RecordAnswerPart(it);
  }
  clock.Advance(milliseconds(700));
  BOOST_TEST((loads.LongestSilence(kEngine) == milliseconds(700)));
  // One stream sends data: the engine is alive, the other stream only waits.
  loads.RecordAnswerPart(second);
  clock.Advance(milliseconds(40));
  BOOST_TEST((loads.LongestSilence(kEngine) == milliseconds(40)));
  loads.End(first, SendResult::kServed);
  loads.End(second, SendResult::kServed);
  clock.Advance(milliseconds(700));
  BOOST_TEST((loads.LongestSilence(kEngine) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(RequestWithoutAFirstByteCountsAsSilence) {
  core::ManualClock clock;
  EngineLoads loads(clock);
  const SendTicket answered = loads.Begin(kEngine, kModel);
  loads.RecordFirstByte(answered);
  loads.Begin(kEngine, kModel);
  clock.Advance(milliseconds(800));
  loads.RecordAnswerPart(answered);
  BOOST_TEST((loads.LongestSilence(kEngine) == milliseconds(800)));
}

}  // namespace sapphire::fleet
