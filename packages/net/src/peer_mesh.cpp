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

/// The link over which this node sends to a peer.
struct outgoing_link {
    base::endpoint target;
    connection_hdl handle;
    bool connecting = false;
    bool open = false;
    /// The time of the last pong, or of the opening if there was none.
    std::chrono::steady_clock::time_point last_pong_at;
    std::chrono::steady_clock::time_point last_ping_at;
    std::chrono::steady_clock::time_point connect_not_before;
};

} // namespace detail

/// Runs on one thread, so its members need no lock.
class peer_mesh::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, peer_options options, peer_callbacks callbacks)
        : io_(io), options_(options), callbacks_(std::move(callbacks)),
          timer_(io) {
        disable_library_logging(server_);
        disable_library_logging(client_);
        server_.init_asio(&io_);
        client_.init_asio(&io_);
        server_.set_reuse_addr(true);
        server_.set_max_message_size(options_.max_message_bytes);
        client_.set_open_handshake_timeout(options_.connect_timeout_ms);
        server_.set_open_handshake_timeout(options_.connect_timeout_ms);
    }

    void start() {
        server_.set_message_handler(
            [self = weak_from_this()](detail::connection_hdl handle,
                                      detail::ws_server::message_ptr m) {
                if (auto strong = self.lock()) {
                    strong->on_message(handle, m->get_payload());
                }
            });
        set_incoming_link_handlers();
        asio::post(io_, [self = shared_from_this()] { self->tick(); });
    }

    std::optional<base::endpoint> listen(const base::endpoint& address) {
        websocketpp::lib::error_code error;
        asio::ip::address ip;
        boost::system::error_code address_error;
        ip = asio::ip::make_address(address.ip, address_error);
        if (address_error) {
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
        for (auto it = links_.begin(); it != links_.end();) {
            const auto peer = peers.find(it->first);
            const bool is_unchanged =
                peer != peers.end() && peer->second == it->second.target;
            if (is_unchanged) {
                ++it;
            } else {
                close(it->second);
                it = links_.erase(it);
            }
        }
        for (const auto& [node, target] : peers) {
            links_[node].target = target;
        }
    }

    void send(const base::node_id& peer, const wire::peer_message& message,
              const std::function<void()>& on_unsent) {
        const auto it = links_.find(peer);
        if (it == links_.end() || !it->second.open ||
            !write(it->second, message)) {
            if (on_unsent) {
                on_unsent();
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
    template <class WebSocketEndpoint>
    static void disable_library_logging(WebSocketEndpoint& endpoint) {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

    /// Limits the number of incoming links and records their last pings, so
    /// that idle links can be closed. Links of crashed or partitioned peers
    /// would otherwise stay open forever and exhaust the file descriptors.
    void set_incoming_link_handlers() {
        const auto self = weak_from_this();
        server_.set_validate_handler([self](const detail::connection_hdl&) {
            auto strong = self.lock();
            return strong && strong->incoming_last_ping_.size() <
                                 strong->options_.max_incoming_links;
        });
        const auto record_activity =
            [self](const detail::connection_hdl& handle) {
                if (auto strong = self.lock()) {
                    strong->incoming_last_ping_[handle] =
                        std::chrono::steady_clock::now();
                }
            };
        server_.set_open_handler(record_activity);
        server_.set_ping_handler(
            [record_activity](const detail::connection_hdl& handle,
                              const std::string&) {
                record_activity(handle);
                return true;
            });
        server_.set_close_handler([self](const detail::connection_hdl& handle) {
            if (auto strong = self.lock()) {
                strong->incoming_last_ping_.erase(handle);
            }
        });
    }

    void close_idle_incoming_links(std::chrono::steady_clock::time_point now) {
        const auto timeout =
            std::chrono::milliseconds(options_.incoming_idle_timeout_ms);
        for (auto it = incoming_last_ping_.begin();
             it != incoming_last_ping_.end();) {
            if (now - it->second <= timeout) {
                ++it;
                continue;
            }
            websocketpp::lib::error_code error;
            const auto connection = server_.get_con_from_hdl(it->first, error);
            it = incoming_last_ping_.erase(it);
            if (!error) {
                connection->terminate(websocketpp::lib::error_code());
            }
        }
    }

    bool write(detail::outgoing_link& link, const wire::peer_message& message) {
        websocketpp::lib::error_code error;
        const auto connection = client_.get_con_from_hdl(link.handle, error);
        if (error ||
            connection->get_buffered_amount() > options_.max_unsent_bytes) {
            return false;
        }
        error = connection->send(wire::to_cbor(message),
                                 websocketpp::frame::opcode::binary);
        return !error;
    }

    void on_message(const detail::connection_hdl& handle,
                    const std::string& bytes) {
        auto decoded = wire::from_cbor(bytes);
        if (auto* message = std::get_if<wire::peer_message>(&decoded)) {
            callbacks_.on_message(std::move(*message));
            return;
        }
        websocketpp::lib::error_code ignored;
        server_.close(handle, websocketpp::close::status::protocol_error, "",
                      ignored);
        callbacks_.on_malformed(
            std::get<wire::decode_error>(std::move(decoded)));
    }

    void tick() {
        if (stopped_) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        close_idle_incoming_links(now);
        for (auto& [node, link] : links_) {
            if (link.open) {
                check_link(node, link, now);
            } else if (!link.connecting && now >= link.connect_not_before) {
                connect(node, link);
            }
        }
        timer_.expires_after(
            std::chrono::milliseconds(options_.ping_interval_ms / 4));
        timer_.async_wait(
            [self = weak_from_this()](const boost::system::error_code& error) {
                auto strong = self.lock();
                if (strong && !error) {
                    strong->tick();
                }
            });
    }

    /// Pings a link, and closes it if pongs are missing. A link that a
    /// middlebox has dropped still accepts bytes without an error; only the
    /// missing pong reveals it.
    void check_link(const base::node_id& node, detail::outgoing_link& link,
                    std::chrono::steady_clock::time_point now) {
        if (now - link.last_pong_at >
            std::chrono::milliseconds(options_.pong_timeout_ms)) {
            close(link);
            on_link_closed(node);
            return;
        }
        if (now - link.last_ping_at >=
            std::chrono::milliseconds(options_.ping_interval_ms)) {
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
        // The handlers of a replaced connection may still be called; only the
        // current connection changes the link.
        const auto self = weak_from_this();
        connection->set_open_handler(
            [self, node](detail::connection_hdl handle) {
                if (auto strong = self.lock()) {
                    strong->on_link_opened(node, handle);
                }
            });
        const auto on_end = [self, node](const detail::connection_hdl& handle) {
            auto strong = self.lock();
            if (strong && strong->is_current_connection(node, handle)) {
                strong->on_link_closed(node);
            }
        };
        connection->set_close_handler(on_end);
        connection->set_fail_handler(on_end);
        connection->set_pong_handler(
            [self, node](const detail::connection_hdl& handle,
                         const std::string&) {
                auto strong = self.lock();
                if (strong && strong->is_current_connection(node, handle)) {
                    strong->links_[node].last_pong_at =
                        std::chrono::steady_clock::now();
                }
            });
        client_.connect(connection);
    }

    bool is_current_connection(const base::node_id& node,
                               const detail::connection_hdl& handle) const {
        const auto it = links_.find(node);
        return it != links_.end() && !it->second.handle.owner_before(handle) &&
               !handle.owner_before(it->second.handle);
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
        callbacks_.on_link_change(node, true);
    }

    void on_link_closed(const base::node_id& node) {
        const auto it = links_.find(node);
        if (it == links_.end()) {
            return;
        }
        auto& link = it->second;
        const bool was_open = link.open;
        link.connecting = false;
        link.open = false;
        link.handle.reset();
        link.connect_not_before =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(options_.reconnect_delay_ms);
        if (was_open) {
            callbacks_.on_link_change(node, false);
        }
    }

    void close(const detail::outgoing_link& link) {
        websocketpp::lib::error_code error;
        const auto connection = client_.get_con_from_hdl(link.handle, error);
        if (!error) {
            // A WebSocket close handshake waits for the peer, which may never
            // respond.
            connection->terminate(websocketpp::lib::error_code());
        }
    }

    asio::io_context& io_;
    peer_options options_;
    peer_callbacks callbacks_;
    asio::steady_timer timer_;
    detail::ws_server server_;
    detail::ws_client client_;
    std::map<base::node_id, detail::outgoing_link> links_;
    /// The time of the last ping, or of the opening, of each incoming link.
    std::map<detail::connection_hdl, std::chrono::steady_clock::time_point,
             std::owner_less<detail::connection_hdl>>
        incoming_last_ping_;
    bool stopped_ = false;
};

peer_mesh::peer_mesh(asio::io_context& io, peer_options options,
                     peer_callbacks callbacks)
    : impl_(std::make_shared<impl>(io, options, std::move(callbacks))) {
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

void peer_mesh::send(const base::node_id& peer, wire::peer_message message,
                     std::function<void()> on_unsent) {
    asio::post(impl_->io(),
               [impl = impl_, peer, m = std::move(message),
                f = std::move(on_unsent)] { impl->send(peer, m, f); });
}

} // namespace hibiscus::net
