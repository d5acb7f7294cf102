#pragma once

/// Module settings: base file and site overlay, checked and parsed into plain aggregates.
///
/// Purpose: `load_file` or `parse_text`, then `merge`, then `parse_cluster` or `parse_host`. Every
/// fault of a document is reported in one pass.
/// Depends on: base, nlohmann json.
/// Does no input or output except `load_file`.

#include <settings/cluster_settings.h>
#include <settings/document.h>
#include <settings/endpoint.h>
#include <settings/fleet_settings.h>
#include <settings/host_settings.h>
#include <settings/settings_diff.h>
#include <settings/settings_error.h>
