#pragma once

/// Module wire: the protocol between entry hosts (docs/design.md, section 5.1).
///
/// Purpose: typed messages, their encoding as length-prefixed FlatBuffers frames, the handshake
/// that authenticates a link, and its keepalive timing. FlatBuffers is not visible outside this
/// module. Depends on: base, FlatBuffers. Performs no I/O and reads no clock.

#include <wire/frame_codec.h>
#include <wire/handshake.h>
#include <wire/link_monitor.h>
#include <wire/messages.h>
#include <wire/wire_error.h>
