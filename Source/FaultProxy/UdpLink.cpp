#include "FaultProxy/UdpLink.h"

#include "Net/AsioEndpoint.h"

#include <algorithm>
#include <array>

namespace wisteriadock {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    constexpr std::size_t maxDatagramBytes = 65536;
    // Large enough for bursts, so that only the configured faults drop datagrams.
    constexpr int socketBufferBytes = 4 * 1024 * 1024;

    Result<udp::socket> bindSocket(asio::io_context& context, const Endpoint& address)
    {
        boost::system::error_code error;
        udp::socket socket(context);
        socket.open(udp::v4(), error);
        if (!error)
            socket.bind(toUdp(address), error);
        if (!error)
            socket.non_blocking(true, error);
        if (error)
            return Error { ErrorCode::Unavailable, "udp " + address.toString() + ": " + error.message() };
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
        socket.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
        return socket;
    }

    void sendTo(udp::socket& socket, const Bytes& bytes, const Endpoint& receiver)
    {
        // A datagram that the kernel rejects is dropped.
        boost::system::error_code ignored;
        if (receiver.isSet())
            socket.send_to(asio::buffer(bytes), toUdp(receiver), 0, ignored);
    }

    // Calls onDatagram for each datagram that waits in the socket.
    template <typename OnDatagram> void receiveAll(udp::socket& socket, OnDatagram onDatagram)
    {
        static thread_local std::array<std::uint8_t, maxDatagramBytes> buffer;
        while (true) {
            udp::endpoint sender;
            boost::system::error_code error;
            const std::size_t size = socket.receive_from(asio::buffer(buffer), sender, 0, error);
            if (error == asio::error::connection_refused)
                continue;
            if (error)
                return;
            onDatagram(fromAsio(sender), Bytes(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(size)));
        }
    }

}

class UdpLink::Session : public std::enable_shared_from_this<Session> {
public:
    Session(UdpLink& link, const Endpoint& source, udp::socket socket)
        : source_(source)
        , socket_(std::move(socket))
        , toTarget_(std::make_shared<Channel>(link.context_, LinkProtocol::Udp, link.countersOf(Direction::ToTarget),
              link.random(), [this, &link](const Bytes& bytes) { sendTo(socket_, bytes, link.options().target); }))
        , toSource_(std::make_shared<Channel>(link.context_, LinkProtocol::Udp, link.countersOf(Direction::ToSource),
              link.random(), [this, &link](const Bytes& bytes) { sendTo(link.socket_, bytes, source_); }))
    {
    }

    ~Session() { close(); }

    void receive()
    {
        socket_.async_wait(udp::socket::wait_read, [weak = weak_from_this()](const boost::system::error_code& error) {
            const auto session = weak.lock();
            if (!session || error)
                return;
            receiveAll(
                session->socket_, [&](const Endpoint&, Bytes bytes) { session->toSource_->push(std::move(bytes)); });
            session->receive();
        });
    }

    void applyRules(const UdpLink& link)
    {
        toTarget_->setSettings(link.settingsFor(source_, Direction::ToTarget));
        toSource_->setSettings(link.settingsFor(source_, Direction::ToSource));
    }

    void close()
    {
        toTarget_->close();
        toSource_->close();
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    Channel& toTarget() { return *toTarget_; }

    std::uint64_t lastUse = 0;

private:
    Endpoint source_;
    udp::socket socket_;
    std::shared_ptr<Channel> toTarget_;
    std::shared_ptr<Channel> toSource_;
};

Result<std::unique_ptr<UdpLink>> UdpLink::open(
    asio::io_context& context, LinkOptions options, const FaultRules& rules, Random& random)
{
    BOOST_OUTCOME_TRY(socket, bindSocket(context, options.listen));
    std::unique_ptr<UdpLink> link(new UdpLink(context, std::move(options), rules, random));
    link->socket_ = std::move(socket);
    link->receive();
    return link;
}

UdpLink::UdpLink(asio::io_context& context, LinkOptions options, const FaultRules& rules, Random& random)
    : Link(std::move(options), rules, random)
    , context_(context)
    , socket_(context)
{
}

UdpLink::~UdpLink() = default;

Endpoint UdpLink::address() const { return fromAsio(socket_.local_endpoint()); }

void UdpLink::applyRules()
{
    for (auto& [source, session] : sessions_)
        session->applyRules(*this);
}

void UdpLink::receive()
{
    socket_.async_wait(udp::socket::wait_read, [this](const boost::system::error_code& error) {
        if (error)
            return;
        drainSocket();
        receive();
    });
}

void UdpLink::drainSocket()
{
    receiveAll(socket_, [this](const Endpoint& source, Bytes bytes) {
        if (Session* session = findOrOpenSession(source)) {
            session->lastUse = ++useCount_;
            session->toTarget().push(std::move(bytes));
        }
    });
}

UdpLink::Session* UdpLink::findOrOpenSession(const Endpoint& source)
{
    const auto found = sessions_.find(source);
    if (found != sessions_.end())
        return found->second.get();

    if (sessions_.size() >= maxSessionCount)
        evictLeastRecentSession();
    auto socket = bindSocket(context_, { options().listen.address, 0 });
    if (!socket)
        return nullptr;
    const auto session = std::make_shared<Session>(*this, source, std::move(socket).value());
    session->applyRules(*this);
    session->receive();
    sessions_.emplace(source, session);
    return session.get();
}

void UdpLink::evictLeastRecentSession()
{
    const auto leastRecent = std::min_element(sessions_.begin(), sessions_.end(),
        [](const auto& first, const auto& second) { return first.second->lastUse < second.second->lastUse; });
    sessions_.erase(leastRecent);
}

}
