#include "Request/Admission.h"

#include "Request/SlotShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::chrono::milliseconds shortestBackOff { 50 };
    constexpr std::chrono::milliseconds longestBackOff { 2000 };
    constexpr std::chrono::milliseconds suspectTime { 2000 };

}

Admission::Admission(const BalancerInstance& self, const AdmissionLimits& limits, std::uint64_t seed)
    : self_(self)
    , limits_(limits)
    , random_(seed)
{
}

void Admission::configure(const Configuration& configuration, const MembersView& view, TimePoint now)
{
    for (auto& [id, server] : servers_)
        server.isConfigured = false;
    for (const BackendServer& settings : configuration.backendServers) {
        const auto [entry, isNew] = servers_.try_emplace(settings.id);
        Server& server = entry->second;
        // Servers in the first configuration are taken as warm.
        if (isNew)
            server.addedAt = isFirstConfiguration_ ? now - std::chrono::seconds(settings.slowStartSeconds) : now;
        server.settings = settings;
        server.share = slotShareOf(settings, view, self_.id);
        server.isConfigured = true;
    }
    isFirstConfiguration_ = isFirstConfiguration_ && configuration.backendServers.empty();
    std::erase_if(servers_, [](const auto& entry) { return !entry.second.isConfigured && entry.second.inUse == 0; });

    std::vector<BalancerInstance> peers;
    for (const Member& member : view.members) {
        if (member.state == MemberState::Serving && member.id != self_.id)
            peers.push_back({ member.id, member.incarnation });
    }
    loans_.setPeers(std::move(peers));
    tick(now);
}

std::uint32_t Admission::usableSlots(const Server& server, TimePoint now) const
{
    if (!server.isConfigured || server.settings.state != BackendServerState::Active || now < server.pausedUntil)
        return 0;
    const std::uint32_t ramp = server.settings.slowStartSeconds;
    const double age = std::chrono::duration<double>(now - server.addedAt).count();
    if (ramp == 0 || age >= ramp)
        return server.share;
    // A cold server gets its first slot at once, because only work warms it up.
    const auto warm = static_cast<std::uint32_t>(std::ceil(server.share * age / ramp));
    return std::min(server.share, std::max<std::uint32_t>(warm, 1));
}

std::uint32_t Admission::usableSlots(ServiceId service, TimePoint now) const
{
    std::uint32_t slots = 0;
    for (const auto& [id, server] : servers_) {
        if (server.settings.service == service)
            slots += usableSlots(server, now);
    }
    return slots;
}

// Returns the least loaded server with a free slot of this balancer's share. Ties are broken randomly, so that
// balancers don't all choose the same server.
Admission::Server* Admission::findFreeServer(ServiceId service, TimePoint now)
{
    Server* best = nullptr;
    double bestLoad = 2;
    std::uint32_t tied = 0;
    for (auto& [id, server] : servers_) {
        if (server.settings.service != service)
            continue;
        const std::uint32_t slots = usableSlots(server, now);
        if (server.inUse >= slots)
            continue;
        // A server that failed recently is used only when no other is free, so that few attempts go to a failed server.
        const bool isSuspect = server.backOff > std::chrono::milliseconds(0) && now < server.pausedUntil + suspectTime;
        const double penalty = isSuspect ? 1 : 0;
        const double load = penalty + static_cast<double>(server.inUse) / slots;
        if (load > bestLoad)
            continue;
        tied = load < bestLoad ? 1 : tied + 1;
        if (load < bestLoad || random_() % tied == 0) {
            best = &server;
            bestLoad = load;
        }
    }
    return best;
}

bool Admission::hasServer(ServiceId service) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        const Server& server = entry.second;
        return server.settings.service == service && server.isConfigured
            && server.settings.state == BackendServerState::Active;
    });
}

void Admission::request(WorkId work, ServiceId service, TimePoint deadline, TimePoint now)
{
    if (!hasServer(service))
        return refuse(work, service, RefusalReason::NoServer, now);
    ServiceQueue& queue = queues_[service];
    if (now + queue.longDuration() > deadline)
        return refuse(work, service, RefusalReason::DeadlinePassed, now);
    if (queue.isEmpty()) {
        if (Server* server = findFreeServer(service, now))
            return grant(work, service, server->settings.id, now);
    }
    if (queue.size() >= limits_.queueLength || !queue.canMeet(deadline, usableSlots(service, now), now))
        return refuse(work, service, RefusalReason::Overloaded, now);
    queue.add(work, deadline);
    dispatch(service, now);
}

void Admission::grant(WorkId work, ServiceId service, BackendServerId server, TimePoint now)
{
    ++servers_[server].inUse;
    running_[work] = { service, server, now, std::nullopt, 0 };
    grants_.push_back({ work, server });
}

void Admission::refuse(WorkId work, ServiceId service, RefusalReason reason, TimePoint now)
{
    const Duration wait = queues_[service].expectedWait(usableSlots(service, now));
    refusals_.push_back({ work, reason, std::chrono::duration_cast<std::chrono::milliseconds>(wait) });
}

