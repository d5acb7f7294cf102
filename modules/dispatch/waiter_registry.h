#pragma once

#include <base/time.h>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <submission/submission_table.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivewharf::dispatch {

/// A request that waits for the answer to a submission.
struct waiting_request {
    submission::submission_key key;
    std::string id;
    time_point until; ///< time at which `pending` is answered
};

/// The waiting requests of this entry host, ordered by the time at which their wait expires.
class waiter_registry {
public:
    void add(submission::waiter who, waiting_request request);

    /// Removes and returns a request; none if it is not waiting.
    std::optional<waiting_request> remove(submission::waiter who);

    /// Removes and returns the requests whose wait has expired.
    std::vector<std::pair<submission::waiter, waiting_request>> remove_due(time_point now);

    /// Earliest `until`; none if no request is waiting.
    std::optional<time_point> next_due() const;

    std::size_t size() const noexcept { return requests_.size(); }

private:
    std::unordered_map<submission::waiter, waiting_request> requests_;
    std::set<std::pair<time_point, submission::waiter>> due_;
};

} // namespace chivewharf::dispatch
