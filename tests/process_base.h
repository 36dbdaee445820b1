/** @file process_base.h Processes that a test starts, signals and ends. */
#ifndef SAPPHIRE_TESTS_PROCESS_BASE_H_
#define SAPPHIRE_TESTS_PROCESS_BASE_H_

#include <sys/types.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphire::tests {

/** One child process; ended by its id when this goes out of scope. */
class Process {
 public:
  /**
   * @param name For messages and the log file.
   * @param args Program and arguments.
   * @param directory Where `NAME.log` and `NAME.ports` go.
   */
  Process(std::string name, std::vector<std::string> args,
          const std::string& directory);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& log_path() const { return log_path_; }

  [[nodiscard]] pid_t pid() const { return pid_; }

  /** Waits for the port file that the program was told to write.
   * @return The address of this kind ("http", "link"; "" for stand-ins). */
  std::string Address(const std::string& kind);

  void Signal(int signal) const;

  /** @return The exit code, -1 if a signal ended it; nothing if it still runs
   * after `limit`. */
  std::optional<int> WaitForExit(std::chrono::milliseconds limit);

 private:
  const std::string name_;
  const std::string log_path_;
  const std::string port_path_;
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
  std::map<std::string, std::string> addresses_;
};

}  // namespace sapphire::tests

#endif  // SAPPHIRE_TESTS_PROCESS_BASE_H_
