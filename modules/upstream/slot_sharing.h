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

/// How the slots of a domain are divided among its entry hosts.
enum class capacity_split : std::uint8_t {
    grants,        ///< each worker has a home, which lends free slots to hosts with a backlog
    fixed,         ///< baseline: each worker serves its home only
    uncoordinated, ///< baseline: every host uses every worker, and the runner refuses the excess
};

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
    /// Longest wait after refusals in a row before any peer is asked again for a service, starting
    /// from `search_first`. At most 8 requests a second then go out while the domain is full.
    duration search_first = milliseconds{10};
    duration search_longest = milliseconds{250};
    /// Part of its spare slots that a host lends in one grant. Keeping half back for own arrivals
    /// cost more requests and gave no shorter response times.
    double lend_part = 1.0;
    /// A home is told of a leaving worker again after this time, in case the message is lost.
    duration leave_repeat = milliseconds{500};
    /// And for this long; no host may send new work to the worker afterwards.
    duration leave_notice = seconds{3};
    capacity_split split = capacity_split::grants;
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
    /// \param first_number random number of this process; its requests and grants are numbered
    ///        from there, so that those of an earlier process under the same name don't match
    slot_sharing(worker_pool& pool, std::string self, std::uint64_t first_number,
                 sharing_options options = {});

    /// Sets the members of the domain; this host always counts as live. A worker that moves here
    /// from a host that is still live is used after lease and margin, when no host starts a task on
    /// a grant of the old home any more. Tasks that still run there are protected by the runner's
    /// refusal. Grants of hosts that are not live are dropped.
    void set_members(time_point now, std::vector<member> members);

    /// Lease of the grants that are made from here on.
    void set_lease(duration lease) { options_.lease = lease; }

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

    /// A runner announced in a header that the worker is leaving. Its home, which grants its slots,
    /// is told, since it may not receive an answer from the worker for a long time.
    void note_leaving(time_point now, const std::string& worker);

    /// Spare slots of a peer, where another message told them. Peers with the most are asked first.
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
        time_point expires;  // of the lease, with margin
        time_point reusable; // after the last task that may run on it
    };
    struct borrowed_grant {
        std::string worker;
        std::string service;
        std::uint32_t slots = 0;
        time_point lease_end;
        time_point renew_at;
        time_point window_start; // of `peak`
        std::uint32_t peak = 0;  // most slots in use since then
        std::uint32_t in_use = 0;
        bool recalled = false; ///< not renewed: slots go back as their tasks end
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
    void drop_lapsed(time_point now);
    void keep_lent(std::map<std::uint64_t, lent_grant>::iterator grant, std::uint32_t slots);
    std::uint32_t lendable(worker_id worker) const;
    std::vector<granted_slots> renew(time_point now, std::string_view from,
                                     const std::vector<granted_slots>& wanted);
    std::vector<granted_slots> lend(time_point now, std::string_view from,
                                    const std::string& service, std::uint32_t wanted);
    void note_use();
    void add_returns(time_point now, std::vector<outgoing_slot_message>& out);
    void add_leave_notices(time_point now, std::vector<outgoing_slot_message>& out);
    void add_renewals(time_point now, std::vector<outgoing_slot_message>& out);
    void add_requests(time_point now, rng& random, std::vector<outgoing_slot_message>& out);
    std::optional<std::string> next_peer(time_point now, const std::string& service, rng& random);
    void note_timeouts(time_point now, rng& random);
    void note_refusal(time_point now, const sent_request& request, rng& random);

    worker_pool& pool_;
    std::string self_;
    sharing_options options_;
    home_map homes_;
    std::map<std::string, time_point, std::less<>> usable_from_; // own workers that moved here
    std::map<std::string, std::vector<std::string>, std::less<>> own_;  // workers by service
    std::map<std::string, std::set<std::string>, std::less<>> lenders_; // peers by service
    std::map<std::uint64_t, lent_grant> lent_;
    std::map<std::string, std::uint32_t, std::less<>> lent_slots_; // by worker
    std::map<grant_key, borrowed_grant> borrowed_;
    std::map<std::uint64_t, sent_request> sent_;
    std::map<std::pair<std::string, std::string>, peer_record> peers_; // host, service
    std::map<std::string, std::uint32_t, std::less<>> backlog_;
    std::map<std::string, leave_notice> leaving_;              // by worker
    std::map<std::string, peer_record, std::less<>> searches_; // by service
    std::uint64_t next_number_;                                // of requests and grants
    sharing_counters counters_;
};

} // namespace chivewharf::upstream
