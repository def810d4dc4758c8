# Writes OUTPUT, a source file that defines the build's id: what `git describe`
# says of SOURCE, or a hash of its sources if it is no git checkout. Leaves a
# file alone that would not change.
execute_process(
  COMMAND git -C ${SOURCE} --no-optional-locks rev-parse --show-cdup
  OUTPUT_VARIABLE path_to_top RESULT_VARIABLE failed
  OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
set(id "")
if(failed EQUAL 0 AND path_to_top STREQUAL "")
  execute_process(
    COMMAND git -C ${SOURCE} --no-optional-locks
      describe --always --dirty --abbrev=12 --exclude=*
    OUTPUT_VARIABLE id OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
endif()
if(id STREQUAL "")
  file(GLOB_RECURSE sources RELATIVE ${SOURCE}
    ${SOURCE}/packages/*.?pp ${SOURCE}/platform/*.?pp)
  list(SORT sources)
  set(hashes "")
  foreach(file ${sources})
    file(SHA256 ${SOURCE}/${file} hash)
    string(APPEND hashes "${file} ${hash}\n")
  endforeach()
  string(SHA256 hash "${hashes}")
  string(SUBSTRING ${hash} 0 12 id)
  set(id "sources-${id}")
endif()
file(CONFIGURE OUTPUT ${OUTPUT} CONTENT [[
#include "build_id.hpp"

namespace hibiscus::entry {

const char* const build_id = "@id@";

} // namespace hibiscus::entry
]] @ONLY)
