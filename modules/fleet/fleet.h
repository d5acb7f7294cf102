#pragma once

/// Module fleet: decisions of a host that dispatches jobs on a shared platform (docs/platform.md).
///
/// Purpose: routing of jobs, claims on shards of workers, leases and free resources of workers,
/// placement, retries, and the versioned configuration. Depends on: base, metrics, wire (types of
/// the messages between hosts). Performs no I/O except log lines and reads no clock; all output
/// goes through the interfaces in `ports.h`.

#include <fleet/admission_forecast.h>
#include <fleet/adoption_probe.h>
#include <fleet/backfill.h>
#include <fleet/cancelled_jobs.h>
#include <fleet/claim_policy.h>
#include <fleet/cluster_config.h>
#include <fleet/config_state.h>
#include <fleet/decaying_sum.h>
#include <fleet/demand_profile.h>
#include <fleet/drain_state.h>
#include <fleet/finished_jobs.h>
#include <fleet/fleet_host.h>
#include <fleet/host_directory.h>
#include <fleet/host_identity.h>
#include <fleet/job_queue.h>
#include <fleet/job_router.h>
#include <fleet/job_run.h>
#include <fleet/operator_key.h>
#include <fleet/order_age.h>
#include <fleet/outstanding_runs.h>
#include <fleet/owner_choice.h>
#include <fleet/owner_view.h>
#include <fleet/pause_monitor.h>
#include <fleet/peer_clock.h>
#include <fleet/placement.h>
#include <fleet/ports.h>
#include <fleet/progress_check.h>
#include <fleet/recent_jobs.h>
#include <fleet/report_schedule.h>
#include <fleet/report_sender.h>
#include <fleet/request_log.h>
#include <fleet/retry_schedule.h>
#include <fleet/run_time_model.h>
#include <fleet/sent_tasks.h>
#include <fleet/shard_claims.h>
#include <fleet/shard_forecast.h>
#include <fleet/shard_owner.h>
#include <fleet/shard_plan.h>
#include <fleet/shard_workers.h>
#include <fleet/topic_follower.h>
#include <fleet/topic_reader.h>
#include <fleet/types.h>
#include <fleet/usable_capacity.h>
#include <fleet/worker_avoidance.h>
#include <fleet/worker_clock.h>
#include <fleet/worker_directory.h>
#include <fleet/worker_session.h>
