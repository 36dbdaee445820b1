/** @file process_base.h Child processes of tests. */
#ifndef SAPPHIRE_TESTS_PROCESS_BASE_H_
#define SAPPHIRE_TESTS_PROCESS_BASE_H_

#include <sys/types.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphire::tests {

/** One child process; the destructor kills it by its id. */
class Process {
 public:
  /**
   * @param name Used in messages and for the log file.
   * @param args Program and arguments.
   * @param directory Directory of `NAME.log` and `NAME.ports`.
   */
  Process(std::string name, std::vector<std::string> args,
          const std::string& directory);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& log_path() const { return log_path_; }

  [[nodiscard]] pid_t pid() const { return pid_; }

  /** Waits for the port file that the program writes.
   * @return The address of this kind ("http", "link"; "" for stand-ins). */
  std::string Address(const std::string& kind);

  void Signal(int signal) const;

  /** @return The exit code, -1 if a signal ended the process; nothing if it
   * still runs after `limit`. */
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
