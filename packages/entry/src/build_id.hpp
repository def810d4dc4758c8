#pragma once

namespace hibiscus::entry {

/// Names the commit that the program was built from, with the suffix `-dirty`
/// if the checkout had changes. Built outside a git checkout: a hash of the
/// sources.
extern const char* const build_id;

} // namespace hibiscus::entry
