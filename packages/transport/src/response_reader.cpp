#include "response_reader.hpp"

#include "hibiscus/base/response_rules.hpp"

#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <string>

namespace hibiscus::transport {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Maximum number of bytes per read.
constexpr std::size_t read_buffer_bytes = 16 * 1024;

/// Maximum size of a head, of all interim responses, of the line before a
/// chunk, and of the trailers of a response, in bytes.
constexpr std::uint32_t max_unparsed_bytes = 64 * 1024;

} // namespace

void response_reader::reset() {
    input_.consume(input_.size());
    head_bytes_ = 0;
    start_parser();
}

void response_reader::start_parser() {
    parser_.emplace();
    parser_->body_limit(max_body_bytes_);
    parser_->header_limit(max_unparsed_bytes);
    parser_->skip(is_head_request_);
}

boost::asio::mutable_buffer response_reader::prepare() {
    return input_.prepare(read_buffer_bytes);
}

bool response_reader::parse() {
    while (input_.size() > 0 && !parser_->is_done()) {
        const bool was_in_head = !parser_->is_header_done();
        beast::error_code error;
        const auto consumed = parser_->put(input_.data(), error);
        if (was_in_head &&
            !check_head(
                {static_cast<const char*>(input_.data().data()), consumed})) {
            return false;
        }
        input_.consume(consumed);
        if (error == http::error::need_more) {
            return input_.size() <= max_unparsed_bytes;
        }
        if (error) {
            return false;
        }
        if (consumed == 0) {
            return true;
        }
    }
    return true;
}

bool response_reader::check_head(std::string_view parsed) {
    // The parser replaces folds, and takes a field only with all its lines.
    if (base::has_folded_line(parsed)) {
        return false;
    }
    head_bytes_ += parsed.size();
    if (!parser_->is_header_done()) {
        return true;
    }
    switch (base::classify_status(parser_->get().result_int())) {
    case base::response_kind::malformed:
        return false;
    case base::response_kind::interim_response:
        start_parser();
        return head_bytes_ <= max_unparsed_bytes;
    case base::response_kind::final_response:
        break;
    }
    parser_->eager(true);
    return base::has_readable_coding(parser_->get());
}

bool response_reader::finish() {
    beast::error_code error;
    parser_->put_eof(error);
    return !error;
}

response_head response_reader::head() const {
    response_head head;
    head.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get()) {
        head.fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return head;
}

std::string_view response_reader::data() const {
    const auto bytes = parser_->get().body().data();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
}

void response_reader::discard_data() {
    auto& body = parser_->get().body();
    body.consume(body.size());
}

} // namespace hibiscus::transport
