#pragma once

/// Module submission: submission ids and the submission table of one entry host.
///
/// Purpose: recognises resubmissions, which join the submission in flight or get its stored answer;
/// lets each task start only once; matches results to attempts; stores answers and tombstones.
/// Depends on: base.
/// Does no input or output and reads no clock.
///
/// Calls for one submission: `submission_table::find` handles an id that is already in the table.
/// An unknown id is first checked with `id_issuer::check` (issued ids) or the module ownership
/// (caller-chosen ids) and then passed to `submission_table::admit`. Call
/// `submission_table::may_start` before each send of a task and `submission_table::finish_task`
/// when the attempt has ended.

#include <submission/answer.h>
#include <submission/id_issuer.h>
#include <submission/key_index.h>
#include <submission/submission_error.h>
#include <submission/submission_id.h>
#include <submission/submission_table.h>
