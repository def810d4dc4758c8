#include "hibiscus/document/config_state_machine.hpp"

#include "support/fuzz.hpp"

#include <array>

namespace hibiscus::document {
namespace {

/// Nodes and publishers before one log that delays, repeats and drops records.
/// They are judged by a fold that has read every record.
class config_model {
public:
    /// Carries out a command. Returns what is wrong, or "".
    std::string execute(const testing::fuzz_command& c) {
        auto& node = nodes_[static_cast<std::size_t>(c.a) % nodes_.size()];
        if (c.kind < 25) {
            publish(c);
        } else if (c.kind < 50) {
            append_pending(c);
        } else if (c.kind < 75) {
            read(node, c.c % 5 + 1);
        } else if (c.kind < 82) {
            if (node.fold.is_complete() && node.fold.next_offset() > 0) {
                pending_appends_.push_back(node.fold.make_snapshot());
            }
        } else if (c.kind < 90) {
            send_document(
                node, nodes_[static_cast<std::size_t>(c.b) % nodes_.size()]);
        } else if (c.kind < 94) {
            node = {};
        } else {
            const auto end = static_cast<wire::log_offset>(records_.size());
            first_ = std::max<wire::log_offset>(first_, end - c.b % 9);
        }
        check(node);
        return failure_;
    }

    /// Lets one that has read all repeat the document, and everyone read on.
    std::string converge() {
        records_.push_back(reference_.make_snapshot());
        reference_.apply(end() - 1, records_.back());
        for (auto& node : nodes_) {
            read(node, end());
            check(node);
            if (!node.fold.is_complete() ||
                number(node.fold.in_force()) != number(reference_.in_force())) {
                fail("a node does not come to the document in force");
            }
        }
        return failure_;
    }

    /// Returns the number of publishes that were accepted.
    std::size_t accepted() const { return accepted_; }

private:
    struct node_row {
        config_state_machine fold;
        wire::log_offset seen = 0;
    };

    wire::log_offset end() const {
        return static_cast<wire::log_offset>(records_.size());
    }

    static wire::log_offset number(const revision* r) {
        return r != nullptr ? r->number : 0;
    }

    void fail(const std::string& what) {
        if (failure_.empty()) {
            failure_ = what;
        }
    }

    /// Sends a publish on the revision that the log shows now, if it does.
    void publish(const testing::fuzz_command& c) {
        node_row publisher;
        read(publisher, end());
        if (!publisher.fold.is_complete()) {
            return;
        }
        const auto count = ++publishes_;
        const auto ttl = std::to_string(100 + count);
        const std::string text =
            c.b % 8 == 0 ? "{\"x\": 1}"
                         : "{\"limits\": {\"entries_ttl_ms\": " + ttl + "}}";
        pending_appends_.push_back({1, "p" + std::to_string(count),
                                    number(publisher.fold.accepted_revision()),
                                    text, 0, 0});
    }

    /// Lets the log take an append; one whose answer is lost comes again.
    void append_pending(const testing::fuzz_command& c) {
        if (pending_appends_.empty()) {
            return;
        }
        const auto at = static_cast<std::ptrdiff_t>(
            static_cast<std::size_t>(c.a) % pending_appends_.size());
        records_.push_back(pending_appends_[static_cast<std::size_t>(at)]);
        if (c.b % 4 != 0) {
            pending_appends_.erase(pending_appends_.begin() + at);
        }
        const auto before = number(reference_.accepted_revision());
        reference_.apply(end() - 1, records_.back());
        const auto* now = reference_.accepted_revision();
        if (number(now) != before) {
            ++accepted_;
            texts_[now->number] = now->text;
        }
        accepted_history_.push_back(number(now));
    }

    void read(node_row& node, wire::log_offset most) const {
        node.fold.handle_truncation(first_);
        for (; most > 0 && node.fold.next_offset() < end(); --most) {
            const auto at = node.fold.next_offset();
            node.fold.apply(at, records_[static_cast<std::size_t>(at)]);
        }
    }

    static void send_document(const node_row& from, node_row& to) {
        if (const auto* r = from.fold.in_force()) {
            to.fold.adopt_from_peer(r->number, r->text);
        }
    }

    void check(node_row& node) {
        const auto* now = node.fold.in_force();
        if (number(now) < node.seen) {
            fail("a node stepped back");
        }
        node.seen = number(now);
        if (now != nullptr && texts_[now->number] != now->text) {
            fail("a node follows a document that was not accepted");
        }
        const auto next = static_cast<std::size_t>(node.fold.next_offset());
        if (node.fold.is_complete() && next > 0 &&
            next <= accepted_history_.size() &&
            number(node.fold.accepted_revision()) !=
                accepted_history_[next - 1]) {
            fail("a node judges otherwise than one that read all");
        }
        for (int i = 1; i <= publishes_; ++i) {
            const auto id = "p" + std::to_string(i);
            if (node.fold.verdict(id) == publish_verdict::accepted &&
                reference_.verdict(id) != publish_verdict::accepted) {
                fail("a refused publish is shown as accepted");
            }
        }
    }

    std::array<node_row, 3> nodes_;
    config_state_machine reference_;
    std::vector<wire::config_record> records_;
    std::vector<wire::config_record> pending_appends_;
    /// The accepted revision after each record.
    std::vector<wire::log_offset> accepted_history_;
    std::map<wire::log_offset, std::string> texts_;
    wire::log_offset first_ = 0;
    int publishes_ = 0;
    std::size_t accepted_ = 0;
    std::string failure_;
};

// Operators race each other, answers are lost, retention passes, nodes come
// and go. If two nodes kept different documents, or one stepped back, callers
// would be served by rules that depend on which entry they ask.
TEST(config_fuzz_test, all_nodes_come_to_the_same_document) {
    std::size_t accepted = 0;
    testing::fuzz("config", 12000,
                  [&](const std::vector<testing::fuzz_command>& commands) {
                      config_model model;
                      std::string wrong;
                      for (const auto& c : commands) {
                          wrong = model.execute(c);
                          if (!wrong.empty()) {
                              return wrong;
                          }
                      }
                      accepted += model.accepted();
                      return model.converge();
                  });
    EXPECT_GT(accepted, 1000U);
}

} // namespace
} // namespace hibiscus::document
