#include "harness.h"

#include <dispatch/overloaded.h>
#include <glog/logging.h>
#include <iomanip>
#include <regex>

namespace chivewharf::dispatch {

namespace {

using nlohmann::json;

constexpr time_point first_time{seconds{1000}};
constexpr wall_ms first_wall = 1'700'000'000'000;
constexpr duration read_interval = milliseconds{200};

/// Messages that every host sends periodically; a transcript contains them only after `show`.
const std::set<std::string> periodic_messages{
    "heartbeat",   "member_report",  "usage_average",  "slot_request",  "slot_grant", "slot_return",
    "load_report", "config_version", "config_request", "config_record", "ping"};

json demo_base()
{
    auto base = json::parse(R"({
        "site": "demo", "key_domains": ["north", "south"],
        "domains": [{"name": "north", "region": "r"}, {"name": "south", "region": "r"}],
        "entry_hosts": [
            {"name": "n1", "domain": "north", "peer_address": "10.0.0.1:1"},
            {"name": "n2", "domain": "north", "peer_address": "10.0.0.2:1"},
            {"name": "s1", "domain": "south", "peer_address": "10.0.1.1:1"}],
        "customers": [{"name": "acme"}, {"name": "bolt"}],
        "services": [{"name": "plug", "idempotent": false}, {"name": "poll", "idempotent": true}],
        "upstreams": [
            {"name": "nw1", "address": "10.1.0.1:1", "domain": "north", "service": "plug", "slots": 2},
            {"name": "nw2", "address": "10.1.0.2:1", "domain": "north", "service": "plug", "slots": 2},
            {"name": "np1", "address": "10.1.0.3:1", "domain": "north", "service": "poll", "slots": 2},
            {"name": "sw1", "address": "10.1.1.1:1", "domain": "south", "service": "plug", "slots": 2},
            {"name": "sp1", "address": "10.1.1.2:1", "domain": "south", "service": "poll", "slots": 2}],
        "platform": {"address": "10.2.0.1:1"}, "policy": {}})");
    for (auto& customer : base["customers"]) {
        const auto digest = sha256(customer["name"].get<std::string>());
        customer["token_sha256"] = to_hex(digest.data(), digest.size());
    }
    return base;
}

std::vector<std::string> split(const std::string& line)
{
    std::istringstream in{line};
    std::vector<std::string> out;
    for (std::string word; in >> word;)
        out.push_back(word);
    return out;
}

std::pair<std::string, std::string> ordered(const std::string& a, const std::string& b)
{
    return a < b ? std::pair{a, b} : std::pair{b, a};
}

std::string millis(std::int64_t ms)
{
    return std::to_string(ms) + "ms";
}

} // namespace

struct harness::node {
    metrics::registry metrics;
    std::unique_ptr<entry_host> core;
    std::string name;
    std::uint64_t incarnation = 0;
    bool paused = false;
    bool log_cut = false;
    time_point next_read{};
    std::vector<std::tuple<std::string, std::string, ownership::append_outcome>> append_answers;
};

harness::harness() : base_(demo_base()), now_{first_time}
{
    FLAGS_minloglevel = google::GLOG_FATAL;
}

harness::~harness() = default;

void harness::print(const std::string& text)
{
    if (quiet)
        return;
    out_ << "  " << std::fixed << std::setprecision(3) << to_seconds(now_ - first_time) << ' '
         << text << '\n';
}

std::string harness::take_output()
{
    for (const auto& [host, count] : std::exchange(claims_, {}))
        print(host + " appends " + std::to_string(count) + " claims");
    std::string text = out_.str();
    out_.str({});
    return text;
}

clock_reading harness::clock(const node& /*host_node*/) const
{
    return {now_, first_wall + to_ms(now_ - first_time)};
}

harness::node* harness::find(const std::string& name)
{
    const auto found = nodes_.find(name);
    return found == nodes_.end() ? nullptr : found->second.get();
}

entry_host* harness::host(const std::string& name)
{
    auto* found = find(name);
    return found == nullptr ? nullptr : found->core.get();
}