void Admission::dispatch(ServiceId service, TimePoint now)
{
    ServiceQueue& queue = queues_[service];
    for (const WorkId work : queue.removeInfeasible(now))
        refuse(work, service, RefusalReason::Overloaded, now);
    while (!queue.isEmpty()) {
        Server* server = findFreeServer(service, now);
        if (!server)
            break;
        grant(queue.takeNext()->work, service, server->settings.id, now);
    }
    if (queue.isEmpty())
        return;
    if (const auto borrowRequest = loans_.nextBorrowRequest(service, now, random_))
        messages_.push_back({ borrowRequest->to, BorrowSlot { service, borrowRequest->nonce } });
}

void Admission::withdraw(WorkId work, TimePoint now)
{
    for (auto& [service, queue] : queues_) {
        if (queue.remove(work))
            return;
    }
    release(work, false, now);
}

void Admission::release(WorkId work, bool isAnswered, TimePoint now)
{
    const auto found = running_.find(work);
    if (found == running_.end())
        return;
    const Running running = found->second;
    running_.erase(found);
    if (isAnswered) {
        queues_[running.service].recordDuration(now - running.startedAt);
        const auto server = servers_.find(running.server);
        if (server != servers_.end())
            server->second.backOff = std::chrono::milliseconds(0);
    }
    returnSlot(running);
    dispatch(running.service, now);
}

void Admission::returnSlot(const Running& running)
{
    if (running.lender) {
        messages_.push_back({ *running.lender, ReturnSlot { running.nonce, running.server } });
        return;
    }
    const auto server = servers_.find(running.server);
    if (server != servers_.end() && server->second.inUse > 0)
        --server->second.inUse;
}

void Admission::pauseServer(BackendServerId id, std::chrono::milliseconds retryAfter, TimePoint now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    Server& server = found->second;
    server.backOff = std::clamp(server.backOff * 2, shortestBackOff, longestBackOff);
    const std::chrono::milliseconds pause = std::max(retryAfter, server.backOff);
    const std::uint64_t spread = static_cast<std::uint64_t>(pause.count()) / 2 + 1;
    server.pausedUntil = now + pause + std::chrono::milliseconds(random_() % spread);
}

void Admission::tick(TimePoint now)
{
    for (const BackendServerId id : loans_.takeExpired(now)) {
        const auto server = servers_.find(id);
        if (server != servers_.end() && server->second.inUse > 0)
            --server->second.inUse;
    }
    for (auto& [service, queue] : queues_) {
        if (!queue.isEmpty())
            dispatch(service, now);
    }
}

void Admission::handle(const BalancerInstance& from, const BorrowSlot& message, TimePoint now)
{
    Server* server = queues_[message.service].isEmpty() ? findFreeServer(message.service, now) : nullptr;
    if (!server) {
        messages_.push_back({ from, SlotReply { message.nonce, false, {} } });
        return;
    }
    ++server->inUse;
    loans_.lend(from, message.nonce, server->settings.id, now + limits_.longestLoan);
    messages_.push_back({ from, SlotReply { message.nonce, true, server->settings.id } });
}

void Admission::handle(const BalancerInstance& from, const SlotReply& message, TimePoint now)
{
    const std::optional<ServiceId> service = loans_.takeReply(from, message, now);
    if (!message.isLent)
        return;
    std::optional<ServiceQueue::Entry> entry;
    // Servers that this balancer can't reach are paused here; the lender may still reach them, so the slot is returned.
    const auto server = servers_.find(message.server);
    const bool isUsable = server == servers_.end() || now >= server->second.pausedUntil;
    if (service && isUsable) {
        for (const WorkId work : queues_[*service].removeInfeasible(now))
            refuse(work, *service, RefusalReason::Overloaded, now);
        entry = queues_[*service].takeNext();
    }
    if (!entry) {
        messages_.push_back({ from, ReturnSlot { message.nonce, message.server } });
        return;
    }
    running_[entry->work] = { *service, message.server, now, from, message.nonce };
    grants_.push_back({ entry->work, message.server });
    dispatch(*service, now);
}

void Admission::handle(const BalancerInstance& from, const ReturnSlot& message, TimePoint now)
{
    if (!loans_.endLoan(from, message.nonce))
        return;
    const auto server = servers_.find(message.server);
    if (server == servers_.end() || server->second.inUse == 0)
        return;
    --server->second.inUse;
    dispatch(server->second.settings.service, now);
}

std::vector<SlotGrant> Admission::takeGrants() { return std::exchange(grants_, {}); }

std::vector<SlotRefusal> Admission::takeRefusals() { return std::exchange(refusals_, {}); }

std::vector<OutgoingMessage> Admission::takeMessages() { return std::exchange(messages_, {}); }

std::size_t Admission::queued(ServiceId service) const
{
    const auto found = queues_.find(service);
    return found == queues_.end() ? 0 : found->second.size();
}

std::uint32_t Admission::slotsInUse(BackendServerId id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? 0 : found->second.inUse;
}

std::uint32_t Admission::shareOf(BackendServerId id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? 0 : found->second.share;
}

}
