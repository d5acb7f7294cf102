#pragma once

/// Module ownership: which incarnation of an entry host may start a caller-chosen id.
///
/// Purpose: the records of stream `ownership.DOMAIN`, the ownership state that results from
/// applying them in log order, and the decisions of one incarnation: claims, leases, promises,
/// quarantine and handover.
/// Depends on: base, nlohmann json.
/// Does no input or output and reads no clock.
///
/// `ownership_log_state` applies the log, `slot_owner` makes the decisions. The caller, which does
/// the input and output, passes log reads, append outcomes and peer messages to `slot_owner` and
/// carries out the actions that `slot_owner::poll` returns.

#include <ownership/ownership_error.h>
#include <ownership/ownership_log_state.h>
#include <ownership/ownership_options.h>
#include <ownership/ownership_record.h>
#include <ownership/slot_owner.h>
