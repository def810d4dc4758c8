#pragma once

#include "hibiscus/transport/upstream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/dynamic_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hibiscus::transport {

/// Reads one response from the bytes of a connection. Skips the interim
/// responses before it.
class response_reader {
public:
    /// Reads the response to a request whose method is HEAD, or to any other. A
    /// body of more than `max_body_bytes` is no valid response.
    response_reader(bool is_head_request, std::uint64_t max_body_bytes)
        : is_head_request_(is_head_request), max_body_bytes_(max_body_bytes) {
        reset();
    }

    /// Forgets all input, for a response on another connection.
    void reset();

    /// Returns room for the next bytes of the connection, which are added by
    /// commit().
    boost::asio::mutable_buffer prepare();
    void commit(std::size_t bytes) { input_.commit(bytes); }

    /// Parses what was committed. Returns false if it is no valid response.
    bool parse();

    /// Called at the end of the connection, which completes a response for
    /// which ends_with_connection() holds. Returns false if it is incomplete.
    bool finish();

    bool is_head_complete() const { return parser_->is_header_done(); }
    bool is_complete() const { return parser_->is_done(); }

    /// Returns true if the head is complete and the body has no declared
    /// length.
    bool ends_with_connection() const {
        return is_head_complete() && parser_->need_eof();
    }

    /// Returns true if the connection is in order for another response once
    /// this one is complete.
    bool leaves_connection_open() const {
        return parser_->keep_alive() && !parser_->need_eof() &&
               input_.size() == 0;
    }

    /// Returns the head. Must not be called before it is complete.
    response_head head() const;

    /// Returns the part of the body that has arrived and was not discarded.
    std::string_view data() const;
    void discard_data();

private:
    void start_parser();

    /// Called with each part of a head that was parsed, and with the last one
    /// before any of the body is. Returns false if it is no valid head.
    bool check_head(std::string_view parsed);

    /// Holds what has arrived. A string body would reserve the length that a
    /// server announces.
    using body_type =
        boost::beast::http::basic_dynamic_body<boost::beast::flat_buffer>;

    bool is_head_request_;
    std::uint64_t max_body_bytes_;
    boost::beast::flat_buffer input_;
    /// The size of all heads so far, those of interim responses included.
    std::size_t head_bytes_ = 0;
    std::optional<boost::beast::http::response_parser<body_type>> parser_;
};

} // namespace hibiscus::transport
