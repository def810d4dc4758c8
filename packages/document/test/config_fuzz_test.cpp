#include "hibiscus/document/config_state_machine.hpp"

#include "support/fuzz.hpp"

#include <array>

namespace hibiscus::document {
namespace {

/// Nodes and publishers that share one log, which delays, duplicates and drops
/// records. The nodes are checked against a reference state machine that
/// applies every record.
class config_model {
public:
    /// Executes a command. Returns the first violation, or "" if there is none.
    std::string execute(const testing::fuzz_command& c) {
        auto& node = nodes_[static_cast<std::size_t>(c.a) % nodes_.size()];
        if (c.kind < 25) {
            publish(c);
        } else if (c.kind < 50) {
            append_pending(c);
        } else if (c.kind < 75) {
            read(node, c.c % 5 + 1);
        } else if (c.kind < 82) {
            if (node.state_machine.is_complete() &&
                node.state_machine.next_offset() > 0) {
                pending_appends_.push_back(node.state_machine.make_snapshot());
            }
        } else if (c.kind < 90) {
            send_document(
                node, nodes_[static_cast<std::size_t>(c.b) % nodes_.size()]);
        } else if (c.kind < 94) {
            node = {};
        } else {
            const auto end = static_cast<wire::log_offset>(records_.size());
            first_offset_ =
                std::max<wire::log_offset>(first_offset_, end - c.b % 9);
        }
        check(node);
        return violation_;
    }

    /// Appends a snapshot of the reference and lets each node read all records.
    /// Returns the first violation, or "" if there is none.
    std::string converge() {
        records_.push_back(reference_.make_snapshot());
        reference_.apply(end() - 1, records_.back());
        for (auto& node : nodes_) {
            read(node, end());
            check(node);
            if (!node.state_machine.is_complete() ||
                number(node.state_machine.in_force()) !=
                    number(reference_.in_force())) {
                fail("a node did not converge to the document in force");
            }
        }
        return violation_;
    }

    std::size_t accepted_count() const { return accepted_count_; }

private:
    struct model_node {
        config_state_machine state_machine;
        /// The highest revision that was in force at the node.
        wire::log_offset last_revision = 0;
    };

    wire::log_offset end() const {
        return static_cast<wire::log_offset>(records_.size());
    }

    static wire::log_offset number(const revision* r) {
        return r != nullptr ? r->number : 0;
    }

    void fail(const std::string& violation) {
        if (violation_.empty()) {
            violation_ = violation;
        }
    }

    /// Sends a publish based on the accepted revision, if the log still shows
    /// which one that is.
    void publish(const testing::fuzz_command& c) {
        model_node publisher;
        read(publisher, end());
        if (!publisher.state_machine.is_complete()) {
            return;
        }
        const auto count = ++publish_count_;
        const auto ttl = std::to_string(100 + count);
        const std::string text =
            c.b % 8 == 0 ? "{\"x\": 1}"
                         : "{\"limits\": {\"entries_ttl_ms\": " + ttl + "}}";
        pending_appends_.push_back(
            {1, "p" + std::to_string(count),
             number(publisher.state_machine.accepted_revision()), text, 0, 0});
    }

    /// Appends a pending record to the log. One append in four stays pending,
    /// as if its response were lost, and is appended again later.
    void append_pending(const testing::fuzz_command& c) {
        if (pending_appends_.empty()) {
            return;
        }
        const auto index = static_cast<std::ptrdiff_t>(
            static_cast<std::size_t>(c.a) % pending_appends_.size());
        records_.push_back(pending_appends_[static_cast<std::size_t>(index)]);
        if (c.b % 4 != 0) {
            pending_appends_.erase(pending_appends_.begin() + index);
        }
        const auto before = number(reference_.accepted_revision());
        reference_.apply(end() - 1, records_.back());
        const auto* accepted = reference_.accepted_revision();
        if (number(accepted) != before) {
            ++accepted_count_;
            accepted_texts_[accepted->number] = accepted->text;
        }
        accepted_history_.push_back(number(accepted));
    }

    /// Lets a node read up to `max_records` records.
    void read(model_node& node, wire::log_offset max_records) const {
        node.state_machine.handle_truncation(first_offset_);
        for (; max_records > 0 && node.state_machine.next_offset() < end();
             --max_records) {
            const auto offset = node.state_machine.next_offset();
            node.state_machine.apply(
                offset, records_[static_cast<std::size_t>(offset)]);
        }
    }

    static void send_document(const model_node& sender, model_node& receiver) {
        if (const auto* r = sender.state_machine.in_force()) {
            receiver.state_machine.adopt_from_peer(r->number, r->text);
        }
    }

    void check(model_node& node) {
        const auto* in_force = node.state_machine.in_force();
        if (number(in_force) < node.last_revision) {
            fail("a node went back to an older revision");
        }
        node.last_revision = number(in_force);
        if (in_force != nullptr &&
            accepted_texts_[in_force->number] != in_force->text) {
            fail("a node uses a document that was not accepted");
        }
        const auto next =
            static_cast<std::size_t>(node.state_machine.next_offset());
        if (node.state_machine.is_complete() && next > 0 &&
            next <= accepted_history_.size() &&
            number(node.state_machine.accepted_revision()) !=
                accepted_history_[next - 1]) {
            fail("the accepted revision of a node differs from the reference");
        }
        for (int i = 1; i <= publish_count_; ++i) {
            const auto id = "p" + std::to_string(i);
            if (node.state_machine.verdict(id) == publish_verdict::accepted &&
                reference_.verdict(id) != publish_verdict::accepted) {
                fail("a node reports a rejected publish as accepted");
            }
        }
    }

    std::array<model_node, 3> nodes_;
    config_state_machine reference_;
    std::vector<wire::config_record> records_;
    std::vector<wire::config_record> pending_appends_;
    /// The accepted revision after each record.
    std::vector<wire::log_offset> accepted_history_;
    std::map<wire::log_offset, std::string> accepted_texts_;
    /// The offset of the first record that retention has kept.
    wire::log_offset first_offset_ = 0;
    int publish_count_ = 0;
    std::size_t accepted_count_ = 0;
    std::string violation_;
};

// Operators publish concurrently, responses are lost, retention drops records
// and nodes restart. All nodes must converge to the same document and never go
// back to an older one, or callers would get different behavior from different
// entries.
TEST(config_fuzz_test, all_nodes_converge_to_the_same_document) {
    std::size_t accepted_count = 0;
    testing::fuzz("config", 12000,
                  [&](const std::vector<testing::fuzz_command>& commands) {
                      config_model model;
                      std::string violation;
                      for (const auto& c : commands) {
                          violation = model.execute(c);
                          if (!violation.empty()) {
                              return violation;
                          }
                      }
                      accepted_count += model.accepted_count();
                      return model.converge();
                  });
    EXPECT_GT(accepted_count, 1000U);
}

} // namespace
} // namespace hibiscus::document
