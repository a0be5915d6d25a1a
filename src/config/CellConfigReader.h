/// Readers shared by service files and published content.
#pragma once

#include "config/CellConfig.h"
#include "settings/JsonReader.h"

namespace dotterelcove {

/// Reads a service: {"team": …, "kinds": {…}}; `node` may have other members.
void ReadService(const JsonNode& node, ServiceConfig& service);

/// Read {"<name>": {…}, …} maps; a name that is already in the map is a fault.
void ReadTeams(const JsonNode& node, std::map<std::string, TeamConfig>& teams);
void ReadCallers(const JsonNode& node,
                 std::map<std::string, CallerConfig>& callers);

/// Reads `content` in the canonical form.
CellConfig ReadCellConfig(JsonSource& source);

}  // namespace dotterelcove
