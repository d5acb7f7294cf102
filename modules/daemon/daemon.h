#pragma once

/// Module daemon: the I/O and process layer around the decision core of an entry host.
///
/// Purpose: HTTP for callers and upstreams, links to peers, the client of the platform, the
/// supervisor tree and the planned stop.
/// Depends on: base, metrics, settings, dispatch, configlog, fleet, wire, runtime.
///
/// Start reading at `entry_daemon`, the process of the stand-alone deployment, or at
/// `fleet_daemon`, the process on the users' platform.

#include <daemon/caller_front.h>
#include <daemon/caller_gateway.h>
#include <daemon/core_loop.h>
#include <daemon/entry_daemon.h>
#include <daemon/fleet_daemon.h>
#include <daemon/host_list.h>
#include <daemon/link_hub.h>
#include <daemon/link_sockets.h>
#include <daemon/peer_gateway.h>
#include <daemon/peer_link.h>
#include <daemon/platform_gateway.h>
#include <daemon/store_reader.h>
#include <daemon/upstream_gateway.h>
