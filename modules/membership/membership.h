#pragma once

/// Module membership: live entry hosts and domain-wide usage (docs/design.md, section 5.2).
///
/// Purpose: tracks which entry hosts of this domain are live, detects failed hosts by heartbeats,
/// lists the known hosts of other domains, and averages each customer's usage over the domain.
/// Depends on: base. Does no input or output and reads no clock.

#include <membership/hash_ring.h>
#include <membership/member_table.h>
#include <membership/membership_error.h>
#include <membership/messages.h>
#include <membership/usage_average.h>
