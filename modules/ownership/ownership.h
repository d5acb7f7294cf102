#pragma once

/// Module ownership: which incarnation of an entry host may start a caller-chosen id.
///
/// Purpose: the records of stream `ownership.DOMAIN`, their fold in log order and the decisions of
/// one incarnation: claims, leases, promises, quarantine and handover.
/// Depends on: base, nlohmann json.
/// Does no input or output and reads no clock.
///
/// `ownership_log_state` folds the log, `slot_owner` decides. The shell feeds log reads, append
/// outcomes and peer messages to `slot_owner` and carries out the actions of `slot_owner::poll`.

#include <ownership/ownership_error.h>
#include <ownership/ownership_log_state.h>
#include <ownership/ownership_options.h>
#include <ownership/ownership_record.h>
#include <ownership/slot_owner.h>
