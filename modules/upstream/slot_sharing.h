#pragma once

#include <base/rng.h>
#include <base/time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <upstream/home_map.h>
#include <upstream/slot_messages.h>
#include <upstream/worker_pool.h>
#include <utility>
#include <vector>

namespace chivewharf::upstream {

/// How the slots of a failure domain are divided among its entry hosts.
enum class capacity_split : std::uint8_t {
    grants,        ///< each worker has a home host, which lends free slots to hosts with a backlog
    fixed,         ///< baseline: each worker serves only its home host
    uncoordinated, ///< baseline: every host uses every worker; the runner refuses excess tasks
};

/// Parameters of slot lending.
struct sharing_options {
    /// Time, measured from its request, for which a borrower may start tasks on granted slots.
    duration lease = seconds{2};
    /// Safety margin: the lender treats a grant as valid for this long after its lease.
    duration margin = milliseconds{100};
    /// A grant is renewed after this fraction of its lease.
    double renew_after = 0.5;
    /// A borrowed slot is returned after it was idle for this long.
    duration idle_return = milliseconds{200};
    /// Maximum number of slots in one request.
    std::uint32_t max_slots_per_request = 32;
    /// Maximum number of unanswered requests at the same time for one service.
    std::uint32_t max_requests_in_flight = 2;
    /// After this time an unanswered request counts as refused and no longer as in flight.
    duration request_timeout = milliseconds{250};
    /// Back-off before a peer that refused is asked again. It doubles with each refusal, and jitter
    /// adds up to half of it.
    duration backoff_first = milliseconds{50};
    duration backoff_max = seconds{2};
    /// Back-off after a refusal before any peer is asked again for the service. It doubles with
    /// each consecutive refusal, which limits a host to 8 requests per second while the domain is
    /// full.
    duration service_backoff_first = milliseconds{10};
    duration service_backoff_max = milliseconds{250};
    /// Fraction of its spare slots that a host lends in answer to one request. Reserving half of
    /// them for its own arrivals caused more requests without shorter response times.
    double lend_fraction = 1.0;
    /// Interval at which the home of a leaving worker is notified again, in case a message is lost.
    duration leave_notice_interval = milliseconds{500};
    /// Total time for which the home is notified; afterwards no host may send new work to the
    /// worker.
    duration leave_notice_period = seconds{3};
    capacity_split split = capacity_split::grants;
};

/// Cumulative counters for `/metrics`.
struct sharing_counters {
    std::uint64_t requests = 0;
    std::uint64_t renewals = 0;
    std::uint64_t grants = 0;
    std::uint64_t refusals = 0;
    std::uint64_t returns = 0;
    std::uint64_t expired_lent = 0;
    std::uint64_t expired_borrowed = 0;
};

/// Divides the workers of the failure domain among its entry hosts and lends free slots of this
/// host's own workers to peers with a backlog. A worker is owned by its home host (see `home_map`).
/// Sets the shares in the pool, which must outlive this object. Call `tick` every 10 to 50 ms.
class slot_sharing {
public:
    /// \param self name of this entry host
    /// \param first_number random start of the numbering of requests and grants, so that messages
    ///        of an earlier incarnation of this host are not mistaken for current ones
    slot_sharing(worker_pool& pool, std::string self, std::uint64_t first_number,
                 sharing_options options = {});

    /// Sets the members of the domain; this host always counts as live. If this host becomes the
    /// home of a worker whose old home is still live, it does not use the worker until lease and
    /// margin have passed; from then on no host starts a task on a grant of the old home. Earlier
    /// tasks may still be running on the worker, but the runner refuses tasks in excess of its
    /// slots. Grants from hosts that are not live are dropped.
    void set_members(time_point now, std::vector<member> members);

    /// Sets the lease of future grants.
    void set_lease(duration lease) { options_.lease = lease; }

    /// Call it after workers were added to the pool, changed or removed.
    void workers_changed(time_point now);

    /// Sets the number of tasks queued on this host for which the service has no free slot.
    void set_backlog(std::string_view service, std::uint32_t tasks);

    /// Ends expired grants and returns the messages to send: requests, renewals, returns and leave
    /// notices.
    std::vector<outgoing_slot_message> tick(time_point now, rng& random);

    /// Handles a request from a peer. Never grants a slot that is in use.
    slot_grant on_request(time_point now, std::string_view from, const slot_request& message);

