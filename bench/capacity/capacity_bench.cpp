// Control overhead of an entry host at several deployment sizes: heap, processor time and peer
// messages.
//
// The complete entry hosts of one domain run under virtual time and exchange messages. Heap and
// processor time are measured without load. Messages are measured while every customer has some
// tasks on every host, so that the usage vectors have their full length. Links send no pings while
// no request is in flight. Each message counts as its frame plus 52 bytes of TCP/IP headers, and
// its acknowledgement as another 52 bytes.

#include <cstdio>
#include <ctime>
#include <deque>
#include <dispatch/entry_host.h>
#include <glog/logging.h>
#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <vector>
#include <wire/frame_codec.h>

namespace chivewharf::bench {
namespace {

constexpr duration step = milliseconds{10};
constexpr duration warm_up = seconds{20};
constexpr duration measured = seconds{20};
constexpr duration task_interval = seconds{2}; ///< between the tasks of one customer on one host
constexpr duration task_time = milliseconds{100};
constexpr std::size_t tcp_ip_bytes = 52;
constexpr std::uint64_t seed = 20261204;

struct size_point {
    unsigned domains;
    unsigned hosts;   ///< entry hosts in each domain
    unsigned workers; ///< in each domain
    unsigned customers;
};

settings::endpoint address(unsigned number, std::uint16_t port)
{
    return {"10." + std::to_string(number >> 16U) + '.' + std::to_string((number >> 8U) & 255U) +
                '.' + std::to_string(number & 255U),
            port};
}

std::string domain_name(unsigned number)
{
    return "domain-" + std::to_string(number);
}

std::string host_name(unsigned domain, unsigned number)
{
    return "entry-" + std::to_string(domain) + '-' + std::to_string(number);
}

std::shared_ptr<const settings::cluster_settings> make_settings(const size_point& size)
{
    settings::cluster_settings result;
    result.site = "bench";
    result.services.push_back({"plugdesk"});
    unsigned number = 1;
    for (unsigned d = 0; d < size.domains; ++d) {
        result.domains.push_back({domain_name(d), "region"});
        result.key_domains.push_back(domain_name(d));
        for (unsigned h = 0; h < size.hosts; ++h)
            result.entry_hosts.push_back(
                {host_name(d, h), domain_name(d), address(number++, 8090)});
        for (unsigned w = 0; w < size.workers; ++w)
            result.upstreams.push_back({"worker-" + std::to_string(number), address(number, 8100),
                                        domain_name(d), "plugdesk"});
        for (unsigned w = 0; w < size.workers; ++w)
            result.upstreams[result.upstreams.size() - size.workers + w].name =
                "worker-" + std::to_string(d) + '-' + std::to_string(w);
    }
    for (unsigned c = 0; c < size.customers; ++c) {
        settings::customer_settings customer;
        customer.name = "customer-" + std::to_string(c);
        customer.token_sha256 = sha256(customer.name);
        result.customers.push_back(std::move(customer));
    }
    return std::make_shared<const settings::cluster_settings>(std::move(result));
}

/// One entry host of the simulated domain.
struct host {
    std::unique_ptr<metrics::registry> metrics;
    std::unique_ptr<dispatch::entry_host> core;
    dispatch::peer_identity identity;
    std::deque<std::pair<time_point, dispatch::call_id>> running;
};

struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t frame_bytes = 0;
};

class simulated_domain {
public:
    explicit simulated_domain(const size_point& size) : settings_{make_settings(size)}
    {
        for (unsigned h = 0; h < size.hosts; ++h) {
            auto& node = hosts_[host_name(0, h)];
            node.metrics = std::make_unique<metrics::registry>();
            node.identity = {domain_name(0), host_name(0, h), h + 1};
            node.core = std::make_unique<dispatch::entry_host>(
                dispatch::identity{domain_name(0), host_name(0, h), h + 1}, "10.0.0.1:8090",
                settings_, *node.metrics, seed + h, now_);
            node.core->use_initial_settings({now_, 0});
        }
    }

    void run(duration time, bool loaded)
    {
        for (const auto end = now_ + time; now_ < end; now_ += step) {
            for (auto& [name, node] : hosts_) {
                end_tasks(node);
                if (loaded && now_.time_since_epoch() % task_interval == duration{0})
                    submit_tasks(node);
                node.core->tick(reading());
                deliver(node);
            }
        }
    }

    traffic counted{};
    std::map<std::string_view, traffic> by_type;

private:
    dispatch::clock_reading reading() const { return {now_, to_ms(now_.time_since_epoch())}; }

