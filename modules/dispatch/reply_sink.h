#pragma once

#include <dispatch/caller_answer.h>
#include <submission/submission_table.h>

namespace chivewharf::dispatch {

/// Delivers the answer to a request, whether it came from a caller or from a peer.
class reply_sink {
public:
    reply_sink() = default;
    reply_sink(const reply_sink&) = delete;
    reply_sink& operator=(const reply_sink&) = delete;
    virtual ~reply_sink() = default;
    virtual void reply(submission::waiter who, caller_answer answer) = 0;
};

} // namespace chivewharf::dispatch