std::vector<std::string> harness::hosts() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : nodes_)
        names.push_back(name);
    return names;
}

std::string harness::expand(const std::string& text) const
{
    if (text.empty() || text[0] != '$')
        return text;
    const auto found = issued_ids_.find(text.substr(1));
    return found == issued_ids_.end() ? text : found->second;
}

std::shared_ptr<const settings::cluster_settings> harness::settings_now() const
{
    auto parsed = settings::parse_cluster(settings::make_document(base_, "base"));
    if (!parsed)
        throw std::runtime_error(settings::to_text(parsed.error()));
    return std::make_shared<const settings::cluster_settings>(std::move(*parsed));
}

// Hosts and links.

void harness::start_host(const std::string& name)
{
    if (version_ == 0)
        publish("config {}", 7);
    auto new_node = std::make_unique<node>();
    new_node->name = name;
    new_node->incarnation = ++incarnations_ << 32U;
    std::string domain;
    std::string address;
    for (const auto& entry : base_["entry_hosts"]) {
        if (entry["name"] == name) {
            domain = entry["domain"];
            address = entry["peer_address"];
        }
    }
    new_node->core =
        std::make_unique<entry_host>(identity{domain, name, new_node->incarnation}, address,
                                     settings_now(), new_node->metrics, 7 + incarnations_, now_);
    auto& ref = *new_node;
    nodes_[name] = std::move(new_node);
    perform_actions(ref);
    for (const auto& other : hosts()) {
        if (other != name && !unlinked_.contains(ordered(name, other)))
            link(name, other, true);
    }
}

void harness::stop_host(const std::string& name)
{
    const auto others = hosts();
    nodes_.erase(name);
    for (auto& [key, one] : calls_) {
        if (one.host == name)
            one.host += " (gone)";
    }
    for (auto& [key, one] : requests_) {
        if (one.host == name) {
            one.host += " (gone)";
            one.abandoned = true;
        }
    }
    for (const auto& other : others)
        link(name, other, false);
}

bool harness::linked(const std::string& a, const std::string& b) const
{
    return links_.contains(ordered(a, b));
}

void harness::link(const std::string& a, const std::string& b, bool up)
{
    const auto pair = ordered(a, b);
    if (a == b || linked(a, b) == up)
        return;
    if (up)
        links_[pair] = next_link_++;
    else
        links_.erase(pair);
    for (const auto& [self, other] : {std::pair{a, b}, std::pair{b, a}}) {
        auto* at = find(self);
        if (at == nullptr)
            continue;
        if (up)
            at->core->peer_up(other, clock(*at));
        else
            at->core->peer_down(other, clock(*at));
        perform_actions(*at);
    }
}

void harness::deliver(const queued_message& item)
{
    auto* to = find(item.to);
    const auto* from = find(item.from);
    if (to == nullptr || from == nullptr)
        return;
    to->core->peer_message({from->core->self().domain, item.from, item.from_incarnation},
                           item.message, clock(*to));
    perform_actions(*to);
}

void harness::deliver_all()
{
    for (std::size_t round = 0; round < 10'000; ++round) {
        bool moved = false;
        for (std::size_t i = 0; i < in_transit_.size(); ++i) {
            if (held_links_.contains({in_transit_[i].from, in_transit_[i].to}))
                continue;
            auto* to = find(in_transit_[i].to);
            if (to != nullptr && to->paused)
                continue;
            const auto one = std::move(in_transit_[i]);
            in_transit_.erase(in_transit_.begin() + static_cast<std::ptrdiff_t>(i));
            moved = true;
            const auto current = links_.find(ordered(one.from, one.to));
            const bool live = current != links_.end() && current->second == one.link;
            if (live && to != nullptr)
                deliver(one);
            else if (!live && old_links_deliver)
                stale_messages_.push_back(one);
            break;
        }
        if (!moved)
            return;
    }
    violation_ = "messages without end";
}

// Actions.