    void submit_tasks(host& to)
    {
        for (const auto& customer : settings_->customers) {
            dispatch::caller_request request;
            request.who = next_waiter_++;
            request.customer = customer.name;
            request.id = to.core->issue_ids(1, reading()).front();
            request.body = R"({"service":"plugdesk","tasks":[{"payload":1}]})";
            to.core->request(std::move(request), reading());
            deliver(to);
        }
    }

    void end_tasks(host& at)
    {
        while (!at.running.empty() && at.running.front().first <= now_) {
            dispatch::call_report report;
            report.end = dispatch::call_end::answered;
            report.body = "1";
            at.core->task_ended(at.running.front().second, std::move(report), reading());
            at.running.pop_front();
            deliver(at);
        }
    }

    void deliver(host& from)
    {
        for (auto& action : from.core->take_actions()) {
            if (const auto* task = std::get_if<dispatch::send_task>(&action))
                from.running.emplace_back(now_ + task_time, task->call);
            auto* send = std::get_if<dispatch::send_peer>(&action);
            if (send == nullptr)
                continue;
            count(send->message);
            const auto to = hosts_.find(send->host);
            if (to == hosts_.end())
                continue; // a host of another domain
            to->second.core->peer_message(from.identity, std::move(send->message), reading());
            deliver(to->second);
        }
    }

    void count(const wire::message& message)
    {
        const auto bytes = wire::encode(message).size();
        for (auto* sum : {&counted, &by_type[wire::name_of(message)]}) {
            ++sum->messages;
            sum->frame_bytes += bytes;
        }
    }

    std::shared_ptr<const settings::cluster_settings> settings_;
    std::map<std::string, host> hosts_;
    submission::waiter next_waiter_ = 1;
    time_point now_{std::chrono::hours{1}};
};

double processor_seconds()
{
    timespec ts{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

std::size_t heap_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Control overhead of one host.
struct control_cost {
    double heap_bytes = 0;
    double core_percent = 0;
    double membership_bytes = 0; ///< per second, with TCP/IP headers, without slot messages
};

control_cost measure(const size_point& size)
{
    const auto heap_before = heap_bytes();
    simulated_domain domain{size};
    domain.run(warm_up, false);
    const double heap = static_cast<double>(heap_bytes() - heap_before) / size.hosts;
    const auto processor_before = processor_seconds();
    domain.run(measured, false);
    const double processor = processor_seconds() - processor_before;
    domain.run(warm_up, true);
    domain.counted = {};
    domain.by_type.clear();
    domain.run(measured, true);
    const double host_seconds = to_seconds(measured) * size.hosts;
    const auto bytes = domain.counted.frame_bytes + domain.counted.messages * 2 * tcp_ip_bytes;
    std::printf("%7u %6u %8u %10u %10.0f %8.3f %8.1f %10.0f\n", size.domains, size.hosts,
                size.workers, size.customers, heap / 1024, processor / host_seconds * 100,
                static_cast<double>(domain.counted.messages) / host_seconds,
                static_cast<double>(bytes) / host_seconds);
    for (const auto& [type, sum] : domain.by_type)
        std::printf("        %-16s %6.2f messages/s %8.1f frame bytes/s\n",
                    std::string{type}.c_str(), static_cast<double>(sum.messages) / host_seconds,
                    static_cast<double>(sum.frame_bytes) / host_seconds);
    control_cost cost{heap, processor / host_seconds * 100, 0};
    for (const auto& [type, sum] : domain.by_type) {
        // Slot messages depend on the load, not on the size; the policy benchmark counts them.
        if (!type.starts_with("slot_"))
            cost.membership_bytes +=
                static_cast<double>(sum.frame_bytes + sum.messages * 2 * tcp_ip_bytes) /
                host_seconds;
    }
    return cost;
}

} // namespace
} // namespace chivewharf::bench

int main()
{
    FLAGS_minloglevel = google::GLOG_ERROR;
    using chivewharf::bench::size_point;
    chivewharf::bench::control_cost cost; // of the design size, which is measured last
    std::puts("domains  hosts  workers  customers   heap KiB   core %  msgs/s  sent B/s");
    for (const auto& size :
         {size_point{3, 3, 17, 2}, size_point{3, 3, 17, 12}, size_point{3, 3, 17, 120},
          size_point{3, 3, 100, 12}, size_point{3, 3, 340, 12}, size_point{3, 16, 100, 12},
          size_point{3, 48, 340, 12}, size_point{5, 48, 340, 120}})
        cost = chivewharf::bench::measure(size);
    std::printf("figure capacity.control_bytes_per_s %.0f\n", cost.membership_bytes);
    std::printf("figure capacity.control_core_percent %.3f\n", cost.core_percent);
    std::printf("figure capacity.heap_bytes %.0f\n", cost.heap_bytes);
    return 0;
}
