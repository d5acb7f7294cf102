#pragma once

#include <dispatch/action.h>
#include <dispatch/identity.h>
#include <dispatch/ownership_service.h>
#include <dispatch/reply_sink.h>
#include <dispatch/submission_service.h>
#include <map>
#include <membership/member_table.h>
#include <metrics/registry.h>
#include <optional>
#include <set>
#include <settings/cluster_settings.h>
#include <string>
#include <unordered_map>

namespace chivewharf::dispatch {

/// A caller's request before it is routed to the host responsible for its id.
struct caller_request {
    submission::waiter who = 0;
    wire::operation operation = wire::operation::submit;
    std::string customer;
    std::string id;
    std::string body;
    std::optional<duration> wait;
};

/// Routes each request to the host that is responsible for its id: to the service of this process,
/// or over the peer link as one message that is answered by one message. A request that arrives
/// from a peer is never forwarded again. If this host is not responsible for it either, the answer
/// names the owner of the slot, and the sender forwards the request there, but only once, so a
/// request is forwarded to at most two hosts. If the id was issued by a host or the owner is
/// unknown, the answer is a refusal.
class request_router final : public reply_sink {
public:
    request_router(identity self, submission_service& service, const ownership_service& ownership,
                   const membership::member_table& members, action_list& actions,
                   metrics::registry& metrics);

    void apply(std::shared_ptr<const settings::cluster_settings> settings)
    {
        settings_ = std::move(settings);
    }

    /// Must be called once a configuration is in force; until then requests from peers are refused
    /// with `not_ready`.
    void set_ready() noexcept { ready_ = true; }

    /// Routes a request from a caller of this host.
    void request(caller_request request, time_point now);

    /// Handles a request that a peer forwarded.
    void on_forward(const std::string& from, wire::forward message, time_point now);

    /// Handles the answer to a request that this host forwarded.
    void on_answer(const std::string& from, wire::forward_answer answer, time_point now);

    /// Handles a new link to the host: resends the requests that wait for its answer, which is safe
    /// while the owner recognises the id. A submission is not resent after half of the id lifetime,
    /// because the owner may have forgotten the id and would start it a second time.
    void peer_up(const std::string& host, time_point now);

    /// Handles the loss of the link to the host.
    void peer_down(const std::string& host);

    /// Drops a request whose caller has disconnected.
    void remove_waiter(submission::waiter who);

    /// Refuses forwarded requests whose wait has expired.
    void tick(time_point now);

    /// True while a request from or to the host has not been answered.
    bool awaits(const std::string& host) const;

    std::optional<time_point> next_due() const;
    std::size_t forwarded() const noexcept { return pending_.size(); }

    /// Number of requests from peers that have not been answered.
    std::size_t serving_peers() const noexcept { return remote_waiters_.size(); }

    void reply(submission::waiter who, caller_answer answer) override;

private:
    /// Destination of a request: this host, another host, or none, with the reason.
    struct route {
        bool local = false;
        std::string host;
        reason refusal = reason::none; ///< if there is no host
    };
    struct pending_request {
        submission::waiter who = 0;
        std::string id;
        std::string host;
        std::string home_domain; ///< of an id chosen by the caller; empty for an issued id
        unsigned slot = 0;
        wire::forward message;
        time_point asked_at;
        time_point expires;
        bool redirected = false;
    };
    struct remote_waiter {
        std::string host;
        std::uint64_t request_id = 0;
    };

    route route_of(const submission::submission_id& id, const std::string& customer) const;
    route route_issued(const submission::issued_parts& parts) const;
    route route_own_slot(unsigned slot) const;
    std::string any_host_of(const std::string& domain, unsigned slot) const;
    bool is_configured_host(const std::string& domain, const std::string& host) const;
    void serve(const caller_request& request, const submission::submission_id& id, time_point now);
    void forward(caller_request request, const submission::submission_id& id, std::string host,
                 time_point now);
    void refuse(submission::waiter who, reason cause, work_state work, const std::string& id,
                std::string message = {});
    void redirect(std::uint64_t request_id, const std::string& host);

    identity self_;
    submission_service& service_;
    const ownership_service& ownership_;
    const membership::member_table& members_;
    action_list& actions_;
    std::shared_ptr<const settings::cluster_settings> settings_;
    std::unordered_map<std::uint64_t, pending_request> pending_;
    std::set<std::pair<time_point, std::uint64_t>> expiries_;
    std::unordered_map<submission::waiter, std::uint64_t> pending_of_waiter_;
    std::unordered_map<submission::waiter, remote_waiter> remote_waiters_;
    std::map<std::pair<std::string, unsigned>, std::string> slot_hints_;
    std::set<std::string> links_up_;
    bool ready_ = false;
    /// Starts at the incarnation number, so that an answer meant for a predecessor process matches
    /// no request.
    std::uint64_t next_request_;
    submission::waiter next_remote_waiter_;
    metrics::reason_counters& refusals_;
    std::uint64_t& forwards_;
    std::uint64_t& resends_;
    std::uint64_t& redirects_;
    std::uint64_t& late_answers_;
};

} // namespace chivewharf::dispatch