std::string harness::text_of(const wire::message& message)
{
    std::ostringstream out;
    out << wire::name_of(message);
    std::visit(
        overloaded{[&](const wire::forward& m) {
                       out << ' ' << to_name(m.operation) << " id=" << m.submission_id
                           << " customer=" << m.customer;
                   },
                   [&](const wire::forward_answer& m) {
                       out << " status=" << m.status;
                       if (!m.owner.empty())
                           out << " owner=" << m.owner;
                       out << ' ' << m.body;
                   },
                   [&](const wire::spill_task& m) {
                       out << " task=" << m.task << " kind=" << m.kind << " attempt=" << m.attempt
                           << " deadline=" << m.deadline_ms << "ms";
                   },
                   [&](const wire::spill_answer& m) {
                       out << ' ' << to_name(static_cast<call_end>(m.end)) << ' ' << m.message
                           << ' ' << m.body;
                   },
                   [&](const wire::promise_request& m) { out << " slots=" << m.slots.size(); },
                   [&](const wire::promise& m) { out << " slots=" << m.slots.size(); },
                   [&](const wire::handover_records& m) {
                       out << " slot=" << m.slot << " epoch=" << m.epoch
                           << " quarantine=" << m.quarantine_ms << "ms bytes=" << m.body.size();
                   },
                   [&](const wire::config_version& m) { out << " version=" << m.version; },
                   [](const auto&) {}},
        message);
    return out.str();
}

void harness::show(const node& host_node, const action& item)
{
    std::visit(
        overloaded{
            [&](const answer_caller& a) {
                std::string retry = a.answer.retry_after > duration{0} ? " (retry after)" : "";
                print(host_node.name + " answers " + waiter_names_[a.waiter] + ": " +
                      std::to_string(a.answer.status) + retry + ' ' + a.answer.body);
            },
            [&](const send_task& t) {
                print(host_node.name + " sends c" + std::to_string(next_call_) + " to " + t.worker +
                      ": " + t.task + " attempt=" + std::to_string(t.attempt) + " kind=" + t.kind +
                      " customer=" + t.customer + " remaining=" + millis(to_ms(t.remaining)) +
                      " start_by=+" + millis(t.start_by - clock(host_node).wall) +
                      " payload=" + t.payload);
            },
            [&](const abort_call& a) {
                for (const auto& [name, call] : calls_) {
                    if (call.host == host_node.name && call.task.call == a.call)
                        print(host_node.name + " aborts " + name);
                }
            },
            [&](const send_peer& p) {
                const std::string name{wire::name_of(p.message)};
                if (!periodic_messages.contains(name) || shown_messages_.contains(name))
                    print(host_node.name + " -> " + p.host + ": " + text_of(p.message) +
                          (linked(host_node.name, p.host) ? "" : " (no link)"));
            },
            [&](const drop_link& d) { print(host_node.name + " drops its link to " + d.host); },
            [&](const append_record& a) {
                const auto type = json::parse(a.text).value("type", "");
                if (type == "claim") {
                    ++claims_[host_node.name];
                    return;
                }
                const auto slots = json::parse(a.text).value("slots", json::array()).size();
                print(host_node.name + " appends to " + a.stream + ": " + type +
                      (slots > 0 ? " of " + std::to_string(slots) + " slots" : ""));
            }},
        item);
}

