#pragma once

/// Module upstream: selects the worker for each task and shares the workers' slots among entry
/// hosts.
///
/// Purpose: worker pool with the health and speed of each worker, worker selection, the home entry
/// host of each worker, and lending of slots between entry hosts.
/// Depends on: base.
/// Performs no I/O and reads no clock; the caller passes the time and a seeded random generator.

#include <upstream/choice_policy.h>
#include <upstream/home_map.h>
#include <upstream/pool_options.h>
#include <upstream/slot_messages.h>
#include <upstream/slot_sharing.h>
#include <upstream/task_outcome.h>
#include <upstream/upstream_error.h>
#include <upstream/winner_tree.h>
#include <upstream/worker.h>
#include <upstream/worker_health.h>
#include <upstream/worker_pool.h>
