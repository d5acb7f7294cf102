#pragma once

/// Module base: types that every other module uses.
///
/// Purpose: time, results, random numbers, names of enumerators, structured logging and digests.
/// Depends on: GLib (checksums), glog, tl::expected, xxHash.
/// Performs no I/O except for logging (`log_line`, `log_output.h`).

#include <base/digest.h>
#include <base/enum_names.h>
#include <base/log_line.h>
#include <base/log_output.h>
#include <base/reason.h>
#include <base/result.h>
#include <base/rng.h>
#include <base/time.h>
