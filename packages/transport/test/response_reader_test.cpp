#include "response_reader.hpp"

#include <boost/asio/buffer.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace hibiscus::transport {

namespace {

constexpr std::uint64_t max_body_bytes = 1000;

/// What a reader makes of a response.
struct read_result {
    bool valid = true;
    bool complete = false;
    int status = 0;
    std::string body;

    friend bool operator==(const read_result& a, const read_result& b) {
        return a.valid == b.valid && a.complete == b.complete &&
               a.status == b.status && a.body == b.body;
    }
};

/// Reads `bytes` in pieces of `piece_bytes`, and then the end of the
/// connection.
read_result read_in_pieces(const std::string& bytes, std::size_t piece_bytes) {
    response_reader reader(false, max_body_bytes);
    read_result result;
    for (std::size_t at = 0; at < bytes.size() && !result.complete;
         at += piece_bytes) {
        const auto piece = bytes.substr(at, piece_bytes);
        boost::asio::buffer_copy(reader.prepare(), boost::asio::buffer(piece));
        reader.commit(piece.size());
        if (!reader.parse()) {
            return {false, false, 0, ""};
        }
        if (reader.is_head_complete()) {
            result.status = reader.head().status;
            result.body += reader.data();
            reader.discard_data();
            result.complete = reader.is_complete();
        }
    }
    if (!result.complete && reader.ends_with_connection()) {
        result.complete = reader.finish();
    }
    return result;
}

const std::string ok = "HTTP/1.1 200 OK\r\n";

const std::vector<std::string> valid_responses{
    ok + "Content-Length: 5\r\n\r\nhello", ok + "\r\nhello",
    ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;a=b\r\nllo\r\n0\r\n"
         "X: y\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + ok +
        "Content-Length: 5\r\n\r\nhello"};

const std::vector<std::string> malformed_responses{
    "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 101 Switching\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello",
    ok + "X: y\r\n z\r\nContent-Length: 5\r\n\r\nhello",
    ok + "Content-Length: 5\r\nX: y\r\n\t\r\n\r\nhello",
    ok + " X: y\r\nContent-Length: 5\r\n\r\nhello",
    ok + "X Y: z\r\nContent-Length: 5\r\n\r\nhello"};

// Guards against checks that depend on how a head is cut into pieces.
TEST(response_reader_test, responses_in_any_pieces_are_the_same_responses) {
    for (const auto& bytes : valid_responses) {
        for (std::size_t n = 1; n <= bytes.size(); ++n) {
            EXPECT_EQ(read_in_pieces(bytes, n),
                      (read_result{true, true, 200, "hello"}))
                << n << " " << bytes;
        }
    }
    for (const auto& bytes : malformed_responses) {
        for (std::size_t n = 1; n <= bytes.size(); ++n) {
            EXPECT_FALSE(read_in_pieces(bytes, n).valid) << n << " " << bytes;
        }
    }
}

} // namespace

} // namespace hibiscus::transport
