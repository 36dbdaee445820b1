/** @file render.cc Renders entries' responses as human-readable text. */
#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <vector>

#include "ctl/ctl_func.h"

namespace sapphire::ctl {

namespace json = boost::json;

namespace {

constexpr double kBytesPerMiB = 1024.0 * 1024.0;

/** A text table with aligned columns. */
class Table {
 public:
  explicit Table(std::vector<std::string> heads) {
    rows_.push_back(std::move(heads));
  }

  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  [[nodiscard]] std::string ToText() const {
    std::string text;
    for (const auto& row : rows_) {
      std::string line;
      for (std::size_t i = 0; i < row.size(); ++i) {
        line += fmt::format("{:<{}}  ", row[i], WidthOf(i));
      }
      line.erase(line.find_last_not_of(' ') + 1);
      text += line + "\n";
    }
    return text;
  }

 private:
  [[nodiscard]] std::size_t WidthOf(std::size_t column) const {
    std::size_t width = 0;
    for (const auto& row : rows_) width = std::max(width, row[column].size());
    return width;
  }

  std::vector<std::vector<std::string>> rows_;
};

std::string Str(const json::value& value) {
  if (value.is_string()) return std::string(value.get_string());
  if (value.is_null()) return "-";
  if (value.is_bool()) return value.get_bool() ? "yes" : "no";
  return json::serialize(value);
}

std::string Mebibytes(const json::value& bytes) {
  return fmt::format("{:.0f} MiB", bytes.to_number<double>() / kBytesPerMiB);
}

std::string RenderPlan(const json::object& plan) {
  std::string text = Str(plan.at("text"));
  if (const json::value* stale = plan.if_contains("stale")) {
    const std::int64_t version =
        plan.at("confirmed_version").to_number<std::int64_t>();
    if (version != 0) {
      return text +
             fmt::format("confirmed: in force since version {}\n", version);
    }
    if (stale->as_bool()) {
      return text +
             "stale: the configuration has changed since; make the "
             "plan again\n";
    }
  }
  return text + fmt::format("nothing changes until: sapphirectl confirm {}\n",
                            Str(plan.at("id")));
}

Table VmTable(const json::array& vms) {
  Table table({"VM", "ZONE", "ROLE", "VERSION", "LINKED", "LEAVING"});
  for (const json::value& vm : vms) {
    table.Add({Str(vm.at("vm")), Str(vm.at("zone")), Str(vm.at("role")),
               Str(vm.at("version")), Str(vm.at("linked")),
               Str(vm.at("leaving"))});
  }
  return table;
}

std::string RenderConfirm(const json::object& answer) {
  std::string text =
      fmt::format("plan {} is in force as version {}\n", Str(answer.at("plan")),
                  Str(answer.at("version")));
  const json::array& behind = answer.at("not_yet").as_array();
  if (behind.empty()) return text + "every known VM has it\n";
  text += fmt::format(
      "not seen yet on {} VMs; they follow once they can be reached (status "
      "shows it):\n",
      behind.size());
  return text + VmTable(behind).ToText();
}

std::string RenderStatus(const json::object& status) {
  return fmt::format(
             "version {}, {} endpoints, {} replicas, {} requests "
             "running\n",
             Str(status.at("version")), Str(status.at("endpoints")),
             Str(status.at("replicas")), Str(status.at("running"))) +
         VmTable(status.at("vms").as_array()).ToText();
}

std::string ReplicaText(const json::value& replica, std::string_view key) {
  return fmt::format("{}({}, {} running)", Str(replica.at(key)),
                     Str(replica.at("state")), Str(replica.at("running")));
}

std::string ReplicaList(const json::array& replicas, std::string_view key) {
  std::string text;
  for (const json::value& replica : replicas) {
    if (!text.empty()) text += ' ';
    text += ReplicaText(replica, key);
  }
  return text.empty() ? "-" : text;
}

std::string EndpointState(const json::value& endpoint) {
  if (!endpoint.at("connected").as_bool()) return "lost";
  if (!endpoint.at("engine_up").as_bool()) return "engine down";
  return endpoint.at("leaving").as_bool() ? "leaving" : "live";
}

std::string RenderEndpoints(const json::object& answer) {
  Table table({"VM", "ZONE", "KIND", "STATE", "RESERVED", "MEMORY", "RUNNING",
               "REPLICAS"});
  for (const json::value& endpoint : answer.at("endpoints").as_array()) {
    table.Add({Str(endpoint.at("vm")), Str(endpoint.at("zone")),
               Str(endpoint.at("kind")), EndpointState(endpoint),
               Mebibytes(endpoint.at("reserved_bytes")),
               Mebibytes(endpoint.at("memory_bytes")),
               fmt::format("{}/{}", Str(endpoint.at("running")),
                           Str(endpoint.at("max_running"))),
               ReplicaList(endpoint.at("replicas").as_array(), "model")});
  }
  return table.ToText();
}

std::string RenderModels(const json::object& answer) {
  Table table({"MODEL", "SERVICE", "VERSION", "LIMIT", "ADAPTERS",
               "AT MOST ONCE", "REPLICAS"});
  for (const json::value& model : answer.at("models").as_array()) {
    table.Add({Str(model.at("model")), Str(model.at("service")),
               Str(model.at("version")), Str(model.at("max_replicas")),
               Str(model.at("adapters")), Str(model.at("non_idempotent")),
               ReplicaList(model.at("replicas").as_array(), "vm")});
  }
  return table.ToText();
}

std::string RenderDrain(const json::object& answer) {
  return fmt::format("{} takes no new work; {} requests are being finished\n",
                     Str(answer.at("vm")), Str(answer.at("running")));
}

}  // namespace

std::string RenderText(CommandKind kind, std::string_view body) {
  // The response is TOML already.
  if (kind == CommandKind::kConfig) return std::string(body);
  const json::value value = json::parse(body);
  const json::object& answer = value.as_object();
  switch (kind) {
    case CommandKind::kPlan:
    case CommandKind::kShow:
      return RenderPlan(answer);
    case CommandKind::kConfirm:
      return RenderConfirm(answer);
    case CommandKind::kStatus:
      return RenderStatus(answer);
    case CommandKind::kEndpoints:
      return RenderEndpoints(answer);
    case CommandKind::kModels:
      return RenderModels(answer);
    case CommandKind::kDrain:
      return RenderDrain(answer);
    case CommandKind::kConfig:
      break;
  }
  return std::string(body);
}

}  // namespace sapphire::ctl
