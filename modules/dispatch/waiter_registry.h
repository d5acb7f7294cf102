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
    time_point until; ///< when it is answered `pending`
};

/// The waiting requests of this entry host and the times at which their patience ends.
class waiter_registry {
public:
    void add(submission::waiter who, waiting_request request);

    /// Takes a request out; none if it does not wait.
    std::optional<waiting_request> remove(submission::waiter who);

    /// Takes out the requests whose time has come.
    std::vector<std::pair<submission::waiter, waiting_request>> take_due(time_point now);

    /// Earliest `until`; none if nobody waits.
    std::optional<time_point> next_due() const;

    std::size_t size() const noexcept { return requests_.size(); }

private:
    std::unordered_map<submission::waiter, waiting_request> requests_;
    std::set<std::pair<time_point, submission::waiter>> due_;
};

} // namespace chivewharf::dispatch
