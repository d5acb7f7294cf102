#pragma once

/// Module configlog: which configuration version is in force.
///
/// Purpose: records of the stream `configuration`, the configuration that results from applying
/// them in log order, publication, republication, the follower in each process, and the rate limit
/// of log appends.
/// Depends on: base, settings.
/// Performs no I/O and reads no clock.

#include <configlog/append_budget.h>
#include <configlog/config_follower.h>
#include <configlog/config_history.h>
#include <configlog/config_publisher.h>
#include <configlog/config_record.h>
#include <configlog/republisher.h>
