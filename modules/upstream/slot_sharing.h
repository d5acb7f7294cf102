#pragma once

#include <base/rng.h>
#include <base/time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <upstream/home_map.h>
#include <upstream/slot_messages.h>
#include <upstream/worker_pool.h>
#include <utility>
#include <vector>

namespace chivewharf::upstream {

/// Constants of the lending of slots.
struct sharing_options {
    duration lease = seconds{2};
    /// The lender keeps a grant for this long past the lease.
    duration margin = milliseconds{100};
    /// A grant in use is renewed after this part of its lease.
    double renew_after = 0.5;
    /// A borrowed slot that was idle this long is returned.
    duration idle_return = milliseconds{200};
    /// Most slots in one request.
    std::uint32_t batch = 32;
    /// Requests without an answer at the same time, for one service.
    std::uint32_t requests_out = 2;
    /// A request without an answer no longer counts against `requests_out` after this.
    duration request_timeout = milliseconds{250};
    /// Wait before a peer that refused is asked again; doubled each time, with jitter up to half.
    duration backoff_first = milliseconds{50};
    duration backoff_longest = seconds{2};
    /// Part of its spare slots that a host lends in one grant; the rest serves its own arrivals.
    double lend_part = 0.5;
};

/// Running totals for `/metrics`.
struct sharing_counters {
    std::uint64_t requests = 0;
    std::uint64_t renewals = 0;
    std::uint64_t grants = 0;
    std::uint64_t refusals = 0;
    std::uint64_t returns = 0;
    std::uint64_t lapsed_lent = 0;
    std::uint64_t lapsed_borrowed = 0;
};

/// Divides the workers of the domain among its entry hosts and lends free slots of this host's own
/// workers to peers with a backlog. Sets the shares of the pool, which must outlive it. Call `tick`
/// every 10 to 50 ms.
class slot_sharing {
public:
    /// \param self name of this entry host
    slot_sharing(worker_pool& pool, std::string self, sharing_options options = {});

    /// Sets the members of the domain. A worker that moves here from a host that is still live is
    /// used after the longest hold of a grant, so that the old home's grants have lapsed.
    void set_members(time_point now, std::vector<member> members);

    /// Call it after workers were put into the pool or removed from it.
    void workers_changed(time_point now);

    /// Tasks queued here for the service that no free slot can take.
    void set_backlog(std::string_view service, std::uint32_t tasks);

    /// Ends lapsed grants and gives the requests, renewals and returns to send.
    std::vector<outgoing_slot_message> tick(time_point now, rng& random);

    /// A peer asks for slots. Never grants a slot that is in use.
    slot_grant on_request(time_point now, std::string_view from, const slot_request& message);

    /// A peer answers; an answer that arrives after its lease is ignored.
    void on_grant(time_point now, std::string_view from, const slot_grant& message, rng& random);

    void on_return(time_point now, std::string_view from, const slot_return& message);

    /// Home entry host of the worker; empty if no host is live.
    std::string_view home(std::string_view worker) const { return homes_.home(worker); }

    /// Slots of own workers that this host could lend now.
    std::uint32_t spare(std::string_view service) const;

    const sharing_counters& counters() const noexcept { return counters_; }

private:
    struct lent_grant {
        std::string to;
        std::string worker;
        std::string service;
        std::uint32_t slots = 0;
        time_point expires;  // of the lease, with margin
        time_point reusable; // after the last task that may run on it
    };
    struct borrowed_grant {
        std::string worker;
        std::string service;
        std::uint32_t slots = 0;
        time_point lease_end;
        time_point last_used;
        time_point renew_at;
    };
    struct sent_request {
        std::string to;
        std::string service;
        time_point sent_at;
        std::uint32_t slots = 0;
    };
    struct peer_record {
        std::optional<std::uint32_t> spare;
        time_point not_before;
        std::uint32_t refusals = 0;
    };
    struct worker_home {
        std::string host;
        std::optional<time_point> usable_from;
    };
    using grant_key = std::pair<std::string, std::uint64_t>; // lender, grant

    void apply_share(time_point now, worker_id worker);
    void apply_share(time_point now, const std::string& worker);
    void drop_lapsed(time_point now);
    void note_use(time_point now);
    std::uint32_t busy_slots(const std::string& worker) const;
    std::uint32_t lendable(worker_id worker) const;
    void add_returns(time_point now, std::vector<outgoing_slot_message>& out);
    void add_renewals(time_point now, std::vector<outgoing_slot_message>& out);
    void add_requests(time_point now, rng& random, std::vector<outgoing_slot_message>& out);
    std::vector<std::string> askable_peers(time_point now, const std::string& service, rng& random);
    void back_off(time_point now, peer_record& peer, rng& random) const;

    worker_pool& pool_;
    std::string self_;
    sharing_options options_;
    home_map homes_;
    bool members_known_ = false;
    std::map<std::string, worker_home, std::less<>> worker_homes_;
    std::map<std::uint64_t, lent_grant> lent_;
    std::map<std::string, std::uint32_t, std::less<>> lent_slots_; // by worker
    std::map<grant_key, borrowed_grant> borrowed_;
    std::map<std::uint64_t, sent_request> sent_;
    std::map<std::pair<std::string, std::string>, peer_record> peers_; // host, service
    std::map<std::string, std::uint32_t, std::less<>> backlog_;
    std::uint64_t next_grant_ = 1;
    std::uint64_t next_request_ = 1;
    sharing_counters counters_;
};

} // namespace chivewharf::upstream
