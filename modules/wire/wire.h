#pragma once

/// Module wire: the protocol between entry hosts (docs/design.md, section 5.1).
///
/// Purpose: typed messages, their frames (FlatBuffers behind a 4-byte length), the handshake that
/// authenticates a link, and the keepalive decisions. FlatBuffers stays inside this module.
/// Depends on: base, FlatBuffers. Does no input or output and reads no clock.

#include <wire/frame_codec.h>
#include <wire/handshake.h>
#include <wire/link_monitor.h>
#include <wire/messages.h>
#include <wire/wire_error.h>
