// Package docscheck has tests that fail where a page names a path, identifier, command, flag, test or log line that the repository does
// not have. It has no other code.
package docscheck