    /// Handles an answer from a peer. Slots are ignored if the answer arrives after their lease.
    void on_grant(time_point now, std::string_view from, const slot_grant& message, rng& random);

    /// Handles returned slots and leave notices from a peer.
    void on_return(time_point now, std::string_view from, const slot_return& message);

    /// Records that a runner announced the shutdown of its worker in a response header. The
    /// worker's home, which grants its slots, is notified, since it may not itself receive a
    /// response from the worker for a long time.
    void note_leaving(time_point now, const std::string& worker);

    /// Sets the known number of spare slots of a peer. Peers with the most are asked first.
    void note_spare(const std::string& host, const std::string& service, std::uint32_t slots);

    /// Home entry host of the worker; empty if no host is live.
    std::string_view home(std::string_view worker) const { return homes_.home(worker); }

    /// Slots of own workers that this host could lend now.
    std::uint32_t spare(std::string_view service) const;

    const sharing_counters& counters() const noexcept { return counters_; }

private:
    struct lent_grant {
        std::string to;
        std::string worker;
        std::uint32_t slots = 0;
        time_point expires;  // end of the lease plus margin
        time_point reusable; // end of the last task that may run on the grant
    };
    struct borrowed_grant {
        std::string worker;
        std::string service;
        std::uint32_t slots = 0;
        time_point lease_end;
        time_point renew_at;
        time_point window_start; // start of the interval that `peak` covers
        std::uint32_t peak = 0;  // maximum number of slots in use since `window_start`
        std::uint32_t in_use = 0;
        bool recalled = false; ///< not renewed by the lender: slots are returned as tasks end
    };
    struct sent_request {
        std::string to;
        std::string service;
        time_point sent_at;
        std::uint32_t slots = 0;
        bool timed_out = false;
        std::vector<std::uint64_t> renewals = {}; ///< grants to renew
    };
    struct peer_record {
        std::optional<std::uint32_t> spare;
        time_point not_before;
        std::uint32_t refusals = 0;
    };
    struct leave_notice {
        time_point next;
        time_point until;
    };
    using grant_key = std::pair<std::string, std::uint64_t>; // lender, grant

    void rebuild(time_point now, const home_map* previous);
    void apply_share(time_point now, const std::string& worker);
    std::uint32_t own_share(time_point now, const std::string& worker, worker_id id) const;
    bool is_own(std::string_view worker) const;
    void drop_expired(time_point now);
    void shrink_lent(std::map<std::uint64_t, lent_grant>::iterator grant, std::uint32_t slots);
    std::uint32_t lendable(worker_id worker) const;
    std::vector<granted_slots> renew(time_point now, std::string_view from,
                                     const std::vector<granted_slots>& wanted);
    std::vector<granted_slots> lend(time_point now, std::string_view from,
                                    const std::string& service, std::uint32_t wanted);
    void update_usage();
    void add_returns(time_point now, std::vector<outgoing_slot_message>& out);
    void add_leave_notices(time_point now, std::vector<outgoing_slot_message>& out);
    void add_renewals(time_point now, std::vector<outgoing_slot_message>& out);
    void add_requests(time_point now, rng& random, std::vector<outgoing_slot_message>& out);
    std::optional<std::string> next_peer(time_point now, const std::string& service, rng& random);
    void handle_timeouts(time_point now, rng& random);
    void back_off(time_point now, const sent_request& request, rng& random);

    worker_pool& pool_;
    std::string self_;
    sharing_options options_;
    home_map homes_;
    std::map<std::string, time_point, std::less<>> usable_from_; // own workers that moved here
    std::map<std::string, std::vector<std::string>, std::less<>> own_workers_; // workers by service
    std::map<std::string, std::set<std::string>, std::less<>> lenders_;        // peers by service
    std::map<std::uint64_t, lent_grant> lent_;
    std::map<std::string, std::uint32_t, std::less<>> lent_slots_; // by worker
    std::map<grant_key, borrowed_grant> borrowed_;
    std::map<std::uint64_t, sent_request> sent_requests_;
    std::map<std::pair<std::string, std::string>, peer_record> peers_; // host, service
    std::map<std::string, std::uint32_t, std::less<>> backlog_;
    std::map<std::string, leave_notice> leaving_;                      // by worker
    std::map<std::string, peer_record, std::less<>> service_backoffs_; // by service
    std::uint64_t next_number_; // next number of a request or grant
    sharing_counters counters_;
};

} // namespace chivewharf::upstream