void harness::perform_actions(node& host_node)
{
    for (auto& item : host_node.core->take_actions()) {
        if (!quiet)
            show(host_node, item);
        std::visit(
            overloaded{[&](answer_caller& a) {
                           requests_[waiter_names_[a.waiter]].answers.push_back(
                               std::move(a.answer));
                       },
                       [&](send_task& t) {
                           calls_['c' + std::to_string(next_call_++)] = {host_node.name,
                                                                         std::move(t), false};
                       },
                       [](abort_call&) {},
                       [&](send_peer& p) {
                           // If the link is lost, it is unknown whether a spilled task ran.
                           if (const auto* spill = std::get_if<wire::spill_task>(&p.message))
                               ++ambiguous_[spill->customer + ' ' + spill->task];
                           const auto current = links_.find(ordered(host_node.name, p.host));
                           if (current != links_.end())
                               in_transit_.push_back({host_node.name, host_node.incarnation, p.host,
                                                      current->second, std::move(p.message)});
                       },
                       [](drop_link& /*d*/) {}, // links are replaced only by commands
                       [&](append_record& a) {
                           using ownership::append_outcome;
                           auto outcome = append_outcome::not_written;
                           if (!host_node.log_cut && log_mode_ != "down") {
                               ownership_logs_[a.stream].apply(log_[a.stream].size(), a.text);
                               log_[a.stream].emplace_back(clock(host_node).wall, a.text);
                               outcome = log_mode_ == "lost" ? append_outcome::may_have_been_written
                                                             : append_outcome::written;
                           }
                           host_node.append_answers.emplace_back(a.stream, a.record_id, outcome);
                       }},
            item);
    }
}

// Time and the log.

void harness::read_logs(node& host_node)
{
    for (const auto& [stream, id, outcome] : std::exchange(host_node.append_answers, {}))
        host_node.core->append_ended(stream, id, outcome, clock(host_node));
    if (host_node.log_cut || log_mode_ == "down" || now_ < host_node.next_read)
        return;
    host_node.next_read = now_ + read_interval;
    const auto& slots = log_[host_node.core->ownership_stream()];
    ownership::log_read read{now_, 0, {}, true};
    for (auto i = host_node.core->ownership_offset(); i < slots.size(); ++i)
        read.records.emplace_back(i, slots[i].second);
    host_node.core->ownership_read(read, clock(host_node));
    perform_actions(host_node);
    const auto& configs = log_[config_service::stream];
    config_read config{host_node.core->config_offset(), 0, {}, true};
    for (auto i = config.from; i < configs.size(); ++i)
        config.records.push_back({i, configs[i].first, configs[i].second});
    if (!config.records.empty())
        host_node.core->config_was_read(config, clock(host_node));
    perform_actions(host_node);
    auto& seen = last_version_[host_node.name + to_hex(host_node.incarnation)];
    if (host_node.core->version() < seen)
        violation_ = "configuration version fell at " + host_node.name;
    if (host_node.core->version() > seen)
        print(host_node.name + " has version " + std::to_string(host_node.core->version()) +
              " in force");
    seen = std::max(seen, host_node.core->version());
}

void harness::advance(duration by)
{
    const auto until = now_ + by;
    while (now_ < until) {
        now_ = std::min(now_ + step, until);
        for (const auto& name : hosts()) {
            auto& one = *find(name);
            if (one.paused)
                continue;
            read_logs(one);
            if (one.core->next_tick(now_) <= now_) {
                one.core->tick(clock(one));
                perform_actions(one);
            }
        }
        deliver_all();
    }
}

void harness::publish(const std::string& line, std::size_t at)
{
    const auto patch = json::parse(line.substr(at));
    const auto merged = [&] {
        auto copy = base_;
        copy.merge_patch(patch);
        return copy;
    }();
    configlog::config_record record;
    record.record_id = "r" + std::to_string(log_[config_service::stream].size());
    record.version = version_ + 1;
    record.based_on = version_;
    record.author = "ann";
    record.settings = merged;
    record.overlays = json::object();
    log_[config_service::stream].emplace_back(first_wall + to_ms(now_ - first_time),
                                              configlog::encode(record));
    const auto parsed = settings::parse_cluster(settings::make_document(merged, "base"));
    const auto before = settings_now();
    if (parsed && settings::changes_needing_restart(*before, *parsed).empty()) {
        base_ = merged;
        ++version_;
    }
}

// Callers and runners.

