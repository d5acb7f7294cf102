#pragma once

/// Module dispatch: all decisions of one entry host.
///
/// Purpose: combines ids, the submission table, ownership, queues, the worker pool, membership and
/// the configuration into one object that turns events into actions.
/// Depends on: base, metrics, settings, submission, ownership, sched, upstream, membership, wire.
/// Performs no I/O and reads no clock.
///
/// Start reading at `entry_host`.

#include <dispatch/action.h>
#include <dispatch/caller_answer.h>
#include <dispatch/customer_directory.h>
#include <dispatch/entry_host.h>
#include <dispatch/identity.h>
#include <dispatch/ownership_service.h>
#include <dispatch/peer_service.h>
#include <dispatch/request_router.h>
#include <dispatch/submission_service.h>
#include <dispatch/task_dispatcher.h>
