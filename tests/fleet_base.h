/** @file fleet_base.h Runs a small deployment of real processes for tests. */
#ifndef SAPPHIRE_TESTS_FLEET_BASE_H_
#define SAPPHIRE_TESTS_FLEET_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http/client_base.h"
#include "http/http_type.h"
#include "tests/process_base.h"
#include "tests/relay_base.h"

namespace sapphire::tests {

/** The answer that a caller received, or why the request failed. */
struct Reply {
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
  /** Set if the connection failed or the answer was cut. */
  std::string failure;
  std::chrono::milliseconds took{};

  [[nodiscard]] bool ok() const { return status == 200 && failure.empty(); }
  /** @return The problem's outcome: "not_run", "unknown" or "". */
  [[nodiscard]] std::string outcome() const;
  /** @return The name at the end of the problem's type. */
  [[nodiscard]] std::string problem() const;
};

/** One endpoint VM: an engine or plain service, and its sapphire-endpoint. */
struct EndpointVm {
  std::string vm;
  std::string zone;
  std::string kind;
  std::string service;
  std::unique_ptr<Process> engine;
  std::unique_ptr<Process> process;
  /** If set, entries connect to the process's link through this relay. */
  std::unique_ptr<Relay> relay;
  bool leaving = false;
};

struct EntryVm {
  std::string vm;
  std::string zone;
  std::unique_ptr<Process> process;
  bool leaving = false;
};

/** Starts and stops the processes of a deployment, with settings and logs in a
 * temporary directory, and sends requests to them. */
class Fleet {
 public:
  /** @param bin_dir Directory of the programs.
   * @param name Prefix of the temporary directory's name. */
  Fleet(std::string bin_dir, const std::string& name);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /** Puts a relay in front of an endpoint's link; call before PublishVms. */
  Relay& AddRelay(const std::string& vm);

  /** Lines added to the settings file of each entry or endpoint. */
  std::string entry_settings;
  std::string endpoint_settings;

  void AddEngine(const std::string& vm, const std::string& zone,
                 const std::vector<std::string>& engine_args);
  void AddPlain(const std::string& vm, const std::string& zone,
                const std::string& service);
  void AddEntry(const std::string& vm, const std::string& zone);
  /** Kills and restarts the sapphire-endpoint process of a VM. */
  void RestartEndpoint(const std::string& vm);
  void RestartEntry(const std::string& vm);

  /** Writes the running VMs to the VM list. */
  void PublishVms();

  /** Plans and confirms an intent (TOML), then waits until every entry reports
   * the new version for all VMs. */
  void Confirm(const std::string& intent_toml);

  EndpointVm& endpoint(const std::string& vm);
  EntryVm& entry(const std::string& vm);
  std::string EntryAddress(const std::string& vm);

  /** Sets fault switches of a stand-in: "kv", "vms", "weights" or a VM. */
  void SetFaults(const std::string& stand_in, const std::string& json);
  boost::json::object Record(const std::string& stand_in);
  std::string StandInAddress(const std::string& stand_in);

  /** Sends a request; a failure is reported in the reply. */
  Reply Send(const std::string& address, http::Request request);
  std::future<Reply> SendAsync(const std::string& address,
                               http::Request request);
  /** Sends a request and closes the connection after `patience`. */
  Reply SendAndDisconnect(const std::string& address, http::Request request,
                          std::chrono::milliseconds patience);
  /** Calls an admin path and parses the answer.
   * @throws std::runtime_error if the call fails. */
  boost::json::object Admin(const std::string& entry, http::Request request);

  /** @return Paths of all log files. */
  [[nodiscard]] std::vector<std::string> LogPaths() const;
  [[nodiscard]] const std::string& directory() const { return directory_; }
  [[nodiscard]] const std::string& bin_dir() const { return bin_dir_; }

 private:
  void StartEndpoint(EndpointVm& vm);
  void StartEntry(EntryVm& vm);
  std::unique_ptr<Process> StartStandIn(const std::string& name,
                                        std::vector<std::string> args);
  std::string WriteSettings(const std::string& name, const std::string& text);
  bool IsInForceEverywhere(std::int64_t version);

  const std::string bin_dir_;
  std::string directory_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::thread> threads_;
  std::map<std::string, std::unique_ptr<Process>> platform_;
  std::vector<std::unique_ptr<EndpointVm>> endpoints_;
  std::vector<std::unique_ptr<EntryVm>> entries_;
};

/** Polls until `condition` holds. @return False if `limit` passes first. */
bool Eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds(20));

/** @return A chat completion request. */
http::Request ChatRequest(const std::string& model, const std::string& prompt,
                          const std::string& request_id, bool stream = false,
                          int max_tokens = 8);

}  // namespace sapphire::tests

#endif  // SAPPHIRE_TESTS_FLEET_BASE_H_
