#include "hibiscus/net/peer_mesh.hpp"

#include <boost/asio/post.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <chrono>

namespace hibiscus::net {

namespace asio = boost::asio;

namespace detail {

using ws_server = websocketpp::server<websocketpp::config::asio>;
using ws_client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

/// The link by which this node sends to a peer.
struct outgoing_link {
    base::endpoint target;
    connection_hdl handle;
    bool connecting = false;
    bool open = false;
    /// When it last answered a ping or opened.
    std::chrono::steady_clock::time_point last_pong_at;
    std::chrono::steady_clock::time_point last_ping_at;
    std::chrono::steady_clock::time_point connect_not_before;
};

} // namespace detail

/// Runs in one thread, so its members need no lock.
class peer_mesh::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, peer_options limits, peer_callbacks events)
        : io_(io), limits_(limits), events_(std::move(events)), timer_(io) {
        disable_library_logging(server_);
        disable_library_logging(client_);
        server_.init_asio(&io_);
        client_.init_asio(&io_);
        server_.set_reuse_addr(true);
        server_.set_max_message_size(limits_.max_message_bytes);
        client_.set_open_handshake_timeout(limits_.connect_timeout_ms);
        server_.set_open_handshake_timeout(limits_.connect_timeout_ms);
    }

    void start() {
        server_.set_message_handler(
            [self = weak_from_this()](detail::connection_hdl from,
                                      detail::ws_server::message_ptr m) {
                if (auto strong = self.lock()) {
                    strong->on_message(from, m->get_payload());
                }
            });
        set_incoming_handlers();
        asio::post(io_, [self = shared_from_this()] { self->tick(); });
    }

    std::optional<base::endpoint> listen(const base::endpoint& address) {
        websocketpp::lib::error_code error;
        asio::ip::address ip;
        boost::system::error_code bad;
        ip = asio::ip::make_address(address.ip, bad);
        if (bad) {
            return std::nullopt;
        }
        server_.listen(asio::ip::tcp::endpoint(ip, address.port), error);
        if (error) {
            return std::nullopt;
        }
        server_.start_accept(error);
        boost::system::error_code port_error;
        const auto local = server_.get_local_endpoint(port_error);
        if (error || port_error) {
            return std::nullopt;
        }
        return base::endpoint{address.ip, local.port()};
    }

    void set_peers(const std::map<base::node_id, base::endpoint>& peers) {
        for (auto at = links_.begin(); at != links_.end();) {
            const auto wanted = peers.find(at->first);
            const bool keep =
                wanted != peers.end() && wanted->second == at->second.target;
            if (keep) {
                ++at;
            } else {
                close(at->second);
                at = links_.erase(at);
            }
        }
        for (const auto& [node, target] : peers) {
            links_[node].target = target;
        }
    }

    void send(const base::node_id& to, const wire::peer_message& message,
              const std::function<void()>& unsent) {
        const auto at = links_.find(to);
        if (at == links_.end() || !at->second.open ||
            !write(at->second, message)) {
            if (unsent) {
                unsent();
            }
        }
    }

    /// Returns the context that runs the mesh.
    asio::io_context& io() { return io_; }

    void stop() {
        stopped_ = true;
        websocketpp::lib::error_code ignored;
        server_.stop_listening(ignored);
        for (auto& [node, link] : links_) {
            close(link);
        }
        links_.clear();
        timer_.cancel();
    }

