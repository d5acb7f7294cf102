#pragma once

/// Module submission: submission ids and the table of submissions of one entry host.
///
/// Purpose: decides whether a submission is new, joins or answers resubmissions, lets each task
/// start once, matches results to attempts and keeps answers and ids.
/// Depends on: base.
/// Does no input or output and reads no clock.
///
/// A submission passes these steps: `submission_table::find` joins or answers a known id; for an
/// unknown id the caller asks `id_issuer::check` (issued ids) or the module ownership (callers'
/// ids) and then calls `submission_table::admit`. Before each send of a task it calls
/// `submission_table::may_start`, and after it `submission_table::finish_task`.

#include <submission/answer.h>
#include <submission/held_index.h>
#include <submission/id_issuer.h>
#include <submission/submission_error.h>
#include <submission/submission_id.h>
#include <submission/submission_table.h>
