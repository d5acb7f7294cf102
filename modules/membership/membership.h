#pragma once

/// Module membership: live entry hosts and domain-wide usage (docs/design.md, section 5.2).
///
/// Purpose: which entry hosts of this domain are live, known hosts of other domains, detection of
/// dead hosts by heartbeats, and averages of the customers' usage over the domain.
/// Depends on: base. Does no input or output and reads no clock.

#include <membership/hash_ring.h>
#include <membership/member_table.h>
#include <membership/membership_error.h>
#include <membership/messages.h>
#include <membership/usage_average.h>
