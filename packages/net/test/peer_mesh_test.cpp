#include "hibiscus/net/peer_mesh.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <thread>

namespace hibiscus::net {
namespace {

/// Two nodes on one thread; node a has a link to node b.
class peer_mesh_test : public ::testing::Test {
protected:
    peer_mesh_test()
        : a_(io_, {},
             {[](const wire::peer_message&) {},
              [](const wire::decode_error&) {},
              [this](const base::node_id&, bool open) {
                  if (open) {
                      opened_.set_value();
                  }
              }}),
          b_(io_, {},
             {[this](wire::peer_message m) {
                  received_.set_value(std::move(m));
              },
              [](const wire::decode_error&) {},
              [](const base::node_id&, bool) {}}) {
        const auto address = b_.listen({"127.0.0.1", 0});
        a_.set_peers({{base::node_id("b"), *address}});
        thread_ = std::thread([this] { io_.run(); });
    }

    ~peer_mesh_test() override {
        io_.stop();
        thread_.join();
    }

    std::promise<void> opened_;
    std::promise<wire::peer_message> received_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_guard_{io_.get_executor()};
    peer_mesh a_;
    peer_mesh b_;
    std::thread thread_;
};

TEST_F(peer_mesh_test, a_message_reaches_its_peer) {
    opened_.get_future().get();
    a_.send(base::node_id("b"), wire::document_request{base::node_id("a"), 7});
    const auto message = received_.get_future().get();
    const auto* request = std::get_if<wire::document_request>(&message);
    ASSERT_NE(request, nullptr) << "alternative " << message.index();
    EXPECT_EQ(request->revision, 7);
}

TEST_F(peer_mesh_test, a_message_without_a_link_is_unsent) {
    std::promise<void> unsent;
    a_.send(base::node_id("c"), wire::document_request{base::node_id("a"), 7},
            [&] { unsent.set_value(); });
    unsent.get_future().get();
}

} // namespace
} // namespace hibiscus::net
