package faultproxy

// This file matches link names against patterns.

import "strings"

// matches reports whether a pattern matches the complete name. Each * in the pattern stands for any text, including none.
func matches(name, pattern string) bool {
	head, rest, hasStar := strings.Cut(pattern, "*")
	if !hasStar {
		return name == pattern
	}
	remaining, hasHead := strings.CutPrefix(name, head)
	if !hasHead {
		return false
	}
	for skipped := 0; skipped <= len(remaining); skipped++ {
		if matches(remaining[skipped:], rest) {
			return true
		}
	}
	return false
}
