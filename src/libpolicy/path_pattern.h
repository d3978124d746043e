#pragma once

#include <string_view>

namespace cassiakeel::policy::pvt {

/// Whether `text` is a path of a sheet: "/" or segments of unreserved
/// characters (RFC 3986), "{name}", and "**" as the last segment.
bool IsPathPattern(std::string_view text);

/// Whether a request path matches. Percent-encoded unreserved characters equal
/// their plain form (RFC 3986, 6.2.2.2): a caller must not escape its kind by
/// encoding a letter that the backend server decodes.
bool PathMatches(std::string_view pattern, std::string_view path);

/// Whether every path that matches `narrow` also matches `wide`.
bool PatternCovers(std::string_view wide, std::string_view narrow);

/// Whether a segment is "." or "..", plain or encoded. A backend server that
/// resolves such segments would run another kind than the one matched.
bool HasDotSegment(std::string_view path);

}  // namespace cassiakeel::policy::pvt
