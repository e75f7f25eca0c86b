// Package replay contains only a test. The test runs seeded sequences of events against the decision logic in package routing
// and compares every call that it makes with golden files. Changes of structure or names must not change the golden files. If a
// decision changes, the test reports the first differing block of a thousand requests.
//
//	go test ./internal/replay                       compare
//	go test ./internal/replay -update               rewrite the golden files; use it only if decisions are meant to change
//	go test ./internal/replay -dump DIR             write the lines of the first differing block to DIR
//	go test ./internal/replay -dump DIR -block N    write the lines of block N of each scenario, even if it does not differ, to
//	                                                compare the lines of two versions
package replay
