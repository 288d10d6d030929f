#include "Experiment/Schedule.h"

#include "Core/NameTable.h"

#include <algorithm>
#include <optional>
#include <random>

namespace wisteriadock {

namespace {

    using std::chrono::milliseconds;
    using namespace std::chrono_literals;

    constexpr auto stepNames = makeNameTable<StepKind>({
        { StepKind::DrainServer, "drain_server" },
        { StepKind::UndrainServer, "undrain_server" },
        { StepKind::ChangeWeight, "change_weight" },
        { StepKind::AddServer, "add_server" },
        { StepKind::JoinBalancer, "join_balancer" },
        { StepKind::StopBalancer, "stop_balancer" },
        { StepKind::DelayVersions, "delay_versions" },
        { StepKind::KillBalancer, "kill_balancer" },
        { StepKind::FreezeBalancer, "freeze_balancer" },
        { StepKind::CutOneWay, "cut_one_way" },
        { StepKind::CutZone, "cut_zone" },
        { StepKind::PlatformOutage, "platform_outage" },
    });

    // Time without steps at the start, during which flows are established.
    constexpr milliseconds faultFreeStart = 3s;
    // Time without new steps at the end, so that the effects of the last steps are detected.
    constexpr milliseconds faultFreeEnd = 3s;
    constexpr milliseconds minGap = 700ms;
    constexpr milliseconds maxGap = 2500ms;

    // Generates steps one after another and tracks the state of the fleet that they lead to.
    class ScheduleGenerator {
    public:
        explicit ScheduleGenerator(const ScheduleOptions& options)
            : options_(options)
            , random_(options.seed)
            , servers_(options.serviceOfServer.size())
            , balancers_(options.balancers, Balancer { true })
        {
        }

        std::vector<Step> make()
        {
            if (options_.mode == FaultMode::None)
                return {};
            for (milliseconds now = faultFreeStart; now < options_.length - faultFreeEnd;
                 now += randomBetween(minGap, maxGap)) {
                addUndrainSteps(now);
                addNextStep(now);
                // Sometimes adds a second, simultaneous step.
                if (randomBelow(3) == 0)
                    addNextStep(now);
            }
            std::stable_sort(steps_.begin(), steps_.end(),
                [](const Step& first, const Step& second) { return first.at < second.at; });
            return std::move(steps_);
        }

    private:
        struct Server {
            std::optional<milliseconds> drainedAt;
        };

        struct Balancer {
            bool runs = false;
            milliseconds disturbedUntil { 0 };
        };

        std::size_t randomBelow(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }

        milliseconds randomBetween(milliseconds low, milliseconds high)
        {
            return low + milliseconds(randomBelow(static_cast<std::size_t>((high - low).count()) + 1));
        }

        // Returns every kind once, in random order, before any repeats.
        StepKind nextKind()
        {
            if (remainingKinds_.empty()) {
                for (const auto& [kind, name] : stepNames.rows()) {
                    const bool isRandomKind = kind != StepKind::UndrainServer;
                    if (isRandomKind && (options_.mode == FaultMode::All || isPlannedChange(kind)))
                        remainingKinds_.push_back(kind);
                }
                // The result of std::shuffle depends on the standard library.
                for (std::size_t i = remainingKinds_.size(); i > 1; --i)
                    std::swap(remainingKinds_[i - 1], remainingKinds_[randomBelow(i)]);
            }
            const StepKind kind = remainingKinds_.back();
            remainingKinds_.pop_back();
            return kind;
        }

        void addNextStep(milliseconds now)
        {
            Step step;
            step.at = now;
            step.kind = nextKind();
            if (chooseSubject(step))
                steps_.push_back(step);
        }

        // Adds steps that undrain servers after minDrainTime, at random.
        void addUndrainSteps(milliseconds now)
        {
            for (std::size_t i = 0; i < servers_.size(); ++i) {
                if (!servers_[i].drainedAt || now < *servers_[i].drainedAt + minDrainTime || randomBelow(2) == 0)
                    continue;
                servers_[i].drainedAt.reset();
                steps_.push_back({ .at = now, .kind = StepKind::UndrainServer, .subject = i });
            }
        }