void harness::request(const arguments& w, wire::operation operation, const std::string& line)
{
    auto* at = find(w[1]);
    if (at == nullptr || at->paused)
        return;
    caller_request wanted;
    wanted.operation = operation;
    wanted.who = next_waiter_++;
    wanted.id = expand(w[3]);
    wanted.customer = "acme";
    for (std::size_t i = 4; i < w.size(); ++i) {
        if (w[i].starts_with("wait="))
            wanted.wait = milliseconds{std::stoll(w[i].substr(5))};
        else if (w[i].starts_with("as="))
            wanted.customer = w[i].substr(3);
        else if (operation == wire::operation::submit && w[i][0] == '{')
            wanted.body = w[i];
    }
    if (operation == wire::operation::submit && wanted.body.empty()) {
        // Short form: SERVICE DEADLINE_MS KIND,KIND...
        json body{{"service", w.at(4)}, {"deadline_ms", std::stoll(w.at(5))}};
        std::istringstream kinds{w.at(6)};
        for (std::string kind; std::getline(kinds, kind, ',');)
            body["tasks"].push_back({{"kind", kind}, {"declared_ms", 100}, {"payload", kind}});
        wanted.body = body.dump();
    }
    waiter_names_[wanted.who] = w[2];
    requests_[w[2]] = {at->name, wanted.id, line, now_, {}, false};
    at->core->request(std::move(wanted), clock(*at));
    perform_actions(*at);
}

void harness::end_call(const arguments& w, const std::string& line)
{
    const auto found = calls_.find(w[1]);
    if (found == calls_.end())
        return;
    const auto open = found->second;
    auto* at = find(open.host);
    if (at != nullptr && at->paused)
        return;
    call_report report;
    for (std::size_t i = 0; i < enum_count<call_end>; ++i) {
        if (w[2] == to_name(static_cast<call_end>(i)))
            report.end = static_cast<call_end>(i);
    }
    const bool unsent = report.end == call_end::not_sent || report.end == call_end::withheld;
    if (open.started && unsent)
        report.end = call_end::lost;
    if (at != nullptr && !unsent && !open.started) {
        run("start " + w[1]);
        const auto again = calls_.find(w[1]);
        if (again == calls_.end())
            return;
    }
    const bool started = calls_.at(w[1]).started;
    calls_.erase(w[1]);
    const auto task = open.task.customer + ' ' + open.task.task;
    if (report.end == call_end::refused && started) {
        // A runner that reports "not run" did not start the task.
        if (auto& starts = starts_[task]; --starts == 0)
            starts_.erase(task);
    }
    else if (report.end == call_end::lost || report.end == call_end::silent ||
             report.end == call_end::aborted)
        ++ambiguous_[task];
    const auto body = line.find('{');
    if (body != std::string::npos)
        report.body = line.substr(body);
    if (report.end == call_end::answered && report.body.empty())
        report.body = "\"" + open.task.task + '#' + w[1] + '"';
    if (report.end == call_end::answered)
        payloads_[task].push_back(report.body);
    report.leaving = w.back() == "leaving";
    if (at == nullptr)
        return;
    at->core->task_ended(open.task.call, std::move(report), clock(*at));
    perform_actions(*at);
}

void harness::begin_call(const std::string& name)
{
    const auto call = calls_.find(name);
    if (call == calls_.end() || call->second.started)
        return;
    auto& open = call->second;
    auto* sender = find(open.host);
    if (sender == nullptr || sender->paused)
        return;
    if (!ignore_confirm && !sender->core->confirm_start(open.task.call, now_)) {
        print(open.host + " withholds " + name);
        end_call({"end", name, "withheld"}, "");
        return;
    }
    open.started = true;
    ++starts_[open.task.customer + ' ' + open.task.task];
    const auto id =
        submission::submission_id::parse(open.task.task.substr(0, open.task.task.rfind('/')));
    const auto& self = sender->core->self();
    const std::vector<std::string> domains{"north", "south"};
    if (!id || id->issued() || id->home_domain(open.task.customer, domains) != self.domain)
        return;
    const auto& slot =
        ownership_logs_[sender->core->ownership_stream()].slot(id->slot(open.task.customer));
    if (slot.owner != ownership::incarnation_id{self.host, self.incarnation})
        violation_ = open.host + " starts " + open.task.task + ", whose slot another host owns";
}

