#include "Net/Http2Server.h"

#include "Net/Http2Listener.h"

#include <utility>

namespace wisteriadock {

namespace {

    class ListeningServer final : public Http2Server {
    public:
        explicit ListeningServer(std::shared_ptr<Http2Listener> listener)
            : listener_(std::move(listener))
        {
        }
        ~ListeningServer() override { listener_->stop(); }
        ListeningServer(const ListeningServer&) = delete;
        ListeningServer& operator=(const ListeningServer&) = delete;

        Endpoint address() const override { return listener_->address(); }
        void drain(std::function<void()> onDrained) override { listener_->drain(std::move(onDrained)); }
        std::size_t openExchanges() const override { return listener_->openExchanges(); }
        std::uint64_t bytesTransferred() const override { return listener_->bytesTransferred(); }
        std::uint64_t protocolErrors() const override { return listener_->protocolErrors(); }

    private:
        std::shared_ptr<Http2Listener> listener_;
    };

}

Result<std::unique_ptr<Http2Server>> Http2Server::listen(
    boost::asio::io_context& context, Endpoint endpoint, Handler handler, Http2Limits limits)
{
    const auto listener = std::make_shared<Http2Listener>(context, std::move(handler), limits);
    if (auto listening = listener->listen(endpoint); !listening)
        return listening.error();
    return std::unique_ptr<Http2Server>(std::make_unique<ListeningServer>(listener));
}

}
