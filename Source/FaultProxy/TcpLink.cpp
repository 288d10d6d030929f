#include "FaultProxy/TcpLink.h"

#include "FaultProxy/TcpPipe.h"
#include "Net/AsioEndpoint.h"

#include <vector>

namespace wisteriadock {

namespace asio = boost::asio;
using asio::ip::tcp;

// A connection accepted from a source and its connection to the target.
class TcpLink::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(TcpLink& link, tcp::socket socket, const Endpoint& source)
        : link_(link)
        , source_(source)
        , sourceSocket_(std::move(socket))
        , targetSocket_(link.context_)
    {
    }

    void start()
    {
        const std::weak_ptr<Connection> weak = shared_from_this();
        const auto onEnd = [weak] {
            if (const auto connection = weak.lock())
                connection->pipeEnded();
        };
        toTarget_ = TcpPipe::create(
            weak, sourceSocket_, targetSocket_, link_.countersOf(Direction::ToTarget), link_.random(), onEnd);
        toSource_ = TcpPipe::create(
            weak, targetSocket_, sourceSocket_, link_.countersOf(Direction::ToSource), link_.random(), onEnd);
        applyRules();
    }

    void applyRules()
    {
        toTarget_->channel().setSettings(link_.settingsFor(source_, Direction::ToTarget));
        toSource_->channel().setSettings(link_.settingsFor(source_, Direction::ToSource));
        if (toTarget_->channel().isResetting() || toSource_->channel().isResetting()) {
            reset();
            return;
        }
        const bool holding = toTarget_->channel().isHolding() || toSource_->channel().isHolding();
        if (!connecting_ && !holding)
            connect();
    }

    void reset()
    {
        if (ended_)
            return;
        close();
        asio::post(link_.context_, [self = shared_from_this()] { self->link_.connections_.erase(self); });
    }

    // Ends both connections with RST; data that still waits is lost.
    void close()
    {
        ended_ = true;
        for (tcp::socket* socket : { &sourceSocket_, &targetSocket_ }) {
            boost::system::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        toTarget_->close();
        toSource_->close();
    }

private:
    // Called only when delivery is not suspended, since no connection can be established during a cut.
    void connect()
    {
        connecting_ = true;
        targetSocket_.async_connect(
            toTcp(link_.options().target), [self = shared_from_this()](const boost::system::error_code& error) {
                if (error)
                    self->reset();
                if (self->ended_)
                    return;
                boost::system::error_code ignored;
                self->targetSocket_.set_option(tcp::no_delay(true), ignored);
                self->toTarget_->start();
                self->toSource_->start();
            });
    }

    void pipeEnded()
    {
        if (toTarget_->failed() || toSource_->failed() || (toTarget_->finished() && toSource_->finished()))
            reset();
    }

    TcpLink& link_;
    Endpoint source_;
    tcp::socket sourceSocket_;
    tcp::socket targetSocket_;
    std::shared_ptr<TcpPipe> toTarget_;
    std::shared_ptr<TcpPipe> toSource_;
    bool connecting_ = false;
    bool ended_ = false;
};

Result<std::unique_ptr<TcpLink>> TcpLink::open(
    asio::io_context& context, LinkOptions options, const FaultRules& rules, Random& random)
{
    const auto listen = toTcp(options.listen);
    std::unique_ptr<TcpLink> link(new TcpLink(context, std::move(options), rules, random));
    boost::system::error_code error;
    link->acceptor_.open(listen.protocol(), error);
    if (!error)
        link->acceptor_.bind(listen, error);
    if (!error)
        link->acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        return Error { ErrorCode::Unavailable, "tcp " + link->options().listen.toString() + ": " + error.message() };
    }
    link->accept();
    return link;
}

TcpLink::TcpLink(asio::io_context& context, LinkOptions options, const FaultRules& rules, Random& random)
    : Link(std::move(options), rules, random)
    , context_(context)
    , acceptor_(context)
{
}

TcpLink::~TcpLink()
{
    for (const auto& connection : connections_)
        connection->close();
}

Endpoint TcpLink::address() const { return fromAsio(acceptor_.local_endpoint()); }

void TcpLink::applyRules()
{
    const std::vector<std::shared_ptr<Connection>> connections(connections_.begin(), connections_.end());
    for (const auto& connection : connections)
        connection->applyRules();
}

void TcpLink::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            handleConnection(std::move(socket));
        accept();
    });
}

void TcpLink::handleConnection(tcp::socket socket)
{
    boost::system::error_code error;
    const auto source = socket.remote_endpoint(error);
    if (error || !options().target.isSet())
        return;
    socket.set_option(tcp::no_delay(true), error);
    const auto connection = std::make_shared<Connection>(*this, std::move(socket), fromAsio(source));
    connections_.insert(connection);
    connection->start();
}

}