        // Completes the step, or returns false if the fleet currently has no suitable subject.
        bool chooseSubject(Step& step)
        {
            switch (step.kind) {
            case StepKind::DrainServer:
                return chooseServerToDrain(step);
            case StepKind::UndrainServer:
                return false;
            case StepKind::ChangeWeight:
                step.subject = randomBelow(options_.serviceOfServer.size());
                step.weight = 50 + 25 * static_cast<std::uint32_t>(randomBelow(5));
                return true;
            case StepKind::AddServer:
                step.subject = servers_.size();
                servers_.emplace_back();
                return true;
            case StepKind::JoinBalancer:
                step.subject = balancers_.size();
                balancers_.push_back({ true, step.at + randomBetween(1s, 2s) });
                return true;
            case StepKind::StopBalancer:
            case StepKind::KillBalancer:
                step.length = randomBetween(500ms, 2s);
                return chooseBalancer(step) && end(step.subject);
            case StepKind::DelayVersions:
                step.length = randomBetween(2s, 6s);
                return chooseBalancer(step);
            case StepKind::FreezeBalancer:
                step.length = randomBetween(1s, 4s);
                return chooseBalancer(step) && markDisturbed(step);
            case StepKind::CutOneWay:
                step.length = randomBetween(2s, 4s);
                return chooseBalancer(step) && chooseUnreachableBalancer(step);
            case StepKind::CutZone:
                step.length = randomBetween(2s, 5s);
                step.subject = randomBelow(options_.availabilityZones);
                return options_.availabilityZones > 1;
            case StepKind::PlatformOutage:
                step.length = randomBetween(2s, 6s);
                return true;
            }
            return false;
        }

        bool chooseServerToDrain(Step& step)
        {
            std::vector<std::size_t> candidates;
            for (std::size_t i = 0; i < options_.serviceOfServer.size(); ++i) {
                if (!servers_[i].drainedAt && canDrainAnotherOf(options_.serviceOfServer[i]))
                    candidates.push_back(i);
            }
            if (candidates.empty())
                return false;
            step.subject = candidates[randomBelow(candidates.size())];
            servers_[step.subject].drainedAt = step.at;
            return true;
        }

        bool canDrainAnotherOf(std::size_t service) const
        {
            std::size_t all = 0;
            std::size_t drained = 0;
            for (std::size_t i = 0; i < options_.serviceOfServer.size(); ++i) {
                if (options_.serviceOfServer[i] != service)
                    continue;
                ++all;
                drained += servers_[i].drainedAt.has_value();
            }
            return (drained + 1) * 3 <= all;
        }

        bool chooseBalancer(Step& step)
        {
            std::vector<std::size_t> candidates;
            for (std::size_t i = 0; i < balancers_.size(); ++i) {
                if (balancers_[i].runs && balancers_[i].disturbedUntil <= step.at)
                    candidates.push_back(i);
            }
            const bool ends = step.kind == StepKind::StopBalancer || step.kind == StepKind::KillBalancer;
            const auto running = static_cast<std::size_t>(std::count_if(
                balancers_.begin(), balancers_.end(), [](const Balancer& balancer) { return balancer.runs; }));
            if (candidates.empty() || (ends && (running - 1) * 2 <= options_.balancers))
                return false;
            step.subject = candidates[randomBelow(candidates.size())];
            return true;
        }

        bool chooseUnreachableBalancer(Step& step)
        {
            std::vector<std::size_t> others;
            for (std::size_t i = 0; i < balancers_.size(); ++i) {
                if (balancers_[i].runs && i != step.subject)
                    others.push_back(i);
            }
            if (others.empty())
                return false;
            step.other = others[randomBelow(others.size())];
            return true;
        }

        bool markDisturbed(const Step& step)
        {
            balancers_[step.subject].disturbedUntil = step.at + step.length;
            return true;
        }

        bool end(std::size_t balancer)
        {
            balancers_[balancer].runs = false;
            return true;
        }

        const ScheduleOptions& options_;
        std::mt19937_64 random_;
        std::vector<Server> servers_;
        std::vector<Balancer> balancers_;
        std::vector<StepKind> remainingKinds_;
        std::vector<Step> steps_;
    };

}

std::string_view nameOf(StepKind kind) { return stepNames.name(kind); }

bool isPlannedChange(StepKind kind)
{
    switch (kind) {
    case StepKind::DrainServer:
    case StepKind::UndrainServer:
    case StepKind::ChangeWeight:
    case StepKind::AddServer:
    case StepKind::JoinBalancer:
    case StepKind::StopBalancer:
    case StepKind::DelayVersions:
        return true;
    case StepKind::KillBalancer:
    case StepKind::FreezeBalancer:
    case StepKind::CutOneWay:
    case StepKind::CutZone:
    case StepKind::PlatformOutage:
        return false;
    }
    return false;
}

std::vector<Step> makeSchedule(const ScheduleOptions& options) { return ScheduleGenerator(options).make(); }

}
