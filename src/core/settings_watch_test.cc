/** @file settings_watch_test.cc Tests of reloading a changed settings file. */
#define BOOST_TEST_MODULE settings_watch
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>

#include "core/settings_func.h"
#include "core/settings_row_func.h"
#include "core/settings_watch_base.h"

namespace sapphire::core {

namespace {

constexpr std::array kTable = {TextRow("name", "", "A name")};

}  // namespace

/**
 * Guards against answers that are cut because SIGHUP, sent after a change of
 * the settings file, ends a process that does not handle it.
 */
BOOST_AUTO_TEST_CASE(SighupReloadsTheFileAndInvalidSettingsChangeNothing) {
  boost::asio::io_context io;
  const SystemClock clock;
  const Logger log({"test", VmId("vm"), ZoneId("z")}, LogLevel::kError, clock);
  std::string text = "name = 'a'";
  std::string applied;
  int reads = 0;
  const auto read = [&] {
    ++reads;
    return ParseSettings(kTable, text, "test.toml");
  };
  SettingsWatch watch(
      io, read(), read,
      [&](const Settings& now) { applied = now.String("name"); }, log);
  watch.Start();
  const auto hang_up = [&] {
    const int before = reads;
    std::raise(SIGHUP);
    while (reads == before) io.run_one();
  };
  hang_up();
  BOOST_TEST(applied.empty());
  text = "name = 'b'";
  hang_up();
  BOOST_TEST(applied == "b");
  text = "name = 7";
  hang_up();
  BOOST_TEST(applied == "b");
}

}  // namespace sapphire::core
