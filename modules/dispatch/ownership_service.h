#pragma once

#include <dispatch/action.h>
#include <dispatch/id_authority.h>
#include <dispatch/identity.h>
#include <dispatch/start_guard.h>
#include <map>
#include <metrics/registry.h>
#include <ownership/slot_owner.h>
#include <settings/cluster_settings.h>
#include <string>
#include <submission/submission_table.h>
#include <vector>

namespace chivewharf::dispatch {

/// Decides which submissions this incarnation may start: issued ids according to its issuer, ids
/// chosen by callers according to the ownership of their slot. Turns the decisions of
/// `ownership::slot_owner` into actions.
class ownership_service final : public id_authority, public start_guard {
public:
    /// \param options fixed for the lifetime of the process, since all hosts of a domain must agree
    ownership_service(identity self, const submission::id_issuer& issuer,
                      const ownership::ownership_options& options, time_point started,
                      action_list& actions, metrics::registry& metrics);

    /// Timing parameters of slot ownership from the settings.
    static ownership::ownership_options options_of(const settings::policy_settings& policy);

    /// Sets the configured hosts of the domain from the configuration in force.
    /// \param may_claim_from time from which this host may claim slots
    void apply(const settings::cluster_settings& settings, time_point may_claim_from);

    void set_live_hosts(std::vector<std::string> others);

    /// Name of the log stream of this domain's slots.
    const std::string& stream() const noexcept { return stream_; }

    /// Offset from which to read the stream.
    std::uint64_t next_offset() const { return owner_.log().next_offset(); }

    /// Processes the result of a read of the stream.
    /// \return slots that this incarnation lost
    std::vector<unsigned> on_log(const ownership::log_read& read, time_point now);

    void on_append(const std::string& record_id, ownership::append_outcome outcome, time_point now);

    /// Claims slots, renews leases and requests promises when they are due.
    void tick(time_point now);

    void on_promise_request(const std::string& from, const wire::promise_request& request,
                            time_point now);
    void on_promise(const wire::promise& given, time_point now);
    void on_handover_records(const std::string& from, const wire::handover_records& part,
                             submission::submission_table& table, time_point now);

    /// Hands the owned slots over to the successors, round-robin, with one append for each
    /// successor. Without a successor no slot is handed over.
    void hand_over(const std::vector<ownership::incarnation_id>& successors,
                   const submission::submission_table& table, time_point now);

    /// True if no append of a handover is pending.
    bool handovers_done() const noexcept { return handovers_.empty(); }

    /// Host that owns the slot according to the log; empty if none does.
    std::string owner_host(unsigned slot) const;

    std::size_t owned_slots() const { return owner_.own_slots().size(); }

    id_verdict check_id(const submission::submission_id& id, std::string_view customer,
                        time_point now) const override;
    bool may_start(std::uint8_t slot, std::uint64_t epoch, time_point now) const override;
    time_point start_limit(std::uint8_t slot) const override;

private:
    id_verdict check_slot(unsigned slot, time_point now) const;
    void send_records(unsigned slot, const std::string& to,
                      const submission::submission_table& table, time_point now);

    identity self_;
    const submission::id_issuer& issuer_;
    action_list& actions_;
    ownership::slot_owner owner_;
    std::string stream_;
    std::vector<std::string> other_configured_hosts_;
    /// Text of unconfirmed handover records, by record id.
    std::map<std::string, std::string> handovers_;
    /// Next expected part of the records of a slot, by slot and epoch, during a handover to this
    /// host.
    std::map<std::pair<std::uint16_t, std::uint64_t>, std::uint64_t> next_parts_;
    std::uint64_t& claims_;
    std::uint64_t& promise_requests_;
};

} // namespace chivewharf::dispatch
