#pragma once

#include <base/time.h>
#include <fleet/config_state.h>
#include <fleet/drain_state.h>
#include <fleet/host_directory.h>
#include <fleet/host_identity.h>
#include <fleet/ports.h>
#include <fleet/shard_claims.h>
#include <string>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// Reports the state of this host to the others. A report has the lists of workers only if its
/// receiver does not have them yet.
class report_sender {
public:
    /// What a report tells, and where it goes. The referenced objects must outlive the sender.
    struct context {
        const host_identity& self;
        const shard_claims& claims;
        const config_state& config;
        const drain_state& drains;
        host_directory& directory;
        peer_port& peers;
    };

    explicit report_sender(context where) : context_{where} {}

    /// The report, without the lists of workers.
    wire::host_report report(time_point now) const;

    void send(const std::string& host, time_point now);
    void send_to_all(time_point now);
    /// Sends to the hosts of this host's failure domain.
    void send_to_domain(time_point now);
    /// Sends to the hosts to which the last report is older than their interval.
    void send_due(time_point now);

private:
    class report_cache;

    void send(const std::string& host, report_cache& reports);

    context context_;
};

} // namespace chivewharf::fleet
