#include "border/vmlist/VmList.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace dotterelcove {
namespace {

using nlohmann::json;

json VmToJson(const Vm& vm) {
  json object = {{"id", vm.id},
                 {"role", NameOf(kVmRoleNames, vm.role)},
                 {"state", NameOf(kVmStateNames, vm.state)},
                 {"zone", vm.zone},
                 {"rack", vm.rack},
                 {"address", vm.address}};
  if (vm.role == VmRole::kWorker) {
    object["milli_cores"] = vm.capacity.milli_cores;
    object["memory_mb"] = vm.capacity.memory_mb;
    object["accelerators"] = vm.capacity.accelerators;
    return object;
  }
  object["service"] = vm.service;
  object["slots"] = vm.slots;
  object["connections"] = vm.connections;
  return object;
}

bool GetText(const json& object, const char* name, std::string& text) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return false;
  text = found->get<std::string>();
  return true;
}

bool GetCount(const json& object, const char* name, int64_t& count) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_integer()) return false;
  count = found->get<int64_t>();
  return count >= 0;
}

bool VmFromJson(const json& object, Vm& vm) {
  if (!object.is_object()) return false;
  std::string role;
  std::string state;
  if (!GetText(object, "id", vm.id) || vm.id.empty() ||
      !GetText(object, "role", role) || !GetText(object, "state", state) ||
      !GetText(object, "zone", vm.zone) || !GetText(object, "rack", vm.rack) ||
      !GetText(object, "address", vm.address)) {
    return false;
  }
  const auto known_role = ValueOf(kVmRoleNames, role);
  const auto known_state = ValueOf(kVmStateNames, state);
  if (!known_role || !known_state) return false;
  vm.role = *known_role;
  vm.state = *known_state;
  if (vm.role == VmRole::kWorker) {
    return GetCount(object, "milli_cores", vm.capacity.milli_cores) &&
           GetCount(object, "memory_mb", vm.capacity.memory_mb) &&
           GetCount(object, "accelerators", vm.capacity.accelerators);
  }
  return GetText(object, "service", vm.service) &&
         GetCount(object, "slots", vm.slots) &&
         GetCount(object, "connections", vm.connections);
}

}  // namespace

std::string VmsToJson(const std::vector<Vm>& vms) {
  json list = json::array();
  for (const Vm& vm : vms) list.push_back(VmToJson(vm));
  return json{{"vms", std::move(list)}}.dump();
}

bool VmsFromJson(const std::string& text, std::vector<Vm>& vms) {
  const json body = json::parse(text, nullptr, false, true);
  if (!body.is_object()) return false;
  const auto list = body.find("vms");
  if (list == body.end() || !list->is_array()) return false;
  std::vector<Vm> read;
  for (const json& entry : *list) {
    Vm vm;
    if (!VmFromJson(entry, vm)) return false;
    read.push_back(std::move(vm));
  }
  vms = std::move(read);
  return true;
}

void FetchVms(const VmListClient& client,
              std::function<void(VmListResult)> done) {
  HttpCall call;
  call.url = client.base_url + "/v1/vms";
  call.timeout_ms = client.timeout_ms;
  client.http.Send(std::move(call),
                   [done = std::move(done)](const HttpResult& answer) {
                     VmListResult result;
                     result.ok = answer.failure == HttpFailure::kNone &&
                                 answer.status == 200 &&
                                 VmsFromJson(answer.body, result.vms);
                     done(std::move(result));
                   });
}

}  // namespace dotterelcove
