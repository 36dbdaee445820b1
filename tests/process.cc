/** @file process.cc Child processes of tests. */
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "tests/process_base.h"

namespace sapphire::tests {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPoll{5};
constexpr milliseconds kStartLimit{20'000};

pid_t Spawn(const std::vector<std::string>& args, const std::string& log_path) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Otherwise the child would inherit the test's sockets: a port that the test
  // closes would stay in use, and a connection that it resets would stay open.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> argv;
  argv.reserve(args.size() + 1);
  for (const std::string& arg : args) {
    argv.push_back(const_cast<char*>(arg.c_str()));
  }
  argv.push_back(nullptr);
  pid_t pid = -1;
  const int error =
      posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("can't start " + args[0]);
  return pid;
}

/** Reads "kind=address" lines; a line without "=" is of kind "". */
std::map<std::string, std::string> ReadAddresses(const std::string& path) {
  std::map<std::string, std::string> addresses;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t equals = line.find('=');
    if (equals == std::string::npos) {
      addresses[""] = line;
    } else {
      addresses[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }
  return addresses;
}

}  // namespace

Process::Process(std::string name, std::vector<std::string> args,
                 const std::string& directory)
    : name_(std::move(name)),
      log_path_(directory + "/" + name_ + ".log"),
      port_path_(directory + "/" + name_ + ".ports") {
  ::unlink(port_path_.c_str());
  pid_ = Spawn(args, log_path_);
}

Process::~Process() {
  if (exit_code_) return;
  Signal(SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void Process::Signal(int signal) const { ::kill(pid_, signal); }

std::string Process::Address(const std::string& kind) {
  const auto end = std::chrono::steady_clock::now() + kStartLimit;
  while (addresses_.empty()) {
    addresses_ = ReadAddresses(port_path_);
    if (!addresses_.empty()) break;
    if (WaitForExit(milliseconds(0)) ||
        std::chrono::steady_clock::now() > end) {
      throw std::runtime_error(name_ + " did not start; see " + log_path_);
    }
    std::this_thread::sleep_for(kPoll);
  }
  return addresses_.at(kind);
}

std::optional<int> Process::WaitForExit(milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!exit_code_) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
      break;
    }
    if (std::chrono::steady_clock::now() >= end) return std::nullopt;
    std::this_thread::sleep_for(kPoll);
  }
  return exit_code_;
}

}  // namespace sapphire::tests
