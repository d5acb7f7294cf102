#pragma once

/// Module settings: reads a base file and a site overlay, validates them and parses them into plain
/// aggregates.
///
/// Use: `load_file` or `parse_text`, then `merge`, then `parse_cluster`, `parse_host` or
/// `parse_fleet`. All errors of a document are reported in one pass.
/// Depends on: base, nlohmann json.
/// Performs no I/O except in `load_file`.

#include <settings/cluster_settings.h>
#include <settings/document.h>
#include <settings/endpoint.h>
#include <settings/fleet_settings.h>
#include <settings/host_settings.h>
#include <settings/settings_diff.h>
#include <settings/settings_error.h>
