#include "FaultProxy/Channel.h"

namespace wisteriadock {

Channel::Channel(
    boost::asio::io_context& context, LinkProtocol protocol, FaultCounters& counters, Random& random, Deliver deliver)
    : counters_(counters)
    , random_(random)
    , faults_(protocol, counters)
    , timer_(context)
    , deliver_(std::move(deliver))
{
}

void Channel::setSettings(const FaultSettings& settings)
{
    if (settings == faults_.settings())
        return;
    faults_.setSettings(settings);
    deliverDue();
}

void Channel::push(Bytes bytes)
{
    const FaultDecision decision = faults_.decide(bytes.size(), Clock::now(), random_);
    if (decision.duplicateAt)
        enqueue(*decision.duplicateAt, bytes);
    if (decision.deliverAt)
        enqueue(*decision.deliverAt, std::move(bytes));
    deliverDue();
}

void Channel::close()
{
    timer_.cancel();
    deliver_ = nullptr;
}

void Channel::enqueue(TimePoint due, Bytes bytes)
{
    if (!line_.push(due, std::move(bytes)))
        ++counters_.overflowed;
}

void Channel::deliverDue()
{
    while (deliver_ && !faults_.isHolding()) {
        auto unit = line_.takeDue(Clock::now());
        if (!unit)
            break;
        deliver_(std::move(*unit));
    }
    if (deliver_ && !faults_.isHolding() && line_.nextDue())
        waitFor(*line_.nextDue());
}

void Channel::waitFor(TimePoint due)
{
    timer_.expires_at(due);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto channel = weak.lock();
        if (channel && !error)
            channel->deliverDue();
    });
}

}