private:
    template <class Endpoint>
    static void disable_library_logging(Endpoint& endpoint) {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

    /// Links of peers that died, or that the network lost track of, would stay
    /// open for good and use up descriptors.
    void set_incoming_handlers() {
        const auto self = weak_from_this();
        server_.set_validate_handler([self](const detail::connection_hdl&) {
            auto strong = self.lock();
            return strong && strong->incoming_.size() <
                                 strong->limits_.max_incoming_links;
        });
        const auto heard = [self](const detail::connection_hdl& from) {
            if (auto strong = self.lock()) {
                strong->incoming_[from] = std::chrono::steady_clock::now();
            }
        };
        server_.set_open_handler(heard);
        server_.set_ping_handler(
            [heard](const detail::connection_hdl& from, const std::string&) {
                heard(from);
                return true;
            });
        server_.set_close_handler([self](const detail::connection_hdl& from) {
            if (auto strong = self.lock()) {
                strong->incoming_.erase(from);
            }
        });
    }

    void close_idle_incoming(std::chrono::steady_clock::time_point now) {
        const auto limit =
            std::chrono::milliseconds(limits_.incoming_idle_timeout_ms);
        for (auto at = incoming_.begin(); at != incoming_.end();) {
            if (now - at->second <= limit) {
                ++at;
                continue;
            }
            websocketpp::lib::error_code error;
            const auto connection = server_.get_con_from_hdl(at->first, error);
            at = incoming_.erase(at);
            if (!error) {
                connection->terminate(websocketpp::lib::error_code());
            }
        }
    }

    bool write(detail::outgoing_link& link, const wire::peer_message& message) {
        websocketpp::lib::error_code error;
        const auto connection = client_.get_con_from_hdl(link.handle, error);
        if (error ||
            connection->get_buffered_amount() > limits_.max_unsent_bytes) {
            return false;
        }
        error = connection->send(wire::to_cbor(message),
                                 websocketpp::frame::opcode::binary);
        return !error;
    }

    void on_message(const detail::connection_hdl& from,
                    const std::string& bytes) {
        auto read = wire::from_cbor(bytes);
        if (auto* message = std::get_if<wire::peer_message>(&read)) {
            events_.on_message(std::move(*message));
            return;
        }
        websocketpp::lib::error_code ignored;
        server_.close(from, websocketpp::close::status::protocol_error, "",
                      ignored);
        events_.on_malformed(std::get<wire::decode_error>(std::move(read)));
    }

    void tick() {
        if (stopped_) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        close_idle_incoming(now);
        for (auto& [node, link] : links_) {
            if (link.open) {
                check_link(node, link, now);
            } else if (!link.connecting && now >= link.connect_not_before) {
                connect(node, link);
            }
        }
        timer_.expires_after(
            std::chrono::milliseconds(limits_.ping_interval_ms / 4));
        timer_.async_wait(
            [self = weak_from_this()](const boost::system::error_code& error) {
                auto strong = self.lock();
                if (strong && !error) {
                    strong->tick();
                }
            });
    }

    /// Pings a link. One that something in between has lost track of takes
    /// bytes without a word; only the missing answer shows it.
    void check_link(const base::node_id& node, detail::outgoing_link& link,
                    std::chrono::steady_clock::time_point now) {
        if (now - link.last_pong_at >
            std::chrono::milliseconds(limits_.pong_timeout_ms)) {
            close(link);
            on_link_closed(node);
            return;
        }
        if (now - link.last_ping_at >=
            std::chrono::milliseconds(limits_.ping_interval_ms)) {
            link.last_ping_at = now;
            websocketpp::lib::error_code ignored;
            client_.ping(link.handle, "", ignored);
        }
    }

    void connect(const base::node_id& node, detail::outgoing_link& link) {
        websocketpp::lib::error_code error;
        const auto connection = client_.get_connection(
            "ws://" + base::to_string(link.target) + "/", error);
        if (error) {
            return;
        }
        link.connecting = true;
        link.handle = connection->get_handle();
        // A link that was replaced may still report; only the present one
        // changes the row.
        const auto self = weak_from_this();
        connection->set_open_handler([self, node](detail::connection_hdl h) {
            if (auto strong = self.lock()) {
                strong->on_link_opened(node, h);
            }
        });
        const auto on_end = [self, node](const detail::connection_hdl& h) {
            auto strong = self.lock();
            if (strong && strong->is_current_connection(node, h)) {
                strong->on_link_closed(node);
            }
        };
        connection->set_close_handler(on_end);
        connection->set_fail_handler(on_end);
        connection->set_pong_handler(
            [self, node](const detail::connection_hdl& h, const std::string&) {
                auto strong = self.lock();
                if (strong && strong->is_current_connection(node, h)) {
                    strong->links_[node].last_pong_at =
                        std::chrono::steady_clock::now();
                }
            });
        client_.connect(connection);
    }

    bool is_current_connection(const base::node_id& node,
                               const detail::connection_hdl& handle) const {
        const auto at = links_.find(node);
        return at != links_.end() && !at->second.handle.owner_before(handle) &&
               !handle.owner_before(at->second.handle);
    }

    void on_link_opened(const base::node_id& node,
                        const detail::connection_hdl& handle) {
        if (!is_current_connection(node, handle)) {
            return;
        }
        auto& link = links_[node];
        link.connecting = false;
        link.open = true;
        link.last_pong_at = std::chrono::steady_clock::now();
        events_.on_link_change(node, true);
    }

    void on_link_closed(const base::node_id& node) {
        const auto at = links_.find(node);
        if (at == links_.end()) {
            return;
        }
        auto& link = at->second;
        const bool was_open = link.open;
        link.connecting = false;
        link.open = false;
        link.handle.reset();
        link.connect_not_before =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(limits_.reconnect_delay_ms);
        if (was_open) {
            events_.on_link_change(node, false);
        }
    }

    void close(const detail::outgoing_link& link) {
        websocketpp::lib::error_code error;
        const auto connection = client_.get_con_from_hdl(link.handle, error);
        if (!error) {
            // The polite end waits for the other side's answer, which a
            // silent link never gives.
            connection->terminate(websocketpp::lib::error_code());
        }
    }

    asio::io_context& io_;
    peer_options limits_;
    peer_callbacks events_;
    asio::steady_timer timer_;
    detail::ws_server server_;
    detail::ws_client client_;
    std::map<base::node_id, detail::outgoing_link> links_;
    /// When something last came over a link that a peer holds to this node.
    std::map<detail::connection_hdl, std::chrono::steady_clock::time_point,
             std::owner_less<detail::connection_hdl>>
        incoming_;
    bool stopped_ = false;
};

peer_mesh::peer_mesh(asio::io_context& io, peer_options limits,
                     peer_callbacks events)
    : impl_(std::make_shared<impl>(io, limits, std::move(events))) {
    impl_->start();
}

peer_mesh::~peer_mesh() {
    asio::post(impl_->io(), [impl = impl_] { impl->stop(); });
}

std::optional<base::endpoint> peer_mesh::listen(const base::endpoint& address) {
    return impl_->listen(address);
}

void peer_mesh::set_peers(std::map<base::node_id, base::endpoint> peers) {
    asio::post(impl_->io(),
               [impl = impl_, p = std::move(peers)] { impl->set_peers(p); });
}

void peer_mesh::send(const base::node_id& to, wire::peer_message message,
                     std::function<void()> unsent) {
    asio::post(impl_->io(), [impl = impl_, to, m = std::move(message),
                             u = std::move(unsent)] { impl->send(to, m, u); });
}

} // namespace hibiscus::net
