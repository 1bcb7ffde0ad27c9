package document

import "strings"

// Match returns the route for a method and path, or false when no route matches. The route
// with the longest path wins: an exact path over a prefix, a longer prefix over a shorter
// one.
func (s *Service) Match(method, path string) (Route, bool) {
	best := -1
	for i, r := range s.Routes {
		if r.Method != method || !r.matches(path) {
			continue
		}
		if best < 0 || len(r.Path) > len(s.Routes[best].Path) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return s.Routes[best], true
}

// matches reports whether path is the path of the route or lies below its prefix.
func (r Route) matches(path string) bool {
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(path, r.Path)
	}
	return path == r.Path
}
