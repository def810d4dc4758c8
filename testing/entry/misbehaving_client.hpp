#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace hibiscus::testing {

/// Returns the next bytes that a client sends; empty once it stops.
using byte_source = std::function<std::string()>;

/// Returns a source of `text`, once.
byte_source send_once(std::string text);

/// Returns a source of `piece`, `count` times.
byte_source send_repeatedly(std::string piece, std::size_t count);

/// Returns a source that sends what `first` does and then what `second` does.
byte_source send_in_order(byte_source first, byte_source second);

/// Returns the head of a request with the body framed by `framing`, a header
/// field.
std::string make_head(const std::string& id, const std::string& target,
                      const std::string& framing);

/// Returns `bytes` as one chunk of a body.
std::string make_chunk(const std::string& bytes);

/// Opens a connection, sends the bytes of a source, with a pause between two
/// pieces, and then leaves the connection open without sending more. Reads and
/// keeps the beginning of what the node sends.
class misbehaving_client {
public:
    misbehaving_client(boost::asio::io_context& io, const base::endpoint& node,
                       byte_source source, base::millis pause_ms = 0);
    ~misbehaving_client();

    misbehaving_client(const misbehaving_client&) = delete;
    misbehaving_client& operator=(const misbehaving_client&) = delete;

    /// Returns true once all bytes were sent, or the connection ended.
    bool is_done() const;

    /// Returns true once the node has closed or reset the connection.
    bool is_closed() const;

    /// Returns the status of the first response, or 0 if there is none.
    int status() const;

    /// Returns the beginning of what the node has sent.
    const std::string& received() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::testing
