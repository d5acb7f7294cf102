#pragma once

/// Module upstream: which worker a task is sent to, and how entry hosts share the workers' slots.
///
/// Purpose: worker pool with health and speed of each worker, choice of a worker, home entry host
/// of each worker, and lending of slots between entry hosts.
/// Depends on: base.
/// Does no input or output and reads no clock; the caller passes the time and a seeded generator.

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
