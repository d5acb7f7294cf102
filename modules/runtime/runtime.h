#pragma once

/// Module runtime: event loop, network I/O and process lifecycle.
///
/// Purpose: GLib main loop and signals, timers, sockets, HTTP server and client, supervisor tree.
/// Depends on: base, metrics, GLib/GIO, libsoup 3.

#include <runtime/connection_end.h>
#include <runtime/connection_log.h>
#include <runtime/gobject_ptr.h>
#include <runtime/http_client.h>
#include <runtime/http_client_call.h>
#include <runtime/http_exchange.h>
#include <runtime/http_message.h>
#include <runtime/http_server.h>
#include <runtime/main_loop.h>
#include <runtime/runtime_error.h>
#include <runtime/socket_address.h>
#include <runtime/socket_poller.h>
#include <runtime/socket_state.h>
#include <runtime/timer.h>
