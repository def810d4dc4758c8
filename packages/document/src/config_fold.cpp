#include "hibiscus/document/config_fold.hpp"

#include "hibiscus/base/result.hpp"

namespace hibiscus::document {

void config_fold::apply(wire::log_offset offset,
                        const wire::config_record& record) {
    if (offset < next_) {
        return;
    }
    next_ = offset + 1;
    // An append whose answer was lost is sent again with the same id, and the
    // operator would see the second one refused as superseded by the first.
    // The first record decides.
    if (verdicts_.count(record.publish_id) != 0 && record.revision == 0) {
        return;
    }
    const auto verdict = judge(offset, record);
    verdicts_.emplace(record.publish_id, verdict);
}

publish_verdict config_fold::judge(wire::log_offset offset,
                                   const wire::config_record& record) {
    if (record.revision != 0) {
        adopt(record.revision, record.document);
        return publish_verdict::accepted;
    }
    const wire::log_offset current = in_force_ ? in_force_->number : 0;
    if (record.base != current) {
        return publish_verdict::superseded;
    }
    auto parsed = parse(record.document);
    auto* content = base::value_if(parsed);
    if (content == nullptr) {
        return publish_verdict::invalid;
    }
    // Offsets start at 0 and revision 0 means none, hence one more.
    in_force_ = revision{offset + 1, record.document, std::move(*content)};
    return publish_verdict::accepted;
}

bool config_fold::adopt(wire::log_offset number, const std::string& text) {
    if (in_force_ && in_force_->number >= number) {
        return false;
    }
    auto parsed = parse(text);
    auto* content = base::value_if(parsed);
    if (content == nullptr) {
        return false;
    }
    in_force_ = revision{number, text, std::move(*content)};
    return true;
}

const revision* config_fold::in_force() const {
    return in_force_ ? &*in_force_ : nullptr;
}

publish_verdict config_fold::verdict(const std::string& publish_id) const {
    const auto at = verdicts_.find(publish_id);
    return at == verdicts_.end() ? publish_verdict::unknown : at->second;
}

} // namespace hibiscus::document