void harness::run(const std::string& line)
{
    const auto w = split(line);
    const auto& verb = w.at(0);
    const auto at = [&]() -> node* { return w.size() > 1 ? find(w[1]) : nullptr; }();
    if (verb == "settings")
        base_.merge_patch(json::parse(line.substr(9)));
    else if (verb == "host")
        start_host(w[1]);
    else if (verb == "kill")
        stop_host(w[1]);
    else if (verb == "show")
        shown_messages_.insert(w.begin() + 1, w.end());
    else if (verb == "advance")
        advance(milliseconds{std::stoll(w[1])});
    else if (verb == "log")
        log_mode_ = w[1];
    else if (verb == "config")
        publish(line, 7);
    else if (verb == "link" || verb == "unlink") {
        if (verb == "link")
            unlinked_.erase(ordered(w[1], w[2]));
        else
            unlinked_.insert(ordered(w[1], w[2]));
        if (verb == "unlink" || (find(w[1]) != nullptr && find(w[2]) != nullptr))
            link(w[1], w[2], verb == "link");
    }
    else if (verb == "relink") {
        if (linked(w[1], w[2])) {
            link(w[1], w[2], false);
            link(w[1], w[2], true);
        }
    }
    else if (verb == "hold")
        held_links_.insert({w[1], w[2]});
    else if (verb == "release")
        held_links_.erase({w[1], w[2]});
    else if (verb == "drop")
        std::erase_if(in_transit_, [&](const auto& m) { return m.from == w[1] && m.to == w[2]; });
    else if (verb == "repeat") {
        const auto waiting = in_transit_;
        for (const auto& m : waiting) {
            // A link never duplicates a forwarded request; only the host resends it, on a new link.
            if (m.from == w[1] && m.to == w[2] && !std::holds_alternative<wire::forward>(m.message))
                in_transit_.push_back(m);
        }
    }
    else if (verb == "stale") {
        for (const auto& one : std::exchange(stale_messages_, {}))
            deliver(one);
    }
    else if (verb == "start")
        begin_call(w[1]);
    else if (verb == "end")
        end_call(w, line);
    else if (at == nullptr)
        print(w.size() > 1 ? w[1] + " is not running" : "unknown command");
    else if (verb == "issue")
        issued_ids_[w[2]] = at->core->issue_ids(1, clock(*at)).front();
    else if (verb == "submit")
        request(w, wire::operation::submit, line);
    else if (verb == "fetch")
        request(w, wire::operation::fetch, line);
    else if (verb == "cancel")
        request(w, wire::operation::cancel, line);
    else if (verb == "gone") {
        requests_[w[2]].abandoned = true;
        for (const auto& [who, name] : waiter_names_) {
            if (name == w[2])
                at->core->caller_gone(who, clock(*at));
        }
        perform_actions(*at);
    }
    else if (verb == "pause" || verb == "resume")
        at->paused = verb == "pause";
    else if (verb == "cutlog" || verb == "joinlog")
        at->log_cut = verb == "cutlog";
    else if (verb == "leaving") {
        upstream::platform_list list{now_, {}};
        for (const auto& worker : base_["upstreams"]) {
            const std::string name = worker["name"];
            list.workers.push_back({name, std::find(w.begin() + 2, w.end(), name) != w.end()});
        }
        at->core->platform_hosts(list, {}, clock(*at));
        perform_actions(*at);
    }
    else if (verb == "drain" && !at->paused) {
        at->core->begin_drain(clock(*at));
        perform_actions(*at);
    }
    else if (verb == "handover" && !at->paused) {
        if (at->core->drained())
            at->core->hand_over(clock(*at));
        perform_actions(*at);
    }
    else if (verb == "status")
        print(w[1] + " in_flight=" + std::to_string(at->core->in_flight()) +
              (at->core->drained() ? " drained" : "") +
              (at->core->handed_over() ? "" : " handing over") +
              " version=" + std::to_string(at->core->version()));
    deliver_all();
}

} // namespace chivewharf::dispatch
